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

// stage is a day under way.
type stage struct {
	s         *Script
	o         Options
	begun     time.Time
	closes    []func()
	racks     []*catalogue.DedupScope
	servers   []*box
	auth      *authoriser.Server
	counters  []*counter.Server
	counterAt []string
	discovery *discovery.Server
	edsAddr   string
	authAddr  string
	http      []string // of the nodes, by number
	http2     []string
	extAuthz  []string
	peer      []string
	proxies   []string
	configs   [][]byte
	asked     atomic.Int64      // nodes that clients ask
	relays    map[[2]int]*relay // by sender and receiver
	fronts    []*proxy.Server   // the proxies, by the node they ask

	mu     sync.Mutex
	nodes  []Node             // nil: a spare that does not run
	roster *membership.Roster // nil: the fleet does not change
	list   []discovery.Endpoint
	colds  []*catalogue.Server // those that started cold
	record audit.Record
	errs   []error
}

// box is the place of one catalogue server, which may be taken and put back.
type box struct {
	name    string
	address string
	rack    int
	server  *catalogue.Server
}

func (d *stage) close() {
	d.mu.Lock()
	nodes := d.nodes
	d.mu.Unlock()
	for _, n := range nodes {
		if n != nil {
			n.Kill()
		}
	}
	for i := len(d.closes) - 1; i >= 0; i-- {
		d.closes[i]()
	}
}

// serve opens an address for a stand-in.
func (d *stage) serve(host, address string, serve func(net.Listener) error, kill func()) error {
	l, err := d.o.Environment.Network(host).Listen(address)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(l)
	}()
	d.closes = append(d.closes, func() {
		kill()
		<-done
	})
	return nil
}

func (d *stage) open() error {
	var err error
	address := func() string {
		a, e := d.o.Environment.NewAddress()
		if e != nil {
			err = e
		}
		return a
	}
	s := d.s
	d.record = audit.Record{Classes: map[string]audit.Class{}, Ceilings: map[string]audit.Ceiling{},
		DrainGrace: dur(s.Servers.DrainGrace), Tolerance: d.o.Environment.RecordTolerance()}
	for _, c := range s.Classes {
		d.record.Classes[c.Name] = audit.Class{Effect: c.Effect, DedupWindow: dur(c.DedupWindow), GlobalDedup: c.DedupScope == "" || c.DedupScope == "all"}
	}
	for _, p := range s.Plans {
		if p.HardRate > 0 {
			d.record.Ceilings[p.Name] = audit.Ceiling{Rate: p.HardRate, Burst: p.HardBurst, Slack: max(1, 0.1*p.HardBurst)}
		}
	}
	for i := range s.Servers.DedupScopes {
		window := time.Duration(0)
		for _, c := range s.Classes {
			window = max(window, dur(c.DedupWindow))
		}
		d.racks = append(d.racks, &catalogue.DedupScope{Name: fmt.Sprint("rack-", i), Window: window})
	}
	for i := range s.Servers.Count {
		b := &box{name: fmt.Sprint("server-", i), address: address(), rack: i % s.Servers.DedupScopes}
		d.servers = append(d.servers, b)
		if err != nil {
			return err
		}
		if err := d.startServer(b, false); err != nil {
			return err
		}
	}
	d.auth, d.authAddr = authoriser.New(), address()
	if err := d.serve("authoriser", d.authAddr, d.auth.Serve, d.auth.Kill); err != nil {
		return err
	}
	if s.Counter != nil {
		for range s.Counter.Shards {
			c, a := counter.New(), address()
			d.counters, d.counterAt = append(d.counters, c), append(d.counterAt, a)
			if err := d.serve("counter", a, c.Serve, c.Kill); err != nil {
				return err
			}
		}
	}
	d.discovery = discovery.New("catalogue", dur(s.Servers.UpdateDelay), func(t audit.EndpointUpdate) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.record.EndpointUpdates = append(d.record.EndpointUpdates, t)
	})
	d.edsAddr = address()
	if err := d.serve("discovery", d.edsAddr, d.discovery.Serve, d.discovery.Kill); err != nil {
		return err
	}
	d.discovery.SetEndpoints(d.list)
	total := s.Nodes + s.Spares
	d.asked.Store(int64(s.Nodes))
	for range total {
		d.http, d.extAuthz = append(d.http, address()), append(d.extAuthz, address())
		d.peer, d.proxies = append(d.peer, address()), append(d.proxies, address())
		d.http2 = append(d.http2, address())
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
		cfg, err := d.config(i)
		if err != nil {
			return err
		}
		d.configs = append(d.configs, cfg)
		d.nodes = append(d.nodes, nil)
		if i < s.Nodes {
			if err := d.writeRoster(i); err != nil {
				return err
			}
			if d.nodes[i], err = d.o.Environment.StartNode(i, cfg); err != nil {
				return err
			}
		}
		d.fronts = append(d.fronts, nil)
		if err := d.startProxy(i); err != nil {
			return err
		}
	}
	return d.ready()
}

// ready waits until every node takes connections.
func (d *stage) ready() error {
	for i, a := range d.http[:d.asked.Load()] {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		for {
			c, err := d.o.Environment.Network("clients").Dial(ctx, a)
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
func (d *stage) startProxy(i int) error {
	p, err := proxy.New(proxy.Options{Network: d.o.Environment.Network("proxy"), Gateway: d.extAuthz[i], DefaultTimeout: 5 * time.Second})
	if err != nil {
		return err
	}
	if err := d.serve("proxy", d.proxies[i], p.Serve, p.Kill); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fronts[i] = p
	return nil
}

// startServer starts the server of a box, cold or long warm.
func (d *stage) startServer(b *box, cold bool) error {
	v := d.s.Servers
	o := catalogue.Options{Name: b.name, DedupScope: d.racks[b.rack], Cores: v.Cores, QueueLength: v.QueueLength,
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
		o.InitialCapacity, o.WarmupTime, o.ColdOverloadFactor, o.ColdOverloadTime = v.InitialCapacity, dur(v.WarmupTime), v.ColdOverloadFactor, dur(v.ColdOverloadTime)
	}
	for _, c := range d.s.Classes {
		o.Classes = append(o.Classes, catalogue.Class{Name: c.Name, Method: c.Method, PathPrefix: c.PathPrefix, Work: dur(c.ServiceTime),
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
		d.colds = append(d.colds, server)
	}
	e := discovery.Endpoint{Name: b.name, Address: b.address, Zone: fmt.Sprint("room-", b.rack), Cell: b.rack}
	if cold {
		e.Started = time.Now()
	}
	d.list = append(d.list, e)
	return nil
}

func (d *stage) say(format string, args ...any) {
	d.o.Progress(fmt.Sprintf("%5.1fs  ", time.Since(d.begun).Seconds()) + strings.TrimSpace(fmt.Sprintf(format, args...)))
}

func (d *stage) progress(ctx context.Context, c *callers) {
	for range int(dur(d.s.Length) / (5 * time.Second)) {
		if !sleep(ctx, 5*time.Second) {
			return
		}
		n := c.count()
		d.say("%d tries, %d served, %d refused, %d failed, %d without an answer", n[""]+n["served"]+n["refused"]+n["failed"],
			n["served"], n["refused"], n["failed"], n[""])
	}
}
