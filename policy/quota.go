package policy

import (
	"math"
	"slices"
	"time"
)

const (
	staleTicks   = 6    // a report older than this gives way to the demand split
	leastWeight  = 0.33 // a silent peer's demand fades to this part of it
	forgetAfter  = 10 * time.Second
	demandSpan   = 2 * time.Second       // memory of the demand rates
	blindExtra   = 25 * time.Millisecond // time a report travels
	retryReserve = 0.7                   // part of the store that clients' repeats leave to first tries

	evenRate, evenLeast    = 0.02, 0.05 // demand of each gateway taken for granted: of the rate, units
	arriveSlack, freeSlack = 0.5, 0.25  // parts of a place that count as one, at arrival and later

	freshFill   = 0.8             // part of a store that a root just started presumes
	witnessLife = 3 * time.Second // another witness is heeded for so long
)

// advance brings a customer's stores up to now. A peer long silent is taken
// to use its demand-split part of the rate: it may only be cut off.
func (g *Gateway) advance(c *customer) {
	g.stir(c)
	dt := (g.now - c.at).Seconds()
	if dt <= 0 {
		return
	}
	c.at = g.now
	unheard := 0.0
	for _, v := range c.set {
		if g.silent(v.p) {
			unheard += g.weight(c, v)
		}
	}
	share := 1 - unheard/g.demand(c)
	if len(c.ask) > 0 && !c.sums {
		share = 1 / float64(c.spread) // what others pass is the root's to know
	}
	c.store = min(c.plan.Burst, c.store+c.plan.Rate*dt*share)
	c.ceiling = min(c.plan.HardBurst/c.n, c.ceiling+c.plan.HardRate/c.n*dt)
	k := math.Exp(-dt / demandSpan.Seconds())
	c.rate *= k
	for _, v := range c.set {
		v.rate *= k
	}
	if !c.known && c.plan.Rate > 0 && (g.now-g.start).Seconds() > c.plan.Burst/c.plan.Rate {
		c.known = true
	}
}

// silent tells whether a peer's counts are too old to be used.
func (g *Gateway) silent(p *peer) bool { return !p.heard || g.now-p.at > staleTicks*g.tick }

// even is the demand taken for granted: a fresh customer's split is even.
func (g *Gateway) even(c *customer) float64 { return evenRate*c.plan.Rate + evenLeast }

// weight is a peer's demand in the demand split. One not heard for long counts
// as much as this gateway, then less, but never nothing: it may be cut off and
// passing its part, or dead for good.
func (g *Gateway) weight(c *customer, v *peerView) float64 {
	w := v.rate
	if g.silent(v.p) {
		fade := math.Exp(-(g.now - max(v.p.at, g.start)).Seconds() / forgetAfter.Seconds())
		if !g.set.CanMessagePeers {
			fade = 1 // its silence says nothing
		}
		w = max(w, c.rate) * (leastWeight + (1-leastWeight)*fade)
	}
	return w/demandSpan.Seconds() + g.even(c)
}

// demand is all gateways' demand in units a second, this one's included.
func (g *Gateway) demand(c *customer) float64 {
	sum := c.rate/demandSpan.Seconds() + g.even(c)
	for _, v := range c.set {
		sum += g.weight(c, v)
	}
	return sum
}

func (g *Gateway) share(c *customer) float64 {
	return (c.rate/demandSpan.Seconds() + g.even(c)) / g.demand(c)
}

// allowance is what this gateway may pass of the customer's store now: its
// demand-split part, or what is left once the peers have passed all they may
// be asked for before they are heard again, whichever is more.
func (g *Gateway) allowance(c *customer) float64 {
	// Where none is heard nobody else uses its own part, which takes in whole requests.
	if share := g.share(c); len(c.ask) == 0 && g.deaf(c) {
		return max(c.store*share, c.store-c.plan.Burst+max(c.plan.Burst*share, g.set.MaxRequestUnits))
	}
	blind := (g.tick + blindExtra).Seconds()
	unseen := 0.0
	for _, v := range c.set {
		wait := blind
		if !v.p.complete {
			wait += min(g.now-v.at, staleTicks*g.tick).Seconds()
		}
		unseen += g.weight(c, v) * wait
	}
	return max(c.store*g.share(c), c.store-unseen)
}

// others sums the attempts out and held that the peers report. A silent
// peer's count gives way to its demand-split part of the cap.
func (g *Gateway) others(c *customer) (out, held float64) {
	for _, v := range c.set {
		if g.silent(v.p) {
			out += float64(c.plan.MaxInFlight) * g.weight(c, v) / g.demand(c)
			continue
		}
		out += v.out
		held += v.held
	}
	return out, held
}

// room tells whether one more attempt of the customer fits under its cap.
// An arrival stays under its demand-split part, at least one.
func (g *Gateway) room(c *customer, arrival bool) bool {
	if c.plan.MaxInFlight == 0 || c.out == 0 && g.deaf(c) {
		return true
	}
	out, _ := g.others(c)
	free := float64(c.plan.MaxInFlight) - out
	next := float64(c.out + 1)
	if arrival {
		return next <= max(free*g.share(c), min(1, free+arriveSlack))
	}
	return next <= free+freeSlack
}

// within tells whether quota and ceiling have the request's units.
func (g *Gateway) within(r *request) bool {
	c := r.c
	if r.counted {
		return true
	}
	if c.plan.Rate > 0 && !r.granted && g.allowance(c) < r.units {
		return false
	}
	return c.plan.HardRate == 0 || r.granted || c.ceiling >= r.units
}

// over names the quota that a request does not fit in.
func (g *Gateway) over(r *request) Reason {
	if c := r.c; c.plan.Rate > 0 && !r.granted && g.allowance(c) < r.units {
		return ReasonQuotaExceeded
	}
	return ReasonCeilingExceeded
}

// take takes a request's units from the stores.
func (c *customer) take(r *request) {
	c.store = max(0, c.store-r.units)
	if !r.granted {
		c.ceiling -= r.units
	}
	c.passed += uint16(r.units)
}

// settle takes or gives back units after a guess.
func (c *customer) settle(units float64) {
	c.store -= units
	c.passed += uint16(int(units))
}

// onLevel takes a customer's store from another witness while this gateway has run too shortly to know it,
// or hears none of those who could tell. Guards against a quota granted twice after restarts, and without
// mail; harms when the witness is behind, by what was passed since.
func (g *Gateway) onLevel(ev UsageLevel) {
	c := g.customers[keyOf(ev.Customer)]
	if c == nil || c.known && !g.deaf(c) {
		return
	}
	g.advance(c)
	if c.known {
		c.witness = g.now
		for _, v := range c.set { // what they will say was passed is in the level
			v.heard = false
		}
	}
	c.known, c.store = true, min(c.plan.Burst, max(0, ev.Units))
}

// deaf tells whether none is heard who could tell of a customer's use elsewhere.
func (g *Gateway) deaf(c *customer) bool {
	if len(c.ask) > 0 {
		return g.heard < deafBelow
	}
	return len(c.set) > 0 && !slices.ContainsFunc(c.set, func(v *peerView) bool { return !g.silent(v.p) })
}
