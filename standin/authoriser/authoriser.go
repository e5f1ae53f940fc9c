// Package authoriser is a fake external authorization service: it implements
// envoy.service.auth.v3.Authorization over gRPC and can inject faults.
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

// Server allows all requests except those of denied customers.
type Server struct {
	authv3.UnimplementedAuthorizationServer
	grpcServer *grpc.Server
	// CheckOverride, if not nil, makes the responses in place of Server's own rules. It must be
	// set before Serve.
	CheckOverride func(*authv3.CheckRequest) *authv3.CheckResponse

	mu              sync.Mutex
	deniedCustomers map[string]bool
	delay           time.Duration
	unresponsive    bool
	checkCount      int
}

// New returns a server that denies the given customers.
func New(denied ...string) *Server {
	s := &Server{grpcServer: grpc.NewServer(), deniedCustomers: map[string]bool{}}
	for _, customer := range denied {
		s.deniedCustomers[customer] = true
	}
	authv3.RegisterAuthorizationServer(s.grpcServer, s)
	return s
}

// Serve accepts connections on l until Kill is called.
func (s *Server) Serve(l net.Listener) error { return s.grpcServer.Serve(l) }

// Kill stops the server immediately and closes its connections.
func (s *Server) Kill() { s.grpcServer.Stop() }

// CheckCount returns the number of authorization checks received.
func (s *Server) CheckCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkCount
}

// InjectFault sets a fault: silent (sends no responses), slow (delays responses by the duration
// arg), deny (denies the customer arg), or ok (ends silent and slow).
func (s *Server) InjectFault(fault, arg string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault {
	case "ok":
		s.delay, s.unresponsive = 0, false
	case "silent":
		s.unresponsive = true
	case "slow":
		delay, err := time.ParseDuration(arg)
		if err != nil {
			return fmt.Errorf("slow: %w", err)
		}
		s.delay = delay
	case "deny":
		s.deniedCustomers[arg] = true
	default:
		return fmt.Errorf("unknown fault %q: must be one of ok, silent, slow, deny", fault)
	}
	return nil
}

// Check handles one authorization check. An unresponsive server returns only when the context of
// the call ends.
func (s *Server) Check(ctx context.Context, req *authv3.CheckRequest) (*authv3.CheckResponse, error) {
	customer := req.GetAttributes().GetContextExtensions()["customer"]
	s.mu.Lock()
	s.checkCount++
	delay, unresponsive, denied := s.delay, s.unresponsive, s.deniedCustomers[customer]
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(delay):
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
				Headers: []*corev3.HeaderValueOption{overwriteHeader("x-denied-by", "authoriser")},
				Body:    "no right to " + strings.ToLower(req.GetAttributes().GetRequest().GetHttp().GetMethod()) + " this\n"}}}, nil
	}
	return &authv3.CheckResponse{Status: &rpc.Status{Code: int32(codes.OK)},
		HttpResponse: &authv3.CheckResponse_OkResponse{OkResponse: &authv3.OkHttpResponse{
			Headers: []*corev3.HeaderValueOption{overwriteHeader("x-authorised-as", customer)}}}}, nil
}

func overwriteHeader(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: name, Value: value},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}
