// Package gateway assembles an instance from its configuration: the policy in its event loop (package
// node), listeners, connections to servers, peers, the endpoint list, the authorization client and
// the files in the state directory.
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
	"yardcleat.example/yardcleat/internal/memory"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/pause"
)

// Options are the dependencies and settings of a Gateway that are not part of its configuration.
type Options struct {
	// Network opens the gateway's listeners and connections. Required.
	Network network.Network
	// Log receives the gateway's log records. Required.
	Log *slog.Logger
	// Seed seeds the random numbers of all decisions. If it is zero, a random seed is used.
	Seed uint64
	// TransformEndpoints changes each endpoint list before it is used; it is meant for tests. It is
	// called from the goroutine that receives lists. If it is nil, lists are used unchanged.
	TransformEndpoints func([]node.Endpoint) []node.Endpoint
	// WrapUpstream returns the upstream to use in place of the one that sends attempts to servers; it
	// is meant for tests. If it is nil, the upstream is used unchanged.
	WrapUpstream func(node.Upstream) node.Upstream
	// WallClock returns the wall-clock time, which is used for peer messages, customer snapshots and
	// the windows of the usage counter. It is called from several goroutines. If it is nil, time.Now
	// is used.
	WallClock func() time.Time
	// Pause configures the detection of pauses of the process. If it is zero, pause.DefaultSettings is
	// used.
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

// Gateway is a running instance. [Gateway.Drain] or [Gateway.Kill] must be called once to release
// everything that it owns: listeners, connections, files and goroutines.
type Gateway struct {
	cfg     *config.Config
	options Options
	node    *node.Node
	memory  *memory.Budget // for requests and responses
	// usageRecorder is nil if no counter is configured.
	usageRecorder *usageRecorder
	// membership is nil if no roster is configured.
	membership *membershipLoop
	// running is closed once node, usageRecorder and membership can receive peer messages.
	running   chan struct{}
	listeners []listener
	serving   sync.WaitGroup // waits for the listeners' goroutines
	// closers are called in the reverse order of opening, so that each part can use those opened
	// before it until it has ended.
	closers   background.Closers
	killed    atomic.Bool // nothing may be saved from now on
	accepting atomic.Bool // the listeners are open
}

// Start starts a gateway and returns without waiting for peers or for an endpoint list. If a part
// can't be started, Start closes those that it has opened and returns the error of that part. The
// configuration must not be changed afterwards.
func Start(cfg *config.Config, o Options) (*Gateway, error) {
	o.setDefaults()
	g := &Gateway{cfg: cfg, options: o, running: make(chan struct{}), memory: memory.NewBudget(cfg.Limits.MaxMemory)}
	if err := g.start(); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// runUntilClosed runs f in a goroutine. When the gateway is closed, the context of f is canceled and
// close waits until f has returned.
func (g *Gateway) runUntilClosed(f func(context.Context)) { g.closers.Go(context.Background(), f) }

// Drain shuts down gracefully: it stops accepting connections, finishes the open requests, then closes
// everything. If the context ends first, the remaining requests fail and Drain returns the context's
// error.
func (g *Gateway) Drain(ctx context.Context) error {
	g.changePhase((*membership.StateMachine).StartDraining)
	var drained sync.WaitGroup
	for _, l := range g.listeners {
		drained.Go(func() { l.drain(ctx, g.options.Log) })
	}
	err := g.node.Drain(ctx)
	drained.Wait()
	if g.membership != nil && !g.killed.Load() {
		g.membership.stop()
	}
	g.close()
	return err
}

// Kill stops at once, as if the process were killed: open requests fail, and nothing is saved.
func (g *Gateway) Kill() {
	g.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.Drain(ctx) // the only possible error is that of the canceled context
}

// changePhase submits a phase change of this gateway to the membership loop, if there is one. It does
// not block.
func (g *Gateway) changePhase(step func(*membership.StateMachine) []membership.Action) {
	if g.membership != nil && !g.killed.Load() {
		g.membership.submitPhaseStep(func() []membership.Action { return step(g.membership.machine) })
	}
}

// close closes the listeners first, then all other parts.
func (g *Gateway) close() {
	g.closeListeners()
	g.serving.Wait()
	g.closers.Close()
}
