package day

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/standin/authoriser"
	"yardcleat.example/yardcleat/standin/catalogue"
	"yardcleat.example/yardcleat/standin/counter"
	"yardcleat.example/yardcleat/standin/discovery"
	"yardcleat.example/yardcleat/standin/proxy"
)

// scenarioRun is a scenario in progress.
type scenarioRun struct {
	script            *Script
	options           Options
	startedAt         time.Time
	closers           []func()
	dedupScopes       []*catalogue.DedupScope
	servers           []*serverSlot
	authorizer        *authoriser.Server
	counters          []*counter.Server
	counterAddresses  []string
	discovery         *discovery.Server
	discoveryAddress  string
	authorizerAddress string
	httpAddresses     []string // by node number, like the addresses below
	http2Addresses    []string
	extAuthzAddresses []string
	peerAddresses     []string
	proxyAddresses    []string
	nodeConfigs       [][]byte
	clientNodes       atomic.Int64      // number of nodes that clients use
	relays            map[[2]int]*relay // by sender and receiver
	proxies           []*proxy.Server   // by node number

	mu          sync.Mutex
	nodes       []Node             // nil for a spare that does not run
	roster      *membership.Roster // nil if the membership does not change
	endpoints   []discovery.Endpoint
	coldServers []*catalogue.Server // servers that started cold
	record      audit.Record
	errs        []error
}

// serverSlot is the identity of a catalogue server, which may be killed and started again.
type serverSlot struct {
	name       string
	address    string
	dedupScope int
	server     *catalogue.Server
}

func (run *scenarioRun) close() {
	run.mu.Lock()
	nodes := run.nodes
	run.mu.Unlock()
	for _, n := range nodes {
		if n != nil {
			n.Kill()
		}
	}
	for i := len(run.closers) - 1; i >= 0; i-- {
		run.closers[i]()
	}
}

// serve listens on an address and runs a fake there until the scenario run is closed.
func (run *scenarioRun) serve(host, address string, serve func(net.Listener) error, kill func()) error {
	listener, err := run.options.Environment.Network(host).Listen(address)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(listener)
	}()
	run.closers = append(run.closers, func() {
		kill()
		<-done
	})
	return nil
}

func (run *scenarioRun) start() error {
	var err error
	address := func() string {
		a, e := run.options.Environment.NewAddress()
		if e != nil {
			err = e
		}
		return a
	}
	script := run.script
	run.record = audit.Record{Classes: map[string]audit.Class{}, Ceilings: map[string]audit.Ceiling{},
		DrainGrace: toDuration(script.Servers.DrainGrace), Tolerance: run.options.Environment.RecordTolerance()}
	for _, c := range script.Classes {
		run.record.Classes[c.Name] = audit.Class{Effect: c.Effect, DedupWindow: toDuration(c.DedupWindow), GlobalDedup: c.DedupScope == "" || c.DedupScope == "all"}
	}
	for _, p := range script.Plans {
		if p.HardRate > 0 {
			run.record.Ceilings[p.Name] = audit.Ceiling{Rate: p.HardRate, Burst: p.HardBurst, Slack: max(1, 0.1*p.HardBurst)}
		}
	}
	for i := range script.Servers.DedupScopes {
		window := time.Duration(0)
		for _, c := range script.Classes {
			window = max(window, toDuration(c.DedupWindow))
		}
		run.dedupScopes = append(run.dedupScopes, &catalogue.DedupScope{Name: fmt.Sprint("rack-", i), Window: window})
	}
	for i := range script.Servers.Count {
		slot := &serverSlot{name: fmt.Sprint("server-", i), address: address(), dedupScope: i % script.Servers.DedupScopes}
		run.servers = append(run.servers, slot)
		if err != nil {
			return err
		}
		if err := run.startServer(slot, false); err != nil {
			return err
		}
	}
	run.authorizer, run.authorizerAddress = authoriser.New(), address()
	if err := run.serve("authoriser", run.authorizerAddress, run.authorizer.Serve, run.authorizer.Kill); err != nil {
		return err
	}
	if script.Counter != nil {
		for range script.Counter.Shards {
			c, a := counter.New(), address()
			run.counters, run.counterAddresses = append(run.counters, c), append(run.counterAddresses, a)
			if err := run.serve("counter", a, c.Serve, c.Kill); err != nil {
				return err
			}
		}
	}
	run.discovery = discovery.New("catalogue", toDuration(script.Servers.UpdateDelay), func(update audit.EndpointUpdate) {
		run.mu.Lock()
		defer run.mu.Unlock()
		run.record.EndpointUpdates = append(run.record.EndpointUpdates, update)
	})
	run.discoveryAddress = address()
	if err := run.serve("discovery", run.discoveryAddress, run.discovery.Serve, run.discovery.Kill); err != nil {
		return err
	}
	run.discovery.SetEndpoints(run.endpoints)
	nodeCount := script.Nodes + script.Spares
	run.clientNodes.Store(int64(script.Nodes))
	for range nodeCount {
		run.httpAddresses, run.extAuthzAddresses = append(run.httpAddresses, address()), append(run.extAuthzAddresses, address())
		run.peerAddresses, run.proxyAddresses = append(run.peerAddresses, address()), append(run.proxyAddresses, address())
		run.http2Addresses = append(run.http2Addresses, address())
	}
	if err != nil {
		return err
	}
	if script.Spares > 0 {
		run.roster = &membership.Roster{Epoch: 1}
		for i := range script.Nodes {
			run.roster.Nodes = append(run.roster.Nodes, membership.Node{Name: nodeName(i), Address: nodeName(i) + ":1"})
		}
	}
	for i := range nodeCount {
		cfg, err := run.renderNodeConfig(i)
		if err != nil {
			return err
		}
		run.nodeConfigs = append(run.nodeConfigs, cfg)
		run.nodes = append(run.nodes, nil)
		if i < script.Nodes {
			if err := run.writeRoster(i); err != nil {
				return err
			}
			if run.nodes[i], err = run.options.Environment.StartNode(i, cfg); err != nil {
				return err
			}
		}
		run.proxies = append(run.proxies, nil)
		if err := run.startProxy(i); err != nil {
			return err
		}
	}
	return run.waitUntilReady()
}

// waitUntilReady waits until each node that clients use accepts connections.
func (run *scenarioRun) waitUntilReady() error {
	for i, address := range run.httpAddresses[:run.clientNodes.Load()] {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		for {
			conn, err := run.options.Environment.Network("clients").Dial(ctx, address)
			if err == nil {
				conn.Close()
				break
			}
			if !sleep(ctx, 20*time.Millisecond) {
				cancel()
				return fmt.Errorf("node %d accepts no connections: %w", i, err)
			}
		}
		cancel()
	}
	return nil
}

// startProxy starts the proxy in front of a node.
func (run *scenarioRun) startProxy(i int) error {
	p, err := proxy.New(proxy.Options{Network: run.options.Environment.Network("proxy"), Gateway: run.extAuthzAddresses[i], DefaultTimeout: 5 * time.Second})
	if err != nil {
		return err
	}
	if err := run.serve("proxy", run.proxyAddresses[i], p.Serve, p.Kill); err != nil {
		return err
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.proxies[i] = p
	return nil
}

// startServer starts the server of a slot, either cold or fully warm.
func (run *scenarioRun) startServer(slot *serverSlot, cold bool) error {
	settings := run.script.Servers
	options := catalogue.Options{Name: slot.name, DedupScope: run.dedupScopes[slot.dedupScope], Cores: settings.Cores, QueueLength: settings.QueueLength,
		Record: func(attempt audit.AttemptRecord) {
			run.mu.Lock()
			defer run.mu.Unlock()
			run.record.Attempts = append(run.record.Attempts, attempt)
		},
		OnColdOverload: func(overload audit.ColdOverload) {
			run.mu.Lock()
			defer run.mu.Unlock()
			run.record.ColdOverloads = append(run.record.ColdOverloads, overload)
		}}
	if cold {
		options.InitialCapacity, options.WarmupTime, options.ColdOverloadFactor, options.ColdOverloadTime = settings.InitialCapacity, toDuration(settings.WarmupTime), settings.ColdOverloadFactor, toDuration(settings.ColdOverloadTime)
	}
	for _, c := range run.script.Classes {
		options.Classes = append(options.Classes, catalogue.Class{Name: c.Name, Method: c.Method, PathPrefix: c.PathPrefix, Work: toDuration(c.ServiceTime),
			IdempotentWithKey: c.Effect == "keyed"})
	}
	server := catalogue.New(options)
	if err := run.serve(slot.name, slot.address, server.Serve, server.Kill); err != nil {
		return err
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	slot.server = server
	if cold {
		run.coldServers = append(run.coldServers, server)
	}
	endpoint := discovery.Endpoint{Name: slot.name, Address: slot.address, Zone: fmt.Sprint("room-", slot.dedupScope), Cell: slot.dedupScope}
	if cold {
		endpoint.Started = time.Now()
	}
	run.endpoints = append(run.endpoints, endpoint)
	return nil
}

func (run *scenarioRun) logf(format string, args ...any) {
	run.options.Progress(fmt.Sprintf("%5.1fs  ", time.Since(run.startedAt).Seconds()) + strings.TrimSpace(fmt.Sprintf(format, args...)))
}

func (run *scenarioRun) logOutcomeCounts(ctx context.Context, c *clients) {
	for range int(toDuration(run.script.Length) / (5 * time.Second)) {
		if !sleep(ctx, 5*time.Second) {
			return
		}
		counts := c.outcomeCounts()
		run.logf("%d tries, %d served, %d refused, %d failed, %d without an answer", counts[""]+counts["served"]+counts["refused"]+counts["failed"],
			counts["served"], counts["refused"], counts["failed"], counts[""])
	}
}
