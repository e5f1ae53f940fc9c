// Package gateway puts an instance together from its configuration: the policy in its event loop
// (package node), listeners, connections to servers, peers, the endpoint list, the authorization
// client and the files that outlive the process.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/background"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/pause"
)

// Options is what a Gateway takes beside its configuration.
type Options struct {
	// Network is what the gateway listens and dials on. Required.
	Network network.Network
	// Log takes the gateway's log. Required.
	Log *slog.Logger
	// Seed of the random numbers of all decisions. Zero: a random one.
	Seed uint64
	// TransformEndpoints changes each endpoint list before it is used; for tests. It is called
	// from the goroutine that receives lists. Nil: lists are used as they come.
	TransformEndpoints func([]node.Endpoint) []node.Endpoint
	// WrapUpstream returns what is used in place of the connections to servers; for tests. Nil:
	// they are used themselves.
	WrapUpstream func(node.Upstream) node.Upstream
	// WallClock is the wall clock, which peers and the windows of the usage counter go by. It is
	// called from several goroutines. Nil: the system's.
	WallClock func() time.Time
	// Pause says how a pause of the process is detected. Zero: pause.DefaultSettings.
	Pause pause.Settings
}

func (o *Options) setDefaults() {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Pause == (pause.Settings{}) {
		o.Pause = pause.DefaultSettings()
	}
}

// Gateway is a running instance. [Gateway.Drain] or [Gateway.Kill] must be called once, and ends
// everything that it owns: listeners, connections, files and goroutines.
type Gateway struct {
	cfg     *config.Config
	options Options
	node    *node.Node
	// usageRecorder is nil where no counter is configured.
	usageRecorder *usageRecorder
	// membership is nil where no roster is configured.
	membership *membershipLoop
	// running is closed when node, usageRecorder and membership may be used by peers' messages.
	running   chan struct{}
	listeners []listener
	serving   sync.WaitGroup // of the listeners' goroutines
	// closers are called in reverse order: what was opened last is closed first, so that each part
	// can use the earlier ones until it has ended.
	closers   background.Closers
	killed    atomic.Bool // nothing may be saved any more
	accepting atomic.Bool // the listeners are open
}

// Start starts a gateway and returns without waiting for peers or for an endpoint list. An error
// says which part can't be used; what was opened until then is closed. The configuration must not
// be changed afterwards.
func Start(cfg *config.Config, o Options) (*Gateway, error) {
	o.setDefaults()
	g := &Gateway{cfg: cfg, options: o, running: make(chan struct{})}
	if err := g.start(); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// runUntilClosed runs f in a goroutine. When the gateway closes, its context is canceled and
// close waits for its end.
func (g *Gateway) runUntilClosed(f func(context.Context)) { g.closers.Go(context.Background(), f) }

// Drain shuts down in order: new connections are not accepted, requests under way are finished,
// then everything is closed. When the context ends first, the requests that are left fail, and
// its error is returned.
func (g *Gateway) Drain(ctx context.Context) error {
	g.changePhase((*membership.StateMachine).StartDraining)
	g.stopListening()
	var drained sync.WaitGroup
	for _, l := range g.listeners {
		drained.Go(func() { l.drain(ctx) })
	}
	err := g.node.Drain(ctx)
	drained.Wait()
	if g.membership != nil && !g.killed.Load() {
		g.membership.stop()
	}
	g.close()
	return err
}

// Kill stops at once, as a killed process does: requests under way fail, and nothing is saved.
func (g *Gateway) Kill() {
	g.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.Drain(ctx) // the error can only say that the context was canceled, as it was meant to be
}

// changePhase submits a step to the next phase of this gateway to the membership loop, where there is
// one. It does not block.
func (g *Gateway) changePhase(step func(*membership.StateMachine) []membership.Action) {
	if g.membership != nil && !g.killed.Load() {
		g.membership.submitPhaseStep(func() []membership.Action { return step(g.membership.machine) })
	}
}

// close ends all that was started, the listeners first.
func (g *Gateway) close() {
	g.stopListening()
	g.serving.Wait()
	g.closers.Close()
}
