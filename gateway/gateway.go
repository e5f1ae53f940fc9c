// Package gateway puts a node together from a configuration: module, loop,
// fronts, upstream, peers, server list and authoriser.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/fleet"
	"yardcleat.example/yardcleat/front/extauthz"
	fronthttp "yardcleat.example/yardcleat/front/http1"
	fronthttp2 "yardcleat.example/yardcleat/front/http2"
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/peer"
	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/upstream"
	ask "yardcleat.example/yardcleat/upstream/extauthz"
)

// Options is what a Gateway takes beside its configuration.
type Options struct {
	Network network.Network
	Log     *slog.Logger
	Seed    uint64 // of the module's chance; 0: drawn
	// Deafen changes what the module hears of the server list; for tests. nil:
	// nothing.
	Deafen func([]node.Server) []node.Server
	// Carry stands between the node and its connections to servers; for tests. nil:
	// nothing.
	Carry func(node.Upstream) node.Upstream
	// Wall is the wall clock, as peers and the counter's windows go by it; nil:
	// the system's.
	Wall func() time.Time
	// Stall says what counts as a gap in which the process did not run; zero: the
	// default.
	Stall pause.Settings
}

// Gateway is a running node with all that is around it.
type Gateway struct {
	cfg     *config.Config
	o       Options
	node    *node.Node
	led     *usageRecorder // nil: no counter
	keep    *keeper        // nil: no roster
	serving sync.WaitGroup
	closes  []func() // in reverse order
	fronts  []front
	killed  atomic.Bool // nothing is to be saved any more
}

// front is a listener with its server.
type front struct {
	l     net.Listener
	drain func(context.Context)
}

// Start starts a node. What was opened is closed where it fails.
func Start(cfg *config.Config, o Options) (g *Gateway, err error) {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	g = &Gateway{cfg: cfg, o: o, closes: []func(){cancel}}
	defer func() {
		if err != nil {
			g.close()
		}
	}()
	base := time.Now()
	if o.Stall == (pause.Settings{}) {
		o.Stall = pause.Default()
	}
	clock := pauseclock.New(base, o.Network, o.Stall)
	g.closes = append(g.closes, clock.Close)
	g.o.Network = clock.Watched(o.Network)
	o.Network = g.o.Network
	opt := node.Options{Settings: cfg.Settings(), Seed: o.Seed, Logger: o.Log, ResponseMargin: cfg.Limits.ResponseMargin,
		MaxUnanswered: cfg.Limits.MaxUnanswered, TimeOrigin: base, Clock: clock, Pause: o.Stall, SendToPeer: func(int, []byte) {}}
	pool := upstream.New(upstream.Options{Network: o.Network, ConnectTime: cfg.Limits.ConnectTimeout, Idle: cfg.Limits.MaxIdleUpstream,
		Limits:     g.limits(cfg.Limits.MaxResponseBody),
		TurnedAway: g.turnedAway(), HTTP2: cfg.Servers.HTTP2, Stood: clock.Stood})
	g.closes = append(g.closes, pool.Close)
	if opt.Upstream = pool; g.o.Carry != nil {
		opt.Upstream = g.o.Carry(pool)
	}
	if a := cfg.Authorizer; a != nil {
		c, err := ask.Dial(o.Network, a.Addresses, ask.Rules{Body: a.MaxRequestBody, Allowed: a.AllowedHeaders, Disallowed: a.DisallowedHeaders})
		if err != nil {
			return g, fmt.Errorf("authoriser: %w", err)
		}
		g.closes = append(g.closes, c.Close)
		opt.Authorizer, opt.Authz = c, authz.New(authzSettings(cfg, o.Seed))
	}
	inc, err := peer.Incarnation(cfg.StateDir, opt.TimeOrigin)
	if err != nil {
		o.Log.Warn("incarnation", "error", err)
	}
	var led *usageRecorder
	// Messages that come before the node runs are lost, as any may be.
	started := make(chan struct{})
	deliver := func(from int, data []byte) {
		select {
		case <-started:
		default:
			return
		}
		if (led == nil || !led.receivePeerMessage(from, data)) && (g.keep == nil || !g.keep.heard(from, data)) {
			g.node.ReceivePeerMessage(from, data)
		}
	}
	if cfg.Roster != nil {
		g.keep = g.newKeeper()
	}
	if len(cfg.Peers.Addresses) > 0 || cfg.Roster != nil {
		p := cfg.Peers
		mail, err := peer.Listen(peer.Options{Network: o.Network, Listen: p.Listen, Addresses: p.Addresses, Me: cfg.Number,
			Keys: peer.NewKeyring(p.Keys, p.KeyFile, o.Log), Incarnation: inc, Freshness: p.MaxMessageAge, Rate: p.MessagesPerSecond, Log: o.Log, Wall: o.Wall,
			Deliver: deliver})
		if err != nil {
			return g, err
		}
		opt.SendToPeer = mail.Tell
		if g.keep != nil {
			g.keep.mail = mail
		}
		g.closes = append(g.closes, mail.Close)
	}
	led, err = g.newUsageRecorder(inc, opt.SendToPeer)
	if err != nil {
		return g, err
	}
	if led != nil {
		opt.UsageRecorder, g.led = led, led
	}
	if g.node, err = node.New(opt); err != nil {
		return g, err
	}
	close(started)
	g.start(ctx, cancel, g.node.Run)
	if cfg.StateDir != "" {
		r, err := readMemory(cfg.StateDir, cfg.Number, o.Wall())
		if err != nil {
			o.Log.Warn("the remembered stores are left aside", "error", err)
		} else if len(r.Customers) > 0 {
			o.Log.Info("stores remembered", "customers", len(r.Customers), "age", r.Age)
			g.node.RestoreSnapshot(r)
		}
		ctx, cancel := context.WithCancel(ctx)
		g.start(ctx, cancel, g.remember)
	}
	if led != nil {
		ctx, cancel := context.WithCancel(ctx)
		g.start(ctx, cancel, led.run)
	}
	if g.keep != nil {
		ctx, cancel := context.WithCancel(ctx)
		g.start(ctx, cancel, g.keep.run)
	}
	if err := g.servers(ctx); err != nil {
		return g, err
	}
	in := intake.New(cfg)
	for _, l := range cfg.Listeners {
		if err := g.listen(l, in); err != nil {
			return g, fmt.Errorf("listener %q: %w", l.Name, err)
		}
	}
	g.phase((*membership.Member).Serve)
	return g, nil
}

// start runs f until the gateway closes it in its turn.
func (g *Gateway) start(ctx context.Context, cancel func(), f func(context.Context)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	g.closes = append(g.closes, func() {
		cancel()
		<-done
	})
}

// servers starts what keeps the node's server list.
func (g *Gateway) servers(ctx context.Context) error {
	s := g.cfg.Servers
	if s.EDSAddress == "" {
		list, err := fleet.Static(s.Static)
		if err != nil {
			return err
		}
		g.members(policy.SnapshotUpdate, list)
		return nil
	}
	o := fleet.Options{Network: g.o.Network, Address: s.EDSAddress, Cluster: s.EDSCluster,
		NodeID: fmt.Sprintf("node-%d", g.cfg.Number), Log: g.o.Log, Deliver: g.members}
	if g.cfg.StateDir != "" {
		o.File = filepath.Join(g.cfg.StateDir, "servers")
	}
	ctx, cancel := context.WithCancel(ctx)
	g.start(ctx, cancel, func(ctx context.Context) {
		if err := fleet.Watch(ctx, o); err != nil {
			g.o.Log.Error("discovery", "error", err)
		}
	})
	return nil
}

func (g *Gateway) members(kind policy.EndpointUpdateKind, list []node.Server) {
	if g.o.Deafen != nil {
		list = g.o.Deafen(list)
	}
	g.node.UpdateEndpoints(kind, list)
	g.phase((*membership.Member).Listed)
}

func (g *Gateway) limits(body int64) http1.Limits {
	l := g.cfg.Limits
	return http1.Limits{Line: l.MaxLineBytes, Fields: l.MaxHeaderFields, Header: l.MaxHeaderBytes, Body: body}
}

func authzSettings(cfg *config.Config, seed uint64) authz.Settings {
	names := map[config.AuthorizationMode]authz.Mode{config.SkipAuthorization: authz.Skip, config.FailClosed: authz.Refuse,
		config.FailOpen: authz.Allow}
	a := cfg.Authorizer
	s := authz.Settings{Classes: map[string]authz.Class{}, Plans: map[string]authz.Plan{}, Targets: len(a.Addresses),
		Timeout: a.Timeout, Most: a.MaxInFlight, Seed: seed}
	for _, c := range cfg.Classes {
		s.Classes[c.Name] = authz.Class{Mode: names[c.Authorization], Aim: c.LatencyObjective, Worth: c.PriorityWeight, Remember: c.AuthorizationCacheTTL}
	}
	for _, p := range cfg.Plans {
		s.Plans[p.Name] = authz.Plan{Rate: p.Rate, Burst: p.Burst}
	}
	return s
}

func (g *Gateway) listen(l config.Listener, in *intake.Intake) error {
	nl, err := g.o.Network.Listen(l.Address)
	if err != nil {
		return err
	}
	log := g.o.Log.With("listener", l.Name)
	log.Info("listening", "kind", string(l.Kind), "address", nl.Addr().String())
	if l.Kind == config.ExtAuthz {
		s := extauthz.New(extauthz.Options{Node: g.node, Intake: in, Log: log, Name: g.name(l), TurnedAway: g.turnedAway()})
		g.serve(log, nl, s.Serve, s.Drain)
		return nil
	}
	if l.Kind == config.HTTP2 {
		s := g.http2(l, in, log)
		g.serve(log, nl, s.Serve, s.Drain)
		return nil
	}
	s := g.http1(l, in, log)
	if l.Kind == config.HTTPS {
		t, err := newTLS(l, s, g.http2(l, in, log), log)
		if err != nil {
			nl.Close()
			return err
		}
		g.serve(log, nl, t.Serve, t.Drain)
		return nil
	}
	g.serve(log, nl, s.Serve, s.Drain)
	return nil
}

func (g *Gateway) http2(l config.Listener, in *intake.Intake, log *slog.Logger) *fronthttp2.Server {
	lim := g.cfg.Limits
	const heldBodies = 4 // whole bodies that one connection may have held
	return fronthttp2.New(fronthttp2.Options{Node: g.node, Intake: in, Log: log, Name: g.name(l) + "h2", HeaderBytes: lim.MaxHeaderBytes,
		Fields: lim.MaxHeaderFields, Body: lim.MaxRequestBody, Held: heldBodies * max(lim.MaxRequestBody, 64<<10), Streams: lim.MaxStreams, Abuse: lim.FrameBudget,
		HeaderTime: lim.HeaderTimeout, BodyTime: lim.BodyTimeout, IdleTime: lim.IdleTimeout, WriteTime: lim.WriteTimeout, Connections: lim.MaxConnections})
}

func (g *Gateway) http1(l config.Listener, in *intake.Intake, log *slog.Logger) *fronthttp.Server {
	lim := g.cfg.Limits
	return fronthttp.New(fronthttp.Options{Node: g.node, Intake: in, Log: log, Limits: g.limits(lim.MaxRequestBody),
		Name:       g.name(l),
		HeaderTime: lim.HeaderTimeout, BodyTime: lim.BodyTimeout, IdleTime: lim.IdleTimeout, WriteTime: lim.WriteTimeout,
		Connections: lim.MaxConnections})
}

func (g *Gateway) serve(log *slog.Logger, nl net.Listener, serve func(net.Listener) error, drain func(context.Context)) {
	g.serving.Go(func() {
		if err := serve(nl); err != nil {
			log.Error("listener ended", "error", err)
		}
	})
	g.fronts = append(g.fronts, front{nl, drain})
}

// name begins the traces that a listener gives; it differs for every process.
func (g *Gateway) name(l config.Listener) string {
	return fmt.Sprintf("%s-%d-%x", l.Name, g.cfg.Number, g.o.Seed&0xffffff)
}

func (g *Gateway) turnedAway() upstream.TurnedAway {
	return upstream.TurnedAway{Status: g.cfg.Servers.RejectionStatus, Header: g.cfg.Servers.RejectionHeader}
}

// Drain stops in order: no new connections, what is held ends, the rest is
// closed. When the context ends first, what is left is failed.
func (g *Gateway) Drain(ctx context.Context) error {
	g.phase((*membership.Member).Drain)
	for _, f := range g.fronts {
		f.l.Close()
	}
	var drained sync.WaitGroup
	for _, f := range g.fronts {
		drained.Go(func() { f.drain(ctx) })
	}
	err := g.node.Drain(ctx)
	drained.Wait()
	if g.keep != nil && !g.killed.Load() {
		g.keep.end()
	}
	g.close()
	return err
}

// phase tells the member of a step in this node's life.
func (g *Gateway) phase(step func(*membership.Member) []membership.Action) {
	if g.keep != nil && !g.killed.Load() {
		g.keep.post(func() []membership.Action { return step(g.keep.m) })
	}
}

// Kill stops at once, as a killed process does: what is held is failed, and
// nothing is saved.
func (g *Gateway) Kill() {
	g.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Drain(ctx)
}

func (g *Gateway) close() {
	for _, f := range g.fronts {
		f.l.Close()
	}
	g.serving.Wait()
	for i := len(g.closes) - 1; i >= 0; i-- {
		g.closes[i]()
	}
}
