package gateway

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/storage"
	"yardcleat.example/yardcleat/usage"
	"yardcleat.example/yardcleat/usage/rediscounter"
)

const (
	usageTickInterval = 100 * time.Millisecond
	usageSaveInterval = time.Second

	// usageMessageShare is the fraction of the permitted peer messages per second that usage
	// messages may use; the policy's load reports and outlier reports may use 0.85.
	usageMessageShare = 0.05

	// maxTotalsPerSave is the maximum number of usage totals examined in one iteration of the
	// node's event loop, which takes well under a millisecond.
	maxTotalsPerSave = 2000

	// usageDatabase is the name of a file in the state directory, fixed by the stored format.
	// The file contains the usage that the counter may not have recorded yet.
	usageDatabase = "tally"
)

// usageRecorder runs a usage.Tracker in the node's event loop and executes its actions. Methods
// must be called in the loop unless their comment states otherwise.
type usageRecorder struct {
	gateway         *Gateway
	tracker         *usage.Tracker
	client          *rediscounter.Client
	codec           usageMessageCodec
	sendToPeer      func(to int, message []byte)
	peersByCustomer map[string][]int
	storage         *usageStorage // nil if there is no state directory
}

var _ node.UsageRecorder = (*usageRecorder)(nil)

// newUsageRecorder opens the counter's client and the storage, which are closed with the gateway.
// It must be called before the node's event loop runs. It returns nil if no counter is configured.
func (g *Gateway) newUsageRecorder(incarnation uint64, sendToPeer func(int, []byte)) (*usageRecorder, error) {
	counter := g.cfg.Counter
	if counter == nil {
		return nil, nil
	}
	gateways := len(g.cfg.Peers.Addresses) + 1
	r := &usageRecorder{
		gateway:         g,
		tracker:         usage.New(usageSettings(g.cfg, incarnation, gateways)),
		codec:           newUsageMessageCodec(incarnation, g.cfg.Customers),
		sendToPeer:      sendToPeer,
		peersByCustomer: map[string][]int{},
		client: rediscounter.New(rediscounter.Options{
			Network:    g.options.Network,
			Addresses:  counter.Addresses,
			ClientName: fmt.Sprintf("node-%d", g.cfg.Number),
			Timeout:    counter.Timeout,
			Retention:  counter.Retention,
		}),
	}
	g.closers.Add(r.client.Close)
	r.assignPeers(gateways)
	if g.cfg.StateDir == "" {
		return r, nil
	}
	return r, r.openStorage()
}

// usageSettings returns the tracker's settings for a fleet of the given number of gateways.
func usageSettings(cfg *config.Config, incarnation uint64, gateways int) usage.Settings {
	counter := cfg.Counter
	plans := map[string]usage.Plan{}
	for _, plan := range cfg.Plans {
		plans[plan.Name] = usage.Plan{Rate: plan.Rate, Burst: plan.Burst}
	}
	return usage.Settings{
		Self:                  usage.WriterID{Node: cfg.Number, Incarnation: incarnation},
		Shards:                len(counter.Addresses),
		Window:                counter.Window,
		RetainedWindows:       int(counter.Retention / counter.Window),
		CommandsPerSecond:     counter.CommandsPerSecond / float64(gateways),
		PeerMessagesPerSecond: cfg.Peers.MessagesPerSecond * usageMessageShare,
		Plans:                 plans,
	}
}

// openStorage opens the database and loads the usage that earlier processes have saved.
func (r *usageRecorder) openStorage() error {
	g := r.gateway
	store, contents, err := storage.Open(filepath.Join(g.cfg.StateDir, usageDatabase), g.cfg.Number)
	if err != nil {
		return err
	}
	if moved := contents.MovedAside; moved != nil {
		g.options.Log.Warn("stored usage moved aside; starting without it",
			"error", moved.Cause, "path", moved.Path, "moved_to", moved.MovedTo)
	}
	r.storage = &usageStorage{gateway: g, tracker: r.tracker, store: store}
	g.closers.Add(r.storage.close)
	r.tracker.LoadStored(g.options.WallClock(), contents.Entries)
	return nil
}

// assignPeers computes the nodes that serve each customer in a fleet of the given number of gateways.
func (r *usageRecorder) assignPeers(gateways int) {
	clear(r.peersByCustomer)
	for _, customer := range r.gateway.cfg.Customers {
		for i := range min(customer.GatewaySpread, gateways) {
			peer := (customer.FirstGateway + i) % gateways
			r.peersByCustomer[customer.Name] = append(r.peersByCustomer[customer.Name], peer)
		}
	}
}

// resize adapts the recorder to a new number of gateways in the fleet.
func (r *usageRecorder) resize(gateways int) {
	r.assignPeers(gateways)
	r.tracker.SetCommandsPerSecond(r.gateway.cfg.Counter.CommandsPerSecond / float64(gateways))
}

// RequestSeen implements node.UsageRecorder.
func (r *usageRecorder) RequestSeen(request *node.Request) {
	peers := r.peersByCustomer[request.Customer]
	r.execute(r.tracker.RecordRequest(r.gateway.options.WallClock(), request.Customer, request.Plan, peers))
}

// RequestForwarded implements node.UsageRecorder.
func (r *usageRecorder) RequestForwarded(request *node.Request) {
	peers := r.peersByCustomer[request.Customer]
	r.tracker.RecordForwarded(r.gateway.options.WallClock(), request.Customer, request.Plan, peers, request.Units)
}

// run ticks the tracker and saves its changes until the context ends, and then saves once
// more, unless the gateway was killed. It runs in its own goroutine, which must end before the
// node's event loop does.
func (r *usageRecorder) run(ctx context.Context) {
	ticker := time.NewTicker(usageTickInterval)
	defer ticker.Stop()
	savedAt := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if r.storage != nil && !r.gateway.killed.Load() {
				r.storage.save(context.WithoutCancel(ctx))
			}
			return
		}
		//nolint:contextcheck // calls to the counter end at their own timeout, or when the client is closed
		r.gateway.node.Do(func() { r.execute(r.tracker.Tick(r.gateway.options.WallClock())) })
		if r.storage != nil && time.Since(savedAt) >= usageSaveInterval {
			savedAt = time.Now()
			r.storage.save(ctx)
		}
	}
}

// execute executes the tracker's actions.
func (r *usageRecorder) execute(actions []usage.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case usage.CounterCall:
			r.call(action)
		case usage.PeerMessage:
			r.sendToPeer(action.To, r.codec.encode(action.Entries))
		case usage.RestoreLevel:
			r.gateway.node.SetUsageLevel(action.Customer, action.Units)
		case usage.ShardStateChanged:
			r.logShardState(action)
		}
	}
}

// call sends a call to the counter. The response is handled in the node's event loop.
func (r *usageRecorder) call(call usage.CounterCall) {
	r.client.Do(call, func(response usage.CounterResponse) {
		r.gateway.node.DoWithResponse(func() {
			r.execute(r.tracker.HandleResponse(r.gateway.options.WallClock(), call.ID, response))
		})
	})
}

func (r *usageRecorder) logShardState(change usage.ShardStateChanged) {
	log := r.gateway.options.Log.Warn
	if change.State == usage.Healthy {
		log = r.gateway.options.Log.Info
	}
	log("counter shard state changed",
		"shard", change.Shard, "state", change.State.String(), "evidence", change.Evidence.String())
}

// receivePeerMessage handles a message from a peer and reports whether it is a usage message. It may
// be called from any goroutine. A malformed usage message is dropped.
func (r *usageRecorder) receivePeerMessage(from int, message []byte) bool {
	if !isUsageMessage(message) {
		return false
	}
	if entries, err := r.codec.decode(from, message); err == nil {
		r.gateway.node.Do(func() { r.tracker.MergeFromPeer(r.gateway.options.WallClock(), from, entries) })
	}
	return true
}
