package policy

import (
	"slices"
	"time"
)

// customer is what a gateway knows of one customer.
type customer struct {
	key           uint64 // names the customer in lease messages
	reportHash    uint32 // names the customer in load reports
	plan          *customerPlan
	lastRequestAt time.Duration
	active        bool // listed in customerTable.active
	ringIndex     int  // position in customerTable.ring
	queued        []*request
	inFlight      inFlightCounter

	// The gateways through which the customer comes in: gatewaySpread of them, counted round from
	// firstGateway.
	firstGateway    int
	requestedSpread int // as announced, whatever the number of gateways
	gatewaySpread   int // at least 1 and at most the number of gateways

	// The token buckets; quota.go has the rules.
	refilledAt      time.Duration // time of the figures below
	tokens          float64       // estimate of the rate quota's bucket, in units
	tokensKnown     bool          // the estimate rests on more than a fresh start
	externalLevelAt time.Duration // last UsageLevel that was taken while isolated; 0: none
	ceilingTokens   float64       // own share of the ceiling's bucket, in units
	ceilingDivisor  float64       // own share of the ceiling is one over this
	demand          float64       // units requested here, decayed over demandWindow

	// Leases; lease_client.go and lease_grant.go have the rules.
	leaders         []int              // the leader and the standby leader; nil: the bucket is kept here
	grantsLeases    bool               // other gateways request leases here
	leases          map[leaseKey]lease // granted and not returned
	admittedShare   float64            // share of the requested units that fits, as the leader last reported
	admittedShareAt time.Duration

	// Load reports; load_report.go has the rules.
	peerViews        []*peerView // the other gateways that keep the customer's counts
	admittedUnits    uint16      // running total of units, wraps around
	reportedUnits    uint16      // admittedUnits as last reported
	pendingReports   int         // reports that must still carry the last change
	lastExchangeTick uint32      // tick of the last report or lease response; 0: none
	reportPriority   float64     // for the ranking at hand
}

// customerPlan is a plan with its position in the settings.
type customerPlan struct {
	Plan
	index byte
}

// customerKey is the FNV-1a hash of a customer's name. All gateways must compute the same.
func customerKey(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}

// customerReportHash is the short form of a customer's key, of 24 bits.
func customerReportHash(key uint64) uint32 { return uint32(key >> 40) }

// customerTable holds the known customers.
type customerTable struct {
	byKey  map[uint64]*customer
	byHash map[uint32]*customer // nil where two customers share a hash: reports name neither
	ring   []*customer          // all, in order of arrival
	active []*customer          // those that something happened to lately: ticks pass over all others
	queued []*customer          // those with queued requests
}

func newCustomerTable() customerTable {
	return customerTable{byKey: map[uint64]*customer{}, byHash: map[uint32]*customer{}}
}

func (t *customerTable) add(c *customer) {
	t.byKey[c.key] = c
	if _, taken := t.byHash[c.reportHash]; taken {
		t.byHash[c.reportHash] = nil
	} else {
		t.byHash[c.reportHash] = c
	}
	c.ringIndex = len(t.ring)
	t.ring = append(t.ring, c)
}

// forgetIdle drops the customers that are not in use and made no request since a time.
func (t *customerTable) forgetIdle(since time.Duration) {
	t.ring = slices.DeleteFunc(t.ring, func(c *customer) bool {
		inUse := c.inFlight.count > 0 || len(c.queued) > 0 || c.active
		if inUse || c.lastRequestAt >= since {
			return false
		}
		t.unlink(c)
		return true
	})
	for i, c := range t.ring {
		c.ringIndex = i
	}
	if len(t.ring) < len(t.byKey) {
		clear(t.byKey)
		for _, c := range t.ring {
			t.byKey[c.key] = c
		}
	}
}

// unlink removes a customer from the reports' hashes and from its peers.
func (t *customerTable) unlink(c *customer) {
	if t.byHash[c.reportHash] == c {
		delete(t.byHash, c.reportHash)
	}
	for _, view := range c.peerViews {
		isView := func(other *peerView) bool { return other == view }
		view.peer.customerViews = slices.DeleteFunc(view.peer.customerViews, isView)
	}
}

func (t *customerTable) markActive(c *customer) {
	if !c.active {
		c.active = true
		t.active = append(t.active, c)
	}
}

// updateActive ends the tick of the active customers, and drops those with nothing in flight, queued or
// to be reported.
func (t *customerTable) updateActive(now, elapsed time.Duration) {
	kept := t.active[:0]
	for _, c := range t.active {
		if !c.inFlight.isZero() {
			c.expireLeases(now)
			c.inFlight.endTick(now, elapsed)
		}
		c.active = c.isBusy() || c.hasChanges()
		if c.active {
			kept = append(kept, c)
		}
	}
	clear(t.active[len(kept):])
	t.active = kept
}

// isBusy reports whether the customer has attempts in flight, or had some in the last tick, or has queued
// requests.
func (c *customer) isBusy() bool {
	return c.inFlight.count > 0 || c.inFlight.mean > 0 || len(c.queued) > 0
}

// customerOf finds the customer of a request, or adds it. A plan that is not in the settings has no quotas.
func (g *Gateway) customerOf(r *Request) *customer {
	key := customerKey(r.Customer)
	if c := g.customers.byKey[key]; c != nil {
		return c
	}
	plan := g.plans[r.Plan]
	if plan == nil {
		plan = &customerPlan{Plan: Plan{Name: r.Plan}}
	}
	return g.addCustomer(key, plan, r.FirstGateway, r.GatewaySpread)
}

// addCustomer adds a customer that is not known.
func (g *Gateway) addCustomer(key uint64, plan *customerPlan, firstGateway, spread int) *customer {
	c := &customer{
		key:             key,
		reportHash:      customerReportHash(key),
		plan:            plan,
		inFlight:        inFlightCounter{integratedAt: g.now},
		firstGateway:    firstGateway,
		requestedSpread: spread,
		refilledAt:      g.now,
		leases:          map[leaseKey]lease{},
		admittedShare:   1,
	}
	g.assignLeaders(c)
	g.fillBuckets(c)
	g.customers.add(c)
	return c
}
