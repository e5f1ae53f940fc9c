package edgenode

import (
	"context"
	"time"

	"yardcleat.example/yardcleat/edgenode/discovery"
	"yardcleat.example/yardcleat/internal/background"
	"yardcleat.example/yardcleat/policy"
)

// useCachedEndpoints applies the endpoint list of an earlier run. The node becomes ready with
// it only after cachedListDelay, because discovery may return a newer list by then.
func (e *Edge) useCachedEndpoints(cached []discovery.Endpoint) {
	if len(cached) == 0 {
		return
	}
	e.applyEndpoints(discovery.List{Endpoints: cached}, true)
	timer := time.AfterFunc(cachedListDelay, func() { e.hasEndpoints.Store(true) })
	e.closers.Add(func() { timer.Stop() })
}

// applyWatchedList applies an endpoint list from the discovery watch.
func (e *Edge) applyWatchedList(l discovery.List) { e.applyEndpoints(l, false) }

// applyEndpoints applies a snapshot or a delta of the endpoint list.
func (e *Edge) applyEndpoints(l discovery.List, cached bool) {
	e.endpointsMutex.Lock()
	defer e.endpointsMutex.Unlock()
	update := e.endpoints.Apply(l, cached)
	if update.Kind != policy.DeltaUpdate || len(update.Servers) > 0 {
		e.node.UpdateEndpoints(update.Kind, update.Servers)
	}
	for _, key := range update.ConnectionsToClose {
		e.pool.CloseIdle(key)
	}
	if update.Kind == policy.SnapshotUpdate {
		e.hasEndpoints.Store(true)
	}
}

// startWatch starts the discovery watch, which runs until the node is closed.
func (e *Edge) startWatch(ctx context.Context, address string) {
	e.watchDiscovery(ctx, address)
	e.closers.Add(func() { e.watchDiscovery(ctx, "") })
}

// watchDiscovery stops the discovery watch, waits until it has ended, and starts one at the
// given address; "" starts none.
func (e *Edge) watchDiscovery(ctx context.Context, address string) {
	e.watchMutex.Lock()
	defer e.watchMutex.Unlock()
	e.watchDiscoveryLocked(ctx, address)
}

func (e *Edge) watchDiscoveryLocked(ctx context.Context, address string) {
	if e.stopWatch != nil {
		e.stopWatch()
		e.stopWatch = nil
	}
	e.discoveryAddress = address
	if address == "" {
		return
	}
	options := discovery.Options{
		Network: e.network,
		Address: address,
		Log:     e.logger,
		Deliver: e.applyWatchedList,
	}
	e.stopWatch = background.Go(ctx, func(ctx context.Context) { discovery.Watch(ctx, options) })
}

// Reload applies the only setting that may change while the node runs: the address of
// discovery. It waits for the previous watch to end. After the node has ended it does nothing.
func (e *Edge) Reload(ctx context.Context, cfg *Config) {
	e.watchMutex.Lock()
	defer e.watchMutex.Unlock()
	ended := e.discoveryAddress == ""
	if ended || cfg.Discovery == e.discoveryAddress {
		return
	}
	e.logger.Info("discovery address changed", "from", e.discoveryAddress, "to", cfg.Discovery)
	e.watchDiscoveryLocked(ctx, cfg.Discovery)
}
