// Package extauthz serves proxies over gRPC by Envoy's ext_authz v3. A Check asks whether a
// request may be forwarded and to which server. The proxy makes the attempt itself and reports
// its outcome through the access log service (ALS).
package extauthz

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	datav3 "github.com/envoyproxy/go-control-plane/envoy/data/accesslog/v3"
	alsv3 "github.com/envoyproxy/go-control-plane/envoy/service/accesslog/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/upstream"
)

// Header fields added to a permitted request.
const (
	FieldServer  = "x-envoy-original-dst-host"      // the server that an ORIGINAL_DST cluster forwards to
	FieldAttempt = "x-yardcleat-attempt"            // identifies the attempt; the proxy must log it
	FieldTimeout = "x-envoy-upstream-rq-timeout-ms" // timeout of the attempt
)

// Handler handles requests and the outcomes of their attempts; a *node.Node implements it. The
// caller of Submit calls disconnected if the client disconnects before the reply.
type Handler interface {
	Submit(request *node.Request, reply func(node.FinalResponse)) (disconnected func())
	FinishProxiedAttempt(id policy.RequestID, attempt int, result node.Result)
}

// Options configures a Server.
type Options struct {
	Node            Handler
	Mapper          *intake.Mapper
	Log             *slog.Logger
	TracePrefix     string // begins trace IDs and attempt tokens; differs between processes
	RejectionSignal upstream.RejectionSignal
}

// Server serves Checks and receives access logs.
type Server struct {
	authv3.UnimplementedAuthorizationServer
	alsv3.UnimplementedAccessLogServiceServer
	options        Options
	grpcServer     *grpc.Server
	traceCounter   atomic.Uint64
	checksInFlight atomic.Int64

	mu                 sync.Mutex
	proxiedAttempts    map[string]proxiedAttempt // by trace ID, for log entries without an attempt token
	recordedSinceSweep int
}

// proxiedAttempt is an attempt that a proxy was permitted to make.
type proxiedAttempt struct {
	id      policy.RequestID
	attempt int
	expiry  time.Time
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{options: o, grpcServer: grpc.NewServer(), proxiedAttempts: map[string]proxiedAttempt{}}
	authv3.RegisterAuthorizationServer(s.grpcServer, s)
	alsv3.RegisterAccessLogServiceServer(s.grpcServer, s)
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	err := s.grpcServer.Serve(l)
	if errors.Is(err, grpc.ErrServerStopped) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// CloseListener closes the listener at once. Serve returns.
func (s *Server) CloseListener(l net.Listener) error { return l.Close() }

// StopServing closes the listener. Serve returns.
func (s *Server) StopServing(_ context.Context, l net.Listener) error { return l.Close() }

// Drain accepts no new calls and waits for the Checks in flight, at most until the context ends.
// Log streams do not end by themselves: they stay open a little longer for the last entries.
func (s *Server) Drain(ctx context.Context) {
	const logGracePeriod, pollInterval = 200 * time.Millisecond, 5 * time.Millisecond
	go func() {
		for s.checksInFlight.Load() > 0 && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
		select {
		case <-time.After(logGracePeriod):
		case <-ctx.Done():
		}
		s.grpcServer.Stop()
	}()
	s.grpcServer.GracefulStop()
}

// Check decides whether a request may be forwarded, and to which server.
func (s *Server) Check(ctx context.Context, req *authv3.CheckRequest) (*authv3.CheckResponse, error) {
	s.checksInFlight.Add(1)
	defer s.checksInFlight.Add(-1)
	call := httpRequestOf(req.GetAttributes().GetRequest().GetHttp())
	trace := s.options.TracePrefix + "-" + strconv.FormatUint(s.traceCounter.Add(1), 36)
	request, early := s.options.Mapper.Admit(call, trace)
	if early != nil {
		s.options.Log.Info("answer", "answer", early.Kind.String(), "trace", request.Trace, "class", request.Class,
			"customer", request.Customer, "reason", string(early.Reason), "detail", early.Detail)
		return s.deniedResponse(request, *early), nil
	}
	if p, ok := peer.FromContext(ctx); ok {
		request.Arrived = pauseclock.ArrivalTimeForAddr(p.Addr)
	}
	if deadline, ok := ctx.Deadline(); ok {
		// gRPC counts the call's timeout from when it read the call. The proxy's timeout is as
		// long but started earlier; ClientTimeout counts from the call's arrival.
		request.ClientTimeout = min(request.ClientTimeout, time.Until(deadline))
	}
	request.Proxied = true
	request.ClientAddress, request.LocalAddress = socketAddress(req.GetAttributes().GetSource()), socketAddress(req.GetAttributes().GetDestination())
	finalResponses := make(chan node.FinalResponse, 1)
	disconnected := s.options.Node.Submit(request, func(final node.FinalResponse) { finalResponses <- final })
	var final node.FinalResponse
	select {
	case final = <-finalResponses:
	case <-ctx.Done():
		disconnected()
		final = <-finalResponses
	}
	if final.Permit == nil {
		return s.deniedResponse(request, final), nil
	}
	if ctx.Err() != nil {
		// The permit does not reach the proxy, so the attempt is not made.
		s.options.Node.FinishProxiedAttempt(final.Permit.ID, final.Permit.Attempt, node.Result{Code: policy.TooLate, Detail: "the proxy left"})
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	s.recordAttempt(request.Trace, proxiedAttempt{final.Permit.ID, final.Permit.Attempt, time.Now().Add(final.Permit.Timeout)})
	return s.okResponse(request, final.Permit), nil
}

func httpRequestOf(attributes *authv3.AttributeContext_HttpRequest) node.HTTPRequest {
	call := node.HTTPRequest{Method: attributes.GetMethod(), Target: attributes.GetPath(), Host: attributes.GetHost(), Body: []byte(attributes.GetBody())}
	if len(call.Body) == 0 {
		call.Body = attributes.GetRawBody()
	}
	for name, value := range attributes.GetHeaders() {
		if !strings.HasPrefix(name, ":") {
			call.Header.Add(name, value)
		}
	}
	slices.SortFunc(call.Header, func(a, b http1.Field) int { return strings.Compare(a.Name, b.Name) })
	return call
}

// socketAddress returns the host:port of a peer, or "" if the proxy does not state it.
func socketAddress(p *authv3.AttributeContext_Peer) string {
	address := p.GetAddress().GetSocketAddress()
	if address.GetAddress() == "" {
		return ""
	}
	return net.JoinHostPort(address.GetAddress(), strconv.Itoa(int(address.GetPortValue())))
}

func (s *Server) okResponse(request *node.Request, permit *node.ForwardPermit) *authv3.CheckResponse {
	changes := &permit.Authorization
	ok := &authv3.OkHttpResponse{HeadersToRemove: append(slices.Clone(changes.RemoveHeaders), s.options.Mapper.KeyHeader()),
		QueryParametersToRemove: changes.RemoveQuery}
	for _, f := range changes.SetHeaders {
		ok.Headers = append(ok.Headers, setHeader(f.Name, f.Value))
	}
	for _, f := range changes.AppendHeaders {
		option := setHeader(f.Name, f.Value)
		option.Append, option.AppendAction = wrapperspb.Bool(true), corev3.HeaderValueOption_APPEND_IF_EXISTS_OR_ADD
		ok.Headers = append(ok.Headers, option)
	}
	for _, f := range changes.SetQuery {
		ok.QueryParametersToSet = append(ok.QueryParametersToSet, &corev3.QueryParameter{Key: f.Name, Value: f.Value})
	}
	for _, f := range changes.ResponseHeaders {
		ok.ResponseHeadersToAdd = append(ok.ResponseHeadersToAdd, setHeader(f.Name, f.Value))
	}
	ok.Headers = append(ok.Headers, setHeader(FieldServer, permit.Server), setHeader(FieldAttempt, s.attemptToken(permit)),
		setHeader(FieldTimeout, strconv.FormatInt(max(1, permit.Timeout.Milliseconds()), 10)),
		setHeader("x-request-id", request.Trace))
	return &authv3.CheckResponse{Status: &rpc.Status{Code: int32(codes.OK)},
		HttpResponse: &authv3.CheckResponse_OkResponse{OkResponse: ok}}
}

func (s *Server) deniedResponse(request *node.Request, final node.FinalResponse) *authv3.CheckResponse {
	response := s.options.Mapper.Render(request, final)
	denied := &authv3.DeniedHttpResponse{Status: &typev3.HttpStatus{Code: typev3.StatusCode(response.Status)}, Body: string(response.Body)}
	for _, f := range response.Header {
		denied.Headers = append(denied.Headers, setHeader(f.Name, f.Value))
	}
	code := codes.PermissionDenied
	if final.Kind == node.Failed {
		code = codes.Unavailable
	}
	return &authv3.CheckResponse{Status: &rpc.Status{Code: int32(code), Message: string(final.Reason)},
		HttpResponse: &authv3.CheckResponse_DeniedResponse{DeniedResponse: denied}}
}

// setHeader returns the instruction to set a header field, overwriting any of the same name.
func setHeader(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: strings.ToLower(name), Value: value},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}

// attemptToken returns the token that identifies an attempt of this process. parseAttemptToken
// parses it.
func (s *Server) attemptToken(permit *node.ForwardPermit) string {
	return fmt.Sprintf("%s/%d/%d", s.options.TracePrefix, permit.ID, permit.Attempt)
}

func (s *Server) parseAttemptToken(token string) (attempt proxiedAttempt, ok bool) {
	rest, ok := strings.CutPrefix(token, s.options.TracePrefix+"/")
	if !ok {
		return attempt, false // the token of another node, or of this one before a restart
	}
	id, number, _ := strings.Cut(rest, "/")
	parsedID, err := strconv.ParseUint(id, 10, 64)
	parsedNumber, err2 := strconv.Atoi(number)
	return proxiedAttempt{id: policy.RequestID(parsedID), attempt: parsedNumber}, err == nil && err2 == nil
}

// recordAttempt stores an attempt by its trace ID until its timeout.
func (s *Server) recordAttempt(trace string, attempt proxiedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxiedAttempts[trace] = attempt
	if s.recordedSinceSweep++; s.recordedSinceSweep > len(s.proxiedAttempts) {
		s.recordedSinceSweep = 0
		now := time.Now()
		for other, recorded := range s.proxiedAttempts {
			if now.After(recorded.expiry) {
				delete(s.proxiedAttempts, other)
			}
		}
	}
}

// StreamAccessLogs receives access log entries and finishes the attempts that they report. It
// ignores entries of attempts that have ended, and of requests that were not permitted.
func (s *Server) StreamAccessLogs(stream grpc.ClientStreamingServer[alsv3.StreamAccessLogsMessage,
	alsv3.StreamAccessLogsResponse]) error {
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&alsv3.StreamAccessLogsResponse{})
		}
		if err != nil {
			return err
		}
		for _, entry := range message.GetHttpLogs().GetLogEntry() {
			s.finishAttempt(entry)
		}
	}
}

// finishAttempt finishes the attempt that an access log entry reports, identified by its token or
// else by its trace ID.
func (s *Server) finishAttempt(entry *datav3.HTTPAccessLogEntry) {
	trace := entry.GetRequest().GetRequestId()
	attempt, ok := s.parseAttemptToken(entry.GetRequest().GetRequestHeaders()[FieldAttempt])
	s.mu.Lock()
	if byTrace, found := s.proxiedAttempts[trace]; found && (!ok || byTrace.id == attempt.id) {
		attempt, ok = byTrace, true
		delete(s.proxiedAttempts, trace)
	}
	s.mu.Unlock()
	if ok {
		s.options.Node.FinishProxiedAttempt(attempt.id, attempt.attempt, s.attemptOutcome(entry))
	}
}
