// Package extauthz is the front for proxies: Envoy's ext_authz v3 over gRPC.
// A Check asks whether a request may go and to which server; the proxy makes the
// attempt itself and reports its end by the access log service (ALS).
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

// Fields of an allowed request.
const (
	FieldServer  = "x-envoy-original-dst-host" // where an ORIGINAL_DST cluster sends it
	FieldAttempt = "x-yardcleat-attempt"       // names the attempt; to be logged
	FieldTimeout = "x-envoy-upstream-rq-timeout-ms"
)

// Handler takes tries and is told of their attempts' ends; a *node.Node is one.
type Handler interface {
	Submit(t *node.Request, reply func(node.FinalResponse)) (gone func())
	FinishProxiedAttempt(id policy.RequestID, attempt int, res node.Result)
}

// Options is what a Server is made of.
type Options struct {
	Node            Handler
	Mapper          *intake.Mapper
	Log             *slog.Logger
	TracePrefix     string // begins traces and attempt names; differs for every process
	RejectionSignal upstream.RejectionSignal
}

// Server serves Checks and access logs.
type Server struct {
	authv3.UnimplementedAuthorizationServer
	alsv3.UnimplementedAccessLogServiceServer
	options        Options
	grpcServer     *grpc.Server
	traceCounter   atomic.Uint64
	checksInFlight atomic.Int64 // under way

	mu                 sync.Mutex
	proxiedAttempts    map[string]proxiedAttempt // by trace, for logs that do not name the attempt
	recordedSinceSweep int
}

// proxiedAttempt is an attempt that a proxy was let make.
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

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	err := s.grpcServer.Serve(l)
	if errors.Is(err, grpc.ErrServerStopped) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Drain takes no new calls and lets Checks under way end, until the context does.
// Log streams have no end of their own: they get a moment more for the last lines.
func (s *Server) Drain(ctx context.Context) {
	const logs, look = 200 * time.Millisecond, 5 * time.Millisecond
	go func() {
		for s.checksInFlight.Load() > 0 && ctx.Err() == nil {
			time.Sleep(look)
		}
		select {
		case <-time.After(logs):
		case <-ctx.Done():
		}
		s.grpcServer.Stop()
	}()
	s.grpcServer.GracefulStop()
}

// Check answers whether a request may go, and where to.
func (s *Server) Check(ctx context.Context, req *authv3.CheckRequest) (*authv3.CheckResponse, error) {
	s.checksInFlight.Add(1)
	defer s.checksInFlight.Add(-1)
	call := httpRequestOf(req.GetAttributes().GetRequest().GetHttp())
	trace := s.options.TracePrefix + "-" + strconv.FormatUint(s.traceCounter.Add(1), 36)
	t, early := s.options.Mapper.Admit(call, trace)
	if early != nil {
		s.options.Log.Info("answer", "answer", early.Kind.String(), "trace", t.Trace, "class", t.Class,
			"customer", t.Customer, "reason", string(early.Reason), "detail", early.Detail)
		return s.deniedResponse(t, *early), nil
	}
	if p, ok := peer.FromContext(ctx); ok {
		t.Arrived = pauseclock.ArrivalTimeForAddr(p.Addr)
	}
	if by, ok := ctx.Deadline(); ok {
		// It counts from when the call was read: what the proxy gave it is as much
		// from when it arrived, and no more.
		t.ClientTimeout = min(t.ClientTimeout, time.Until(by))
	}
	t.Proxied = true
	t.ClientAddress, t.LocalAddress = socketAddress(req.GetAttributes().GetSource()), socketAddress(req.GetAttributes().GetDestination())
	answers := make(chan node.FinalResponse, 1)
	gone := s.options.Node.Submit(t, func(a node.FinalResponse) { answers <- a })
	var a node.FinalResponse
	select {
	case a = <-answers:
	case <-ctx.Done():
		gone()
		a = <-answers
	}
	if a.Permit == nil {
		return s.deniedResponse(t, a), nil
	}
	if ctx.Err() != nil {
		// The answer can't arrive: nothing will be sent.
		s.options.Node.FinishProxiedAttempt(a.Permit.ID, a.Permit.Attempt, node.Result{Code: policy.TooLate, Detail: "the proxy left"})
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	s.recordAttempt(t.Trace, proxiedAttempt{a.Permit.ID, a.Permit.Attempt, time.Now().Add(a.Permit.Timeout)})
	return s.okResponse(t, a.Permit), nil
}

func httpRequestOf(h *authv3.AttributeContext_HttpRequest) node.HTTPRequest {
	c := node.HTTPRequest{Method: h.GetMethod(), Target: h.GetPath(), Host: h.GetHost(), Body: []byte(h.GetBody())}
	if len(c.Body) == 0 {
		c.Body = h.GetRawBody()
	}
	for name, value := range h.GetHeaders() {
		if !strings.HasPrefix(name, ":") {
			c.Header.Add(name, value)
		}
	}
	slices.SortFunc(c.Header, func(a, b http1.Field) int { return strings.Compare(a.Name, b.Name) })
	return c
}

// socketAddress is a peer's, as the proxy says; "" where it does not.
func socketAddress(p *authv3.AttributeContext_Peer) string {
	a := p.GetAddress().GetSocketAddress()
	if a.GetAddress() == "" {
		return ""
	}
	return net.JoinHostPort(a.GetAddress(), strconv.Itoa(int(a.GetPortValue())))
}

func (s *Server) okResponse(t *node.Request, g *node.ForwardPermit) *authv3.CheckResponse {
	by := &g.Authorization
	ok := &authv3.OkHttpResponse{HeadersToRemove: append(slices.Clone(by.RemoveHeaders), s.options.Mapper.KeyHeader()),
		QueryParametersToRemove: by.RemoveQuery}
	for _, f := range by.SetHeaders {
		ok.Headers = append(ok.Headers, setHeader(f.Name, f.Value))
	}
	for _, f := range by.AppendHeaders {
		o := setHeader(f.Name, f.Value)
		o.Append, o.AppendAction = wrapperspb.Bool(true), corev3.HeaderValueOption_APPEND_IF_EXISTS_OR_ADD
		ok.Headers = append(ok.Headers, o)
	}
	for _, f := range by.SetQuery {
		ok.QueryParametersToSet = append(ok.QueryParametersToSet, &corev3.QueryParameter{Key: f.Name, Value: f.Value})
	}
	for _, f := range by.ResponseHeaders {
		ok.ResponseHeadersToAdd = append(ok.ResponseHeadersToAdd, setHeader(f.Name, f.Value))
	}
	ok.Headers = append(ok.Headers, setHeader(FieldServer, g.Server), setHeader(FieldAttempt, s.attemptToken(g)),
		setHeader(FieldTimeout, strconv.FormatInt(max(1, g.Timeout.Milliseconds()), 10)),
		setHeader("x-request-id", t.Trace))
	return &authv3.CheckResponse{Status: &rpc.Status{Code: int32(codes.OK)},
		HttpResponse: &authv3.CheckResponse_OkResponse{OkResponse: ok}}
}

func (s *Server) deniedResponse(t *node.Request, a node.FinalResponse) *authv3.CheckResponse {
	res := s.options.Mapper.Render(t, a)
	d := &authv3.DeniedHttpResponse{Status: &typev3.HttpStatus{Code: typev3.StatusCode(res.Status)}, Body: string(res.Body)}
	for _, f := range res.Header {
		d.Headers = append(d.Headers, setHeader(f.Name, f.Value))
	}
	code := codes.PermissionDenied
	if a.Kind == node.Failed {
		code = codes.Unavailable
	}
	return &authv3.CheckResponse{Status: &rpc.Status{Code: int32(code), Message: string(a.Reason)},
		HttpResponse: &authv3.CheckResponse_DeniedResponse{DeniedResponse: d}}
}

func setHeader(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: strings.ToLower(name), Value: value},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}

// attemptToken names an attempt of this process; parse reads it back.
func (s *Server) attemptToken(g *node.ForwardPermit) string {
	return fmt.Sprintf("%s/%d/%d", s.options.TracePrefix, g.ID, g.Attempt)
}

func (s *Server) parseAttemptToken(token string) (p proxiedAttempt, ok bool) {
	rest, ok := strings.CutPrefix(token, s.options.TracePrefix+"/")
	if !ok {
		return p, false // of another node, or of this one before a restart
	}
	id, attempt, _ := strings.Cut(rest, "/")
	n, err := strconv.ParseUint(id, 10, 64)
	k, err2 := strconv.Atoi(attempt)
	return proxiedAttempt{id: policy.RequestID(n), attempt: k}, err == nil && err2 == nil
}

// recordAttempt remembers an attempt by its trace until its time-out.
func (s *Server) recordAttempt(trace string, p proxiedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxiedAttempts[trace] = p
	if s.recordedSinceSweep++; s.recordedSinceSweep > len(s.proxiedAttempts) {
		s.recordedSinceSweep = 0
		now := time.Now()
		for t, p := range s.proxiedAttempts {
			if now.After(p.expiry) {
				delete(s.proxiedAttempts, t)
			}
		}
	}
}

// StreamAccessLogs ends attempts. Lines for attempts that have ended, and lines
// of requests that were never let pass, change nothing.
func (s *Server) StreamAccessLogs(stream grpc.ClientStreamingServer[alsv3.StreamAccessLogsMessage,
	alsv3.StreamAccessLogsResponse]) error {
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&alsv3.StreamAccessLogsResponse{})
		}
		if err != nil {
			return err
		}
		for _, e := range m.GetHttpLogs().GetLogEntry() {
			s.finishAttempt(e)
		}
	}
}

func (s *Server) finishAttempt(e *datav3.HTTPAccessLogEntry) {
	trace := e.GetRequest().GetRequestId()
	p, ok := s.parseAttemptToken(e.GetRequest().GetRequestHeaders()[FieldAttempt])
	s.mu.Lock()
	if byTrace, have := s.proxiedAttempts[trace]; have && (!ok || byTrace.id == p.id) {
		p, ok = byTrace, true
		delete(s.proxiedAttempts, trace)
	}
	s.mu.Unlock()
	if ok {
		s.options.Node.FinishProxiedAttempt(p.id, p.attempt, s.attemptOutcome(e))
	}
}
