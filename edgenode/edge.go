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
	net    network.Network
	log    *slog.Logger
	node   *node.Node
	pool   *upstream.Pool
	front  *fronthttp.Server
	l      net.Listener
	serves sync.WaitGroup
	closes []func()
	listed atomic.Bool // a list of servers is held
	leaves atomic.Bool // it is on its way out

	classes []policy.Class

	mu    sync.Mutex
	open  map[string]bool // ids of requests that something is still done for
	names *discovery.Names

	moves sync.Mutex // over the next two
	watch func()     // ends the watch of discovery
	at    string     // discovery's address
}

// Start starts an edge node. What was opened is closed where it fails.
func Start(cfg *Config, n network.Network, log *slog.Logger) (e *Edge, err error) {
	seed, err := cfg.seed()
	if err != nil {
		return nil, err
	}
	base := time.Now()
	rules := pause.DefaultSettings()
	clock := pauseclock.New(base, n, rules)
	e = &Edge{net: clock.WatchNetwork(n), log: log, classes: cfg.Policy.Classes, open: map[string]bool{}, names: discovery.NewNames()}
	e.closes = append(e.closes, clock.Close)
	defer func() {
		if err != nil {
			e.close()
		}
	}()
	b := share(cfg.Limits)
	e.pool = upstream.New(upstream.Options{Network: e.net, ConnectTime: cfg.DialTimeout, Idle: b.servers, Most: b.servers,
		IdleTime: time.Duration(idleShare * float64(cfg.ConnIdle)), Patience: protocol.FieldPatience,
		Limits:     limits(b.answer),
		Held:       b.answers,
		TurnedAway: upstream.TurnedAway{Status: 503, Also: 504, Header: protocol.FieldTurnedAway, Only: 200}, Stood: clock.PausedSince})
	e.closes = append(e.closes, e.pool.Close)
	opt := node.Options{Settings: cfg.Policy, Seed: seed, Logger: log, Upstream: e.pool, ResponseMargin: margin, MaxUnanswered: b.clients, TimeOrigin: base,
		Clock: clock, Pause: rules, SendToPeer: func(int, []byte) {}, OnRequestDone: e.forgotten}
	started := make(chan struct{})
	if cfg.Policy.CanMessagePeers {
		mail, err := peer.ListenBare(peer.BareOptions{Network: e.net, Listen: cfg.PeerListen, Addresses: cfg.Peers, All: cfg.PeersAll,
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
		e.closes = append(e.closes, mail.Close)
	}
	if e.node, err = node.New(opt); err != nil {
		return e, fmt.Errorf("settings: %w", err)
	}
	close(started)
	e.closes = append(e.closes, background(e.node.Run))
	if len(cfg.Remembered) > 0 {
		e.list(discovery.List{Hosts: cfg.Remembered}, true)
		late := time.AfterFunc(trust, func() { e.listed.Store(true) })
		e.closes = append(e.closes, func() { late.Stop() })
	}
	e.discover(cfg.Discovery)
	e.closes = append(e.closes, func() {
		e.moves.Lock()
		defer e.moves.Unlock()
		e.discover("")
	})
	if e.l, err = e.net.Listen(cfg.Listen); err != nil {
		return e, err
	}
	e.front = fronthttp.New(fronthttp.Options{Node: e, Intake: protocol.New(cfg.Policy, e.ready), Log: log,
		Limits:    limits(body),
		FirstTime: firstTime, HeaderTime: headerTime, BodyTime: headerTime, IdleTime: idleTime, WriteTime: writeTime, Connections: b.clients,
		Spare: b.idle, Lingers: b.lingers, Yield: yield})
	e.serves.Go(func() {
		if err := e.front.Serve(e.l); err != nil {
			log.Error("listener ended", "error", err)
		}
	})
	return e, nil
}

// Submit takes a try, but for one with the id of another that is open.
func (e *Edge) Submit(t *node.Request, reply func(node.FinalResponse)) (gone func()) {
	e.mu.Lock()
	twice := e.open[t.Trace]
	if !twice {
		e.open[t.Trace] = true
	}
	e.mu.Unlock()
	if twice {
		reply(node.FinalResponse{Kind: node.Failed, Reason: node.ReasonBadRequest, Detail: "a request with this id is open"})
		return func() {}
	}
	return e.node.Submit(t, reply)
}

func (e *Edge) forgotten(t *node.Request) {
	e.mu.Lock()
	delete(e.open, t.Trace)
	e.mu.Unlock()
}

// ready tells whether the node can decide, and goes on doing so.
func (e *Edge) ready() bool { return e.listed.Load() && !e.leaves.Load() }

// list takes in a list of discovery's.
func (e *Edge) list(l discovery.List, remembered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kind, list, left := e.names.Take(l, remembered)
	if kind != policy.DeltaUpdate || len(list) > 0 {
		e.node.UpdateEndpoints(kind, list)
	}
	for _, key := range left {
		e.pool.Leave(key)
	}
	if kind == policy.SnapshotUpdate {
		e.listed.Store(true)
	}
}

// discover watches discovery at an address from now on; "" ends the watch.
func (e *Edge) discover(address string) {
	if e.watch != nil {
		e.watch()
	}
	if e.at = address; address == "" {
		return
	}
	e.watch = background(func(ctx context.Context) {
		discovery.Watch(ctx, discovery.Options{Network: e.net, Address: address, Log: e.log,
			Deliver: func(l discovery.List) { e.list(l, false) }})
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
	e.moves.Lock()
	defer e.moves.Unlock()
	if e.at == "" {
		return // the node has ended
	}
	if cfg.Discovery != e.at {
		e.log.Info("discovery moves", "from", e.at, "to", cfg.Discovery)
		e.discover(cfg.Discovery)
	}
}

// Drain ends the node within the time between SIGTERM and SIGKILL. New connections are
// taken for as long as clients may not have heard, the others are closed as they fall
// idle; what is open near the end gets its final answer then. A context that ends sooner
// has all cut at once.
func (e *Edge) Drain(ctx context.Context) error {
	begun := time.Now()
	plan := planShutdown(e.classes)
	ctx, cancel := context.WithDeadline(ctx, begun.Add(plan.end))
	defer cancel()
	e.leaves.Store(true)
	e.front.Closing()
	e.until(ctx, begun.Add(plan.accept))
	e.l.Close()
	e.front.Ending()
	last := time.AfterFunc(time.Until(begun.Add(plan.answer)), func() {
		e.node.AbortRequests()
		e.front.Late()
	})
	defer last.Stop()
	e.front.Drain(ctx)
	e.node.AbortRequests()
	err := e.node.Drain(ctx)
	e.close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// until waits for a time, or the context's end.
func (e *Edge) until(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}

func (e *Edge) close() {
	if e.l != nil {
		e.l.Close()
	}
	e.serves.Wait()
	for i := len(e.closes) - 1; i >= 0; i-- {
		e.closes[i]()
	}
}
