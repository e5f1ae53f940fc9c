package day

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/template"
	"time"

	"github.com/zeebo/blake3"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/membership"
	"yardcleat.example/yardcleat/standin/authoriser"
	"yardcleat.example/yardcleat/standin/catalogue"
	"yardcleat.example/yardcleat/standin/counter"
	"yardcleat.example/yardcleat/standin/discovery"
	"yardcleat.example/yardcleat/standin/proxy"
)

// Options is what Run takes beside a script.
type Options struct {
	Env      Env
	Progress func(string) // lines to show; nil: none
}

// Run plays a script and reports.
func Run(ctx context.Context, s *Script, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	d := &stage{s: s, o: o, begun: time.Now(), relays: map[[2]int]*relay{}}
	defer d.close()
	if err := d.open(); err != nil {
		return nil, err
	}
	// Nodes need a moment to hear of each other.
	sleep(ctx, time.Second)
	d.begun = time.Now()
	callers := newCallers(d)
	var playing sync.WaitGroup
	for _, f := range s.Faults {
		playing.Go(func() {
			if sleep(ctx, dur(f.At)) {
				d.play(ctx, f)
			}
		})
	}
	playing.Go(func() { d.progress(ctx, callers) })
	callers.run(ctx, dur(s.Length))
	playing.Wait()
	if len(d.counters) > 0 {
		sleep(ctx, 5*time.Second) // the last totals are added
	}
	for i, n := range d.nodes {
		if n == nil {
			continue
		}
		if err := n.End(); err != nil {
			d.errs = append(d.errs, fmt.Errorf("node %d at its end: %w", i, err))
		}
	}
	d.nodes = nil
	callers.close()
	d.mu.Lock()
	d.record.Tried = callers.tried
	d.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return d.report(), nil
}

// sleep waits; false where the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stage is a day under way.
type stage struct {
	s         *Script
	o         Options
	begun     time.Time
	closes    []func()
	racks     []*catalogue.Rack
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
	l, err := d.o.Env.Network(host).Listen(address)
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
		a, e := d.o.Env.Address()
		if e != nil {
			err = e
		}
		return a
	}
	s := d.s
	d.record = audit.Record{Classes: map[string]audit.Class{}, Ceilings: map[string]audit.Ceiling{},
		Grace: dur(s.Servers.Grace), Slop: d.o.Env.Slop()}
	for _, c := range s.Classes {
		d.record.Classes[c.Name] = audit.Class{Effect: c.Effect, Window: dur(c.Window), GroupAll: c.Group == "" || c.Group == "all"}
	}
	for _, p := range s.Plans {
		if p.HardRate > 0 {
			d.record.Ceilings[p.Name] = audit.Ceiling{Rate: p.HardRate, Burst: p.HardBurst, Slack: max(1, 0.1*p.HardBurst)}
		}
	}
	for i := range s.Servers.Racks {
		window := time.Duration(0)
		for _, c := range s.Classes {
			window = max(window, dur(c.Window))
		}
		d.racks = append(d.racks, &catalogue.Rack{Name: fmt.Sprint("rack-", i), Window: window})
	}
	for i := range s.Servers.Count {
		b := &box{name: fmt.Sprint("server-", i), address: address(), rack: i % s.Servers.Racks}
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
		for range s.Counter.Parts {
			c, a := counter.New(), address()
			d.counters, d.counterAt = append(d.counters, c), append(d.counterAt, a)
			if err := d.serve("counter", a, c.Serve, c.Kill); err != nil {
				return err
			}
		}
	}
	d.discovery = discovery.New("catalogue", dur(s.Servers.Late), func(t audit.Told) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.record.Told = append(d.record.Told, t)
	})
	d.edsAddr = address()
	if err := d.serve("discovery", d.edsAddr, d.discovery.Serve, d.discovery.Kill); err != nil {
		return err
	}
	d.discovery.Set(d.list)
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
			if d.nodes[i], err = d.o.Env.Start(i, cfg); err != nil {
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
			c, err := d.o.Env.Network("clients").Dial(ctx, a)
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
	p, err := proxy.New(proxy.Options{Network: d.o.Env.Network("proxy"), Gateway: d.extAuthz[i], Patience: 5 * time.Second})
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
	o := catalogue.Options{Name: b.name, Rack: d.racks[b.rack], Cores: v.Cores, Queue: v.Queue,
		Record: func(s audit.Seen) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.record.Seen = append(d.record.Seen, s)
		},
		Fell: func(f audit.Fell) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.record.Fell = append(d.record.Fell, f)
		}}
	if cold {
		o.ColdShare, o.WarmWithin, o.FallMultiple, o.FallTime = v.ColdShare, dur(v.WarmWithin), v.FallMultiple, dur(v.FallTime)
	}
	for _, c := range d.s.Classes {
		o.Classes = append(o.Classes, catalogue.Class{Name: c.Name, Method: c.Method, Prefix: c.Path, Work: dur(c.Work),
			Keyed: c.Effect == "keyed"})
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

// delist changes discovery's list: a server drains, or is gone.
func (d *stage) delist(b *box, gone bool) {
	d.mu.Lock()
	var list []discovery.Endpoint
	for _, e := range d.list {
		if e.Name == b.name {
			if gone {
				continue
			}
			e.Draining = true
		}
		list = append(list, e)
	}
	d.list = list
	d.mu.Unlock()
	d.discovery.Set(list)
}

func (d *stage) down(node int, from time.Time, killed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Down = append(d.record.Down, audit.Down{Node: node, From: from, To: time.Now(), Killed: killed})
}

// play carries out one fault, and takes it back after its time.
func (d *stage) play(ctx context.Context, f Fault) {
	d.say("%s %d %s", f.Kind, f.Target, f.Arg)
	end := func(err error) {
		if err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.errs = append(d.errs, fmt.Errorf("fault %s: %w", f.Kind, err))
		}
	}
	d.mu.Lock()
	b := d.servers[f.Target%len(d.servers)]
	server := b.server
	d.mu.Unlock()
	during := func(set, unset func() error) {
		end(set())
		sleep(ctx, dur(f.For))
		end(unset())
	}
	switch f.Kind {
	case "node-kill":
		end(d.killNode(ctx, f.Target, dur(f.For)))
	case "node-stop":
		from := time.Now()
		d.mu.Lock()
		n := d.nodes[f.Target]
		d.mu.Unlock()
		n.Stop(dur(f.For))
		d.down(f.Target, from, false)
	case "server-drain":
		d.delist(b, false)
		sleep(ctx, dur(f.For))
		server.Kill()
		d.delist(b, true)
	case "server-vanish":
		server.Kill()
		sleep(ctx, dur(f.For))
		d.delist(b, true)
	case "server-return":
		end(d.startServer(b, true))
		d.mu.Lock()
		list := d.list
		d.mu.Unlock()
		d.discovery.Set(list)
	case "server-flap":
		d.mu.Lock()
		var kept, off []discovery.Endpoint
		for _, e := range d.list {
			if e.Name == b.name {
				off = append(off, e)
			} else {
				kept = append(kept, e)
			}
		}
		d.list = kept
		d.mu.Unlock()
		d.discovery.Set(kept)
		sleep(ctx, dur(f.For))
		d.mu.Lock()
		d.list = append(slices.Clone(d.list), off...)
		list := d.list
		d.mu.Unlock()
		d.discovery.Set(list)
	case "fleet-grow", "fleet-shrink":
		end(d.changeFleet(ctx, f))
	case "node-kill-start":
		end(d.killTwice(ctx, f))
	case "proxy-kill":
		d.mu.Lock()
		p := d.fronts[f.Target]
		d.mu.Unlock()
		from := time.Now()
		p.Kill()
		sleep(ctx, dur(f.For))
		end(d.startProxy(f.Target))
		d.mu.Lock()
		d.record.ProxyDown = append(d.record.ProxyDown, audit.Down{Node: f.Target, From: from, To: time.Now()})
		d.mu.Unlock()
	case "peers-cut":
		to, _ := strconv.Atoi(f.Arg)
		during(func() error { d.relays[[2]int{f.Target, to}].lose(1); return nil },
			func() error { d.relays[[2]int{f.Target, to}].lose(0); return nil })
	case "discovery-silent":
		during(func() error { return d.discovery.Do("silent") }, func() error { return d.discovery.Do("ok") })
	case "discovery-bad", "discovery-cut":
		end(d.discovery.Do(strings.TrimPrefix(f.Kind, "discovery-")))
	case "clock-set":
		set, ok := d.o.Env.(interface{ SetWall(int, time.Duration) })
		if !ok {
			d.say("clock-set: the machine's clock is not ours to set; left out")
			break
		}
		during(func() error { set.SetWall(f.Target, dur(f.Arg)); return nil }, func() error { set.SetWall(f.Target, 0); return nil })
	case "authoriser-slow", "authoriser-silent":
		during(func() error { return d.auth.Do(strings.TrimPrefix(f.Kind, "authoriser-"), f.Arg) },
			func() error { return d.auth.Do("ok", "") })
	case "peers-lose":
		share, _ := strconv.ParseFloat(f.Arg, 64)
		during(func() error { d.lose(share); return nil }, func() error { d.lose(0); return nil })
	case "counter-silent", "counter-refuse", "counter-lose", "counter-slow":
		c := d.counters[f.Target]
		during(func() error { return c.Do(strings.TrimPrefix(f.Kind, "counter-"), f.Arg) }, func() error { return c.Do("ok", "") })
	case "counter-empty", "counter-save", "counter-restore", "counter-split", "counter-heal":
		end(d.counters[f.Target].Do(strings.TrimPrefix(f.Kind, "counter-"), f.Arg))
	default:
		during(func() error { return server.Do(strings.TrimPrefix(f.Kind, "server-"), f.Arg) },
			func() error { return server.Do("ok", "") })
	}
	d.say("%s %d %s is over", f.Kind, f.Target, f.Arg)
}

func nodeName(i int) string { return fmt.Sprint("node-", i) }

// writeRoster gives a node the roster as it reaches the others: each by its own relay.
func (d *stage) writeRoster(i int) error {
	if d.roster == nil {
		return nil
	}
	dir, err := d.o.Env.Dir(i)
	if err != nil {
		return err
	}
	d.mu.Lock()
	r := *d.roster
	d.mu.Unlock()
	at := func(k int) string {
		if k == i {
			return d.peer[i]
		}
		return d.relays[[2]int{i, k}].address
	}
	r.Nodes, r.Leaving = slices.Clone(r.Nodes), slices.Clone(r.Leaving)
	for k := range r.Nodes {
		r.Nodes[k].Address = at(k)
	}
	for k := range r.Leaving {
		r.Leaving[k].Address = at(r.Leaving[k].Number)
	}
	path := filepath.Join(dir, "roster.hcl")
	if err := os.WriteFile(path+".new", config.WriteRoster(&r), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// changeFleet has spares join or leave. The nodes read of it one after the other, in
// an order drawn from the seed.
func (d *stage) changeFleet(ctx context.Context, f Fault) error {
	n, _ := strconv.Atoi(f.Arg)
	d.mu.Lock()
	old := len(d.roster.Nodes)
	list := slices.Clone(d.roster.Nodes)
	if f.Kind == "fleet-shrink" {
		list = list[:old-n]
	} else {
		for i := range n {
			list = append(list, membership.Node{Name: nodeName(old + i), Address: nodeName(old+i) + ":1"})
		}
	}
	// Who left by an earlier change has ended since: the day vouches for it.
	var gone []string
	for _, l := range d.roster.Leaving {
		if d.nodes[l.Number] == nil {
			gone = append(gone, l.Name)
		}
	}
	r, err := d.roster.Next(list, gone)
	if err == nil {
		*d.roster = r
	}
	d.mu.Unlock()
	if err != nil {
		return err
	}
	if len(list) < old {
		d.asked.Store(int64(len(list))) // their addresses are withdrawn first
	}
	order := rand.New(rand.NewPCG(uint64(d.s.Seed), r.Epoch)).Perm(max(old, len(list)))
	for _, i := range order {
		sleep(ctx, dur(f.For)/time.Duration(len(order)))
		if err := d.writeRoster(i); err != nil {
			return err
		}
		if i >= old {
			n, err := d.o.Env.Start(i, d.configs[i])
			if err != nil {
				return err
			}
			d.mu.Lock()
			d.nodes[i] = n
			d.mu.Unlock()
		}
	}
	if len(list) > old {
		sleep(ctx, time.Second)
		d.asked.Store(int64(len(list)))
		return d.ready()
	}
	sleep(ctx, 2*time.Second)
	for i := len(list); i < old; i++ {
		d.mu.Lock()
		n := d.nodes[i]
		d.nodes[i] = nil
		d.mu.Unlock()
		if err := n.End(); err != nil {
			return err
		}
	}
	return nil
}

// killTwice kills a node, starts it again, and kills it while it starts.
func (d *stage) killTwice(ctx context.Context, f Fault) error {
	from := time.Now()
	if err := d.restart(ctx, f.Target, dur(f.For)); err != nil {
		return err
	}
	sleep(ctx, dur(f.Arg))
	err := d.killNode(ctx, f.Target, dur(f.For))
	d.down(f.Target, from, true)
	return err
}

func (d *stage) killNode(ctx context.Context, i int, away time.Duration) error {
	from := time.Now()
	if err := d.restart(ctx, i, away); err != nil {
		return err
	}
	err := d.ready()
	d.down(i, from, true)
	return err
}

// restart kills a node and starts it again after a time.
func (d *stage) restart(ctx context.Context, i int, away time.Duration) error {
	d.mu.Lock()
	n := d.nodes[i]
	d.mu.Unlock()
	n.Kill()
	sleep(ctx, away)
	n, err := d.o.Env.Start(i, d.configs[i])
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[i] = n
	return nil
}

func (d *stage) lose(share float64) {
	for _, r := range d.relays {
		r.lose(share)
	}
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

// relay stands between a node and a peer, and loses what passes by chance.
type relay struct {
	address string
	pc      net.PacketConn
	to      net.Addr
	mu      sync.Mutex
	share   float64
	rng     *rand.Rand
}

func (r *relay) lose(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = share
}

func (r *relay) run() {
	b := make([]byte, 2048)
	for {
		n, _, err := r.pc.ReadFrom(b)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue
		}
		r.mu.Lock()
		lost := r.rng.Float64() < r.share
		r.mu.Unlock()
		if !lost {
			r.pc.WriteTo(b[:n], r.to)
		}
	}
}

// relayTo opens a relay to a node's peer address and returns its own.
func (d *stage) relayTo(from, to int) (string, error) {
	address, err := d.o.Env.Address()
	if err != nil {
		return "", err
	}
	n := d.o.Env.Network("relay")
	pc, err := n.ListenPacket(address)
	if err != nil {
		return "", err
	}
	dest, err := packetAddr(n, d.peer[to])
	if err != nil {
		return "", err
	}
	r := &relay{address: address, pc: pc, to: dest, rng: rand.New(rand.NewPCG(uint64(d.s.Seed), uint64(from*1000+to)))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run()
	}()
	d.closes = append(d.closes, func() {
		pc.Close()
		<-done
	})
	d.relays[[2]int{from, to}] = r
	return address, nil
}

// config writes a node's configuration.
func (d *stage) config(i int) ([]byte, error) {
	dir, err := d.o.Env.Dir(i)
	if err != nil {
		return nil, err
	}
	peers := map[int]string{}
	for k := range d.s.Nodes + d.s.Spares {
		if k == i {
			continue
		}
		if peers[k], err = d.relayTo(i, k); err != nil {
			return nil, err
		}
	}
	key := blake3.Sum256([]byte(fmt.Sprint("day ", d.s.Seed)))
	var b bytes.Buffer
	err = nodeConfig.Execute(&b, map[string]any{"S": d.s, "Number": i, "Zone": fmt.Sprint("room-", i%d.s.Servers.Racks),
		"Dir": dir, "HTTP": d.http[i], "HTTP2": d.http2[i], "ExtAuthz": d.extAuthz[i], "Peer": d.peer[i], "Peers": peers, "Key": hex.EncodeToString(key[:]),
		"Auth": d.authAddr, "EDS": d.edsAddr, "Customers": customers(d.s), "Counters": d.counterAt, "Roster": d.roster != nil})
	return b.Bytes(), err
}

var nodeConfig = template.Must(template.New("node").Parse(`# Written by "yardcleat day".
node {
  {{- if .Roster}}
  name      = "node-{{.Number}}"
  {{- else}}
  number    = {{.Number}}
  {{- end}}
  zone      = "{{.Zone}}"
  state_dir = "{{.Dir}}"
}
log { format = "json" }
listener "http" "desks" { address = "{{.HTTP}}" }
listener "http2" "kiosks" { address = "{{.HTTP2}}" }
listener "ext_authz" "proxies" { address = "{{.ExtAuthz}}" }
clients {
  max_retry_after = "1s"
}
{{range .S.Classes}}
class "{{.Name}}" {
  effect = "{{.Effect}}"
  {{- if .Group}}
  group = "{{.Group}}"
  {{- end}}
  {{- if .Window}}
  window = "{{.Window}}"
  {{- end}}
  aim = "{{.Aim}}"
  deadline = "{{.Deadline}}"
  {{- if .Units}}
  units = {{.Units}}
  {{- end}}
  {{- if .Authorisation}}
  authorisation = "{{.Authorisation}}"
  {{- end}}
  route {
    method = "{{.Method}}"
    path = "{{.Path}}{id}"
  }
}
{{end}}
{{- range .S.Plans}}
plan "{{.Name}}" {
  rate = {{.Rate}}
  burst = {{.Burst}}
  open = {{.Open}}
  hard_rate = {{.HardRate}}
  hard_burst = {{.HardBurst}}
}
{{end}}
{{- range .Customers}}
customer "{{.Name}}" {
  plan = "{{.Plan}}"
  keys = ["key-of-{{.Name}}"]
}
{{end}}
peers {
  listen = "{{.Peer}}"
  key = "{{.Key}}"
  mail_per_second = {{.S.Mail}}
  {{- if .Roster}}
  roster = "{{.Dir}}/roster.hcl"
  {{- else}}
  {{- range $n, $a := .Peers}}
  peer "{{$n}}" { address = "{{$a}}" }
  {{- end}}
  {{- end}}
}
authoriser {
  address = "{{.Auth}}"
  timeout = "200ms"
}
servers {
  eds {
    address = "{{.EDS}}"
    cluster = "catalogue"
  }
  turned_away {
    status = 503
    header = "x-not-run"
  }
  cold_share = {{.S.Servers.ColdShare}}
  warm_within = "{{.S.Servers.WarmWithin}}"
  fall_multiple = {{.S.Servers.FallMultiple}}
  fall_time = "{{.S.Servers.FallTime}}"
}
{{if .Counters}}
counter {
  addresses = [{{range .Counters}}"{{.}}", {{end}}]
  calls_per_second = {{.S.Counter.Calls}}
  window = "1h"
  keep = "24h"
}
{{end}}
limits { answer_margin = "50ms" }
`))
