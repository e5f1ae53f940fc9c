package policy

import (
	"slices"
	"time"
)

type customer struct {
	key              uint64
	reportHash       uint32 // in reports
	plan             *customerPlan
	firstGateway     int // its gateways: spread of them, counted round from first
	gatewaySpread    int
	requestedSpread  int     // as asked for, whatever the number of gateways
	leaders          []int   // the gateways that sum its counts, where this one does not
	admittedShare    float64 // of what is asked for fits, as its root said
	admittedShareAt  time.Duration
	grantsLeases     bool               // others ask it here, as its root or deputy
	leases           map[leaseKey]lease // granted to others and not told of as ended
	peerViews        []*peerView        // its other gateways
	ceilingDivisor   float64            // its gateways, this one included
	queued           []*request         // waiting, in arrival order
	inFlight         int
	lastRequestAt    time.Duration // its last request
	inFlightIntegral float64       // integral of out over the tick, for its mean
	integratedAt     time.Duration
	meanInFlight     float64

	refilledAt       time.Duration // time of the stores below
	tokens           float64       // estimate of the quota's store
	tokensKnown      bool          // the estimate rests on more than a fresh start
	externalLevelAt  time.Duration // when another witness last told the store, unheard as it was
	ceilingTokens    float64       // own hard part of the ceiling
	admittedUnits    uint16        // running totals of units, told to peers
	demand           float64       // own asked units, decayed over demandSpan
	pendingReports   int           // ticks for which a change is still told
	lastExchangeTick uint32        // tick of the last report
	reportedUnits    uint16        // passed, as last told
	reportPriority   float64       // its place in the report
	active           bool          // in the list of those that ticks look at
	ringIndex        int           // in the ring
}

// customerPlan is a plan with its place in the settings.
type customerPlan struct {
	Plan
	index byte
}

// customerKey names a customer in messages, shortOf in reports.
func customerKey(name string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

func customerReportHash(key uint64) uint32 { return uint32(key >> 40) }

// customerOf finds the customer of a request.
func (g *Gateway) customerOf(r *Request) *customer {
	key := customerKey(r.Customer)
	if c := g.customers[key]; c != nil {
		return c
	}
	plan := g.plans[r.Plan]
	if plan == nil {
		plan = &customerPlan{Plan: Plan{Name: r.Plan}}
	}
	return g.addCustomer(key, plan, r.FirstGateway, r.GatewaySpread)
}

// addCustomer starts a customer's counts. Those who sum them come first: in a
// small fleet all its gateways, in a large one its roots. The others ask.
func (g *Gateway) addCustomer(key uint64, plan *customerPlan, first, spread int) *customer {
	c := &customer{key: key, reportHash: customerReportHash(key), plan: plan, tokens: plan.Burst,
		admittedShare: 1, leases: map[leaseKey]lease{}, firstGateway: first, requestedSpread: spread,
		refilledAt: g.now, integratedAt: g.now}
	g.assignLeaders(c)
	// A restarted root knows nothing: it must not grant a whole store again.
	if g.leaderMode && plan.Rate > 0 && (g.now-g.startedAt).Seconds() < plan.Burst/plan.Rate {
		c.tokens *= restartedLeaderFill
	}
	// The ceiling's own part starts empty at the gateway's start: after a
	// restart it must not be granted a second time.
	c.ceilingTokens = min(plan.HardBurst, plan.HardRate*(g.now-g.startedAt).Seconds()) / c.ceilingDivisor
	g.indexCustomer(c)
	return c
}

// indexCustomer puts a customer in the tables. Two of one short hash can't be told
// apart in reports: none is taken for either.
func (g *Gateway) indexCustomer(c *customer) {
	g.customers[c.key] = c
	if _, twice := g.customersByHash[c.reportHash]; twice {
		g.customersByHash[c.reportHash] = nil
	} else {
		g.customersByHash[c.reportHash] = c
	}
	c.ringIndex = len(g.customerRing)
	g.customerRing = append(g.customerRing, c)
}

// forgetIdleCustomers drops the customers that have nothing out or held and made no
// request since a time.
func (g *Gateway) forgetIdleCustomers(since time.Duration) {
	g.customerRing = slices.DeleteFunc(g.customerRing, func(c *customer) bool {
		if c.lastRequestAt >= since || c.inFlight > 0 || len(c.queued) > 0 || c.active {
			return false
		}
		if g.customersByHash[c.reportHash] == c {
			delete(g.customersByHash, c.reportHash)
		}
		for _, v := range c.peerViews {
			v.peer.customerViews = slices.DeleteFunc(v.peer.customerViews,
				func(o *peerView) bool { return o == v })
		}
		return true
	})
	for i, c := range g.customerRing {
		c.ringIndex = i
	}
	if len(g.customerRing) < len(g.customers) {
		clear(g.customers)
		for _, c := range g.customerRing {
			g.customers[c.key] = c
		}
	}
}

func (c *customer) addInFlight(now time.Duration, d int) {
	c.inFlightIntegral += float64(c.inFlight) * (now - c.integratedAt).Seconds()
	c.integratedAt = now
	c.inFlight += d
}

// updateMeanInFlight takes each customer's mean of attempts out over a tick.
func (g *Gateway) updateMeanInFlight(dt time.Duration) {
	kept := g.activeCustomers[:0]
	for _, c := range g.activeCustomers {
		if c.inFlight > 0 || c.inFlightIntegral > 0 || c.meanInFlight > 0 {
			c.expireLeases(g.now)
			c.addInFlight(g.now, 0)
			c.meanInFlight, c.inFlightIntegral = c.inFlightIntegral/dt.Seconds(), 0
		}
		c.active = c.inFlight > 0 || c.meanInFlight > 0 || len(c.queued) > 0 || c.pendingReports > 0 &&
			len(c.peerViews) > 0
		if c.active {
			kept = append(kept, c)
		}
	}
	clear(g.activeCustomers[len(kept):])
	g.activeCustomers = kept
}

// markActive notes a customer that something happens to: ticks pass over all others,
// who have nothing out, held or to be told.
func (g *Gateway) markActive(c *customer) {
	if !c.active {
		c.active = true
		g.activeCustomers = append(g.activeCustomers, c)
	}
}
