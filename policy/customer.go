package policy

import (
	"math"
	"slices"
	"time"
)

// customer is the state that a gateway holds for one customer under one plan. Each request counts under the
// plan that it names. A customer that moves to another plan gets another state, as a new customer would, and
// this one is kept: what was used of its quotas still counts if the customer moves back, or if its requests
// name both plans in turn. Gateways may learn of the move at different times.
type customer struct {
	key           uint64 // identifies the customer in lease messages, together with the plan
	reportHash    uint32 // identifies the customer in load reports
	hashCollides  bool   // another known customer, or this one under another plan, has the same reportHash
	plan          *customerPlan
	otherPlan     *customer // the same customer under a plan that it had before; nil: none is known
	lastRequestAt time.Duration
	active        bool // is in customerTable.active
	listIndex     int  // position in customerTable.list
	queued        []*request
	inFlight      inFlightCounter

	// The gateways that receive the customer's requests: gatewaySpread of them, starting with firstGateway
	// and continuing with gateway 0 after the last one.
	firstGateway    int
	requestedSpread int // Request.GatewaySpread, which may exceed the number of gateways
	gatewaySpread   int // at least 1 and at most the number of gateways

	// The token buckets; quota.go has the rules.
	refilledAt      time.Duration // time of the values below
	tokens          float64       // estimate of the rate quota's bucket, in units
	tokensKnown     bool          // tokens is not just the initial guess of a gateway that has started
	externalLevelAt time.Duration // time of the last UsageLevel applied while isolated; 0: none
	ceilingTokens   float64       // own share of the ceiling's bucket, in units
	ceilingDivisor  float64       // reciprocal of the own share of the ceiling
	demand          float64       // units requested here, decayed over demandWindow

	// Leases; lease_client.go and lease_grant.go have the rules.
	leaders         leaderPair         // the gateways from which leases are requested; see keepsBuckets
	grantsLeases    bool               // other gateways request leases here
	leases          map[leaseKey]lease // granted and not returned
	admittedShare   float64            // share of the demand that fits the quota, as the leader last reported
	admittedShareAt time.Duration

	// Load reports; load_report.go has the rules.
	peerViews        []*peerView // one for each other gateway that keeps the customer's buckets
	admittedUnits    uint16      // running total of units, wraps around; see countAdmitted
	uncountedUnits   float64     // admitted units not in admittedUnits yet; above -1
	hasFractions     bool        // requests have cost fractions of a unit
	reportedUnits    uint16      // admittedUnits as last reported
	pendingReports   int         // number of reports that must still include the last change
	lastExchangeTick uint32      // tick of the last report or lease response; 0: none
	reportPriority   float64     // in the current ranking
}

// leaderPair names the gateways from which leases for a customer are requested. The zero value names none.
type leaderPair struct {
	assigned bool
	leader   int // number of the gateway
	standby  int // number of the gateway that gets the request if the leader does not respond
}

// keepsBuckets reports whether this gateway decides on the customer's requests itself: it is one of the
// gateways that keep the buckets, or the customer has no quota for which a leader is needed.
func (c *customer) keepsBuckets() bool { return !c.leaders.assigned }

// customerPlan is a plan with its position in the settings.
type customerPlan struct {
	Plan
	index byte
}

// hasQuota reports whether the plan limits its customers at all.
func (p *Plan) hasQuota() bool { return p.Rate > 0 || p.MaxInFlight > 0 || p.HardRate > 0 }

// leasedRate returns the maximum rate, in units a second, at which leaders grant leases: that of the rate
// quota, or that of the ceiling if the plan has nothing else. It is 0 for a plan with a cap and no rate
// quota.
func (p *Plan) leasedRate() float64 {
	if p.Rate == 0 && p.MaxInFlight == 0 {
		return p.HardRate
	}
	return p.Rate
}

// fillTime returns the time in which empty buckets fill up.
func (p *Plan) fillTime() time.Duration {
	seconds := 0.0
	if p.Rate > 0 {
		seconds = p.Burst / p.Rate
	}
	if p.HardRate > 0 {
		seconds = max(seconds, p.HardBurst/p.HardRate)
	}
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
}

// customerKey returns the FNV-1a hash of a customer's name. All gateways must compute the same key.
func customerKey(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}

// customerReportHash returns the upper 24 bits of a customer's key, which identify the customer in load
// reports.
func customerReportHash(key uint64) uint32 { return uint32(key >> 40) }

// customerTable holds the known customers.
type customerTable struct {
	byKey  map[uint64]*customer // with the plan to which the customer has moved last; see otherPlan
	byHash map[uint32]*customer // by reportHash; nil if several customers have the same one

	collisions map[uint32][]*customer // customers with the same report hash, by that hash
	list       []*customer            // all customers, in the order in which they were added
	active     []*customer            // customers with recent events; ticks skip all others
	queued     []*customer            // customers with queued requests
}

func newCustomerTable() customerTable {
	return customerTable{
		byKey:      map[uint64]*customer{},
		byHash:     map[uint32]*customer{},
		collisions: map[uint32][]*customer{},
	}
}

// find returns a customer under a plan, or nil if it is not known.
func (t *customerTable) find(key uint64, plan string) *customer {
	c := t.byKey[key]
	for c != nil && c.plan.Name != plan {
		c = c.otherPlan
	}
	return c
}

// add adds a customer that is not in the table under its plan.
func (t *customerTable) add(c *customer) {
	c.otherPlan = t.byKey[c.key]
	t.byKey[c.key] = c
	t.addHash(c)
	c.listIndex = len(t.list)
	t.list = append(t.list, c)
}

// removeKey removes a customer from byKey, but not the same customer under other plans.
func (t *customerTable) removeKey(c *customer) {
	first := t.byKey[c.key]
	if first == c {
		if c.otherPlan == nil {
			delete(t.byKey, c.key)
		} else {
			t.byKey[c.key] = c.otherPlan
		}
		return
	}
	for before := first; before != nil; before = before.otherPlan {
		if before.otherPlan == c {
			before.otherPlan = c.otherPlan
			return
		}
	}
}

// addHash adds a customer to byHash. Customers whose report hashes collide are neither included in load
// reports nor updated by them.
func (t *customerTable) addHash(c *customer) {
	other, taken := t.byHash[c.reportHash]
	if !taken {
		t.byHash[c.reportHash] = c
		return
	}
	t.byHash[c.reportHash] = nil
	if other != nil {
		t.collisions[c.reportHash] = []*customer{other}
		other.hashCollides = true
	}
	t.collisions[c.reportHash] = append(t.collisions[c.reportHash], c)
	c.hashCollides = true
}

// removeHash removes a customer from byHash. If only one other customer with the same hash remains, load
// reports include it again.
func (t *customerTable) removeHash(c *customer) {
	if !c.hashCollides {
		delete(t.byHash, c.reportHash)
		return
	}
	isCustomer := func(other *customer) bool { return other == c }
	left := slices.DeleteFunc(t.collisions[c.reportHash], isCustomer)
	t.collisions[c.reportHash] = left
	if len(left) > 1 {
		return
	}
	delete(t.collisions, c.reportHash)
	t.byHash[c.reportHash] = left[0]
	left[0].hashCollides = false
	for _, view := range left[0].peerViews {
		view.hasReport = false // the last reported total may belong to another customer
	}
}

func (t *customerTable) markActive(c *customer) {
	if !c.active {
		c.active = true
		t.active = append(t.active, c)
	}
}

// updateActive ends the tick for the active customers, and removes from the active list those that have
// nothing in flight, queued or to report. If canReport is false, no customer has anything to report.
func (t *customerTable) updateActive(now, elapsed time.Duration, canReport bool) {
	kept := t.active[:0]
	for _, c := range t.active {
		if !c.inFlight.isZero() {
			c.expireLeases(now)
			c.inFlight.endTick(now, elapsed)
		}
		c.active = c.isBusy() || canReport && c.hasChanges()
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

// customerOf returns the customer of a request under the plan that it names, and adds it if it is not known.
// A plan that is not in the settings has no quotas.
func (g *Gateway) customerOf(r *Request) *customer {
	key := customerKey(r.Customer)
	if c := g.customers.find(key, r.Plan); c != nil {
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
