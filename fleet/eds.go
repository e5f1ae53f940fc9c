package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// TypeURL names the resources of EDS.
const TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// Metadata of an endpoint under this filter name: cell (a number) and
// started_ms (its process's start, milliseconds of Unix time).
const Metadata = "yardcleat"

// Options is what Watch needs.
type Options struct {
	Network network.Network
	Address string // of the management server
	Cluster string
	NodeID  string
	File    string // where the last good list is remembered; "": nowhere
	Log     *slog.Logger
	Deliver func(kind policy.EndpointUpdateKind, list []node.Endpoint)
}

// Watch delivers the remembered list, then every list that the management
// server sends, until the context ends. A list that is not good is answered by
// a NACK and changes nothing; a lost stream is opened again.
func Watch(ctx context.Context, o Options) error {
	if o.File != "" {
		list, err := LoadCache(o.File)
		if err != nil {
			o.Log.Warn("the remembered server list is left aside", "error", err)
		} else if list != nil {
			o.Log.Info("server list remembered", "servers", len(list))
			o.Deliver(policy.CachedUpdate, list)
		}
	}
	cc, err := grpc.NewClient("passthrough:///"+o.Address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return o.Network.Dial(ctx, addr) }),
		grpc.WithDisableServiceConfig())
	if err != nil {
		return err
	}
	defer cc.Close()
	const again = 500 * time.Millisecond
	for {
		err := stream(ctx, edsv3.NewEndpointDiscoveryServiceClient(cc), &o)
		if ctx.Err() != nil {
			return nil
		}
		o.Log.Warn("discovery stream ended; the last list is kept", "error", err)
		select {
		case <-time.After(again):
		case <-ctx.Done():
			return nil
		}
	}
}

// stream follows one stream of the state-of-the-world protocol.
func stream(ctx context.Context, eds edsv3.EndpointDiscoveryServiceClient, o *Options) error {
	s, err := eds.StreamEndpoints(ctx)
	if err != nil {
		return err
	}
	req := &discoveryv3.DiscoveryRequest{TypeUrl: TypeURL, ResourceNames: []string{o.Cluster},
		Node: &corev3.Node{Id: o.NodeID, Cluster: "yardcleat"}}
	for {
		if err := s.Send(req); err != nil {
			return err
		}
		resp, err := s.Recv()
		if err != nil {
			return err
		}
		req.ResponseNonce, req.ErrorDetail = resp.GetNonce(), nil
		list, found, err := read(resp, o.Cluster)
		switch {
		case err != nil:
			o.Log.Error("server list refused; the last one is kept", "version", resp.GetVersionInfo(), "error", err)
			req.ErrorDetail = &rpc.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
			continue
		case found:
			o.Deliver(policy.SnapshotUpdate, list)
			o.Log.Info("server list", "version", resp.GetVersionInfo(), "servers", len(list))
			if o.File != "" {
				if err := SaveCache(o.File, list); err != nil {
					o.Log.Warn("the server list can't be remembered", "error", err)
				}
			}
		}
		req.VersionInfo = resp.GetVersionInfo()
	}
}

// read makes a list of a response. An EDS response need not hold all resources:
// without this cluster it changes nothing.
func read(resp *discoveryv3.DiscoveryResponse, cluster string) (list []node.Endpoint, found bool, err error) {
	if resp.GetTypeUrl() != TypeURL {
		return nil, false, fmt.Errorf("resources of type %q", resp.GetTypeUrl())
	}
	for _, any := range resp.GetResources() {
		var cla endpointv3.ClusterLoadAssignment
		if err := any.UnmarshalTo(&cla); err != nil {
			return nil, false, err
		}
		if cla.GetClusterName() != cluster {
			continue
		}
		found = true
		for _, group := range cla.GetEndpoints() {
			for _, e := range group.GetLbEndpoints() {
				s, err := endpoint(e, group.GetLocality().GetZone())
				if err != nil {
					return nil, false, err
				}
				list = append(list, s)
			}
		}
	}
	return list, found, distinct(list)
}

func endpoint(e *endpointv3.LbEndpoint, zone string) (node.Endpoint, error) {
	a := e.GetEndpoint().GetAddress().GetSocketAddress()
	if a.GetAddress() == "" || a.GetPortValue() == 0 || a.GetPortValue() > 65535 {
		return node.Endpoint{}, fmt.Errorf("endpoint without an address and a port: %v", e.GetEndpoint())
	}
	address := net.JoinHostPort(a.GetAddress(), strconv.Itoa(int(a.GetPortValue())))
	s := node.Endpoint{Address: address, Server: policy.Server{ID: ID(address), Zone: zone, Weight: 1}}
	if w := e.GetLoadBalancingWeight(); w != nil {
		if w.GetValue() == 0 {
			return s, fmt.Errorf("endpoint %s: weight 0", address)
		}
		s.Weight = float64(w.GetValue())
	}
	switch e.GetHealthStatus() {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DEGRADED:
	default: // draining, or said not to be well: nothing new goes there
		s.State = policy.Draining
	}
	fields := e.GetMetadata().GetFilterMetadata()[Metadata].GetFields()
	if v, ok := fields["cell"]; ok {
		s.Cell = int(v.GetNumberValue())
	}
	if v, ok := fields["started_ms"]; ok {
		s.StartTime = time.UnixMilli(int64(v.GetNumberValue()))
	}
	return s, nil
}
