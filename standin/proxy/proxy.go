// Package proxy is a small stand-in for a proxy in front of the servers: it puts
// each request to a gateway by ext_authz, forwards what is allowed to the server
// that the gateway names, and reports by the access log service, as Envoy does.
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

// Options is what a Server is made of.
type Options struct {
	Network  network.Network
	Gateway  string        // address of its ext_authz listener
	Patience time.Duration // where the client names none
	NoLogs   bool          // it reports nothing
}

// Server is one proxy.
type Server struct {
	o    Options
	hs   *http.Server
	cc   *grpc.ClientConn
	pool *upstream.Pool
	logs chan *datav3.HTTPAccessLogEntry
	done chan struct{}
	wait sync.WaitGroup
	once sync.Once
}

// New returns a proxy before a gateway.
func New(o Options) (*Server, error) {
	cc, err := grpc.NewClient("passthrough:///"+o.Gateway, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return o.Network.Dial(ctx, addr) }),
		grpc.WithDisableServiceConfig(), grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, MaxDelay: 500 * time.Millisecond}}))
	if err != nil {
		return nil, err
	}
	s := &Server{o: o, cc: cc, logs: make(chan *datav3.HTTPAccessLogEntry, 4096), done: make(chan struct{}),
		pool: upstream.New(upstream.Options{Network: o.Network, ConnectTime: 250 * time.Millisecond, Idle: 64,
			Limits: http1.Limits{MaxLineBytes: 8 << 10, MaxHeaderFields: 100, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 8 << 20}})}
	s.hs = &http.Server{Handler: s}
	s.wait.Go(s.report)
	return s, nil
}

// Serve serves until Kill.
func (s *Server) Serve(l net.Listener) error { return s.hs.Serve(l) }

// Kill ends the proxy and its connections at once.
func (s *Server) Kill() { s.once.Do(s.kill) }

func (s *Server) kill() {
	s.hs.Close()
	close(s.done)
	s.wait.Wait()
	s.cc.Close()
	s.pool.Close()
}

// report sends the access log, on a new stream when one breaks.
func (s *Server) report() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var stream grpc.ClientStreamingClient[alsv3.StreamAccessLogsMessage, alsv3.StreamAccessLogsResponse]
	for {
		select {
		case e := <-s.logs:
			if stream == nil {
				var err error
				if stream, err = alsv3.NewAccessLogServiceClient(s.cc).StreamAccessLogs(ctx); err != nil {
					stream = nil
					continue // this line is lost, as Envoy loses it
				}
			}
			err := stream.Send(&alsv3.StreamAccessLogsMessage{LogEntries: &alsv3.StreamAccessLogsMessage_HttpLogs{
				HttpLogs: &alsv3.StreamAccessLogsMessage_HTTPAccessLogEntries{LogEntry: []*datav3.HTTPAccessLogEntry{e}}}})
			if err != nil {
				stream = nil
			}
		case <-s.done:
			return
		}
	}
}

// ServeHTTP takes one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	patience := s.o.Patience
	if ms, err := strconv.Atoi(r.Header.Get("X-Envoy-Expected-Rq-Timeout-Ms")); err == nil {
		patience = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	headers := map[string]string{}
	for name, values := range r.Header {
		headers[strings.ToLower(name)] = strings.Join(values, ",")
	}
	resp, err := authv3.NewAuthorizationClient(s.cc).Check(ctx, &authv3.CheckRequest{Attributes: &authv3.AttributeContext{
		Request: &authv3.AttributeContext_Request{Http: &authv3.AttributeContext_HttpRequest{Id: r.Header.Get("X-Request-Id"),
			Method: r.Method, Path: r.RequestURI, Host: r.Host, Headers: headers, Scheme: "http", Protocol: r.Proto}}}})
	if err != nil {
		http.Error(w, "the gateway gave no answer", http.StatusForbidden) // failure_mode_allow is false
		return
	}
	if resp.GetStatus().GetCode() != int32(codes.OK) {
		d := resp.GetDeniedResponse()
		for _, h := range d.GetHeaders() {
			w.Header().Set(h.GetHeader().GetKey(), h.GetHeader().GetValue())
		}
		w.WriteHeader(int(d.GetStatus().GetCode()))
		io.WriteString(w, d.GetBody())
		return
	}
	s.forward(w, r, body, resp.GetOkResponse())
}

// forward makes the one attempt and reports it.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, body []byte, ok *authv3.OkHttpResponse) {
	call := node.HTTPRequest{Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: body}
	for name, values := range r.Header {
		for _, v := range values {
			call.Header.Add(name, v)
		}
	}
	call.Header = call.Header.EndToEnd()
	for _, name := range ok.GetHeadersToRemove() {
		call.Header.Del(name)
	}
	set := map[string]string{}
	for _, h := range ok.GetHeaders() {
		set[h.GetHeader().GetKey()] = h.GetHeader().GetValue()
		call.Header.Set(h.GetHeader().GetKey(), h.GetHeader().GetValue())
	}
	limit, _ := strconv.Atoi(set[extauthz.FieldTimeout])
	start := time.Now()
	ended := make(chan node.Result, 1)
	sending := s.pool.Start(node.Attempt{Address: set[extauthz.FieldServer], Timeout: time.Duration(limit) * time.Millisecond,
		Request: &node.Request{HTTP: call}}, func(res node.Result) { ended <- res })
	timer := time.NewTimer(time.Duration(limit) * time.Millisecond)
	defer timer.Stop()
	var res node.Result
	select {
	case res = <-ended:
	case <-timer.C:
		sending.Cancel()
		res.Code = policy.TimedOut
	case <-r.Context().Done():
		sending.Cancel()
		res.Code = policy.Cancelled
	}
	flags, code := &datav3.ResponseFlags{}, http.StatusServiceUnavailable
	switch {
	case res.Response != nil:
		code = res.Response.Status
	case res.Code == policy.TimedOut:
		flags.UpstreamRequestTimeout, code = true, http.StatusGatewayTimeout
	case res.Code == policy.ConnectFailed:
		flags.UpstreamConnectionFailure, code = true, http.StatusBadGateway
	case res.Code == policy.Cancelled:
		flags.DownstreamConnectionTermination, code = true, 0
	default:
		flags.UpstreamConnectionTermination, code = true, http.StatusBadGateway
	}
	s.log(r, set, code, flags, time.Since(start))
	if code == 0 {
		return
	}
	if res.Response == nil {
		http.Error(w, fmt.Sprintf("upstream: %s", res.Detail), code)
		return
	}
	for _, f := range res.Response.Header {
		w.Header().Add(f.Name, f.Value)
	}
	w.WriteHeader(code)
	w.Write(res.Response.Body)
}

func (s *Server) log(r *http.Request, set map[string]string, code int, flags *datav3.ResponseFlags, took time.Duration) {
	if s.o.NoLogs {
		return
	}
	e := &datav3.HTTPAccessLogEntry{
		CommonProperties: &datav3.AccessLogCommon{StartTime: timestamppb.New(time.Now().Add(-took)), Duration: durationpb.New(took),
			TimeToLastUpstreamRxByte: durationpb.New(took), ResponseFlags: flags},
		Request: &datav3.HTTPRequestProperties{RequestId: set["x-request-id"], Path: r.URL.Path,
			RequestHeaders: map[string]string{extauthz.FieldAttempt: set[extauthz.FieldAttempt]}},
		Response: &datav3.HTTPResponseProperties{ResponseCode: wrapperspb.UInt32(uint32(code))}}
	select {
	case s.logs <- e:
	default:
	}
}
