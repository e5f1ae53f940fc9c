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
	loadReportShare                  = 0.75 // part of a gateway's mail intake that reports may fill
	minTickInterval, maxTickInterval = 25 * time.Millisecond, 250 * time.Millisecond
	customerIdleTimeout              = 10 * time.Minute // a customer not seen for so long is forgotten
)

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	settings          Settings
	rng               *rand.Rand
	incarnation       uint32
	reportSequence    uint32
	tickInterval      time.Duration
	tickCount         uint32
	started           bool
	startedAt         time.Duration
	now               time.Duration
	lastTickAt        time.Duration
	classes           map[string]*requestClass
	plans             map[string]*customerPlan
	customers         map[uint64]*customer
	customersByHash   map[uint32]*customer
	customerRing      []*customer
	activeCustomers   []*customer // those that ticks look at
	reportRanking     ranking     // scratch of report
	candidateScratch  []*server   // scratch of pick
	ejectedScratch    []*server
	queuedCustomers   []*customer
	requests          map[RequestID]*request
	servers           map[ServerID]*server
	endpoints         []*server
	peers             []*peer
	retryBudget       float64
	inFlight          int           // own attempts out, at all servers
	overload          float64       // average of latency over aim
	lastShortageAt    time.Duration // when a request last found no server with room
	warmSendRate      float64       // own sends to warm servers, decayed over FallTime
	actions           []Action
	watching          bool
	meanWeight        float64 // mean weight in the list
	idleLatency       float64 // seconds an idle server takes, over all classes
	shortestObjective float64 // the shortest aim, in seconds
	responseRate      float64 // share of asks that are answered
	outcomeWeight     float64 // weight of an outcome in a server's pace here
	idleOverload      float64 // the least mean latency over its aim so far, of all classes; 0: not known
	admitProbability  float64 // part of the requests let in
	leaderMode        bool    // reports from all to all would be too many
	pendingLeases     map[uint32]*request
	leaseWaiters      []*request // in the order asked, answered ones too
	lastLeaseTag      uint32
	meanResponseTime  time.Duration // mean time to an answer
	previousSize      fleetSize     // of the fleet, until all have heard that it changed
}

// New returns a gateway that has seen nothing yet. The seed feeds its random
// choices; equal settings, seeds and events give equal actions.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	g := newGateway(s, seed)
	g.retryBudget, g.shortestObjective = maxRetryBudget, math.Inf(1)
	for _, c := range g.classes {
		c.idleLatency = c.LatencyObjective.Seconds() / initialLatencyDivisor
		g.idleLatency, g.shortestObjective = max(g.idleLatency, c.idleLatency),
			min(g.shortestObjective, c.LatencyObjective.Seconds())
	}
	g.admitProbability, g.responseRate = 1, 1
	g.lastLeaseTag, g.meanResponseTime = g.rng.Uint32(), minResponseWait
	g.applyFleetSize()
	return g, nil
}

// newGateway returns a gateway with empty tables.
func newGateway(s Settings, seed uint64) *Gateway {
	g := &Gateway{settings: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*requestClass{}, plans: map[string]*customerPlan{},
		customers:       map[uint64]*customer{},
		pendingLeases:   map[uint32]*request{},
		customersByHash: map[uint32]*customer{}, requests: map[RequestID]*request{},
		servers: map[ServerID]*server{}}
	g.incarnation = g.rng.Uint32()
	for i, p := range s.Plans {
		g.plans[p.Name] = &customerPlan{p, byte(i)}
	}
	for i, c := range s.Classes {
		g.classes[c.Name] = &requestClass{Class: c, index: i}
	}
	g.peers = make([]*peer, s.Gateways)
	return g
}

// Handle takes one event at a time and appends what is to be done to out.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.actions = now, out
	if !g.started {
		g.started, g.startedAt, g.lastTickAt = true, now, now
		g.do(SetTimer{Token: "tick", After: time.Duration(g.rng.Int64N(int64(g.tickInterval))) + 1})
		g.requestEndpoints()
	}
	switch ev := ev.(type) {
	case Request:
		g.handleRequest(g.newLocalRequest(ev))
	case AttemptResult:
		g.handleAttemptResult(ev)
	case ResponseStarted:
		if r := g.requests[ev.ID]; r != nil && r.attempts == ev.Attempt+1 && r.server != nil {
			r.responseStarted = true
		}
	case ClientDisconnected:
		if r := g.requests[ev.ID]; r != nil {
			g.finish(r)
		}
	case TimerFired:
		if ev.Token == "tick" && now > g.lastTickAt {
			g.handleTick()
		}
		if ev.Token == "ask" {
			g.handleLeaseTimer()
		}
	case PeerMessage:
		g.handlePeerMessage(ev)
	case EndpointUpdate:
		g.handleEndpointUpdate(ev)
	case UsageLevel:
		g.handleUsageLevel(ev)
	case RestoreSnapshot:
		g.handleRestoreSnapshot(ev)
	case FleetResized:
		if ev.Gateways > 0 {
			g.handleFleetResized(ev)
		}
	}
	out, g.actions = g.actions, nil
	return out
}

func (g *Gateway) handleTick() {
	dt := g.now - g.lastTickAt
	g.lastTickAt, g.tickCount = g.now, g.tickCount+1
	g.do(SetTimer{Token: "tick", After: g.tickInterval})
	if g.tickCount%uint32(max(1, time.Second/g.tickInterval)) == 0 {
		g.requestEndpoints()
		g.forgetIdleCustomers(g.now - customerIdleTimeout)
	}
	if g.settings.ColdOverloadTime > 0 {
		g.warmSendRate *= math.Exp(-float64(dt) / float64(g.settings.ColdOverloadTime))
	}
	g.sumPeerLoads()
	g.updateAdmitProbability(dt)
	for _, s := range g.endpoints {
		// What is not tried is not learned: an old judgement wears off.
		s.decayJudgment(min(1, dt.Seconds()/judgmentDecayTime.Seconds()))
		g.detectStalledAttempts(s)
		if slices.Contains(s.monitors[:], g.settings.SelfIndex) {
			g.publishOutlierReport(s)
		}
	}
	g.updateMeanInFlight(dt)
	for _, c := range slices.Clone(g.queuedCustomers) {
		g.refill(c)
		g.rejectExpired(c)
		if len(c.queued) == 0 {
			continue
		}
		n := 1 << 30
		if c.plan.MaxInFlight > 0 {
			out, held := g.peerLoad(c)
			part := (float64(c.plan.MaxInFlight-c.inFlight) - out) / (1 + held/float64(len(c.queued)))
			n = int(math.Floor(max(part, 0) + g.rng.Float64()))
		}
		g.releaseQueued(c, n)
	}
	if g.settings.CanMessagePeers && (!g.leaderMode || g.tickCount%leaderReportTicks == 0) {
		g.sendLoadReports()
	}
}

func (g *Gateway) do(a Action) { g.actions = append(g.actions, a) }

func either(yes bool, a, b Reason) Reason {
	if yes {
		return a
	}
	return b
}
