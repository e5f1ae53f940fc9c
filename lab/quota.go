// Package lab runs experiments on the modules in simulated time: whole fleets
// with faults, beside plain ways that users might take instead. Its figures are
// simulated, and repeat from a seed.
package lab

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/usage"
)

// Method is a way of keeping quotas over a fleet.
type Method string

// The ways.
const (
	CounterFailOpen   Method = "counter asked, fails open"   // each request asks the counter
	CounterFailClosed Method = "counter asked, fails closed" // and is refused without an answer
	EvenShares        Method = "even parts"                  // each node has its part, no counter
	ReportsOnly       Method = "reports"                     // the module alone
	ReportsAndTracker Method = "reports and tally"           // the module with tally's levels
)

// Methods lists them all.
var Methods = []Method{CounterFailOpen, CounterFailClosed, EvenShares, ReportsOnly, ReportsAndTracker}

// Fault is a trouble of the counter, of messages and of nodes. Several may be
// joined by "+".
type Fault string

// Faults lists what Quota knows.
var Faults = []Fault{"none", "silent", "silent, back empty", "emptied", "old copy", "split, first wins", "split, second wins",
	"split, both merged", "flapping", "restarts", "mail 8% lost", "mail lost", "emptied + restarts", "silent + restarts",
	"split, both merged + restarts", "silent + mail lost", "mail lost + restarts",
	FleetDoubled, FleetHalved, FleetDoubledByRestart, FleetHalvedByRestart}

// Changes of the fleet's size: heard of in service, or by a restart of all nodes.
const (
	FleetDoubled          Fault = "doubled in service"
	FleetHalved           Fault = "halved in service"
	FleetDoubledByRestart Fault = "doubled by restarts"
	FleetHalvedByRestart  Fault = "halved by restarts"

	hearing  = 2 * time.Second        // over which nodes read of a change
	wording  = 500 * time.Millisecond // within which each then hears that all have,
	overTime = 3 * time.Second        // and until nothing of it is under way
)

// Experiment is one run.
type Experiment struct {
	Nodes  int
	Method Method
	Fault  Fault
	Seed   uint64
}

// Result is what came of a run, from the beginning of the fault on, in shares of
// what the ceiling lets pass in that time.
type Result struct {
	Experiment
	Admitted         float64 // units
	OverQuota        float64 // beyond the quota, of all customers
	OverCeiling      float64 // beyond the ceiling, of all customers
	WorstOverQuota   float64 // of the worst customer
	WorstOverCeiling float64
	Shortfall        float64 // short of what one counter without faults would let pass inside quotas
	CounterError     float64 // at the end: counter against truth, of what was passed; -1: no counter
}

const (
	length     = 75 * time.Second
	faultAt    = 30 * time.Second
	faultFor   = 15 * time.Second
	mailDelay  = 10 * time.Millisecond
	callDelay  = 2 * time.Millisecond
	callLimit  = 80 * time.Millisecond
	work       = 20 * time.Millisecond
	mailRate   = 60.0
	callRate   = 500.0
	perNode    = 4 // customers that come in through a node, about
	spread     = 3
	tallyEvery = 100 * time.Millisecond
)

// plan is the extended plan of a mid-size customer.
var plan = policy.Plan{Name: "extended", Rate: 5, Burst: 10, HardRate: 10, HardBurst: 20}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h events) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// bucket is a store of units.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func newBucket(rate, burst float64) bucket { return bucket{rate, burst, burst, 0} }

func (b *bucket) fill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

func (b *bucket) take(now time.Duration, units float64) bool {
	b.fill(now)
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}

// customer is one customer with what truly happened to it.
type customer struct {
	name        string
	first       int
	use         float64
	weights     []float64
	quota, hard bucket // driven by what was admitted
	over, above float64
	ideal       bucket  // what one counter without faults would let pass
	inside, got float64 // units from the fault on: by the ideal, and admitted
	passed      map[usage.WriterID]usage.MilliUnits
}

type fleet struct {
	e         Experiment
	now       time.Duration
	seq       int
	queue     events
	rng       *rand.Rand
	nodes     []*instance
	customers []*customer
	has       map[string]bool // the parts of the fault
	size      int             // nodes that customers come in through
	loss      float64
	counter   *counter
	admitted  float64
	nextID    policy.RequestID
}

type instance struct {
	f      *fleet
	num    int
	inc    uint64
	down   bool
	gw     *policy.Gateway
	tl     *usage.Tracker
	size   int // of the fleet, as it was last told
	tries  map[policy.RequestID]*customer
	sent   map[policy.RequestID]int
	parts  map[string]*bucket
	tokens float64 // of mail
	mailAt time.Duration
}

// counter is the shared one, in two copies while split.
type counter struct {
	side   [2]*holds
	saved  *holds
	silent bool
	epoch  int
}

type holds struct {
	epoch string
	regs  map[usage.TotalKey]map[usage.WriterID]usage.MilliUnits
	level map[string]usage.Level
	quota map[string]*bucket // for those that ask it for each request
	hard  map[string]*bucket
}

func newHolds(epoch int) *holds {
	return &holds{fmt.Sprint(epoch), map[usage.TotalKey]map[usage.WriterID]usage.MilliUnits{}, map[string]usage.Level{},
		map[string]*bucket{}, map[string]*bucket{}}
}

func (h *holds) clone() *holds {
	c := newHolds(0)
	c.epoch = h.epoch
	for k, m := range h.regs {
		c.regs[k] = map[usage.WriterID]usage.MilliUnits{}
		for o, u := range m {
			c.regs[k][o] = u
		}
	}
	for k, v := range h.level {
		c.level[k] = v
	}
	for k, v := range h.quota {
		b := *v
		c.quota[k] = &b
	}
	for k, v := range h.hard {
		b := *v
		c.hard[k] = &b
	}
	return c
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (f *fleet) wall() time.Time { return epoch.Add(f.now) }

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, do})
}

// RunQuota runs an experiment.
func RunQuota(e Experiment) (Result, error) {
	f := &fleet{e: e, size: e.Nodes, rng: rand.New(rand.NewPCG(e.Seed, 7)), has: map[string]bool{}, counter: &counter{epoch: 1}}
	for _, part := range strings.Split(string(e.Fault), " + ") {
		f.has[part] = true
	}
	f.counter.side[0] = newHolds(1)
	f.counter.side[1] = f.counter.side[0]
	for i := range e.Nodes {
		n := &instance{f: f, num: i, size: e.Nodes}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return Result{}, err
		}
	}
	width := min(spread, e.Nodes)
	for i := range max(6, e.Nodes*perNode/width) {
		c := &customer{name: fmt.Sprint("library-", i), first: i % e.Nodes, weights: make([]float64, width),
			quota: newBucket(plan.Rate, plan.Burst), ideal: newBucket(plan.Rate, plan.Burst), hard: newBucket(plan.HardRate, plan.HardBurst), passed: map[usage.WriterID]usage.MilliUnits{}}
		c.use = []float64{0.5, 0.5, 0.5, 0.9, 0.9, 3}[i%6]
		f.customers = append(f.customers, c)
		f.shift(c)
		f.arrivals(c)
	}
	f.after(faultAt, f.fault)
	for len(f.queue) > 0 && f.queue[0].at <= length {
		ev := heap.Pop(&f.queue).(event)
		f.now = ev.at
		ev.do()
	}
	return f.result(), nil
}

// shift draws anew which of its nodes a customer comes in through most.
func (f *fleet) shift(c *customer) {
	for i := range c.weights {
		c.weights[i] = 0.1 + f.rng.Float64()
	}
	f.after(time.Duration((6+18*f.rng.Float64())*float64(time.Second)), func() { f.shift(c) })
}

func (f *fleet) arrivals(c *customer) {
	f.after(time.Duration(f.rng.ExpFloat64()/(c.use*plan.Rate)*float64(time.Second)), func() {
		f.arrive(c)
		f.arrivals(c)
	})
}

func (f *fleet) arrive(c *customer) {
	sum := 0.0
	for _, w := range c.weights {
		sum += w
	}
	at, k := f.rng.Float64()*sum, 0
	for at -= c.weights[0]; at >= 0 && k < len(c.weights)-1; at -= c.weights[k] {
		k++
	}
	n := f.nodes[(c.first+k)%f.size]
	if n.down {
		return // its client comes again elsewhere: another try
	}
	if c.ideal.take(f.now, 1) && f.now >= faultAt {
		c.inside++
	}
	n.request(c)
}

// admit notes that a request was let pass, refuse that it was not.
func (f *fleet) admit(n *instance, c *customer) {
	c.quota.fill(f.now)
	c.hard.fill(f.now)
	if f.now >= faultAt {
		f.admitted++
		c.got++
		c.over += max(0, 1-max(0, c.quota.level))
		c.above += max(0, 1-max(0, c.hard.level))
	}
	c.quota.level, c.hard.level = max(0, c.quota.level-1), max(0, c.hard.level-1)
	if n.tl != nil {
		c.passed[usage.WriterID{Node: n.num, Incarnation: n.inc}] += 1000
		n.tl.RecordForwarded(f.wall(), c.name, plan.Name, n.peers(c), 1)
	}
}

func (n *instance) peers(c *customer) []int {
	var all []int
	for i := range c.weights {
		all = append(all, (c.first+i)%n.size)
	}
	return all
}

func (n *instance) start() error {
	n.inc++
	n.tries, n.sent, n.parts, n.tl = map[policy.RequestID]*customer{}, map[policy.RequestID]int{}, map[string]*bucket{}, nil
	n.tokens, n.mailAt = mailRate/2, n.f.now
	var err error
	n.gw, err = policy.New(policy.Settings{SelfIndex: n.num, Gateways: n.size, Resolution: time.Millisecond, MaxAttempts: 2,
		CanCancel: true, CanMessagePeers: n.size > 1, PeerMessagesPerSecond: mailRate, MaxRequestUnits: 1, Plans: []policy.Plan{plan},
		Classes: []policy.Class{{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second}}}, n.f.e.Seed*1000+uint64(n.num)+n.inc<<32)
	if err != nil {
		return err
	}
	list := policy.EndpointUpdate{Kind: policy.SnapshotUpdate}
	for i := range 20 * n.f.e.Nodes {
		list.Servers = append(list.Servers, policy.Server{ID: policy.ServerID(i), Weight: 1})
		if i == 100 {
			break
		}
	}
	n.feed(list)
	if n.f.e.Method == ReportsAndTracker {
		n.tl = usage.New(usage.Settings{Self: usage.WriterID{Node: n.num, Incarnation: n.inc}, Shards: 1, Window: time.Hour, RetainedWindows: 24,
			CommandsPerSecond: callRate / float64(n.size), PeerMessagesPerSecond: mailRate * 0.05,
			Plans: map[string]usage.Plan{plan.Name: {Rate: plan.Rate, Burst: plan.Burst}}})
		n.tick(n.inc)
	}
	return nil
}

func (n *instance) tick(inc uint64) {
	if n.down || n.inc != inc {
		return
	}
	n.carry(n.tl.Tick(n.f.wall()))
	n.f.after(tallyEvery, func() { n.tick(inc) })
}

func (n *instance) request(c *customer) {
	f := n.f
	switch f.e.Method {
	case EvenShares:
		k := float64(len(c.weights))
		if n.part(c.name+" q", plan.Rate/k, plan.Burst/k).take(f.now, 1) && n.part(c.name+" h", plan.HardRate/k, plan.HardBurst/k).take(f.now, 1) {
			f.admit(n, c)
		}
	case CounterFailOpen, CounterFailClosed:
		if f.counter.silent {
			if f.e.Method == CounterFailOpen {
				f.admit(n, c)
			}
			return
		}
		h := f.counter.side[n.num%2]
		if h.quota[c.name] == nil {
			q, hard := newBucket(plan.Rate, plan.Burst), newBucket(plan.HardRate, plan.HardBurst)
			q.at, hard.at = f.now, f.now
			h.quota[c.name], h.hard[c.name] = &q, &hard
		}
		if h.quota[c.name].take(f.now, 1) && h.hard[c.name].take(f.now, 1) {
			f.admit(n, c)
		}
	default:
		if n.tl != nil {
			n.carry(n.tl.RecordRequest(f.wall(), c.name, plan.Name, n.peers(c)))
		}
		f.nextID++
		n.tries[f.nextID] = c
		n.feed(policy.Request{ID: f.nextID, Customer: c.name, Plan: plan.Name, Class: "lookup", Units: 1,
			Remaining: 2 * time.Second, FirstGateway: c.first, GatewaySpread: len(c.weights)})
	}
}

func (n *instance) part(name string, rate, burst float64) *bucket {
	b := n.parts[name]
	if b == nil {
		v := newBucket(rate, burst)
		v.at = n.f.now
		b = &v
		n.parts[name] = b
	}
	return b
}

// feed gives the module an event and carries out what it says.
func (n *instance) feed(ev policy.Event) {
	f, inc := n.f, n.inc
	later := func(d time.Duration, ev policy.Event) {
		f.after(d, func() {
			if !n.down && n.inc == inc {
				n.feed(ev)
			}
		})
	}
	for _, a := range n.gw.Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case policy.StartAttempt:
			c := n.tries[a.ID]
			if n.sent[a.ID]++; n.sent[a.ID] == 1 && c != nil {
				f.admit(n, c)
			}
			later(work, policy.AttemptResult{ID: a.ID, Attempt: n.sent[a.ID] - 1, Server: a.Server, Code: policy.OK, Latency: work, Answered: true})
		case policy.SetTimer:
			later(a.After, policy.TimerFired{Token: a.Token})
		case policy.SendPeerMessage:
			if a.To >= 0 {
				f.mail(n, a.To, func(to *instance) { to.feed(policy.PeerMessage{From: n.num, Data: a.Data}) })
				break
			}
			for i := range n.size {
				if i != n.num && i < len(f.nodes) {
					f.mail(n, i, func(to *instance) { to.feed(policy.PeerMessage{From: n.num, Data: a.Data}) })
				}
			}
		}
	}
}

// mail carries a message, or loses it; a node takes in so many a second.
func (f *fleet) mail(from *instance, to int, take func(*instance)) {
	if f.rng.Float64() < f.loss {
		return
	}
	f.after(mailDelay, func() {
		if to >= len(f.nodes) {
			return
		}
		n := f.nodes[to]
		if n.down {
			return
		}
		n.tokens = min(mailRate/2, n.tokens+mailRate*(f.now-n.mailAt).Seconds())
		n.mailAt = f.now
		if n.tokens < 1 {
			return
		}
		n.tokens--
		take(n)
	})
}

// carry carries out what a tally says.
func (n *instance) carry(acts []usage.Action) {
	f, inc := n.f, n.inc
	for _, a := range acts {
		switch a := a.(type) {
		case usage.CounterCall:
			ans, wait := usage.CounterResponse{Failed: true}, callLimit
			if !f.counter.silent {
				ans, wait = f.counter.do(n.num, a), callDelay
			}
			f.after(wait, func() {
				if !n.down && n.inc == inc {
					n.carry(n.tl.HandleResponse(f.wall(), a.ID, ans))
				}
			})
		case usage.PeerMessage:
			f.mail(n, a.To, func(to *instance) {
				if to.tl != nil {
					to.tl.MergeFromPeer(f.wall(), n.num, a.Entries)
				}
			})
		case usage.RestoreLevel:
			n.feed(policy.UsageLevel{Customer: a.Customer, Units: a.Units})
		}
	}
}

func (c *counter) do(node int, call usage.CounterCall) usage.CounterResponse {
	h := c.side[node%2]
	ans := usage.CounterResponse{Level: h.level[call.Key.Customer]}
	if call.ReadEpoch {
		ans.Epoch = h.epoch
	}
	m := h.regs[call.Key]
	if m == nil {
		m = map[usage.WriterID]usage.MilliUnits{}
		h.regs[call.Key] = m
	}
	for o, u := range m {
		ans.Entries = append(ans.Entries, usage.CounterEntry{Key: call.Key, Writer: o, Units: u})
	}
	slices.SortFunc(ans.Entries, func(a, b usage.CounterEntry) int {
		if d := a.Writer.Node - b.Writer.Node; d != 0 {
			return d
		}
		return int(int64(a.Writer.Incarnation) - int64(b.Writer.Incarnation))
	})
	for _, r := range call.Raise {
		m[r.Writer] = r.Units
	}
	for _, r := range call.AddIfMissing {
		if _, have := m[r.Writer]; !have {
			m[r.Writer] = r.Units
		}
	}
	if !call.Level.At.IsZero() {
		h.level[call.Key.Customer] = call.Level
	}
	return ans
}

// fault begins what the experiment is about, and ends it after its time.
func (f *fleet) fault() {
	c := f.counter
	empty := func() {
		c.epoch++
		c.side[0] = newHolds(c.epoch)
		c.side[1] = c.side[0]
	}
	for part := range f.has {
		switch part {
		case string(FleetDoubled), string(FleetHalved), string(FleetDoubledByRestart), string(FleetHalvedByRestart):
			f.resize(Fault(part))
		case "silent", "silent, back empty":
			c.silent = true
			f.after(faultFor, func() {
				c.silent = false
				if part != "silent" {
					empty()
				}
			})
		case "emptied":
			empty()
		case "old copy":
			old := c.side[0].clone()
			f.after(faultFor, func() { c.side[0], c.side[1] = old, old })
		case "flapping":
			for i := range 60 {
				f.after(time.Duration(i)*time.Second/2, func() { c.silent = i%2 == 0 })
			}
		case "split, first wins", "split, second wins", "split, both merged":
			c.side[1] = c.side[0].clone()
			f.after(2*faultFor, func() { c.heal(part) })
		case "mail 8% lost", "mail lost":
			f.loss = 1
			if part != "mail lost" {
				f.loss = 0.08
			}
			f.after(faultFor, func() { f.loss = 0 })
		case "restarts":
			for i, n := range f.nodes {
				if i%5 != 0 {
					continue
				}
				f.after(time.Duration(i)*time.Millisecond, func() {
					n.down = true
					f.after(time.Second, func() {
						n.down = false
						if err := n.start(); err != nil {
							panic(err) // it started before
						}
					})
				})
			}
		}
	}
}

// resize changes the fleet's size. Customers come in through the new nodes once all
// have heard, and no more through those that leave before any has.
func (f *fleet) resize(how Fault) {
	old := f.e.Nodes
	size := 2 * old
	if how == FleetHalved || how == FleetHalvedByRestart {
		size = max(1, old/2)
		f.size = size
	}
	for i := old; i < size; i++ {
		f.nodes = append(f.nodes, &instance{f: f, num: i, size: size, down: true})
	}
	for i, n := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(hearing))), func() {
			switch {
			case how == FleetDoubledByRestart || how == FleetHalvedByRestart:
				n.down = true
				if i < size {
					f.after(time.Second, func() { n.up(size) })
				}
			case i >= old:
				n.up(size)
				n.feed(policy.FleetResized{Gateways: size, PreviousSize: -1})
			}
		})
		word := func() time.Duration { return time.Duration(f.rng.Int64N(int64(wording))) }
		if how == FleetDoubled || how == FleetHalved {
			if i < old {
				f.after(hearing+word(), func() { n.resized(size, old) })
			}
			f.after(hearing+wording+word(), func() { n.resized(size, 0) })
		}
		f.after(hearing+overTime, func() { n.down = n.down || i >= size })
	}
	f.after(hearing+overTime, func() { f.size = size })
}

// up starts a node in a fleet of a size.
func (n *instance) up(size int) {
	n.size, n.down = size, false
	if err := n.start(); err != nil {
		panic(err) // the settings are those of the others
	}
}

// resized tells a running node of the fleet's size.
func (n *instance) resized(size, was int) {
	n.size = size
	n.feed(policy.FleetResized{Gateways: size, PreviousSize: was})
	if n.tl != nil {
		n.tl.SetCommandsPerSecond(callRate / float64(size))
	}
}

func (c *counter) heal(how string) {
	switch how {
	case "split, first wins":
		c.side[1] = c.side[0]
	case "split, second wins":
		c.side[0] = c.side[1]
	default:
		for k, m := range c.side[1].regs {
			if c.side[0].regs[k] == nil {
				c.side[0].regs[k] = map[usage.WriterID]usage.MilliUnits{}
			}
			for o, u := range m {
				c.side[0].regs[k][o] = max(c.side[0].regs[k][o], u)
			}
		}
		c.side[1] = c.side[0]
	}
}

func (f *fleet) result() Result {
	r := Result{Experiment: f.e, Admitted: f.admitted, CounterError: -1}
	span := (length - faultAt).Seconds()
	ceiling := plan.HardRate*span + plan.HardBurst
	inside, under := 0.0, 0.0
	for _, c := range f.customers {
		r.OverQuota += c.over / ceiling / float64(len(f.customers))
		r.OverCeiling += c.above / ceiling / float64(len(f.customers))
		r.WorstOverQuota, r.WorstOverCeiling = max(r.WorstOverQuota, c.over/ceiling), max(r.WorstOverCeiling, c.above/ceiling)
		inside, under = inside+c.inside, under+max(0, c.inside-c.got)
	}
	r.Shortfall = under / max(1, inside)
	if f.e.Method == ReportsAndTracker {
		r.CounterError = f.tallyError()
	}
	return r
}

// tallyError compares the counter with the truth for processes that still run,
// as a share of what they passed.
func (f *fleet) tallyError() float64 {
	wrong, sum := 0.0, 0.0
	for _, c := range f.customers {
		for o, u := range c.passed {
			if f.nodes[o.Node].inc != o.Incarnation {
				continue
			}
			var have usage.MilliUnits
			for k, m := range f.counter.side[0].regs {
				if k.Customer == c.name {
					have += m[o]
				}
			}
			wrong += math.Abs(float64(u - have))
			sum += float64(u)
		}
	}
	return wrong / max(1, sum)
}

// Table prints results as a table for the docs.
func Table(all []Result) string {
	var b strings.Builder
	b.WriteString("| nodes | fault | way | over the ceiling | worst customer | over the quota | worst customer | refused inside | tally error |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	pct := func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }
	for _, r := range all {
		t := "–"
		if r.CounterError >= 0 {
			t = pct(r.CounterError)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Nodes, r.Fault, r.Method, pct(r.OverCeiling), pct(r.WorstOverCeiling),
			pct(r.OverQuota), pct(r.WorstOverQuota), pct(r.Shortfall), t)
	}
	return b.String()
}
