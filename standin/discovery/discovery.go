// Package discovery is a fake xDS management server: it serves the endpoints of one cluster by EDS,
// pushes changes after a delay and can inject faults.
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
	Weight   uint32 // 0: not sent
	Draining bool
	Started  time.Time // zero: not sent
}

// Server is the management server.
type Server struct {
	edsv3.UnimplementedEndpointDiscoveryServiceServer
	grpcServer   *grpc.Server
	cluster      string
	pushDelay    time.Duration
	recordUpdate func(audit.EndpointUpdate)

	mu          sync.Mutex
	version     int
	endpoints   []Endpoint
	changed     chan struct{} // closed when the endpoints or the faults change
	nacks       []string
	holdUpdates bool          // holds updates back
	sendInvalid bool          // sends an invalid list before each update
	streamsCut  chan struct{} // closed to end all streams
}

// New returns a server for one cluster. Changes reach the nodes after pushDelay; recordUpdate, if not
// nil, is called with the state of each endpoint in each update to a node.
func New(cluster string, pushDelay time.Duration, recordUpdate func(audit.EndpointUpdate)) *Server {
	s := &Server{grpcServer: grpc.NewServer(), cluster: cluster, pushDelay: pushDelay, recordUpdate: recordUpdate, changed: make(chan struct{}), streamsCut: make(chan struct{})}
	edsv3.RegisterEndpointDiscoveryServiceServer(s.grpcServer, s)
	return s
}

// Serve accepts connections on l until Kill is called.
func (s *Server) Serve(l net.Listener) error { return s.grpcServer.Serve(l) }

// Kill stops the server immediately and closes its connections.
func (s *Server) Kill() { s.grpcServer.Stop() }

// SetEndpoints replaces the endpoint list.
func (s *Server) SetEndpoints(list []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.endpoints = slices.Clone(list)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Nacks returns the error messages with which nodes rejected lists.
func (s *Server) Nacks() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nacks)
}

// InjectFault sets a fault: silent (holds updates back until ok), bad (from then on sends an invalid
// list before each update), or cut (ends all streams once). Fault ok ends silent.
func (s *Server) InjectFault(fault string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault {
	case "ok", "silent":
		s.holdUpdates = fault == "silent"
	case "bad":
		s.sendInvalid = true
	case "cut":
		close(s.streamsCut)
		s.streamsCut = make(chan struct{})
	default:
		return fmt.Errorf("unknown fault %q: must be one of ok, silent, bad, cut", fault)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// state returns the current list, the channels that signal changes and the end of streams, and
// whether to send invalid lists.
func (s *Server) state() (version int, list []Endpoint, changed, streamsCut chan struct{}, sendInvalid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.endpoints, s.changed, s.streamsCut, s.sendInvalid
}

// waitUntilReleased waits while updates are held back. It returns false if the stream ended.
func (s *Server) waitUntilReleased(streamEnded, streamsCut chan struct{}) bool {
	for {
		s.mu.Lock()
		holdUpdates, changed := s.holdUpdates, s.changed
		s.mu.Unlock()
		if !holdUpdates {
			return true
		}
		select {
		case <-changed:
		case <-streamEnded:
			return false
		case <-streamsCut:
			return false
		}
	}
}

// StreamEndpoints sends the endpoint list, and sends it again after each change.
func (s *Server) StreamEndpoints(stream edsv3.EndpointDiscoveryService_StreamEndpointsServer) error {
	req, err := stream.Recv()
	if err != nil {
		return err
	}
	node, _ := strconv.Atoi(strings.TrimPrefix(req.GetNode().GetId(), "node-"))
	streamEnded := make(chan struct{})
	go func() {
		defer close(streamEnded)
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
	var previous []Endpoint
	for {
		if _, _, _, streamsCut, _ := s.state(); !s.waitUntilReleased(streamEnded, streamsCut) {
			return nil
		}
		version, list, changed, streamsCut, sendInvalid := s.state()
		if sendInvalid {
			// Port 0 makes the list invalid. Nodes must reject it, so it is not recorded.
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
			s.recordUpdates(node, previous, list)
			if err := stream.Send(resp); err != nil {
				return err
			}
			previous = list
		}
		select {
		case <-changed:
		case <-streamEnded:
			return nil
		case <-streamsCut:
			return nil
		}
		select {
		case <-time.After(s.pushDelay):
		case <-streamEnded:
			return nil
		case <-streamsCut:
			return nil
		}
	}
}

// recordUpdates records the state of each endpoint in an update to a node, and the endpoints that
// it removes.
func (s *Server) recordUpdates(node int, previous, list []Endpoint) {
	if s.recordUpdate == nil {
		return
	}
	now := time.Now()
	for _, e := range list {
		s.recordUpdate(audit.EndpointUpdate{Node: node, Server: e.Name, At: now, Unavailable: e.Draining})
	}
	for _, old := range previous {
		if !slices.ContainsFunc(list, func(e Endpoint) bool { return e.Name == old.Name }) {
			s.recordUpdate(audit.EndpointUpdate{Node: node, Server: old.Name, At: now, Unavailable: true})
		}
	}
}

// response returns the discovery response for a list.
func (s *Server) response(version int, list []Endpoint) (*discoveryv3.DiscoveryResponse, error) {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: s.cluster}
	for _, e := range list {
		host, port, err := net.SplitHostPort(e.Address)
		if err != nil {
			return nil, err
		}
		portNumber, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			return nil, err
		}
		fields := map[string]any{"cell": float64(e.Cell)}
		if !e.Started.IsZero() {
			fields["started_ms"] = float64(e.Started.UnixMilli())
		}
		metadata, err := structpb.NewStruct(fields)
		if err != nil {
			return nil, err
		}
		endpoint := &endpointv3.LbEndpoint{
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{fleet.Metadata: metadata}},
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
				Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
					PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(portNumber)}}}}}}}
		if e.Weight > 0 {
			endpoint.LoadBalancingWeight = wrapperspb.UInt32(e.Weight)
		}
		if e.Draining {
			endpoint.HealthStatus = corev3.HealthStatus_DRAINING
		}
		assignment.Endpoints = append(assignment.Endpoints, &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: e.Zone},
			LbEndpoints: []*endpointv3.LbEndpoint{endpoint}})
	}
	any, err := anypb.New(assignment)
	if err != nil {
		return nil, err
	}
	versionText := strconv.Itoa(version)
	return &discoveryv3.DiscoveryResponse{VersionInfo: versionText, Nonce: versionText, TypeUrl: fleet.TypeURL, Resources: []*anypb.Any{any}}, nil
}
