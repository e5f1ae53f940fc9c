package policy

import (
	"math"
	"slices"
	"time"
)

const (
	staleReportTicks     = 6    // a report older than this gives way to the demand split
	minStaleDemandFactor = 0.33 // a silent peer's demand fades to this part of it
	staleDemandFadeTime  = 10 * time.Second
	demandWindow         = 2 * time.Second       // memory of the demand rates
	reportTravelTime     = 25 * time.Millisecond // time a report travels
	// part of the store that clients' repeats leave to first tries
	firstAttemptReserve = 0.7

	// demand of each gateway taken for granted: of the rate, units
	baselineDemandRateShare, baselineDemandUnits = 0.02, 0.05
	// parts of a place that count as one, at arrival and later
	arrivalSlack, releaseSlack = 0.5, 0.25

	restartedLeaderFill = 0.8             // part of a store that a root just started presumes
	externalLevelTTL    = 3 * time.Second // another witness is heeded for so long
)

// refill brings a customer's stores up to now. A peer long silent is taken
// to use its demand-split part of the rate: it may only be cut off.
func (g *Gateway) refill(c *customer) {
	g.markActive(c)
	dt := (g.now - c.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	c.refilledAt = g.now
	unheard := 0.0
	for _, v := range c.peerViews {
		if g.isStale(v.peer) {
			unheard += g.peerDemand(c, v)
		}
	}
	share := 1 - unheard/g.totalDemand(c)
	if len(c.leaders) > 0 && !c.grantsLeases {
		share = 1 / float64(c.gatewaySpread) // what others pass is the root's to know
	}
	c.tokens = min(c.plan.Burst, c.tokens+c.plan.Rate*dt*share)
	c.ceilingTokens = min(c.plan.HardBurst/c.ceilingDivisor,
		c.ceilingTokens+c.plan.HardRate/c.ceilingDivisor*dt)
	k := math.Exp(-dt / demandWindow.Seconds())
	c.demand *= k
	for _, v := range c.peerViews {
		v.demand *= k
	}
	if !c.tokensKnown && c.plan.Rate > 0 && (g.now-g.startedAt).Seconds() > c.plan.Burst/c.plan.Rate {
		c.tokensKnown = true
	}
}

// isStale tells whether a peer's counts are too old to be used.
func (g *Gateway) isStale(p *peer) bool {
	return !p.hasReport || g.now-p.reportedAt > staleReportTicks*g.tickInterval
}

// baselineDemand is the demand taken for granted: a fresh customer's split is even.
func (g *Gateway) baselineDemand(c *customer) float64 {
	return baselineDemandRateShare*c.plan.Rate + baselineDemandUnits
}

// peerDemand is a peer's demand in the demand split. One not heard for long counts
// as much as this gateway, then less, but never nothing: it may be cut off and
// passing its part, or dead for good.
func (g *Gateway) peerDemand(c *customer, v *peerView) float64 {
	w := v.demand
	if g.isStale(v.peer) {
		fade := math.Exp(-(g.now - max(v.peer.reportedAt,
			g.startedAt)).Seconds() / staleDemandFadeTime.Seconds())
		if !g.settings.CanMessagePeers {
			fade = 1 // its silence says nothing
		}
		w = max(w, c.demand) * (minStaleDemandFactor + (1-minStaleDemandFactor)*fade)
	}
	return w/demandWindow.Seconds() + g.baselineDemand(c)
}

// totalDemand is all gateways' demand in units a second, this one's included.
func (g *Gateway) totalDemand(c *customer) float64 {
	sum := c.demand/demandWindow.Seconds() + g.baselineDemand(c)
	for _, v := range c.peerViews {
		sum += g.peerDemand(c, v)
	}
	return sum
}

func (g *Gateway) demandShare(c *customer) float64 {
	return (c.demand/demandWindow.Seconds() + g.baselineDemand(c)) / g.totalDemand(c)
}

// spendableTokens is what this gateway may pass of the customer's store now: its
// demand-split part, or what is left once the peers have passed all they may
// be asked for before they are heard again, whichever is more.
func (g *Gateway) spendableTokens(c *customer) float64 {
	// Where none is heard nobody else uses its own part, which takes in whole requests.
	if share := g.demandShare(c); len(c.leaders) == 0 && g.isolated(c) {
		return max(c.tokens*share, c.tokens-c.plan.Burst+max(c.plan.Burst*share,
			g.settings.MaxRequestUnits))
	}
	blind := (g.tickInterval + reportTravelTime).Seconds()
	unseen := 0.0
	for _, v := range c.peerViews {
		wait := blind
		if !v.peer.complete {
			wait += min(g.now-v.reportedAt, staleReportTicks*g.tickInterval).Seconds()
		}
		unseen += g.peerDemand(c, v) * wait
	}
	return max(c.tokens*g.demandShare(c), c.tokens-unseen)
}

// peerLoad sums the attempts out and held that the peers report. A silent
// peer's count gives way to its demand-split part of the cap.
func (g *Gateway) peerLoad(c *customer) (out, held float64) {
	for _, v := range c.peerViews {
		if g.isStale(v.peer) {
			out += float64(c.plan.MaxInFlight) * g.peerDemand(c, v) / g.totalDemand(c)
			continue
		}
		out += v.inFlight
		held += v.queued
	}
	return out, held
}

// hasInFlightRoom tells whether one more attempt of the customer fits under its cap.
// An arrival stays under its demand-split part, at least one.
func (g *Gateway) hasInFlightRoom(c *customer, arrival bool) bool {
	if c.plan.MaxInFlight == 0 || c.inFlight == 0 && g.isolated(c) {
		return true
	}
	out, _ := g.peerLoad(c)
	free := float64(c.plan.MaxInFlight) - out
	next := float64(c.inFlight + 1)
	if arrival {
		return next <= max(free*g.demandShare(c), min(1, free+arrivalSlack))
	}
	return next <= free+releaseSlack
}

// withinQuota tells whether quota and ceiling have the request's units.
func (g *Gateway) withinQuota(r *request) bool {
	c := r.customer
	if r.charged {
		return true
	}
	if c.plan.Rate > 0 && !r.leaseGranted && g.spendableTokens(c) < r.units {
		return false
	}
	return c.plan.HardRate == 0 || r.leaseGranted || c.ceilingTokens >= r.units
}

// quotaRejection names the quota that a request does not fit in.
func (g *Gateway) quotaRejection(r *request) Reason {
	if c := r.customer; c.plan.Rate > 0 && !r.leaseGranted && g.spendableTokens(c) < r.units {
		return ReasonQuotaExceeded
	}
	return ReasonCeilingExceeded
}

// charge takes a request's units from the stores.
func (c *customer) charge(r *request) {
	c.tokens = max(0, c.tokens-r.units)
	if !r.leaseGranted {
		c.ceilingTokens -= r.units
	}
	c.admittedUnits += uint16(r.units)
}

// settle takes or gives back units after a guess.
func (c *customer) settle(units float64) {
	c.tokens -= units
	c.admittedUnits += uint16(int(units))
}

// handleUsageLevel takes a customer's store from another witness while this gateway has run too
// shortly to know it, or hears none of those who could tell. Guards against a quota granted twice
// after restarts, and without mail; harms when the witness is behind, by what was passed since.
func (g *Gateway) handleUsageLevel(ev UsageLevel) {
	c := g.customers[customerKey(ev.Customer)]
	if c == nil || c.tokensKnown && !g.isolated(c) {
		return
	}
	g.refill(c)
	if c.tokensKnown {
		c.externalLevelAt = g.now
		for _, v := range c.peerViews { // what they will say was passed is in the level
			v.hasReport = false
		}
	}
	c.tokensKnown, c.tokens = true, min(c.plan.Burst, max(0, ev.Units))
}

// isolated tells whether none is heard who could tell of a customer's use elsewhere.
func (g *Gateway) isolated(c *customer) bool {
	if len(c.leaders) > 0 {
		return g.responseRate < minResponseRate
	}
	return len(c.peerViews) > 0 && !slices.ContainsFunc(c.peerViews,
		func(v *peerView) bool { return !g.isStale(v.peer) })
}
