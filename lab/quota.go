// Package lab runs experiments on packages policy and usage in simulated time. It
// simulates fleets under faults, and compares their quota enforcement with simpler
// methods that users might choose instead. Equal seeds give equal results.
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

// Method is a method of quota enforcement in a fleet.
type Method string

// Methods of quota enforcement.
const (
	CounterFailOpen   Method = "counter asked, fails open"   // one counter call per request; a request is admitted if the counter does not respond
	CounterFailClosed Method = "counter asked, fails closed" // one counter call per request; a request is rejected if the counter does not respond
	EvenShares        Method = "even parts"                  // a fixed share for each node, without a counter
	ReportsOnly       Method = "reports"                     // package policy, with load reports between nodes
	ReportsAndTracker Method = "reports and tally"           // package policy, with external usage levels from package usage
)

// Methods lists all methods.
var Methods = []Method{CounterFailOpen, CounterFailClosed, EvenShares, ReportsOnly, ReportsAndTracker}

// Fault is a fault of the shared counter, of peer messages or of nodes, or several of
// them joined by " + ".
type Fault string

// Faults lists the faults that RunQuota simulates.
var Faults = []Fault{"none", "silent", "silent, back empty", "emptied", "old copy", "split, first wins", "split, second wins",
	"split, both merged", "flapping", "restarts", "mail 8% lost", "mail lost", "emptied + restarts", "silent + restarts",
	"split, both merged + restarts", "silent + mail lost", "mail lost + restarts",
	FleetDoubled, FleetHalved, FleetDoubledByRestart, FleetHalvedByRestart}

// Changes of the fleet's size, announced to running nodes or made by a restart of all nodes.
const (
	FleetDoubled          Fault = "doubled in service"
	FleetHalved           Fault = "halved in service"
	FleetDoubledByRestart Fault = "doubled by restarts"
	FleetHalvedByRestart  Fault = "halved by restarts"

	resizeReadTime    = 2 * time.Second        // each node reads the announcement within this time
	resizeConfirmTime = 500 * time.Millisecond // each node is then notified within this time that all have read it
	resizeSettleTime  = 3 * time.Second        // time from the reads until the change has ended on all nodes
)

// Experiment describes one run.
type Experiment struct {
	Nodes  int
	Method Method
	Fault  Fault
	Seed   uint64
}

// Result holds the figures of a run from the start of the fault on. OverQuota to
// WorstOverCeiling are fractions of the units that the hard ceiling admits in that time.
type Result struct {
	Experiment
	Admitted         float64 // units
	OverQuota        float64 // admitted beyond the rate quota, mean over all customers
	OverCeiling      float64 // admitted beyond the hard ceiling, mean over all customers
	WorstOverQuota   float64 // highest value of one customer
	WorstOverCeiling float64
	Shortfall        float64 // units that a single counter without faults would also have admitted, as a fraction of all that it would admit
	CounterError     float64 // deviation of the counter at the end, as a fraction of the forwarded units; -1: no counter
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
	customersPerNode      = 4 // approximate number of customers whose requests arrive at one node
	gatewaySpread         = 3
	trackerTickInterval   = 100 * time.Millisecond
)

// plan is the extended plan of a mid-size customer.
var plan = policy.Plan{Name: "extended", Rate: 5, Burst: 10, HardRate: 10, HardBurst: 20}

// event is a function to run at a simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// tokenBucket is a token bucket of units.
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

// customer is a simulated customer with the exact record of its admitted units.
type customer struct {
	name                          string
	firstNode                     int
	demand                        float64
	weights                       []float64
	quota, ceiling                tokenBucket // charged with each admitted unit
	overQuota, overCeiling        float64
	reference                     tokenBucket // a single counter without faults
	referenceUnits, admittedUnits float64     // from the start of the fault on
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
	faults     map[string]bool // the single faults of the experiment
	size       int             // number of nodes at which requests arrive
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
	fleetSize       int // as last announced to the node
	requests        map[policy.RequestID]*customer
	attempts        map[policy.RequestID]int
	shares          map[string]*tokenBucket
	messageTokens   float64 // for incoming peer messages
	messageTokensAt time.Duration
}

// counter is the shared counter. During a split it has two copies, one for the nodes with
// an even index and one for the others.
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
	quotaBuckets   map[string]*tokenBucket // for the methods with a counter call for each request
	ceilingBuckets map[string]*tokenBucket
}

func newCounterState(epoch int) *counterState {
	return &counterState{fmt.Sprint(epoch), map[usage.TotalKey]map[usage.WriterID]usage.MilliUnits{}, map[string]usage.Level{},
		map[string]*tokenBucket{}, map[string]*tokenBucket{}}
}

func (s *counterState) clone() *counterState {
	copied := newCounterState(0)
	copied.epoch = s.epoch
	for key, units := range s.entries {
		copied.entries[key] = map[usage.WriterID]usage.MilliUnits{}
		for writer, count := range units {
			copied.entries[key][writer] = count
		}
	}
	for customer, level := range s.levels {
		copied.levels[customer] = level
	}
	for customer, bucket := range s.quotaBuckets {
		b := *bucket
		copied.quotaBuckets[customer] = &b
	}
	for customer, bucket := range s.ceilingBuckets {
		b := *bucket
		copied.ceilingBuckets[customer] = &b
	}
	return copied
}

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (f *fleet) wall() time.Time { return startTime.Add(f.now) }

func (f *fleet) schedule(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + delay, f.seq, run})
}

// RunQuota runs one experiment.
func RunQuota(experiment Experiment) (Result, error) {
	f := &fleet{experiment: experiment, size: experiment.Nodes, rng: rand.New(rand.NewPCG(experiment.Seed, 7)), faults: map[string]bool{}, counter: &counter{epoch: 1}}
	for _, fault := range strings.Split(string(experiment.Fault), " + ") {
		f.faults[fault] = true
	}
	f.counter.copies[0] = newCounterState(1)
	f.counter.copies[1] = f.counter.copies[0]
	for i := range experiment.Nodes {
		n := &instance{fleet: f, index: i, fleetSize: experiment.Nodes}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return Result{}, err
		}
	}
	nodesPerCustomer := min(gatewaySpread, experiment.Nodes)
	for i := range max(6, experiment.Nodes*customersPerNode/nodesPerCustomer) {
		c := &customer{name: fmt.Sprint("library-", i), firstNode: i % experiment.Nodes, weights: make([]float64, nodesPerCustomer),
			quota: newTokenBucket(plan.Rate, plan.Burst), reference: newTokenBucket(plan.Rate, plan.Burst), ceiling: newTokenBucket(plan.HardRate, plan.HardBurst), forwarded: map[usage.WriterID]usage.MilliUnits{}}
		c.demand = []float64{0.5, 0.5, 0.5, 0.9, 0.9, 3}[i%6]
		f.customers = append(f.customers, c)
		f.redrawWeights(c)
		f.scheduleArrivals(c)
	}
	f.schedule(faultStart, f.startFault)
	for len(f.queue) > 0 && f.queue[0].at <= experimentLength {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	return f.result(), nil
}

// redrawWeights draws at random, now and repeatedly later, how a customer's requests are
// distributed over its nodes.
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
	totalWeight := 0.0
	for _, weight := range c.weights {
		totalWeight += weight
	}
	draw, offset := f.rng.Float64()*totalWeight, 0
	for draw -= c.weights[0]; draw >= 0 && offset < len(c.weights)-1; draw -= c.weights[offset] {
		offset++
	}
	n := f.nodes[(c.firstNode+offset)%f.size]
	if n.down {
		return // the request is dropped; a client's retry at another node counts as a separate request
	}
	if c.reference.take(f.now, 1) && f.now >= faultStart {
		c.referenceUnits++
	}
	n.handleRequest(c)
}

// admit records an admitted request.
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
	var nodes []int
	for i := range c.weights {
		nodes = append(nodes, (c.firstNode+i)%n.fleetSize)
	}
	return nodes
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
	endpoints := policy.EndpointUpdate{Kind: policy.SnapshotUpdate}
	for i := range 20 * n.fleet.experiment.Nodes {
		endpoints.Servers = append(endpoints.Servers, policy.Server{ID: policy.ServerID(i), Weight: 1})
		if i == 100 {
			break
		}
	}
	n.handleEvent(endpoints)
	if n.fleet.experiment.Method == ReportsAndTracker {
		n.tracker = usage.New(usage.Settings{Self: usage.WriterID{Node: n.index, Incarnation: n.incarnation}, Shards: 1, Window: time.Hour, RetainedWindows: 24,
			CommandsPerSecond: counterCallsPerSecond / float64(n.fleetSize), PeerMessagesPerSecond: messagesPerSecond * 0.05,
			Plans: map[string]usage.Plan{plan.Name: {Rate: plan.Rate, Burst: plan.Burst}}})
		n.tick(n.incarnation)
	}
	return nil
}

func (n *instance) tick(incarnation uint64) {
	if n.down || n.incarnation != incarnation {
		return
	}
	n.executeTrackerActions(n.tracker.Tick(n.fleet.wall()))
	n.fleet.schedule(trackerTickInterval, func() { n.tick(incarnation) })
}

func (n *instance) handleRequest(c *customer) {
	f := n.fleet
	switch f.experiment.Method {
	case EvenShares:
		nodeCount := float64(len(c.weights))
		if n.shareBucket(c.name+" q", plan.Rate/nodeCount, plan.Burst/nodeCount).take(f.now, 1) && n.shareBucket(c.name+" h", plan.HardRate/nodeCount, plan.HardBurst/nodeCount).take(f.now, 1) {
			f.admit(n, c)
		}
	case CounterFailOpen, CounterFailClosed:
		if f.counter.silent {
			if f.experiment.Method == CounterFailOpen {
				f.admit(n, c)
			}
			return
		}
		state := f.counter.copies[n.index%2]
		if state.quotaBuckets[c.name] == nil {
			quota, ceiling := newTokenBucket(plan.Rate, plan.Burst), newTokenBucket(plan.HardRate, plan.HardBurst)
			quota.updatedAt, ceiling.updatedAt = f.now, f.now
			state.quotaBuckets[c.name], state.ceilingBuckets[c.name] = &quota, &ceiling
		}
		if state.quotaBuckets[c.name].take(f.now, 1) && state.ceilingBuckets[c.name].take(f.now, 1) {
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
	bucket := n.shares[name]
	if bucket == nil {
		created := newTokenBucket(rate, burst)
		created.updatedAt = n.fleet.now
		bucket = &created
		n.shares[name] = bucket
	}
	return bucket
}

// handleEvent passes an event to the policy and executes the resulting actions.
func (n *instance) handleEvent(event policy.Event) {
	f, incarnation := n.fleet, n.incarnation
	handleLater := func(delay time.Duration, event policy.Event) {
		f.schedule(delay, func() {
			if !n.down && n.incarnation == incarnation {
				n.handleEvent(event)
			}
		})
	}
	for _, action := range n.gateway.Handle(f.now, event, nil) {
		switch action := action.(type) {
		case policy.StartAttempt:
			c := n.requests[action.ID]
			if n.attempts[action.ID]++; n.attempts[action.ID] == 1 && c != nil {
				f.admit(n, c)
			}
			handleLater(serviceTime, policy.AttemptResult{ID: action.ID, Attempt: n.attempts[action.ID] - 1, Server: action.Server, Code: policy.OK, Latency: serviceTime, Answered: true})
		case policy.SetTimer:
			handleLater(action.After, policy.TimerFired{Token: action.Token})
		case policy.SendPeerMessage:
			if action.To >= 0 {
				f.sendMessage(n, action.To, func(to *instance) { to.handleEvent(policy.PeerMessage{From: n.index, Data: action.Data}) })
				break
			}
			for i := range n.fleetSize {
				if i != n.index && i < len(f.nodes) {
					f.sendMessage(n, i, func(to *instance) { to.handleEvent(policy.PeerMessage{From: n.index, Data: action.Data}) })
				}
			}
		}
	}
}

// sendMessage delivers a peer message after messageDelay, or loses it. A node accepts
// messagesPerSecond messages per second and drops the rest.
func (f *fleet) sendMessage(from *instance, to int, receive func(*instance)) {
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
		receive(n)
	})
}

// executeTrackerActions executes the actions of the node's usage tracker.
func (n *instance) executeTrackerActions(actions []usage.Action) {
	f, incarnation := n.fleet, n.incarnation
	for _, action := range actions {
		switch action := action.(type) {
		case usage.CounterCall:
			response, delay := usage.CounterResponse{Failed: true}, counterCallTimeout
			if !f.counter.silent {
				response, delay = f.counter.handleCall(n.index, action), counterCallDelay
			}
			f.schedule(delay, func() {
				if !n.down && n.incarnation == incarnation {
					n.executeTrackerActions(n.tracker.HandleResponse(f.wall(), action.ID, response))
				}
			})
		case usage.PeerMessage:
			f.sendMessage(n, action.To, func(to *instance) {
				if to.tracker != nil {
					to.tracker.MergeFromPeer(f.wall(), n.index, action.Entries)
				}
			})
		case usage.RestoreLevel:
			n.handleEvent(policy.UsageLevel{Customer: action.Customer, Units: action.Units})
		}
	}
}

func (c *counter) handleCall(node int, call usage.CounterCall) usage.CounterResponse {
	state := c.copies[node%2]
	response := usage.CounterResponse{Level: state.levels[call.Key.Customer]}
	if call.ReadEpoch {
		response.Epoch = state.epoch
	}
	entries := state.entries[call.Key]
	if entries == nil {
		entries = map[usage.WriterID]usage.MilliUnits{}
		state.entries[call.Key] = entries
	}
	for writer, units := range entries {
		response.Entries = append(response.Entries, usage.CounterEntry{Key: call.Key, Writer: writer, Units: units})
	}
	slices.SortFunc(response.Entries, func(a, b usage.CounterEntry) int {
		if difference := a.Writer.Node - b.Writer.Node; difference != 0 {
			return difference
		}
		return int(int64(a.Writer.Incarnation) - int64(b.Writer.Incarnation))
	})
	for _, entry := range call.Raise {
		entries[entry.Writer] = entry.Units
	}
	for _, entry := range call.AddIfMissing {
		if _, found := entries[entry.Writer]; !found {
			entries[entry.Writer] = entry.Units
		}
	}
	if !call.Level.At.IsZero() {
		state.levels[call.Key.Customer] = call.Level
	}
	return response
}

// startFault starts the experiment's faults and schedules their ends.
func (f *fleet) startFault() {
	c := f.counter
	clearCounter := func() {
		c.epoch++
		c.copies[0] = newCounterState(c.epoch)
		c.copies[1] = c.copies[0]
	}
	for fault := range f.faults {
		switch fault {
		case string(FleetDoubled), string(FleetHalved), string(FleetDoubledByRestart), string(FleetHalvedByRestart):
			f.resize(Fault(fault))
		case "silent", "silent, back empty":
			c.silent = true
			f.schedule(faultDuration, func() {
				c.silent = false
				if fault != "silent" {
					clearCounter()
				}
			})
		case "emptied":
			clearCounter()
		case "old copy":
			saved := c.copies[0].clone()
			f.schedule(faultDuration, func() { c.copies[0], c.copies[1] = saved, saved })
		case "flapping":
			for i := range 60 {
				f.schedule(time.Duration(i)*time.Second/2, func() { c.silent = i%2 == 0 })
			}
		case "split, first wins", "split, second wins", "split, both merged":
			c.copies[1] = c.copies[0].clone()
			f.schedule(2*faultDuration, func() { c.heal(fault) })
		case "mail 8% lost", "mail lost":
			f.lossRate = 1
			if fault != "mail lost" {
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
							panic(err) // the first start accepted the same settings
						}
					})
				})
			}
		}
	}
}

// resize changes the fleet's size. Requests arrive at added nodes only after the change
// has ended on all nodes, and stop arriving at removed nodes when the change starts.
func (f *fleet) resize(fault Fault) {
	oldSize := f.experiment.Nodes
	size := 2 * oldSize
	if fault == FleetHalved || fault == FleetHalvedByRestart {
		size = max(1, oldSize/2)
		f.size = size
	}
	for i := oldSize; i < size; i++ {
		f.nodes = append(f.nodes, &instance{fleet: f, index: i, fleetSize: size, down: true})
	}
	for i, n := range f.nodes {
		f.schedule(time.Duration(f.rng.Int64N(int64(resizeReadTime))), func() {
			switch {
			case fault == FleetDoubledByRestart || fault == FleetHalvedByRestart:
				n.down = true
				if i < size {
					f.schedule(time.Second, func() { n.startWithSize(size) })
				}
			case i >= oldSize:
				n.startWithSize(size)
				n.handleEvent(policy.FleetResized{Gateways: size, PreviousSize: -1})
			}
		})
		confirmDelay := func() time.Duration { return time.Duration(f.rng.Int64N(int64(resizeConfirmTime))) }
		if fault == FleetDoubled || fault == FleetHalved {
			if i < oldSize {
				f.schedule(resizeReadTime+confirmDelay(), func() { n.notifyResized(size, oldSize) })
			}
			f.schedule(resizeReadTime+resizeConfirmTime+confirmDelay(), func() { n.notifyResized(size, 0) })
		}
		f.schedule(resizeReadTime+resizeSettleTime, func() { n.down = n.down || i >= size })
	}
	f.schedule(resizeReadTime+resizeSettleTime, func() { f.size = size })
}

// startWithSize starts a node in a fleet of the given size.
func (n *instance) startWithSize(size int) {
	n.fleetSize, n.down = size, false
	if err := n.start(); err != nil {
		panic(err) // the other nodes accepted the same settings
	}
}

// notifyResized announces the fleet's size to a running node.
func (n *instance) notifyResized(size, previousSize int) {
	n.fleetSize = size
	n.handleEvent(policy.FleetResized{Gateways: size, PreviousSize: previousSize})
	if n.tracker != nil {
		n.tracker.SetCommandsPerSecond(counterCallsPerSecond / float64(size))
	}
}

func (c *counter) heal(fault string) {
	switch fault {
	case "split, first wins":
		c.copies[1] = c.copies[0]
	case "split, second wins":
		c.copies[0] = c.copies[1]
	default:
		for key, entries := range c.copies[1].entries {
			if c.copies[0].entries[key] == nil {
				c.copies[0].entries[key] = map[usage.WriterID]usage.MilliUnits{}
			}
			for writer, units := range entries {
				c.copies[0].entries[key][writer] = max(c.copies[0].entries[key][writer], units)
			}
		}
		c.copies[1] = c.copies[0]
	}
}

func (f *fleet) result() Result {
	r := Result{Experiment: f.experiment, Admitted: f.admitted, CounterError: -1}
	seconds := (experimentLength - faultStart).Seconds()
	ceiling := plan.HardRate*seconds + plan.HardBurst
	expected, missing := 0.0, 0.0
	for _, c := range f.customers {
		r.OverQuota += c.overQuota / ceiling / float64(len(f.customers))
		r.OverCeiling += c.overCeiling / ceiling / float64(len(f.customers))
		r.WorstOverQuota, r.WorstOverCeiling = max(r.WorstOverQuota, c.overQuota/ceiling), max(r.WorstOverCeiling, c.overCeiling/ceiling)
		expected, missing = expected+c.referenceUnits, missing+max(0, c.referenceUnits-c.admittedUnits)
	}
	r.Shortfall = missing / max(1, expected)
	if f.experiment.Method == ReportsAndTracker {
		r.CounterError = f.counterError()
	}
	return r
}

// counterError returns the deviation of the counter from the units forwarded by processes
// that still run, as a fraction of those units.
func (f *fleet) counterError() float64 {
	deviation, total := 0.0, 0.0
	for _, c := range f.customers {
		for writer, units := range c.forwarded {
			if f.nodes[writer.Node].incarnation != writer.Incarnation {
				continue
			}
			var counted usage.MilliUnits
			for key, entries := range f.counter.copies[0].entries {
				if key.Customer == c.name {
					counted += entries[writer]
				}
			}
			deviation += math.Abs(float64(units - counted))
			total += float64(units)
		}
	}
	return deviation / max(1, total)
}

// Table returns the results as a Markdown table.
func Table(results []Result) string {
	var b strings.Builder
	b.WriteString("| nodes | fault | way | over the ceiling | worst customer | over the quota | worst customer | refused inside | tally error |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	percent := func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }
	for _, r := range results {
		counterError := "–"
		if r.CounterError >= 0 {
			counterError = percent(r.CounterError)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Nodes, r.Fault, r.Method, percent(r.OverCeiling), percent(r.WorstOverCeiling),
			percent(r.OverQuota), percent(r.WorstOverQuota), percent(r.Shortfall), counterError)
	}
	return b.String()
}
