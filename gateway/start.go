package gateway

import (
	"fmt"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/peer"
	"yardcleat.example/yardcleat/upstream"
	authzclient "yardcleat.example/yardcleat/upstream/extauthz"
)

// AuthorizerError reports that the authorization client can't be created.
type AuthorizerError struct{ Err error }

func (e *AuthorizerError) Error() string { return fmt.Sprintf("authorizer: %v", e.Err) }

// Unwrap returns the client's error.
func (e *AuthorizerError) Unwrap() error { return e.Err }

// start opens all parts in the order of their dependencies. Each step adds a closer to g.closers for
// what it opens.
func (g *Gateway) start() error {
	options := g.nodeOptions(g.startClock())
	if err := g.dialAuthorizer(&options); err != nil {
		return err
	}
	incarnation := g.nextIncarnation(options.TimeOrigin)
	if err := g.connectPeers(&options, incarnation); err != nil {
		return err
	}
	if err := g.openUsage(&options, incarnation); err != nil {
		return err
	}
	if err := g.startNode(options); err != nil {
		return err
	}
	g.startBackground()
	if err := g.startEndpoints(); err != nil {
		return err
	}
	if err := g.startListeners(intake.New(g.cfg)); err != nil {
		return err
	}
	g.accepting.Store(true)
	g.changePhase((*membership.StateMachine).StartServing)
	return nil
}

// startClock starts the clock that detects pauses of the process, and wraps the gateway's network so
// that the clock watches all sockets opened from then on.
func (g *Gateway) startClock() (clock *pauseclock.Clock, origin time.Time) {
	origin = time.Now()
	clock = pauseclock.New(origin, g.options.Network, g.options.Pause)
	g.closers.Add(clock.Close)
	g.options.Network = clock.WatchNetwork(g.options.Network)
	return clock, origin
}

// nodeOptions returns the options for the node of a gateway without peers, authorizer and usage counter.
func (g *Gateway) nodeOptions(clock *pauseclock.Clock, origin time.Time) node.Options {
	return node.Options{
		Settings:       g.cfg.Settings(),
		Seed:           g.options.Seed,
		Log:            g.options.Log,
		Upstream:       g.newUpstream(clock),
		ResponseMargin: g.cfg.Limits.ResponseMargin,
		MaxUnanswered:  g.cfg.Limits.MaxUnanswered,
		TimeOrigin:     origin,
		Clock:          clock,
		Pause:          g.options.Pause,
		SendToPeer:     func(int, []byte) {},
	}
}

func (g *Gateway) newUpstream(clock *pauseclock.Clock) node.Upstream {
	pool := upstream.New(upstream.Options{
		Network:          g.options.Network,
		ConnectTimeout:   g.cfg.Limits.ConnectTimeout,
		MaxIdlePerServer: g.cfg.Limits.MaxIdleUpstream,
		Limits:           g.messageLimits(g.cfg.Limits.MaxResponseBody),
		RejectionSignal:  g.rejectionSignal(),
		HTTP2:            g.cfg.Servers.HTTP2,
		PausedSince:      clock.PausedSince,
	})
	g.closers.Add(pool.Close)
	if g.options.WrapUpstream != nil {
		return g.options.WrapUpstream(pool)
	}
	return pool
}

// messageLimits returns the limits for HTTP messages with bodies of at most bodyBytes.
func (g *Gateway) messageLimits(bodyBytes int64) http1.Limits {
	l := g.cfg.Limits
	return http1.Limits{MaxLineBytes: l.MaxLineBytes, MaxHeaderFields: l.MaxHeaderFields, MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: bodyBytes}
}

// rejectionSignal returns the configured response by which servers signal that they have not executed a
// request.
func (g *Gateway) rejectionSignal() upstream.RejectionSignal {
	return upstream.RejectionSignal{Status: g.cfg.Servers.RejectionStatus, Header: g.cfg.Servers.RejectionHeader}
}

func (g *Gateway) dialAuthorizer(options *node.Options) error {
	a := g.cfg.Authorizer
	if a == nil {
		return nil
	}
	rules := authzclient.RequestRules{MaxBodyBytes: a.MaxRequestBody, AllowedHeaders: a.AllowedHeaders, DisallowedHeaders: a.DisallowedHeaders}
	client, err := authzclient.Dial(g.options.Network, a.Addresses, rules)
	if err != nil {
		return &AuthorizerError{err}
	}
	g.closers.Add(g.withErrorLogged("closing the authorization client failed", client.Close))
	options.AuthorizationClient = client
	options.AuthorizationDecider = authz.New(authzSettings(g.cfg, g.options.Seed))
	return nil
}

// withErrorLogged returns a function that calls f and logs its error, if any.
func (g *Gateway) withErrorLogged(message string, f func() error) func() {
	return func() {
		if err := f(); err != nil {
			g.options.Log.Warn(message, "error", err)
		}
	}
}

func authzSettings(cfg *config.Config, seed uint64) authz.Settings {
	modes := map[config.AuthorizationMode]authz.Mode{
		config.SkipAuthorization: authz.Skip,
		config.FailClosed:        authz.FailClosed,
		config.FailOpen:          authz.FailOpen,
	}
	settings := authz.Settings{
		Classes:     map[string]authz.Class{},
		Plans:       map[string]authz.Plan{},
		Addresses:   len(cfg.Authorizer.Addresses),
		Timeout:     cfg.Authorizer.Timeout,
		MaxInFlight: cfg.Authorizer.MaxInFlight,
		Seed:        seed,
	}
	for _, c := range cfg.Classes {
		settings.Classes[c.Name] = authz.Class{
			Mode:             modes[c.Authorization],
			LatencyObjective: c.LatencyObjective,
			PriorityWeight:   c.PriorityWeight,
			CacheTTL:         c.AuthorizationCacheTTL,
		}
	}
	for _, p := range cfg.Plans {
		settings.Plans[p.Name] = authz.Plan{Rate: p.Rate, Burst: p.Burst}
	}
	return settings
}

// nextIncarnation returns the number that distinguishes messages of this process from those of earlier
// ones. Without a usable incarnation file, it is the current time, and is greater than those of
// earlier processes only if the clock has not been set back.
func (g *Gateway) nextIncarnation(startedAt time.Time) uint64 {
	incarnation, err := peer.Incarnation(g.cfg.StateDir, startedAt)
	if err != nil {
		g.options.Log.Warn("incarnation file unusable; relying on the clock", "error", err)
	}
	return incarnation
}

// connectPeers starts the transport to the other gateways, if any are configured.
func (g *Gateway) connectPeers(options *node.Options, incarnation uint64) error {
	if g.cfg.Roster != nil {
		g.membership = g.newMembershipLoop()
	}
	p := g.cfg.Peers
	if len(p.Addresses) == 0 && g.cfg.Roster == nil {
		return nil
	}
	transport, err := peer.Listen(peer.Options{
		Network:           g.options.Network,
		Listen:            p.Listen,
		Addresses:         p.Addresses,
		SelfIndex:         g.cfg.Number,
		Keys:              peer.NewKeyring(p.Keys, p.KeyFile, g.options.Log),
		Incarnation:       incarnation,
		MaxMessageAge:     p.MaxMessageAge,
		MessagesPerSecond: p.MessagesPerSecond,
		Log:               g.options.Log,
		WallClock:         g.options.WallClock,
		Deliver:           g.receivePeerMessage,
		Restarted:         g.peerRestarted,
	})
	if err != nil {
		return err
	}
	g.closers.Add(transport.Close)
	options.SendToPeer = transport.Send
	if g.membership != nil {
		g.membership.transport = transport
	}
	return nil
}

// peerRestarted is called when a new process sends messages with a peer's number.
func (g *Gateway) peerRestarted(from int) {
	if g.membership != nil {
		g.membership.peerRestarted(from)
	}
}

// receivePeerMessage passes a message to the part that handles it. Messages received before the node
// runs are dropped, which is safe because the network may lose any message.
func (g *Gateway) receivePeerMessage(from int, data []byte) {
	select {
	case <-g.running:
	default:
		return
	}
	if g.usageRecorder != nil && g.usageRecorder.receivePeerMessage(from, data) {
		return
	}
	if g.membership != nil && g.membership.receivePeerMessage(from, data) {
		return
	}
	g.node.ReceivePeerMessage(from, data)
}

// openUsage opens the usage counter's client and the stored usage, if a counter is configured.
func (g *Gateway) openUsage(options *node.Options, incarnation uint64) error {
	recorder, err := g.newUsageRecorder(incarnation, options.SendToPeer)
	if err != nil || recorder == nil {
		return err
	}
	g.usageRecorder = recorder
	options.UsageRecorder = recorder
	return nil
}

func (g *Gateway) startNode(options node.Options) error {
	n, err := node.New(options)
	if err != nil {
		return err
	}
	g.node = n
	close(g.running)
	g.runUntilClosed(n.Run)
	return nil
}

// startBackground starts the goroutines that run beside the node: snapshots, usage and membership.
func (g *Gateway) startBackground() {
	if g.cfg.StateDir != "" {
		g.restoreCustomerSnapshots()
		g.runUntilClosed(g.saveSnapshotsPeriodically)
	}
	if g.usageRecorder != nil {
		g.runUntilClosed(g.usageRecorder.run)
	}
	if g.membership != nil {
		g.runUntilClosed(g.membership.run)
	}
}
