package gateway

import (
	"context"
	"fmt"
	"path/filepath"

	"yardcleat.example/yardcleat/fleet"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// endpointCacheFile is the name of a file in the state directory, fixed by the stored format. The
// file contains the last valid endpoint list received from the management server.
const endpointCacheFile = "servers"

// startEndpoints passes the configured endpoint list to the node, or starts a client that receives
// endpoint lists from the management server.
func (g *Gateway) startEndpoints() error {
	s := g.cfg.Servers
	if s.EDSAddress == "" {
		list, err := fleet.Static(s.Static)
		if err != nil {
			return err
		}
		g.updateEndpoints(policy.SnapshotUpdate, list)
		return nil
	}
	options := fleet.Options{
		Network: g.options.Network,
		Address: s.EDSAddress,
		Cluster: s.EDSCluster,
		NodeID:  fmt.Sprintf("node-%d", g.cfg.Number),
		Log:     g.options.Log,
		Deliver: g.updateEndpoints,
	}
	if g.cfg.StateDir != "" {
		options.CachePath = filepath.Join(g.cfg.StateDir, endpointCacheFile)
	}
	g.runUntilClosed(func(ctx context.Context) {
		if err := fleet.Watch(ctx, options); err != nil {
			g.options.Log.Error("endpoint discovery failed", "error", err)
		}
	})
	return nil
}

func (g *Gateway) updateEndpoints(kind policy.EndpointUpdateKind, list []node.Endpoint) {
	if g.options.TransformEndpoints != nil {
		list = g.options.TransformEndpoints(list)
	}
	g.node.UpdateEndpoints(kind, list)
	g.changePhase((*membership.StateMachine).EndpointsReady)
	if g.accepting.Load() { // StartServing had no effect if the listeners opened before the first list arrived
		g.changePhase((*membership.StateMachine).StartServing)
	}
}
