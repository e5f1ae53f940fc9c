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
func (e *Edge) useCachedEndpoints(cached discovery.List) {
	if len(cached.Endpoints) == 0 {
		return
	}
	e.listHistory.RecordCached(cached)
	e.applyEndpoints(discovery.List{Endpoints: cached.Endpoints}, true)
	timer := time.AfterFunc(cachedListDelay, func() { e.hasEndpoints.Store(true) })
	e.closers.Add(func() { timer.Stop() })
}

// applyWatchedList applies an endpoint list from the discovery watch.
func (e *Edge) applyWatchedList(l discovery.List) { e.applyEndpoints(l, false) }

// applyEndpoints applies a snapshot or a delta of the endpoint list.
func (e *Edge) applyEndpoints(l discovery.List, cached bool) {
	e.endpointsMutex.Lock()
	defer e.endpointsMutex.Unlock()
	if !cached {
		l = e.listHistory.Admit(l, time.Now())
	}
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
	moves := make(chan string)
	options := discovery.Options{
		Network: e.network,
		Address: address,
		Moves:   moves,
		Log:     e.logger,
		Deliver: e.applyWatchedList,
	}
	e.watchMutex.Lock()
	defer e.watchMutex.Unlock()
	e.discoveryAddress = address
	e.discoveryMoves = moves
	e.cancelWatch = background.Go(ctx, func(ctx context.Context) { discovery.Watch(ctx, options) })
	e.closers.Add(e.stopWatch)
}

// stopWatch stops the discovery watch and waits until it has ended.
func (e *Edge) stopWatch() {
	e.watchMutex.Lock()
	defer e.watchMutex.Unlock()
	e.discoveryAddress = ""
	e.cancelWatch()
}

// Reload applies the only setting that may change while the node runs: the address of
// discovery. The watch goes on at the new address; responses of the previous one are still
// accepted until the new one has answered. After the node has ended Reload does nothing.
func (e *Edge) Reload(cfg *Config) {
	e.watchMutex.Lock()
	defer e.watchMutex.Unlock()
	ended := e.discoveryAddress == ""
	if ended || cfg.Discovery == e.discoveryAddress {
		return
	}
	e.logger.Info("discovery address changed", "from", e.discoveryAddress, "to", cfg.Discovery)
	e.discoveryAddress = cfg.Discovery
	e.discoveryMoves <- cfg.Discovery
}
