// Package authoriser is a small stand-in for an external authorisation service:
// envoy.service.auth.v3.Authorization over gRPC, with faults on demand.
package authoriser

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
)

// Server allows every request but those of the customers it denies.
type Server struct {
	authv3.UnimplementedAuthorizationServer
	gs *grpc.Server
	// CheckOverride answers in place of the rules, where it is set before Serve.
	CheckOverride func(*authv3.CheckRequest) *authv3.CheckResponse

	mu     sync.Mutex
	denied map[string]bool
	slow   time.Duration
	silent bool
	checks int
}

// New returns a server that denies some customers.
func New(denied ...string) *Server {
	s := &Server{gs: grpc.NewServer(), denied: map[string]bool{}}
	for _, c := range denied {
		s.denied[c] = true
	}
	authv3.RegisterAuthorizationServer(s.gs, s)
	return s
}

// Serve serves until Kill.
func (s *Server) Serve(l net.Listener) error { return s.gs.Serve(l) }

// Kill ends the server and its connections at once.
func (s *Server) Kill() { s.gs.Stop() }

// CheckCount is the number of CheckCount received.
func (s *Server) CheckCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checks
}

// InjectFault sets a fault: silent, slow (a duration), deny (a customer) or ok.
func (s *Server) InjectFault(fault, arg string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault {
	case "ok":
		s.slow, s.silent = 0, false
	case "silent":
		s.silent = true
	case "slow":
		d, err := time.ParseDuration(arg)
		if err != nil {
			return fmt.Errorf("slow: %w", err)
		}
		s.slow = d
	case "deny":
		s.denied[arg] = true
	default:
		return fmt.Errorf("fault %q: one of ok, silent, slow, deny is needed", fault)
	}
	return nil
}

// Check answers one request.
func (s *Server) Check(ctx context.Context, req *authv3.CheckRequest) (*authv3.CheckResponse, error) {
	customer := req.GetAttributes().GetContextExtensions()["customer"]
	s.mu.Lock()
	s.checks++
	slow, silent, denied := s.slow, s.silent, s.denied[customer]
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(slow):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.CheckOverride != nil {
		return s.CheckOverride(req), nil
	}
	if denied {
		return &authv3.CheckResponse{Status: &rpc.Status{Code: int32(codes.PermissionDenied)},
			HttpResponse: &authv3.CheckResponse_DeniedResponse{DeniedResponse: &authv3.DeniedHttpResponse{
				Status:  &typev3.HttpStatus{Code: typev3.StatusCode_Forbidden},
				Headers: []*corev3.HeaderValueOption{header("x-denied-by", "authoriser")},
				Body:    "no right to " + strings.ToLower(req.GetAttributes().GetRequest().GetHttp().GetMethod()) + " this\n"}}}, nil
	}
	return &authv3.CheckResponse{Status: &rpc.Status{Code: int32(codes.OK)},
		HttpResponse: &authv3.CheckResponse_OkResponse{OkResponse: &authv3.OkHttpResponse{
			Headers: []*corev3.HeaderValueOption{header("x-authorised-as", customer)}}}}, nil
}

func header(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: name, Value: value},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}
