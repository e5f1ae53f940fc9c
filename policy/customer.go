package policy

import (
	"slices"
	"time"
)

type customer struct {
	key    uint64
	hash   uint32 // in reports
	plan   *quota
	first  int // its gateways: spread of them, counted round from first
	spread int
	nodes  int     // as asked for, whatever the number of gateways
	ask    []int   // the gateways that sum its counts, where this one does not
	part   float64 // of what is asked for fits, as its root said
	partAt time.Duration
	sums   bool             // others ask it here, as its root or deputy
	leases map[lease]leased // granted to others and not told of as ended
	set    []*peerView      // its other gateways
	n      float64          // its gateways, this one included
	held   []*request       // waiting, in arrival order
	out    int
	seen   time.Duration // its last request
	area   float64       // integral of out over the tick, for its mean
	areaAt time.Duration
	mean   float64

	at        time.Duration // time of the stores below
	store     float64       // estimate of the quota's store
	known     bool          // the estimate rests on more than a fresh start
	witness   time.Duration // when another witness last told the store, unheard as it was
	ceiling   float64       // own hard part of the ceiling
	passed    uint16        // running totals of units, told to peers
	rate      float64       // own asked units, decayed over demandSpan
	fresh     int           // ticks for which a change is still told
	told      uint32        // tick of the last report
	toldUnits uint16        // passed, as last told
	urgency   float64       // its place in the report
	stirs     bool          // in the list of those that ticks look at
	place     int           // in the ring
}

// quota is a plan with its place in the settings.
type quota struct {
	Plan
	no byte
}

// keyOf names a customer in messages, shortOf in reports.
func keyOf(name string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

func shortOf(key uint64) uint32 { return uint32(key >> 40) }

// customer finds the customer of a request.
func (g *Gateway) customer(r *Request) *customer {
	key := keyOf(r.Customer)
	if c := g.customers[key]; c != nil {
		return c
	}
	plan := g.plans[r.Plan]
	if plan == nil {
		plan = &quota{Plan: Plan{Name: r.Plan}}
	}
	return g.account(key, plan, r.FirstGateway, r.GatewaySpread)
}

// account starts a customer's counts. Those who sum them come first: in a
// small fleet all its gateways, in a large one its roots. The others ask.
func (g *Gateway) account(key uint64, plan *quota, first, spread int) *customer {
	c := &customer{key: key, hash: shortOf(key), plan: plan, store: plan.Burst,
		part: 1, leases: map[lease]leased{}, first: first, nodes: spread, at: g.now, areaAt: g.now}
	g.place(c)
	// A restarted root knows nothing: it must not grant a whole store again.
	if g.tree && plan.Rate > 0 && (g.now-g.start).Seconds() < plan.Burst/plan.Rate {
		c.store *= freshFill
	}
	// The ceiling's own part starts empty at the gateway's start: after a
	// restart it must not be granted a second time.
	c.ceiling = min(plan.HardBurst, plan.HardRate*(g.now-g.start).Seconds()) / c.n
	g.enter(c)
	return c
}

// enter puts a customer in the tables. Two of one short hash can't be told
// apart in reports: none is taken for either.
func (g *Gateway) enter(c *customer) {
	g.customers[c.key] = c
	if _, twice := g.byHash[c.hash]; twice {
		g.byHash[c.hash] = nil
	} else {
		g.byHash[c.hash] = c
	}
	c.place = len(g.ring)
	g.ring = append(g.ring, c)
}

// forget drops the customers that have nothing out or held and made no
// request since a time.
func (g *Gateway) forget(since time.Duration) {
	g.ring = slices.DeleteFunc(g.ring, func(c *customer) bool {
		if c.seen >= since || c.out > 0 || len(c.held) > 0 || c.stirs {
			return false
		}
		if g.byHash[c.hash] == c {
			delete(g.byHash, c.hash)
		}
		for _, v := range c.set {
			v.p.views = slices.DeleteFunc(v.p.views, func(o *peerView) bool { return o == v })
		}
		return true
	})
	for i, c := range g.ring {
		c.place = i
	}
	if len(g.ring) < len(g.customers) {
		clear(g.customers)
		for _, c := range g.ring {
			g.customers[c.key] = c
		}
	}
}

func (c *customer) count(now time.Duration, d int) {
	c.area += float64(c.out) * (now - c.areaAt).Seconds()
	c.areaAt = now
	c.out += d
}

// measure takes each customer's mean of attempts out over a tick.
func (g *Gateway) measure(dt time.Duration) {
	kept := g.stirred[:0]
	for _, c := range g.stirred {
		if c.out > 0 || c.area > 0 || c.mean > 0 {
			c.expire(g.now)
			c.count(g.now, 0)
			c.mean, c.area = c.area/dt.Seconds(), 0
		}
		c.stirs = c.out > 0 || c.mean > 0 || len(c.held) > 0 || c.fresh > 0 && len(c.set) > 0
		if c.stirs {
			kept = append(kept, c)
		}
	}
	clear(g.stirred[len(kept):])
	g.stirred = kept
}

// stir notes a customer that something happens to: ticks pass over all others,
// who have nothing out, held or to be told.
func (g *Gateway) stir(c *customer) {
	if !c.stirs {
		c.stirs = true
		g.stirred = append(g.stirred, c)
	}
}
