// Package discovery is a small stand-in for an xDS management server: EDS for
// one cluster, pushed late to every node that asks.
package discovery

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/fleet"
)

// Endpoint is one server of the cluster.
type Endpoint struct {
	Name     string
	Address  string
	Zone     string
	Cell     int
	Weight   uint32 // 0: not told
	Draining bool
	Started  time.Time // zero: not told
}

// Server is the management server.
type Server struct {
	edsv3.UnimplementedEndpointDiscoveryServiceServer
	gs      *grpc.Server
	cluster string
	late    time.Duration
	told    func(audit.Told)

	mu      sync.Mutex
	version int
	list    []Endpoint
	changed chan struct{} // closed at a change
	nacks   []string
	silent  bool          // changes are held back
	bad     bool          // a list that can't be meant goes before each
	cut     chan struct{} // closed when streams are to end
}

// New returns a server for one cluster. Changes reach the nodes late; told
// is called with what each node was told.
func New(cluster string, late time.Duration, told func(audit.Told)) *Server {
	s := &Server{gs: grpc.NewServer(), cluster: cluster, late: late, told: told, changed: make(chan struct{}), cut: make(chan struct{})}
	edsv3.RegisterEndpointDiscoveryServiceServer(s.gs, s)
	return s
}

// Serve serves until Kill.
func (s *Server) Serve(l net.Listener) error { return s.gs.Serve(l) }

// Kill ends the server and its connections at once.
func (s *Server) Kill() { s.gs.Stop() }

// SetEndpoints replaces the list.
func (s *Server) SetEndpoints(list []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.list = slices.Clone(list)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Nacks is what nodes refused lists for.
func (s *Server) Nacks() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nacks)
}

// InjectFault sets a fault: silent (changes are held back until ok), bad (from then on a
// list that can't be meant goes before each), cut (all streams end), or ok.
func (s *Server) InjectFault(fault string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault {
	case "ok", "silent":
		s.silent = fault == "silent"
	case "bad":
		s.bad = true
	case "cut":
		close(s.cut)
		s.cut = make(chan struct{})
	default:
		return fmt.Errorf("fault %q: one of ok, silent, bad, cut is needed", fault)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *Server) state() (version int, list []Endpoint, changed, cut chan struct{}, bad bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.list, s.changed, s.cut, s.bad
}

// heard waits until changes are not held back; false where the stream ended.
func (s *Server) heard(gone, cut chan struct{}) bool {
	for {
		s.mu.Lock()
		silent, changed := s.silent, s.changed
		s.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-gone:
			return false
		case <-cut:
			return false
		}
	}
}

// StreamEndpoints sends the list, and again when it has changed.
func (s *Server) StreamEndpoints(stream edsv3.EndpointDiscoveryService_StreamEndpointsServer) error {
	req, err := stream.Recv()
	if err != nil {
		return err
	}
	node, _ := strconv.Atoi(strings.TrimPrefix(req.GetNode().GetId(), "node-"))
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for {
			req, err := stream.Recv()
			if err != nil {
				return
			}
			if req.GetErrorDetail() != nil {
				s.mu.Lock()
				s.nacks = append(s.nacks, req.GetErrorDetail().GetMessage())
				s.mu.Unlock()
			}
		}
	}()
	var last []Endpoint
	for {
		if _, _, _, cut, _ := s.state(); !s.heard(gone, cut) {
			return nil
		}
		version, list, changed, cut, bad := s.state()
		if bad {
			// An endpoint without a port. What a node refuses tells it nothing.
			resp, err := s.response(version, []Endpoint{{Name: "nowhere", Address: "127.0.0.1:0"}})
			if err != nil {
				return err
			}
			if err := stream.Send(resp); err != nil {
				return err
			}
		}
		resp, err := s.response(version, list)
		if err != nil {
			return err
		}
		if version > 0 {
			s.tell(node, last, list)
			if err := stream.Send(resp); err != nil {
				return err
			}
			last = list
		}
		select {
		case <-changed:
		case <-gone:
			return nil
		case <-cut:
			return nil
		}
		select {
		case <-time.After(s.late):
		case <-gone:
			return nil
		case <-cut:
			return nil
		}
	}
}

// tell records what a push tells a node.
func (s *Server) tell(node int, last, list []Endpoint) {
	if s.told == nil {
		return
	}
	now := time.Now()
	for _, e := range list {
		s.told(audit.Told{Node: node, Server: e.Name, At: now, Down: e.Draining})
	}
	for _, old := range last {
		if !slices.ContainsFunc(list, func(e Endpoint) bool { return e.Name == old.Name }) {
			s.told(audit.Told{Node: node, Server: old.Name, At: now, Down: true})
		}
	}
}

func (s *Server) response(version int, list []Endpoint) (*discoveryv3.DiscoveryResponse, error) {
	cla := &endpointv3.ClusterLoadAssignment{ClusterName: s.cluster}
	for _, e := range list {
		host, port, err := net.SplitHostPort(e.Address)
		if err != nil {
			return nil, err
		}
		n, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			return nil, err
		}
		fields := map[string]any{"cell": float64(e.Cell)}
		if !e.Started.IsZero() {
			fields["started_ms"] = float64(e.Started.UnixMilli())
		}
		meta, err := structpb.NewStruct(fields)
		if err != nil {
			return nil, err
		}
		lb := &endpointv3.LbEndpoint{
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{fleet.Metadata: meta}},
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
				Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
					PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}}}}
		if e.Weight > 0 {
			lb.LoadBalancingWeight = wrapperspb.UInt32(e.Weight)
		}
		if e.Draining {
			lb.HealthStatus = corev3.HealthStatus_DRAINING
		}
		cla.Endpoints = append(cla.Endpoints, &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: e.Zone},
			LbEndpoints: []*endpointv3.LbEndpoint{lb}})
	}
	any, err := anypb.New(cla)
	if err != nil {
		return nil, err
	}
	v := strconv.Itoa(version)
	return &discoveryv3.DiscoveryResponse{VersionInfo: v, Nonce: v, TypeUrl: fleet.TypeURL, Resources: []*anypb.Any{any}}, nil
}
