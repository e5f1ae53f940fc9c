package edgenode

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/edgenode/discovery"
	"yardcleat.example/yardcleat/edgenode/protocol"
	"yardcleat.example/yardcleat/front/connlimit"
	fronthttp "yardcleat.example/yardcleat/front/http1"
	"yardcleat.example/yardcleat/internal/background"
	"yardcleat.example/yardcleat/internal/memory"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/peer"
	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/upstream"
)

// Edge is a running edge node. Submit and Reload may be called from any goroutine; Drain may be
// called once.
//
// Its goroutines in the order in which they start, with the owner of each and how it is stopped:
//
//   - the heartbeat of the pause clock: pauseclock.Clock, stopped by its Close;
//   - connections to servers: pool, stopped by its Close;
//   - the receiver of datagrams from peers: peer.PlainTransport, stopped by its Close;
//   - the loop of the node: background.Go, which cancels its context and waits;
//   - the discovery watch: stopWatch, which cancels its context and waits;
//   - the accept loop: serving, stopped by closing the listener;
//   - connections of clients: front, stopped by its Drain.
//
// The accept loop and the connections of clients are stopped first, then the others by closers,
// in reverse order.
type Edge struct {
	network  network.Network // as watched by the pause clock
	logger   *slog.Logger
	node     *node.Node
	memory   *memory.Budget // for what clients send and are sent
	pool     *upstream.Pool
	front    *fronthttp.Server
	limiter  *connlimit.Limiter // of the connections of clients
	listener net.Listener
	serving  sync.WaitGroup // the goroutine that accepts connections
	closers  background.Closers

	hasEndpoints atomic.Bool // an endpoint list has been applied
	draining     atomic.Bool // the shutdown has started

	classes []policy.Class
	open    *openRequests

	endpointsMutex sync.Mutex
	endpoints      *discovery.EndpointTable // guarded by endpointsMutex
	listHistory    *discovery.ListHistory   // guarded by endpointsMutex

	watchMutex       sync.Mutex
	cancelWatch      func()        // cancels the discovery watch and waits until it has ended
	discoveryAddress string        // guarded by watchMutex; "" if no watch runs
	discoveryMoves   chan<- string // received from for as long as the watch runs; sends are guarded by watchMutex
}

// Start starts an edge node, which runs until Drain. Its goroutines inherit the values of ctx,
// but not its cancellation. If Start fails, it closes everything that it opened.
func Start(ctx context.Context, cfg *Config, n network.Network, logger *slog.Logger) (*Edge, error) {
	return startWithPauseSettings(ctx, cfg, n, logger, pause.DefaultSettings())
}

// startWithPauseSettings is Start with settings for the detection of pauses of the process.
func startWithPauseSettings(ctx context.Context, cfg *Config, n network.Network, logger *slog.Logger,
	pauseSettings pause.Settings,
) (*Edge, error) {
	origin := time.Now()
	clock := pauseclock.New(origin, n, pauseSettings)
	e := &Edge{
		network:   clock.WatchNetwork(n),
		logger:    logger,
		classes:   cfg.Policy.Classes,
		open:      newOpenRequests(cfg.Policy.Classes),
		endpoints: discovery.NewEndpointTable(),
	}
	e.listHistory = discovery.NewListHistory()
	e.closers.Add(clock.Close)
	options := node.Options{
		Settings:       cfg.Policy,
		Log:            logger,
		ResponseMargin: responseMargin,
		TimeOrigin:     origin,
		Clock:          clock,
		Pause:          pauseSettings,
		SendToPeer:     func(int, []byte) {},
		OnRequestDone:  e.open.remove,
	}
	if err := e.start(ctx, cfg, options, clock.PausedSince); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

// start starts the components of the node, each before those that send to it.
func (e *Edge) start(ctx context.Context, cfg *Config, options node.Options, paused func(since time.Time) bool) error {
	limits := divideResources(cfg.Limits)
	e.memory = memory.NewBudget(limits.clientMemory)
	e.startPool(cfg, limits, paused)
	options.Upstream = e.pool
	options.Settings.MaxCustomerBytes = limits.customerMemory
	options.MaxUnanswered = limits.connections.MaxActive
	if err := e.startNode(ctx, cfg, options); err != nil {
		return err
	}
	e.useCachedEndpoints(cfg.CachedList)
	e.startWatch(ctx, cfg.Discovery)
	return e.startFront(cfg, limits)
}

func (e *Edge) startPool(cfg *Config, limits resourceLimits, paused func(since time.Time) bool) {
	e.pool = upstream.New(upstream.Options{
		Network:          e.network,
		ConnectTimeout:   cfg.DialTimeout,
		MaxIdlePerServer: limits.maxServerConnections,
		MaxConnections:   limits.maxServerConnections,
		IdleTimeout:      time.Duration(serverIdleFraction * float64(cfg.ServerIdleTimeout)),
		TimeoutHeader:    protocol.HeaderClientTimeout,
		Limits:           messageLimits(limits.maxResponseBody),
		RejectionSignal:  upstream.RejectionSignal{Status: 503, AlternateStatus: 504, Header: protocol.HeaderRejection, SuccessStatus: 200},
		PausedSince:      paused,
	})
	e.closers.Add(e.pool.Close)
}

// startNode starts the transport to peers and then the node's loop.
func (e *Edge) startNode(ctx context.Context, cfg *Config, options node.Options) (err error) {
	if options.Seed, err = cfg.seed(); err != nil {
		return err
	}
	started := make(chan struct{})
	if cfg.Policy.CanMessagePeers {
		transport, err := e.listenForPeers(cfg, started)
		if err != nil {
			return err
		}
		options.SendToPeer = transport.Send
		options.SendToAllPeers = true
	}
	if e.node, err = node.New(options); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	close(started)
	e.closers.Go(ctx, e.node.Run)
	return nil
}

// listenForPeers opens the datagram socket. Messages that arrive before the node runs are
// dropped: senders must tolerate the loss of any datagram.
func (e *Edge) listenForPeers(cfg *Config, nodeStarted <-chan struct{}) (*peer.PlainTransport, error) {
	transport, err := peer.ListenPlain(peer.PlainOptions{
		Network:   e.network,
		Listen:    cfg.PeerListen,
		Addresses: cfg.Peers,
		Broadcast: cfg.PeersAll,
		SelfIndex: cfg.Policy.SelfIndex,
		Deliver: func(from int, data []byte) {
			select {
			case <-nodeStarted:
				e.node.ReceivePeerMessage(from, data)
			default:
			}
		},
	})
	if err != nil {
		return nil, err
	}
	e.closers.Add(transport.Close)
	return transport, nil
}

// startFront opens the listener and starts the accept loop, which runs until the listener is
// closed.
func (e *Edge) startFront(cfg *Config, limits resourceLimits) (err error) {
	if e.listener, err = e.network.Listen(cfg.Listen); err != nil {
		return err
	}
	e.limiter = connlimit.New(limits.connections, e.logger)
	e.front = fronthttp.New(fronthttp.Options{
		Node:                e,
		Mapper:              protocol.New(cfg.Policy, e.ready, e.metricsText),
		Log:                 e.logger,
		Limits:              messageLimits(maxRequestBody),
		FirstRequestTimeout: firstRequestTimeout,
		HeaderTimeout:       requestTimeout,
		BodyTimeout:         requestTimeout,
		IdleTimeout:         idleTimeout,
		WriteTimeout:        writeTimeout,
		Connections:         e.limiter,
		Memory:              e.memory,
		FreeBytesOfRequest:  limits.freeBytesOfRequest,
	})
	e.serving.Go(func() {
		if err := e.front.Serve(e.listener); err != nil {
			e.logger.Error("listener failed", "error", err)
		}
	})
	return nil
}

// ready reports whether the node has an endpoint list and is not shutting down.
func (e *Edge) ready() bool { return e.hasEndpoints.Load() && !e.draining.Load() }

// Submit passes a request to the node. A request with the ID of one that is still open, or that may have had its effect,
// fails at once. reply is called exactly once. The caller must call disconnected when the client has
// disconnected.
func (e *Edge) Submit(r *node.Request, reply func(node.FinalResponse)) (disconnected func()) {
	if !e.open.add(r.Trace) {
		reply(node.FinalResponse{Kind: node.Failed, Reason: node.ReasonBadRequest, Detail: "a request with this id is open or has run"})
		return func() {}
	}
	return e.node.Submit(r, reply)
}
