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

	resizeReadTime    = 2 * time.Second        // over which nodes read of a change
	resizeConfirmTime = 500 * time.Millisecond // within which each then hears that all have,
	resizeSettleTime  = 3 * time.Second        // and until nothing of it is under way
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
	experimentLength      = 75 * time.Second
	faultStart            = 30 * time.Second
	faultDuration         = 15 * time.Second
	messageDelay          = 10 * time.Millisecond
	counterCallDelay      = 2 * time.Millisecond
	counterCallTimeout    = 80 * time.Millisecond
	serviceTime           = 20 * time.Millisecond
	messagesPerSecond     = 60.0
	counterCallsPerSecond = 500.0
	customersPerNode      = 4 // customers that come in through a node, about
	gatewaySpread         = 3
	trackerTickInterval   = 100 * time.Millisecond
)

// plan is the extended plan of a mid-size customer.
var plan = policy.Plan{Name: "extended", Rate: 5, Burst: 10, HardRate: 10, HardBurst: 20}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h eventQueue) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// tokenBucket is a store of units.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Duration
}

func newTokenBucket(rate, burst float64) tokenBucket { return tokenBucket{rate, burst, burst, 0} }

func (b *tokenBucket) refill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

func (b *tokenBucket) take(now time.Duration, units float64) bool {
	b.refill(now)
	if b.tokens < units {
		return false
	}
	b.tokens -= units
	return true
}

// customer is one customer with what truly happened to it.
type customer struct {
	name                          string
	firstNode                     int
	demand                        float64
	weights                       []float64
	quota, ceiling                tokenBucket // driven by what was admitted
	overQuota, overCeiling        float64
	reference                     tokenBucket // what one counter without faults would let pass
	referenceUnits, admittedUnits float64     // units from the fault on: by the ideal, and admitted
	forwarded                     map[usage.WriterID]usage.MilliUnits
}

type fleet struct {
	experiment Experiment
	now        time.Duration
	seq        int
	queue      eventQueue
	rng        *rand.Rand
	nodes      []*instance
	customers  []*customer
	faults     map[string]bool // the parts of the fault
	size       int             // nodes that customers come in through
	lossRate   float64
	counter    *counter
	admitted   float64
	nextID     policy.RequestID
}

type instance struct {
	fleet           *fleet
	index           int
	incarnation     uint64
	down            bool
	gateway         *policy.Gateway
	tracker         *usage.Tracker
	fleetSize       int // of the fleet, as it was last told
	requests        map[policy.RequestID]*customer
	attempts        map[policy.RequestID]int
	shares          map[string]*tokenBucket
	messageTokens   float64 // of mail
	messageTokensAt time.Duration
}

// counter is the shared one, in two copies while split.
type counter struct {
	copies [2]*counterState
	saved  *counterState
	silent bool
	epoch  int
}

type counterState struct {
	epoch          string
	entries        map[usage.TotalKey]map[usage.WriterID]usage.MilliUnits
	levels         map[string]usage.Level
	quotaBuckets   map[string]*tokenBucket // for those that ask it for each request
	ceilingBuckets map[string]*tokenBucket
}

func newCounterState(epoch int) *counterState {
	return &counterState{fmt.Sprint(epoch), map[usage.TotalKey]map[usage.WriterID]usage.MilliUnits{}, map[string]usage.Level{},
		map[string]*tokenBucket{}, map[string]*tokenBucket{}}
}

func (h *counterState) clone() *counterState {
	c := newCounterState(0)
	c.epoch = h.epoch
	for k, m := range h.entries {
		c.entries[k] = map[usage.WriterID]usage.MilliUnits{}
		for o, u := range m {
			c.entries[k][o] = u
		}
	}
	for k, v := range h.levels {
		c.levels[k] = v
	}
	for k, v := range h.quotaBuckets {
		b := *v
		c.quotaBuckets[k] = &b
	}
	for k, v := range h.ceilingBuckets {
		b := *v
		c.ceilingBuckets[k] = &b
	}
	return c
}

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (f *fleet) wall() time.Time { return startTime.Add(f.now) }

func (f *fleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, do})
}

// RunQuota runs an experiment.
func RunQuota(e Experiment) (Result, error) {
	f := &fleet{experiment: e, size: e.Nodes, rng: rand.New(rand.NewPCG(e.Seed, 7)), faults: map[string]bool{}, counter: &counter{epoch: 1}}
	for _, part := range strings.Split(string(e.Fault), " + ") {
		f.faults[part] = true
	}
	f.counter.copies[0] = newCounterState(1)
	f.counter.copies[1] = f.counter.copies[0]
	for i := range e.Nodes {
		n := &instance{fleet: f, index: i, fleetSize: e.Nodes}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return Result{}, err
		}
	}
	width := min(gatewaySpread, e.Nodes)
	for i := range max(6, e.Nodes*customersPerNode/width) {
		c := &customer{name: fmt.Sprint("library-", i), firstNode: i % e.Nodes, weights: make([]float64, width),
			quota: newTokenBucket(plan.Rate, plan.Burst), reference: newTokenBucket(plan.Rate, plan.Burst), ceiling: newTokenBucket(plan.HardRate, plan.HardBurst), forwarded: map[usage.WriterID]usage.MilliUnits{}}
		c.demand = []float64{0.5, 0.5, 0.5, 0.9, 0.9, 3}[i%6]
		f.customers = append(f.customers, c)
		f.redrawWeights(c)
		f.scheduleArrivals(c)
	}
	f.schedule(faultStart, f.startFault)
	for len(f.queue) > 0 && f.queue[0].at <= experimentLength {
		ev := heap.Pop(&f.queue).(event)
		f.now = ev.at
		ev.run()
	}
	return f.result(), nil
}

// redrawWeights draws anew which of its nodes a customer comes in through most.
func (f *fleet) redrawWeights(c *customer) {
	for i := range c.weights {
		c.weights[i] = 0.1 + f.rng.Float64()
	}
	f.schedule(time.Duration((6+18*f.rng.Float64())*float64(time.Second)), func() { f.redrawWeights(c) })
}

func (f *fleet) scheduleArrivals(c *customer) {
	f.schedule(time.Duration(f.rng.ExpFloat64()/(c.demand*plan.Rate)*float64(time.Second)), func() {
		f.handleArrival(c)
		f.scheduleArrivals(c)
	})
}

func (f *fleet) handleArrival(c *customer) {
	sum := 0.0
	for _, w := range c.weights {
		sum += w
	}
	at, k := f.rng.Float64()*sum, 0
	for at -= c.weights[0]; at >= 0 && k < len(c.weights)-1; at -= c.weights[k] {
		k++
	}
	n := f.nodes[(c.firstNode+k)%f.size]
	if n.down {
		return // its client comes again elsewhere: another try
	}
	if c.reference.take(f.now, 1) && f.now >= faultStart {
		c.referenceUnits++
	}
	n.handleRequest(c)
}

// admit notes that a request was let pass, refuse that it was not.
func (f *fleet) admit(n *instance, c *customer) {
	c.quota.refill(f.now)
	c.ceiling.refill(f.now)
	if f.now >= faultStart {
		f.admitted++
		c.admittedUnits++
		c.overQuota += max(0, 1-max(0, c.quota.tokens))
		c.overCeiling += max(0, 1-max(0, c.ceiling.tokens))
	}
	c.quota.tokens, c.ceiling.tokens = max(0, c.quota.tokens-1), max(0, c.ceiling.tokens-1)
	if n.tracker != nil {
		c.forwarded[usage.WriterID{Node: n.index, Incarnation: n.incarnation}] += 1000
		n.tracker.RecordForwarded(f.wall(), c.name, plan.Name, n.nodesOf(c), 1)
	}
}

func (n *instance) nodesOf(c *customer) []int {
	var all []int
	for i := range c.weights {
		all = append(all, (c.firstNode+i)%n.fleetSize)
	}
	return all
}

func (n *instance) start() error {
	n.incarnation++
	n.requests, n.attempts, n.shares, n.tracker = map[policy.RequestID]*customer{}, map[policy.RequestID]int{}, map[string]*tokenBucket{}, nil
	n.messageTokens, n.messageTokensAt = messagesPerSecond/2, n.fleet.now
	var err error
	n.gateway, err = policy.New(policy.Settings{SelfIndex: n.index, Gateways: n.fleetSize, Resolution: time.Millisecond, MaxAttempts: 2,
		CanCancel: true, CanMessagePeers: n.fleetSize > 1, PeerMessagesPerSecond: messagesPerSecond, MaxRequestUnits: 1, Plans: []policy.Plan{plan},
		Classes: []policy.Class{{Name: "lookup", LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second}}}, n.fleet.experiment.Seed*1000+uint64(n.index)+n.incarnation<<32)
	if err != nil {
		return err
	}
	list := policy.EndpointUpdate{Kind: policy.SnapshotUpdate}
	for i := range 20 * n.fleet.experiment.Nodes {
		list.Servers = append(list.Servers, policy.Server{ID: policy.ServerID(i), Weight: 1})
		if i == 100 {
			break
		}
	}
	n.handleEvent(list)
	if n.fleet.experiment.Method == ReportsAndTracker {
		n.tracker = usage.New(usage.Settings{Self: usage.WriterID{Node: n.index, Incarnation: n.incarnation}, Shards: 1, Window: time.Hour, RetainedWindows: 24,
			CommandsPerSecond: counterCallsPerSecond / float64(n.fleetSize), PeerMessagesPerSecond: messagesPerSecond * 0.05,
			Plans: map[string]usage.Plan{plan.Name: {Rate: plan.Rate, Burst: plan.Burst}}})
		n.tick(n.incarnation)
	}
	return nil
}

func (n *instance) tick(inc uint64) {
	if n.down || n.incarnation != inc {
		return
	}
	n.executeTrackerActions(n.tracker.Tick(n.fleet.wall()))
	n.fleet.schedule(trackerTickInterval, func() { n.tick(inc) })
}

func (n *instance) handleRequest(c *customer) {
	f := n.fleet
	switch f.experiment.Method {
	case EvenShares:
		k := float64(len(c.weights))
		if n.shareBucket(c.name+" q", plan.Rate/k, plan.Burst/k).take(f.now, 1) && n.shareBucket(c.name+" h", plan.HardRate/k, plan.HardBurst/k).take(f.now, 1) {
			f.admit(n, c)
		}
	case CounterFailOpen, CounterFailClosed:
		if f.counter.silent {
			if f.experiment.Method == CounterFailOpen {
				f.admit(n, c)
			}
			return
		}
		h := f.counter.copies[n.index%2]
		if h.quotaBuckets[c.name] == nil {
			q, hard := newTokenBucket(plan.Rate, plan.Burst), newTokenBucket(plan.HardRate, plan.HardBurst)
			q.updatedAt, hard.updatedAt = f.now, f.now
			h.quotaBuckets[c.name], h.ceilingBuckets[c.name] = &q, &hard
		}
		if h.quotaBuckets[c.name].take(f.now, 1) && h.ceilingBuckets[c.name].take(f.now, 1) {
			f.admit(n, c)
		}
	default:
		if n.tracker != nil {
			n.executeTrackerActions(n.tracker.RecordRequest(f.wall(), c.name, plan.Name, n.nodesOf(c)))
		}
		f.nextID++
		n.requests[f.nextID] = c
		n.handleEvent(policy.Request{ID: f.nextID, Customer: c.name, Plan: plan.Name, Class: "lookup", Units: 1,
			Remaining: 2 * time.Second, FirstGateway: c.firstNode, GatewaySpread: len(c.weights)})
	}
}

func (n *instance) shareBucket(name string, rate, burst float64) *tokenBucket {
	b := n.shares[name]
	if b == nil {
		v := newTokenBucket(rate, burst)
		v.updatedAt = n.fleet.now
		b = &v
		n.shares[name] = b
	}
	return b
}

// handleEvent gives the module an event and carries out what it says.
func (n *instance) handleEvent(ev policy.Event) {
	f, inc := n.fleet, n.incarnation
	later := func(d time.Duration, ev policy.Event) {
		f.schedule(d, func() {
			if !n.down && n.incarnation == inc {
				n.handleEvent(ev)
			}
		})
	}
	for _, a := range n.gateway.Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case policy.StartAttempt:
			c := n.requests[a.ID]
			if n.attempts[a.ID]++; n.attempts[a.ID] == 1 && c != nil {
				f.admit(n, c)
			}
			later(serviceTime, policy.AttemptResult{ID: a.ID, Attempt: n.attempts[a.ID] - 1, Server: a.Server, Code: policy.OK, Latency: serviceTime, Answered: true})
		case policy.SetTimer:
			later(a.After, policy.TimerFired{Token: a.Token})
		case policy.SendPeerMessage:
			if a.To >= 0 {
				f.sendMessage(n, a.To, func(to *instance) { to.handleEvent(policy.PeerMessage{From: n.index, Data: a.Data}) })
				break
			}
			for i := range n.fleetSize {
				if i != n.index && i < len(f.nodes) {
					f.sendMessage(n, i, func(to *instance) { to.handleEvent(policy.PeerMessage{From: n.index, Data: a.Data}) })
				}
			}
		}
	}
}

// sendMessage carries a message, or loses it; a node takes in so many a second.
func (f *fleet) sendMessage(from *instance, to int, take func(*instance)) {
	if f.rng.Float64() < f.lossRate {
		return
	}
	f.schedule(messageDelay, func() {
		if to >= len(f.nodes) {
			return
		}
		n := f.nodes[to]
		if n.down {
			return
		}
		n.messageTokens = min(messagesPerSecond/2, n.messageTokens+messagesPerSecond*(f.now-n.messageTokensAt).Seconds())
		n.messageTokensAt = f.now
		if n.messageTokens < 1 {
			return
		}
		n.messageTokens--
		take(n)
	})
}

// executeTrackerActions carries out what a tally says.
func (n *instance) executeTrackerActions(acts []usage.Action) {
	f, inc := n.fleet, n.incarnation
	for _, a := range acts {
		switch a := a.(type) {
		case usage.CounterCall:
			ans, wait := usage.CounterResponse{Failed: true}, counterCallTimeout
			if !f.counter.silent {
				ans, wait = f.counter.handleCall(n.index, a), counterCallDelay
			}
			f.schedule(wait, func() {
				if !n.down && n.incarnation == inc {
					n.executeTrackerActions(n.tracker.HandleResponse(f.wall(), a.ID, ans))
				}
			})
		case usage.PeerMessage:
			f.sendMessage(n, a.To, func(to *instance) {
				if to.tracker != nil {
					to.tracker.MergeFromPeer(f.wall(), n.index, a.Entries)
				}
			})
		case usage.RestoreLevel:
			n.handleEvent(policy.UsageLevel{Customer: a.Customer, Units: a.Units})
		}
	}
}

func (c *counter) handleCall(node int, call usage.CounterCall) usage.CounterResponse {
	h := c.copies[node%2]
	ans := usage.CounterResponse{Level: h.levels[call.Key.Customer]}
	if call.ReadEpoch {
		ans.Epoch = h.epoch
	}
	m := h.entries[call.Key]
	if m == nil {
		m = map[usage.WriterID]usage.MilliUnits{}
		h.entries[call.Key] = m
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
		h.levels[call.Key.Customer] = call.Level
	}
	return ans
}

// startFault begins what the experiment is about, and ends it after its time.
func (f *fleet) startFault() {
	c := f.counter
	empty := func() {
		c.epoch++
		c.copies[0] = newCounterState(c.epoch)
		c.copies[1] = c.copies[0]
	}
	for part := range f.faults {
		switch part {
		case string(FleetDoubled), string(FleetHalved), string(FleetDoubledByRestart), string(FleetHalvedByRestart):
			f.resize(Fault(part))
		case "silent", "silent, back empty":
			c.silent = true
			f.schedule(faultDuration, func() {
				c.silent = false
				if part != "silent" {
					empty()
				}
			})
		case "emptied":
			empty()
		case "old copy":
			old := c.copies[0].clone()
			f.schedule(faultDuration, func() { c.copies[0], c.copies[1] = old, old })
		case "flapping":
			for i := range 60 {
				f.schedule(time.Duration(i)*time.Second/2, func() { c.silent = i%2 == 0 })
			}
		case "split, first wins", "split, second wins", "split, both merged":
			c.copies[1] = c.copies[0].clone()
			f.schedule(2*faultDuration, func() { c.heal(part) })
		case "mail 8% lost", "mail lost":
			f.lossRate = 1
			if part != "mail lost" {
				f.lossRate = 0.08
			}
			f.schedule(faultDuration, func() { f.lossRate = 0 })
		case "restarts":
			for i, n := range f.nodes {
				if i%5 != 0 {
					continue
				}
				f.schedule(time.Duration(i)*time.Millisecond, func() {
					n.down = true
					f.schedule(time.Second, func() {
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
	old := f.experiment.Nodes
	size := 2 * old
	if how == FleetHalved || how == FleetHalvedByRestart {
		size = max(1, old/2)
		f.size = size
	}
	for i := old; i < size; i++ {
		f.nodes = append(f.nodes, &instance{fleet: f, index: i, fleetSize: size, down: true})
	}
	for i, n := range f.nodes {
		f.schedule(time.Duration(f.rng.Int64N(int64(resizeReadTime))), func() {
			switch {
			case how == FleetDoubledByRestart || how == FleetHalvedByRestart:
				n.down = true
				if i < size {
					f.schedule(time.Second, func() { n.startWithSize(size) })
				}
			case i >= old:
				n.startWithSize(size)
				n.handleEvent(policy.FleetResized{Gateways: size, PreviousSize: -1})
			}
		})
		word := func() time.Duration { return time.Duration(f.rng.Int64N(int64(resizeConfirmTime))) }
		if how == FleetDoubled || how == FleetHalved {
			if i < old {
				f.schedule(resizeReadTime+word(), func() { n.notifyResized(size, old) })
			}
			f.schedule(resizeReadTime+resizeConfirmTime+word(), func() { n.notifyResized(size, 0) })
		}
		f.schedule(resizeReadTime+resizeSettleTime, func() { n.down = n.down || i >= size })
	}
	f.schedule(resizeReadTime+resizeSettleTime, func() { f.size = size })
}

// startWithSize starts a node in a fleet of a size.
func (n *instance) startWithSize(size int) {
	n.fleetSize, n.down = size, false
	if err := n.start(); err != nil {
		panic(err) // the settings are those of the others
	}
}

// notifyResized tells a running node of the fleet's size.
func (n *instance) notifyResized(size, was int) {
	n.fleetSize = size
	n.handleEvent(policy.FleetResized{Gateways: size, PreviousSize: was})
	if n.tracker != nil {
		n.tracker.SetCommandsPerSecond(counterCallsPerSecond / float64(size))
	}
}

func (c *counter) heal(how string) {
	switch how {
	case "split, first wins":
		c.copies[1] = c.copies[0]
	case "split, second wins":
		c.copies[0] = c.copies[1]
	default:
		for k, m := range c.copies[1].entries {
			if c.copies[0].entries[k] == nil {
				c.copies[0].entries[k] = map[usage.WriterID]usage.MilliUnits{}
			}
			for o, u := range m {
				c.copies[0].entries[k][o] = max(c.copies[0].entries[k][o], u)
			}
		}
		c.copies[1] = c.copies[0]
	}
}

func (f *fleet) result() Result {
	r := Result{Experiment: f.experiment, Admitted: f.admitted, CounterError: -1}
	span := (experimentLength - faultStart).Seconds()
	ceiling := plan.HardRate*span + plan.HardBurst
	inside, under := 0.0, 0.0
	for _, c := range f.customers {
		r.OverQuota += c.overQuota / ceiling / float64(len(f.customers))
		r.OverCeiling += c.overCeiling / ceiling / float64(len(f.customers))
		r.WorstOverQuota, r.WorstOverCeiling = max(r.WorstOverQuota, c.overQuota/ceiling), max(r.WorstOverCeiling, c.overCeiling/ceiling)
		inside, under = inside+c.referenceUnits, under+max(0, c.referenceUnits-c.admittedUnits)
	}
	r.Shortfall = under / max(1, inside)
	if f.experiment.Method == ReportsAndTracker {
		r.CounterError = f.counterError()
	}
	return r
}

// counterError compares the counter with the truth for processes that still run,
// as a share of what they passed.
func (f *fleet) counterError() float64 {
	wrong, sum := 0.0, 0.0
	for _, c := range f.customers {
		for o, u := range c.forwarded {
			if f.nodes[o.Node].incarnation != o.Incarnation {
				continue
			}
			var have usage.MilliUnits
			for k, m := range f.counter.copies[0].entries {
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
