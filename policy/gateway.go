// Package policy decides for a gateway that keeps customers' quotas on a shared API.
//
// The mechanism is a distributed waiting room. Requests beyond a customer's
// cap on attempts out wait in arrival order; gateways report to each other
// once a tick, sum the attempts out from these reports, and release the free
// room at ticks and at their own outcomes. A rate companion keeps an estimate
// of each customer's store of units and lets a gateway pass its part of it.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Tuned values. None is fitted to a deployment: they are shares, counts of
// ticks, or times that people and networks set.
const (
	mailShare        = 0.75 // part of a gateway's mail intake that reports may fill
	minTick, maxTick = 25 * time.Millisecond, 250 * time.Millisecond
	idleAfter        = 10 * time.Minute // a customer not seen for so long is forgotten
)

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	set       Settings
	rng       *rand.Rand
	inc       uint32
	seq       uint32
	tick      time.Duration
	ticks     uint32
	begun     bool
	start     time.Duration
	now       time.Duration
	lastTick  time.Duration
	classes   map[string]*class
	plans     map[string]*quota
	customers map[uint64]*customer
	byHash    map[uint32]*customer
	ring      []*customer
	stirred   []*customer // those that ticks look at
	ranks     ranking     // scratch of report
	usables   []*server   // scratch of pick
	doubted   []*server
	waiting   []*customer
	reqs      map[RequestID]*request
	servers   map[ServerID]*server
	fleet     []*server
	peers     []*peer
	budget    float64
	out       int           // own attempts out, at all servers
	strain    float64       // average of latency over aim
	lackAt    time.Duration // when a request last found no server with room
	sendRate  float64       // own sends to warm servers, decayed over FallTime
	acts      []Action
	asked     bool
	size      float64 // mean weight in the list
	mean      float64 // seconds an idle server takes, over all classes
	minAim    float64 // the shortest aim, in seconds
	heard     float64 // share of asks that are answered
	own       float64 // weight of an outcome in a server's pace here
	idle      float64 // the least mean latency over its aim so far, of all classes; 0: not known
	gate      float64 // part of the requests let in
	tree      bool    // reports from all to all would be too many
	asks      map[uint32]*request
	asking    []*request // in the order asked, answered ones too
	nextTag   uint32
	reply     time.Duration // mean time to an answer
	was       size          // of the fleet, until all have heard that it changed
}

// New returns a gateway that has seen nothing yet. The seed feeds its random
// choices; equal settings, seeds and events give equal actions.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	g := newGateway(s, seed)
	g.budget, g.minAim = retryCap, math.Inf(1)
	for _, c := range g.classes {
		c.mean = c.LatencyObjective.Seconds() / firstGuess
		g.mean, g.minAim = max(g.mean, c.mean), min(g.minAim, c.LatencyObjective.Seconds())
	}
	g.gate, g.heard = 1, 1
	g.nextTag, g.reply = g.rng.Uint32(), leastReply
	g.fit()
	return g, nil
}

// newGateway returns a gateway with empty tables.
func newGateway(s Settings, seed uint64) *Gateway {
	g := &Gateway{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, plans: map[string]*quota{}, customers: map[uint64]*customer{},
		asks:   map[uint32]*request{},
		byHash: map[uint32]*customer{}, reqs: map[RequestID]*request{}, servers: map[ServerID]*server{}}
	g.inc = g.rng.Uint32()
	for i, p := range s.Plans {
		g.plans[p.Name] = &quota{p, byte(i)}
	}
	for i, c := range s.Classes {
		g.classes[c.Name] = &class{Class: c, no: i}
	}
	g.peers = make([]*peer, s.Gateways)
	return g
}

// Handle takes one event at a time and appends what is to be done to out.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.acts = now, out
	if !g.begun {
		g.begun, g.start, g.lastTick = true, now, now
		g.do(SetTimer{Token: "tick", After: time.Duration(g.rng.Int64N(int64(g.tick))) + 1})
		g.watch()
	}
	switch ev := ev.(type) {
	case Request:
		g.onRequest(g.arrive(ev))
	case AttemptResult:
		g.onOutcome(ev)
	case ResponseStarted:
		if r := g.reqs[ev.ID]; r != nil && r.attempts == ev.Attempt+1 && r.srv != nil {
			r.stream = true
		}
	case ClientDisconnected:
		if r := g.reqs[ev.ID]; r != nil {
			g.close(r)
		}
	case TimerFired:
		if ev.Token == "tick" && now > g.lastTick {
			g.onTick()
		}
		if ev.Token == "ask" {
			g.onAskTimer()
		}
	case PeerMessage:
		g.onPeer(ev)
	case EndpointUpdate:
		g.onMembers(ev)
	case UsageLevel:
		g.onLevel(ev)
	case RestoreSnapshot:
		g.onRecall(ev)
	case FleetResized:
		if ev.Gateways > 0 {
			g.onFleet(ev)
		}
	}
	out, g.acts = g.acts, nil
	return out
}

func (g *Gateway) onTick() {
	dt := g.now - g.lastTick
	g.lastTick, g.ticks = g.now, g.ticks+1
	g.do(SetTimer{Token: "tick", After: g.tick})
	if g.ticks%uint32(max(1, time.Second/g.tick)) == 0 {
		g.watch()
		g.forget(g.now - idleAfter)
	}
	if g.set.ColdOverloadTime > 0 {
		g.sendRate *= math.Exp(-float64(dt) / float64(g.set.ColdOverloadTime))
	}
	g.sumLoads()
	g.adapt(dt)
	for _, s := range g.fleet {
		// What is not tried is not learned: an old judgement wears off.
		s.wear(min(1, dt.Seconds()/slowSpan.Seconds()))
		g.silence(s)
		if slices.Contains(s.watchers[:], g.set.SelfIndex) {
			g.tell(s)
		}
	}
	g.measure(dt)
	for _, c := range slices.Clone(g.waiting) {
		g.advance(c)
		g.age(c)
		if len(c.held) == 0 {
			continue
		}
		n := 1 << 30
		if c.plan.MaxInFlight > 0 {
			out, held := g.others(c)
			part := (float64(c.plan.MaxInFlight-c.out) - out) / (1 + held/float64(len(c.held)))
			n = int(math.Floor(max(part, 0) + g.rng.Float64()))
		}
		g.drain(c, n)
	}
	if g.set.CanMessagePeers && (!g.tree || g.ticks%rootTicks == 0) {
		g.report()
	}
}

func (g *Gateway) do(a Action) { g.acts = append(g.acts, a) }

func either(yes bool, a, b Reason) Reason {
	if yes {
		return a
	}
	return b
}
