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

// TypeURL is the type of the resources of EDS.
const TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// Metadata is the filter name of the metadata that an endpoint may have: cell (a number) and
// started_ms (the start of its process, milliseconds of Unix time).
const Metadata = "yardcleat"

// reconnectDelay is the time between the end of a stream and the next attempt to open one.
const reconnectDelay = 500 * time.Millisecond

// Options configures Watch. All fields but CachePath are required.
type Options struct {
	// Network is used to dial the management server.
	Network network.Network
	// Address of the management server, as host:port.
	Address string
	// Cluster is the name of the cluster whose endpoints are watched.
	Cluster string
	// NodeID identifies this node to the management server.
	NodeID string
	// CachePath is the file that holds the last valid list. "": the list is not cached.
	CachePath string
	// Log receives the log lines of discovery.
	Log *slog.Logger
	// Deliver is called with each list, sorted by address, from the goroutine that runs Watch.
	// It may keep and change the list. It must not block for long, since no further list is
	// read meanwhile.
	Deliver func(kind policy.EndpointUpdateKind, list []node.Endpoint)
}

// Watch delivers the cached list, then every list that the management server sends, until the
// context ends. It answers an invalid list with a NACK and keeps the current one. After a stream
// has ended, it waits for reconnectDelay and opens a new one. It returns an error if the client of
// the server can't be created or closed.
func Watch(ctx context.Context, o Options) error {
	o.deliverCached()
	conn, err := o.dial()
	if err != nil {
		return err
	}
	o.followStreams(ctx, edsv3.NewEndpointDiscoveryServiceClient(conn))
	return conn.Close()
}

// deliverCached delivers the list that an earlier process has cached, if there is one.
func (o *Options) deliverCached() {
	if o.CachePath == "" {
		return
	}
	list, err := LoadCache(o.CachePath)
	if err != nil {
		o.Log.Warn("cached endpoint list unusable; starting without it", "error", err)
		return
	}
	if list == nil {
		return
	}
	o.Log.Info("cached endpoint list loaded", "endpoints", len(list))
	o.Deliver(policy.CachedUpdate, list)
}

// dial returns a client of the management server. It does not wait for a connection.
func (o *Options) dial() (*grpc.ClientConn, error) {
	dialer := func(ctx context.Context, address string) (net.Conn, error) { return o.Network.Dial(ctx, address) }
	return grpc.NewClient("passthrough:///"+o.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer),
		grpc.WithDisableServiceConfig())
}

// followStreams follows one stream after the other until the context ends.
func (o *Options) followStreams(ctx context.Context, client edsv3.EndpointDiscoveryServiceClient) {
	for {
		err := o.followStream(ctx, client)
		if ctx.Err() != nil {
			return
		}
		o.Log.Warn("discovery stream ended; keeping the current endpoint list and reconnecting", "error", err)
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
			return
		}
	}
}

// followStream follows one stream of the state-of-the-world protocol until it ends. Each request
// acknowledges the previous response with its version, or rejects it (NACK) with an error and the
// last accepted version.
func (o *Options) followStream(ctx context.Context, client edsv3.EndpointDiscoveryServiceClient) error {
	stream, err := client.StreamEndpoints(ctx)
	if err != nil {
		return err
	}
	request := &discoveryv3.DiscoveryRequest{
		TypeUrl:       TypeURL,
		ResourceNames: []string{o.Cluster},
		Node:          &corev3.Node{Id: o.NodeID, Cluster: "yardcleat"},
	}
	for {
		if err := stream.Send(request); err != nil {
			return err
		}
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		request.ResponseNonce = response.GetNonce()
		request.ErrorDetail = nil
		if err := o.handleResponse(response); err != nil {
			request.ErrorDetail = &rpc.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
			continue
		}
		request.VersionInfo = response.GetVersionInfo()
	}
}

// handleResponse delivers the list of a response and caches it. It returns an error if the
// response is invalid. A list that can't be cached is used nevertheless.
func (o *Options) handleResponse(response *discoveryv3.DiscoveryResponse) error {
	list, found, err := parseResponse(response, o.Cluster)
	if err != nil {
		o.Log.Error("endpoint list rejected; keeping the current one", "version", response.GetVersionInfo(), "error", err)
		return err
	}
	if !found {
		return nil
	}
	o.Deliver(policy.SnapshotUpdate, list)
	o.Log.Info("endpoint list updated", "version", response.GetVersionInfo(), "endpoints", len(list))
	if o.CachePath == "" {
		return nil
	}
	if err := SaveCache(o.CachePath, list); err != nil {
		o.Log.Warn("caching the endpoint list failed", "error", err)
	}
	return nil
}

// parseResponse returns the endpoint list of a response. An EDS response need not contain all
// resources: found is false if it does not contain the cluster, and the current list stays.
func parseResponse(response *discoveryv3.DiscoveryResponse, cluster string) (list []node.Endpoint, found bool, err error) {
	if response.GetTypeUrl() != TypeURL {
		return nil, false, fmt.Errorf("resources of type %q", response.GetTypeUrl())
	}
	for _, resource := range response.GetResources() {
		var assignment endpointv3.ClusterLoadAssignment
		if err := resource.UnmarshalTo(&assignment); err != nil {
			return nil, false, err
		}
		if assignment.GetClusterName() != cluster {
			continue
		}
		found = true
		if list, err = appendEndpoints(list, &assignment); err != nil {
			return nil, false, err
		}
	}
	return list, found, sortUnique(list)
}

// appendEndpoints appends all endpoints of a cluster to a list.
func appendEndpoints(list []node.Endpoint, assignment *endpointv3.ClusterLoadAssignment) ([]node.Endpoint, error) {
	for _, group := range assignment.GetEndpoints() {
		for _, e := range group.GetLbEndpoints() {
			parsed, err := parseEndpoint(e, group.GetLocality().GetZone())
			if err != nil {
				return nil, err
			}
			list = append(list, parsed)
		}
	}
	return list, nil
}

// parseEndpoint converts one endpoint. The default weight is 1; unknown metadata is ignored.
func parseEndpoint(e *endpointv3.LbEndpoint, zone string) (node.Endpoint, error) {
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
	default: // draining or unhealthy: no new attempts are sent to it
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
