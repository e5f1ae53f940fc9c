package edgenode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/edgenode/discovery"
	"yardcleat.example/yardcleat/edgenode/protocol"
	fronthttp "yardcleat.example/yardcleat/front/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/peer"
	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/upstream"
)

// Edge is a running edge node.
type Edge struct {
	network      network.Network
	logger       *slog.Logger
	node         *node.Node
	pool         *upstream.Pool
	front        *fronthttp.Server
	listener     net.Listener
	serving      sync.WaitGroup
	closers      []func()
	hasEndpoints atomic.Bool // a list of servers is held
	draining     atomic.Bool // it is on its way out

	classes []policy.Class

	mu        sync.Mutex
	openIDs   map[string]bool // ids of requests that something is still done for
	endpoints *discovery.EndpointTable

	watchMutex       sync.Mutex // over the next two
	stopWatch        func()     // ends the watch of discovery
	discoveryAddress string     // discovery's address
}

// Start starts an edge node. What was opened is closed where it fails.
func Start(cfg *Config, n network.Network, log *slog.Logger) (e *Edge, err error) {
	seed, err := cfg.seed()
	if err != nil {
		return nil, err
	}
	base := time.Now()
	rules := pause.Default()
	clock := pauseclock.New(base, n, rules)
	e = &Edge{network: clock.Watched(n), logger: log, classes: cfg.Policy.Classes, openIDs: map[string]bool{}, endpoints: discovery.NewEndpointTable()}
	e.closers = append(e.closers, clock.Close)
	defer func() {
		if err != nil {
			e.close()
		}
	}()
	b := divideResources(cfg.Limits)
	e.pool = upstream.New(upstream.Options{Network: e.network, ConnectTime: cfg.DialTimeout, Idle: b.maxServerConnections, Most: b.maxServerConnections,
		IdleTime: time.Duration(serverIdleFraction * float64(cfg.ServerIdleTimeout)), Patience: protocol.HeaderClientTimeout,
		Limits:     messageLimits(b.maxResponseBody),
		Held:       b.maxBufferedResponses,
		TurnedAway: upstream.TurnedAway{Status: 503, Also: 504, Header: protocol.HeaderRejection, Only: 200}, Stood: clock.Stood})
	e.closers = append(e.closers, e.pool.Close)
	opt := node.Options{Settings: cfg.Policy, Seed: seed, Logger: log, Upstream: e.pool, ResponseMargin: responseMargin, MaxUnanswered: b.maxClientConnections, TimeOrigin: base,
		Clock: clock, Pause: rules, SendToPeer: func(int, []byte) {}, OnRequestDone: e.requestDone}
	started := make(chan struct{})
	if cfg.Policy.CanMessagePeers {
		mail, err := peer.ListenBare(peer.BareOptions{Network: e.network, Listen: cfg.PeerListen, Addresses: cfg.Peers, All: cfg.PeersAll,
			Me: cfg.Policy.SelfIndex, Deliver: func(from int, data []byte) {
				select {
				case <-started:
					e.node.ReceivePeerMessage(from, data)
				default: // messages that come before the node runs are lost, as any may be
				}
			}})
		if err != nil {
			return e, err
		}
		opt.SendToPeer, opt.SendToAllPeers = mail.Tell, true
		e.closers = append(e.closers, mail.Close)
	}
	if e.node, err = node.New(opt); err != nil {
		return e, fmt.Errorf("settings: %w", err)
	}
	close(started)
	e.closers = append(e.closers, background(e.node.Run))
	if len(cfg.CachedEndpoints) > 0 {
		e.applyEndpoints(discovery.List{Endpoints: cfg.CachedEndpoints}, true)
		late := time.AfterFunc(cachedListDelay, func() { e.hasEndpoints.Store(true) })
		e.closers = append(e.closers, func() { late.Stop() })
	}
	e.watchDiscovery(cfg.Discovery)
	e.closers = append(e.closers, func() {
		e.watchMutex.Lock()
		defer e.watchMutex.Unlock()
		e.watchDiscovery("")
	})
	if e.listener, err = e.network.Listen(cfg.Listen); err != nil {
		return e, err
	}
	e.front = fronthttp.New(fronthttp.Options{Node: e, Intake: protocol.New(cfg.Policy, e.ready), Log: log,
		Limits:    messageLimits(maxRequestBody),
		FirstTime: firstRequestTimeout, HeaderTime: requestTimeout, BodyTime: requestTimeout, IdleTime: idleTimeout, WriteTime: writeTimeout, Connections: b.maxClientConnections,
		Spare: b.maxIdleClientConnections, Lingers: b.maxLingeringConnections, Yield: minIdleBeforeEviction})
	e.serving.Go(func() {
		if err := e.front.Serve(e.listener); err != nil {
			log.Error("listener ended", "error", err)
		}
	})
	return e, nil
}

// Submit takes a try, but for one with the id of another that is open.
func (e *Edge) Submit(t *node.Request, reply func(node.FinalResponse)) (gone func()) {
	e.mu.Lock()
	twice := e.openIDs[t.Trace]
	if !twice {
		e.openIDs[t.Trace] = true
	}
	e.mu.Unlock()
	if twice {
		reply(node.FinalResponse{Kind: node.Failed, Reason: node.ReasonBadRequest, Detail: "a request with this id is open"})
		return func() {}
	}
	return e.node.Submit(t, reply)
}

func (e *Edge) requestDone(t *node.Request) {
	e.mu.Lock()
	delete(e.openIDs, t.Trace)
	e.mu.Unlock()
}

// ready tells whether the node can decide, and goes on doing so.
func (e *Edge) ready() bool { return e.hasEndpoints.Load() && !e.draining.Load() }

// applyEndpoints takes in a list of discovery's.
func (e *Edge) applyEndpoints(l discovery.List, remembered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kind, list, left := e.endpoints.Apply(l, remembered)
	if kind != policy.DeltaUpdate || len(list) > 0 {
		e.node.UpdateEndpoints(kind, list)
	}
	for _, key := range left {
		e.pool.Leave(key)
	}
	if kind == policy.SnapshotUpdate {
		e.hasEndpoints.Store(true)
	}
}

// watchDiscovery watches discovery at an address from now on; "" ends the watch.
func (e *Edge) watchDiscovery(address string) {
	if e.stopWatch != nil {
		e.stopWatch()
	}
	if e.discoveryAddress = address; address == "" {
		return
	}
	e.stopWatch = background(func(ctx context.Context) {
		discovery.Watch(ctx, discovery.Options{Network: e.network, Address: address, Logger: e.logger,
			Deliver: func(l discovery.List) { e.applyEndpoints(l, false) }})
	})
}

// background runs f until stop is called, which waits for its end.
func background(f func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Reload takes what a new configuration may change while the node runs: where
// discovery is.
func (e *Edge) Reload(cfg *Config) {
	e.watchMutex.Lock()
	defer e.watchMutex.Unlock()
	if e.discoveryAddress == "" {
		return // the node has ended
	}
	if cfg.Discovery != e.discoveryAddress {
		e.logger.Info("discovery moves", "from", e.discoveryAddress, "to", cfg.Discovery)
		e.watchDiscovery(cfg.Discovery)
	}
}

// Drain ends the node within the time between SIGTERM and SIGKILL. New connections are
// taken for as long as clients may not have heard, the others are closed as they fall
// idle; what is open near the end gets its final answer then. A context that ends sooner
// has all cut at once.
func (e *Edge) Drain(ctx context.Context) error {
	begun := time.Now()
	plan := planShutdown(e.classes)
	ctx, cancel := context.WithDeadline(ctx, begun.Add(plan.cutConnections))
	defer cancel()
	e.draining.Store(true)
	e.front.Closing()
	e.waitUntil(ctx, begun.Add(plan.stopAccepting))
	e.listener.Close()
	e.front.Ending()
	last := time.AfterFunc(time.Until(begun.Add(plan.finalResponses)), func() {
		e.node.Finish()
		e.front.Late()
	})
	defer last.Stop()
	e.front.Drain(ctx)
	e.node.Finish()
	err := e.node.Drain(ctx)
	e.close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// waitUntil waits for a time, or the context's end.
func (e *Edge) waitUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}

func (e *Edge) close() {
	if e.listener != nil {
		e.listener.Close()
	}
	e.serving.Wait()
	for i := len(e.closers) - 1; i >= 0; i-- {
		e.closers[i]()
	}
}
