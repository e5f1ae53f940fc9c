package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// seedStream is the second half of the random generator's seed.
	seedStream = 0x9e3779b97f4a7c15
)

// Tokens of the timers that a Gateway sets.
const (
	tickTimer  = "tick"
	leaseTimer = "ask"
)

// Gateway makes the decisions of one gateway of a fleet. New creates it; Handle passes it events. It is not
// safe for concurrent use.
type Gateway struct {
	settings    Settings
	rng         *rand.Rand
	incarnation uint32 // drawn at each start; a change means that running totals begin at 0 again
	started     bool
	startedAt   time.Duration
	now         time.Duration // time of the current event
	actions     []Action      // actions of the current event

	tick      ticker
	classes   map[string]*requestClass
	plans     map[string]*customerPlan
	customers customerTable
	requests  map[RequestID]*request // local requests that are not finished or have an attempt in flight

	size         fleetSize
	previousSize fleetSize     // size before a change that is not complete; see fleetSize.isSet
	resizedAt    time.Duration // time of the start or of the last FleetResized
	peers        []*peerState  // by number of the gateway; nil: not needed so far, in leader mode

	endpoints   endpointList
	latency     latencyModel
	selector    serverSelector
	retryBudget retryBudget
	shedder     loadShedder
	leases      leaseClient
	reporter    loadReporter
}

// ticker is the state of the periodic work.
type ticker struct {
	interval time.Duration
	count    uint32
	lastAt   time.Duration
}

// New returns a gateway that has handled no event yet. The seed determines its random choices. An error is
// always a *SettingError.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings:    s,
		rng:         rand.New(rand.NewPCG(seed, seedStream)),
		classes:     map[string]*requestClass{},
		plans:       map[string]*customerPlan{},
		customers:   newCustomerTable(),
		requests:    map[RequestID]*request{},
		peers:       make([]*peerState, s.Gateways),
		endpoints:   newEndpointList(),
		retryBudget: maxRetryBudget,
		shedder:     loadShedder{admitProbability: 1},
	}
	g.incarnation = g.rng.Uint32()
	for i, p := range s.Plans {
		g.plans[p.Name] = &customerPlan{p, byte(i)}
	}
	for i, c := range s.Classes {
		g.classes[c.Name] = &requestClass{Class: c, index: i, sendWindow: c.DedupWindow - s.MaxSendDelay}
	}
	g.latency = newLatencyModel(g.classes)
	g.leases = newLeaseClient(g.rng.Uint32())
	g.applyFleetSize(s.Gateways)
	return g, nil
}

// Handle handles the next event, appends the resulting actions to out and returns the extended slice. Times
// must not decrease from call to call. Events that name unknown requests, servers or timers change nothing.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.actions = now, out
	if !g.started {
		g.start()
	}
	g.dispatch(ev)
	out, g.actions = g.actions, nil
	return out
}

// start starts the ticks at a random phase, so that the gateways of a fleet do not tick at the same time.
func (g *Gateway) start() {
	g.started = true
	g.startedAt = g.now
	g.resizedAt = g.now
	g.tick.lastAt = g.now
	phase := time.Duration(g.rng.Int64N(int64(g.tick.interval))) + 1
	g.emit(SetTimer{Token: tickTimer, After: phase})
	g.requestEndpoints()
}

func (g *Gateway) dispatch(ev Event) {
	switch ev := ev.(type) {
	case Request:
		g.handleRequest(g.newLocalRequest(ev))
	case AttemptResult:
		g.handleAttemptResult(ev)
	case ResponseStarted:
		g.handleResponseStarted(ev)
	case ClientDisconnected:
		if r := g.requests[ev.ID]; r != nil {
			g.finish(r)
		}
	case TimerFired:
		g.handleTimer(ev)
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
}

func (g *Gateway) handleTimer(ev TimerFired) {
	switch ev.Token {
	case tickTimer:
		if g.now > g.tick.lastAt {
			g.handleTick()
		}
	case leaseTimer:
		g.handleLeaseTimer()
	}
}

// handleTick does the periodic work.
func (g *Gateway) handleTick() {
	elapsed := g.now - g.tick.lastAt
	g.tick.lastAt = g.now
	g.tick.count++
	g.emit(SetTimer{Token: tickTimer, After: g.tick.interval})
	if g.tick.everySecond() {
		g.requestEndpoints()
		g.customers.evictIdle(g.now)
		g.evictForMemory()
	}
	g.decayWarmSendRate(elapsed)
	g.sumPeerLoads()
	g.updateAdmitProbability(elapsed)
	for _, s := range g.endpoints.list {
		s.decayStatistics(elapsed)
		g.detectStalledAttempts(s)
		if slices.Contains(s.monitors[:], g.settings.SelfIndex) {
			g.publishOutlierReport(s)
		}
	}
	g.customers.updateActive(g.now, elapsed, g.settings.CanMessagePeers)
	for _, c := range slices.Clone(g.customers.queued) {
		g.serveQueue(c)
	}
	if g.reportIsDue() {
		g.sendLoadReports()
	}
}

// everySecond reports true for about one tick a second.
func (t *ticker) everySecond() bool {
	ticksPerSecond := uint32(max(1, time.Second/t.interval))
	return t.count%ticksPerSecond == 0
}

// emit adds an action to those of the current event.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// decay returns the factor by which exponential decay with a time constant reduces a value over a time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
