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

// scenarioRun is a day under way.
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
	httpAddresses     []string // of the nodes, by number
	http2Addresses    []string
	extAuthzAddresses []string
	peerAddresses     []string
	proxyAddresses    []string
	nodeConfigs       [][]byte
	clientNodes       atomic.Int64      // nodes that clients ask
	relays            map[[2]int]*relay // by sender and receiver
	proxies           []*proxy.Server   // the proxies, by the node they ask

	mu          sync.Mutex
	nodes       []Node             // nil: a spare that does not run
	roster      *membership.Roster // nil: the fleet does not change
	endpoints   []discovery.Endpoint
	coldServers []*catalogue.Server // those that started cold
	record      audit.Record
	errs        []error
}

// serverSlot is the place of one catalogue server, which may be taken and put back.
type serverSlot struct {
	name    string
	address string
	rack    int
	server  *catalogue.Server
}

func (d *scenarioRun) close() {
	d.mu.Lock()
	nodes := d.nodes
	d.mu.Unlock()
	for _, n := range nodes {
		if n != nil {
			n.Kill()
		}
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// serve opens an address for a stand-in.
func (d *scenarioRun) serve(host, address string, serve func(net.Listener) error, kill func()) error {
	l, err := d.options.Environment.Network(host).Listen(address)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(l)
	}()
	d.closers = append(d.closers, func() {
		kill()
		<-done
	})
	return nil
}

func (d *scenarioRun) start() error {
	var err error
	address := func() string {
		a, e := d.options.Environment.NewAddress()
		if e != nil {
			err = e
		}
		return a
	}
	s := d.script
	d.record = audit.Record{Classes: map[string]audit.Class{}, Ceilings: map[string]audit.Ceiling{},
		DrainGrace: parseDuration(s.Servers.DrainGrace), Tolerance: d.options.Environment.RecordTolerance()}
	for _, c := range s.Classes {
		d.record.Classes[c.Name] = audit.Class{Effect: c.Effect, DedupWindow: parseDuration(c.DedupWindow), GlobalDedup: c.DedupScope == "" || c.DedupScope == "all"}
	}
	for _, p := range s.Plans {
		if p.HardRate > 0 {
			d.record.Ceilings[p.Name] = audit.Ceiling{Rate: p.HardRate, Burst: p.HardBurst, Slack: max(1, 0.1*p.HardBurst)}
		}
	}
	for i := range s.Servers.DedupScopes {
		window := time.Duration(0)
		for _, c := range s.Classes {
			window = max(window, parseDuration(c.DedupWindow))
		}
		d.dedupScopes = append(d.dedupScopes, &catalogue.DedupScope{Name: fmt.Sprint("rack-", i), Window: window})
	}
	for i := range s.Servers.Count {
		b := &serverSlot{name: fmt.Sprint("server-", i), address: address(), rack: i % s.Servers.DedupScopes}
		d.servers = append(d.servers, b)
		if err != nil {
			return err
		}
		if err := d.startServer(b, false); err != nil {
			return err
		}
	}
	d.authorizer, d.authorizerAddress = authoriser.New(), address()
	if err := d.serve("authoriser", d.authorizerAddress, d.authorizer.Serve, d.authorizer.Kill); err != nil {
		return err
	}
	if s.Counter != nil {
		for range s.Counter.Shards {
			c, a := counter.New(), address()
			d.counters, d.counterAddresses = append(d.counters, c), append(d.counterAddresses, a)
			if err := d.serve("counter", a, c.Serve, c.Kill); err != nil {
				return err
			}
		}
	}
	d.discovery = discovery.New("catalogue", parseDuration(s.Servers.UpdateDelay), func(t audit.EndpointUpdate) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.record.EndpointUpdates = append(d.record.EndpointUpdates, t)
	})
	d.discoveryAddress = address()
	if err := d.serve("discovery", d.discoveryAddress, d.discovery.Serve, d.discovery.Kill); err != nil {
		return err
	}
	d.discovery.SetEndpoints(d.endpoints)
	total := s.Nodes + s.Spares
	d.clientNodes.Store(int64(s.Nodes))
	for range total {
		d.httpAddresses, d.extAuthzAddresses = append(d.httpAddresses, address()), append(d.extAuthzAddresses, address())
		d.peerAddresses, d.proxyAddresses = append(d.peerAddresses, address()), append(d.proxyAddresses, address())
		d.http2Addresses = append(d.http2Addresses, address())
	}
	if err != nil {
		return err
	}
	if s.Spares > 0 {
		d.roster = &membership.Roster{Epoch: 1}
		for i := range s.Nodes {
			d.roster.Nodes = append(d.roster.Nodes, membership.Node{Name: nodeName(i), Address: nodeName(i) + ":1"})
		}
	}
	for i := range total {
		cfg, err := d.renderNodeConfig(i)
		if err != nil {
			return err
		}
		d.nodeConfigs = append(d.nodeConfigs, cfg)
		d.nodes = append(d.nodes, nil)
		if i < s.Nodes {
			if err := d.writeRoster(i); err != nil {
				return err
			}
			if d.nodes[i], err = d.options.Environment.StartNode(i, cfg); err != nil {
				return err
			}
		}
		d.proxies = append(d.proxies, nil)
		if err := d.startProxy(i); err != nil {
			return err
		}
	}
	return d.waitUntilReady()
}

// waitUntilReady waits until every node takes connections.
func (d *scenarioRun) waitUntilReady() error {
	for i, a := range d.httpAddresses[:d.clientNodes.Load()] {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		for {
			c, err := d.options.Environment.Network("clients").Dial(ctx, a)
			if err == nil {
				c.Close()
				break
			}
			if !sleep(ctx, 20*time.Millisecond) {
				cancel()
				return fmt.Errorf("node %d takes no connections: %w", i, err)
			}
		}
		cancel()
	}
	return nil
}

// startProxy starts the proxy before a node.
func (d *scenarioRun) startProxy(i int) error {
	p, err := proxy.New(proxy.Options{Network: d.options.Environment.Network("proxy"), Gateway: d.extAuthzAddresses[i], DefaultTimeout: 5 * time.Second})
	if err != nil {
		return err
	}
	if err := d.serve("proxy", d.proxyAddresses[i], p.Serve, p.Kill); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proxies[i] = p
	return nil
}

// startServer starts the server of a box, cold or long warm.
func (d *scenarioRun) startServer(b *serverSlot, cold bool) error {
	v := d.script.Servers
	o := catalogue.Options{Name: b.name, DedupScope: d.dedupScopes[b.rack], Cores: v.Cores, QueueLength: v.QueueLength,
		Record: func(s audit.AttemptRecord) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.record.Attempts = append(d.record.Attempts, s)
		},
		OnColdOverload: func(f audit.ColdOverload) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.record.ColdOverloads = append(d.record.ColdOverloads, f)
		}}
	if cold {
		o.InitialCapacity, o.WarmupTime, o.ColdOverloadFactor, o.ColdOverloadTime = v.InitialCapacity, parseDuration(v.WarmupTime), v.ColdOverloadFactor, parseDuration(v.ColdOverloadTime)
	}
	for _, c := range d.script.Classes {
		o.Classes = append(o.Classes, catalogue.Class{Name: c.Name, Method: c.Method, PathPrefix: c.PathPrefix, Work: parseDuration(c.ServiceTime),
			IdempotentWithKey: c.Effect == "keyed"})
	}
	server := catalogue.New(o)
	if err := d.serve(b.name, b.address, server.Serve, server.Kill); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b.server = server
	if cold {
		d.coldServers = append(d.coldServers, server)
	}
	e := discovery.Endpoint{Name: b.name, Address: b.address, Zone: fmt.Sprint("room-", b.rack), Cell: b.rack}
	if cold {
		e.Started = time.Now()
	}
	d.endpoints = append(d.endpoints, e)
	return nil
}

func (d *scenarioRun) logf(format string, args ...any) {
	d.options.Progress(fmt.Sprintf("%5.1fs  ", time.Since(d.startedAt).Seconds()) + strings.TrimSpace(fmt.Sprintf(format, args...)))
}

func (d *scenarioRun) logOutcomeCounts(ctx context.Context, c *clients) {
	for range int(parseDuration(d.script.Length) / (5 * time.Second)) {
		if !sleep(ctx, 5*time.Second) {
			return
		}
		n := c.outcomeCounts()
		d.logf("%d tries, %d served, %d refused, %d failed, %d without an answer", n[""]+n["served"]+n["refused"]+n["failed"],
			n["served"], n["refused"], n["failed"], n[""])
	}
}
