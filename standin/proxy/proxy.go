// Package proxy is a fake proxy in front of the servers. Like Envoy, it asks a gateway about each
// request by ext_authz, forwards allowed requests to the server that the gateway selects, and sends
// access log entries to the gateway.
package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	datav3 "github.com/envoyproxy/go-control-plane/envoy/data/accesslog/v3"
	alsv3 "github.com/envoyproxy/go-control-plane/envoy/service/accesslog/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yardcleat.example/yardcleat/front/extauthz"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/upstream"
)

// Options configures a Server.
type Options struct {
	Network          network.Network
	Gateway          string        // address of the gateway's ext_authz listener
	DefaultTimeout   time.Duration // client timeout of requests that carry none
	DisableAccessLog bool          // sends no access log
}

// Server is one proxy.
type Server struct {
	options     Options
	httpServer  *http.Server
	gatewayConn *grpc.ClientConn
	pool        *upstream.Pool
	logEntries  chan *datav3.HTTPAccessLogEntry
	done        chan struct{}
	reporter    sync.WaitGroup
	killOnce    sync.Once
}

// New returns a proxy that asks the gateway at o.Gateway.
func New(o Options) (*Server, error) {
	gatewayConn, err := grpc.NewClient("passthrough:///"+o.Gateway, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return o.Network.Dial(ctx, addr) }),
		grpc.WithDisableServiceConfig(), grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, MaxDelay: 500 * time.Millisecond}}))
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, gatewayConn: gatewayConn, logEntries: make(chan *datav3.HTTPAccessLogEntry, 4096), done: make(chan struct{}),
		pool: upstream.New(upstream.Options{Network: o.Network, ConnectTimeout: 250 * time.Millisecond, MaxIdlePerServer: 64,
			Limits: http1.Limits{MaxLineBytes: 8 << 10, MaxHeaderFields: 100, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 8 << 20}})}
	s.httpServer = &http.Server{Handler: s}
	s.reporter.Go(s.sendLogEntries)
	return s, nil
}

// Serve accepts connections on l until Kill is called.
func (s *Server) Serve(l net.Listener) error { return s.httpServer.Serve(l) }

// Kill stops the proxy immediately and closes its connections.
func (s *Server) Kill() { s.killOnce.Do(s.kill) }

func (s *Server) kill() {
	s.httpServer.Close()
	close(s.done)
	s.reporter.Wait()
	s.gatewayConn.Close()
	s.pool.Close()
}

// sendLogEntries sends the queued log entries to the gateway, and opens a new stream after one fails.
func (s *Server) sendLogEntries() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var stream grpc.ClientStreamingClient[alsv3.StreamAccessLogsMessage, alsv3.StreamAccessLogsResponse]
	for {
		select {
		case entry := <-s.logEntries:
			if stream == nil {
				var err error
				if stream, err = alsv3.NewAccessLogServiceClient(s.gatewayConn).StreamAccessLogs(ctx); err != nil {
					stream = nil
					continue // the entry is lost, as with Envoy
				}
			}
			err := stream.Send(&alsv3.StreamAccessLogsMessage{LogEntries: &alsv3.StreamAccessLogsMessage_HttpLogs{
				HttpLogs: &alsv3.StreamAccessLogsMessage_HTTPAccessLogEntries{LogEntry: []*datav3.HTTPAccessLogEntry{entry}}}})
			if err != nil {
				stream = nil
			}
		case <-s.done:
			return
		}
	}
}

// ServeHTTP asks the gateway about a request, then forwards it or returns the denial.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	timeout := s.options.DefaultTimeout
	if ms, err := strconv.Atoi(r.Header.Get("X-Envoy-Expected-Rq-Timeout-Ms")); err == nil {
		timeout = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	headers := map[string]string{}
	for name, values := range r.Header {
		headers[strings.ToLower(name)] = strings.Join(values, ",")
	}
	response, err := authv3.NewAuthorizationClient(s.gatewayConn).Check(ctx, &authv3.CheckRequest{Attributes: &authv3.AttributeContext{
		Request: &authv3.AttributeContext_Request{Http: &authv3.AttributeContext_HttpRequest{Id: r.Header.Get("X-Request-Id"),
			Method: r.Method, Path: r.RequestURI, Host: r.Host, Headers: headers, Scheme: "http", Protocol: r.Proto}}}})
	if err != nil {
		http.Error(w, "gateway did not respond to the authorization check", http.StatusForbidden) // failure_mode_allow is false
		return
	}
	if response.GetStatus().GetCode() != int32(codes.OK) {
		denied := response.GetDeniedResponse()
		for _, header := range denied.GetHeaders() {
			w.Header().Set(header.GetHeader().GetKey(), header.GetHeader().GetValue())
		}
		w.WriteHeader(int(denied.GetStatus().GetCode()))
		io.WriteString(w, denied.GetBody())
		return
	}
	s.forward(w, r, body, response.GetOkResponse())
}

// forward makes the request's single attempt and logs its outcome.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, body []byte, ok *authv3.OkHttpResponse) {
	request := node.HTTPRequest{Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: body}
	for name, values := range r.Header {
		for _, v := range values {
			request.Header.Add(name, v)
		}
	}
	request.Header = request.Header.EndToEnd()
	for _, name := range ok.GetHeadersToRemove() {
		request.Header.Del(name)
	}
	gatewayHeaders := map[string]string{}
	for _, h := range ok.GetHeaders() {
		gatewayHeaders[h.GetHeader().GetKey()] = h.GetHeader().GetValue()
		request.Header.Set(h.GetHeader().GetKey(), h.GetHeader().GetValue())
	}
	timeoutMS, _ := strconv.Atoi(gatewayHeaders[extauthz.FieldTimeout])
	start := time.Now()
	results := make(chan node.Result, 1)
	attempt := s.pool.Start(node.Attempt{Address: gatewayHeaders[extauthz.FieldServer], Timeout: time.Duration(timeoutMS) * time.Millisecond,
		Request: &node.Request{HTTP: request}}, func(result node.Result) { results <- result })
	timer := time.NewTimer(time.Duration(timeoutMS) * time.Millisecond)
	defer timer.Stop()
	var result node.Result
	select {
	case result = <-results:
	case <-timer.C:
		attempt.Cancel()
		result.Code = policy.TimedOut
	case <-r.Context().Done():
		attempt.Cancel()
		result.Code = policy.Cancelled
	}
	flags, code := &datav3.ResponseFlags{}, http.StatusServiceUnavailable
	switch {
	case result.Response != nil:
		code = result.Response.Status
	case result.Code == policy.TimedOut:
		flags.UpstreamRequestTimeout, code = true, http.StatusGatewayTimeout
	case result.Code == policy.ConnectFailed:
		flags.UpstreamConnectionFailure, code = true, http.StatusBadGateway
	case result.Code == policy.Cancelled:
		flags.DownstreamConnectionTermination, code = true, 0
	default:
		flags.UpstreamConnectionTermination, code = true, http.StatusBadGateway
	}
	s.queueLogEntry(r, gatewayHeaders, code, flags, time.Since(start))
	if code == 0 {
		return
	}
	if result.Response == nil {
		http.Error(w, fmt.Sprintf("upstream: %s", result.Detail), code)
		return
	}
	for _, f := range result.Response.Header {
		w.Header().Add(f.Name, f.Value)
	}
	w.WriteHeader(code)
	w.Write(result.Response.Body)
}

// queueLogEntry queues an access log entry for sending; it drops the entry if the queue is full.
func (s *Server) queueLogEntry(r *http.Request, gatewayHeaders map[string]string, code int, flags *datav3.ResponseFlags, duration time.Duration) {
	if s.options.DisableAccessLog {
		return
	}
	entry := &datav3.HTTPAccessLogEntry{
		CommonProperties: &datav3.AccessLogCommon{StartTime: timestamppb.New(time.Now().Add(-duration)), Duration: durationpb.New(duration),
			TimeToLastUpstreamRxByte: durationpb.New(duration), ResponseFlags: flags},
		Request: &datav3.HTTPRequestProperties{RequestId: gatewayHeaders["x-request-id"], Path: r.URL.Path,
			RequestHeaders: map[string]string{extauthz.FieldAttempt: gatewayHeaders[extauthz.FieldAttempt]}},
		Response: &datav3.HTTPResponseProperties{ResponseCode: wrapperspb.UInt32(uint32(code))}}
	select {
	case s.logEntries <- entry:
	default:
	}
}
