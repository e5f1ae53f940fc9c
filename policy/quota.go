package policy

import (
	"math"
	"slices"
	"time"
)

// Estimates of other gateways' demand.
const (
	// staleReportTicks is the age, in ticks, beyond which a peer's report is stale and not used.
	staleReportTicks = 6

	// minStaleDemandFactor is the factor to which the assumed demand of a stale peer decays. It multiplies
	// the peer's last reported demand, decayed over demandWindow, or this gateway's demand, whichever is
	// greater.
	minStaleDemandFactor = 0.33

	// staleDemandDecayTime is the time constant of that decay.
	staleDemandDecayTime = 10 * time.Second

	// demandWindow is the time constant over which demand is averaged.
	demandWindow = 2 * time.Second

	// reportNetworkDelay is the assumed network latency of a report between two gateways.
	reportNetworkDelay = 25 * time.Millisecond

	// externalLevelTTL is how long a UsageLevel replaces lease responses while the leaders do not respond.
	externalLevelTTL = 3 * time.Second
)

// Shares of quotas.
const (
	// baselineDemandRateShare, a share of the rate quota, and baselineDemandUnitsPerSecond are added to the
	// demand of each gateway, so that the quota of a customer without demand so far is split evenly.
	baselineDemandRateShare      = 0.02
	baselineDemandUnitsPerSecond = 0.05

	// firstAttemptReserve is the share of a bucket that clients' retries must leave for first attempts.
	firstAttemptReserve = 0.7

	// maxRoundedUnits is the number of units by which the running total of each gateway may exceed the units
	// that it has admitted.
	maxRoundedUnits = 1.0

	// restartedLeaderFill is the share of the burst that a gateway in leader mode assumes in a new customer's
	// bucket while it cannot know whether it granted leases from the bucket before a restart.
	restartedLeaderFill = 0.8
)

// fillBuckets sets the buckets of a new customer.
func (g *Gateway) fillBuckets(c *customer) {
	sinceStart := (g.now - g.startedAt).Seconds()
	c.tokens = c.plan.Burst
	if g.size.leaderMode && c.plan.Rate > 0 && sinceStart < c.plan.Burst/c.plan.Rate {
		c.tokens *= restartedLeaderFill
	}
	// The share of the ceiling is empty when the gateway starts, and when the shares change: an earlier
	// process, or the gateways that held the share before, may have used it up.
	sinceResize := (g.now - g.resizedAt).Seconds()
	c.ceilingTokens = min(c.plan.HardBurst, c.plan.HardRate*sinceResize) / c.ceilingDivisor
}

// refill updates a customer's buckets and demand to the current time.
func (g *Gateway) refill(c *customer) {
	g.customers.markActive(c)
	elapsed := g.now - c.refilledAt
	seconds := elapsed.Seconds()
	if seconds <= 0 {
		return
	}
	c.refilledAt = g.now
	c.tokens = min(c.plan.Burst, c.tokens+c.plan.Rate*seconds*g.refillShare(c))
	ceilingRate := c.plan.HardRate / c.ceilingDivisor
	c.ceilingTokens = min(c.plan.HardBurst/c.ceilingDivisor, c.ceilingTokens+ceilingRate*seconds)
	left := decay(elapsed, demandWindow)
	c.demand *= left
	for _, view := range c.peerViews {
		view.demand *= left
	}
	if !c.tokensKnown && c.plan.Rate > 0 && (g.now-g.startedAt).Seconds() > c.plan.Burst/c.plan.Rate {
		c.tokensKnown = true
	}
}

// refillShare returns the share of Rate at which this gateway refills the bucket. A stale peer is assumed
// to use its own share of the rate: it may be partitioned from this gateway and still serve the customer.
func (g *Gateway) refillShare(c *customer) float64 {
	if !c.keepsBuckets() && !c.grantsLeases {
		return 1 / float64(c.gatewaySpread) // the use at the other gateways is known only to the leader
	}
	stale := 0.0
	for _, view := range c.peerViews {
		if g.isStaleFor(c, view) {
			stale += g.peerDemand(c, view)
		}
	}
	return 1 - stale/g.totalDemand(c)
}

// isStale reports whether a peer's last report is too old to be used.
func (g *Gateway) isStale(p *peerState) bool {
	return !p.hasReport || g.now-p.reportedAt > staleReportTicks*g.tick.interval
}

// isStaleFor reports whether a peer's reports cannot be used for a customer: the last one is too old, or the
// customer's hash collides with that of another, so that reports cannot name it.
func (g *Gateway) isStaleFor(c *customer, view *peerView) bool {
	return c.hashCollides || g.isStale(view.peer)
}

// baselineDemand returns the demand, in units a second, that is added to that of each gateway.
func (g *Gateway) baselineDemand(c *customer) float64 {
	return baselineDemandRateShare*c.plan.Rate + baselineDemandUnitsPerSecond
}

// ownDemand returns this gateway's demand in units a second.
func (g *Gateway) ownDemand(c *customer) float64 {
	return c.demand/demandWindow.Seconds() + g.baselineDemand(c)
}

// peerDemand returns a peer's demand in units a second. A stale peer is assumed to have at least the
// demand of this gateway, times a factor that decays to minStaleDemandFactor: it may be partitioned from
// this gateway and still serve the customer, or have stopped. Without peer messages the factor stays 1.
func (g *Gateway) peerDemand(c *customer, view *peerView) float64 {
	demand := view.demand
	if g.isStaleFor(c, view) {
		remaining := 1.0
		if g.settings.CanMessagePeers {
			lastReportAt := max(view.peer.reportedAt, g.startedAt)
			remaining = decay(g.now-lastReportAt, staleDemandDecayTime)
		}
		demand = max(demand, c.demand) * (minStaleDemandFactor + (1-minStaleDemandFactor)*remaining)
	}
	return demand/demandWindow.Seconds() + g.baselineDemand(c)
}

// totalDemand returns the demand of all gateways in units a second.
func (g *Gateway) totalDemand(c *customer) float64 {
	sum := g.ownDemand(c)
	for _, view := range c.peerViews {
		sum += g.peerDemand(c, view)
	}
	return sum
}

// demandShare returns this gateway's share of the demand.
func (g *Gateway) demandShare(c *customer) float64 { return g.ownDemand(c) / g.totalDemand(c) }

// spendableTokens returns the number of units that this gateway may admit now. It is
//
//	max(share * tokens, tokens - sum over peers of (demand * report delay))
//
// with share as demandShare, tokens in units, demand in units a second and the report delay in seconds:
// the share of the bucket by demand, or what is left when each peer has admitted all of its demand since
// it last reported, whichever is more. A gateway that receives no load reports uses only its own share of
// the burst, but at least MaxRequestUnits.
func (g *Gateway) spendableTokens(c *customer) float64 {
	share := g.demandShare(c)
	if c.keepsBuckets() && g.allPeersStale(c) {
		// No other gateway uses this share, which must be large enough for one request.
		ownBurst := max(c.plan.Burst*share, g.settings.MaxRequestUnits)
		return max(c.tokens*share, c.tokens-c.plan.Burst+ownBurst)
	}
	unreported := 0.0
	for _, view := range c.peerViews {
		unreported += g.peerDemand(c, view) * g.reportDelay(view)
	}
	return max(c.tokens*share, c.tokens-unreported)
}

// reportDelay returns the time, in seconds, for which a peer may admit requests before its report arrives. A
// peer whose last report did not include all changed customers may have omitted this one.
func (g *Gateway) reportDelay(view *peerView) float64 {
	delay := (g.tick.interval + reportNetworkDelay).Seconds()
	if !view.peer.complete {
		delay += min(g.now-view.reportedAt, staleReportTicks*g.tick.interval).Seconds()
	}
	return delay
}

// lacksTokens reports whether the rate quota has fewer tokens than the request's units.
func (g *Gateway) lacksTokens(r *request) bool {
	c := r.customer
	return c.plan.Rate > 0 && !r.lease.granted && g.spendableTokens(c) < r.units
}

// withinQuota reports whether the rate quota and the ceiling have enough tokens for the request, or it has
// already been charged.
func (g *Gateway) withinQuota(r *request) bool {
	if r.charged {
		return true
	}
	if g.lacksTokens(r) {
		return false
	}
	c := r.customer
	return c.plan.HardRate == 0 || r.lease.granted || c.ceilingTokens >= r.units
}

// quotaRejection returns the reason for rejecting a request that is not within its quotas.
func (g *Gateway) quotaRejection(r *request) Reason {
	if g.lacksTokens(r) {
		return ReasonQuotaExceeded
	}
	return ReasonCeilingExceeded
}

// charge removes a request's units from the buckets.
func (c *customer) charge(r *request) {
	c.tokens = max(0, c.tokens-r.units)
	if !r.lease.granted { // with a lease the leader has charged the ceiling
		c.ceilingTokens -= r.units
	}
	c.countAdmitted(r.units)
}

// settle removes the difference between a request's actual and charged units, which may be negative, from
// the rate quota's bucket.
func (c *customer) settle(units float64) {
	c.tokens -= units
	c.countAdmitted(units)
}

// lowestTokens returns the number of tokens at which peers' reports leave the bucket at least. Units that
// exceed the bucket are forgotten, since several gateways may have admitted requests at the same time.
// Running totals hold whole units, however: where requests cost fractions, a report may take a unit of which
// the bucket holds a part, and without a debt the rest would be given away each time.
func (c *customer) lowestTokens() float64 {
	if c.hasFractions {
		return -maxRoundedUnits * float64(len(c.peerViews))
	}
	return 0
}

// countAdmitted adds units, which may be negative, to the running total for peers. The total is in whole
// units, rounded up: it is less than one unit too high, and never too low, unless maxReportedAdvance holds it
// back.
func (c *customer) countAdmitted(units float64) {
	c.hasFractions = c.hasFractions || units != math.Trunc(units)
	c.uncountedUnits += units
	c.advanceTotal()
}

// advanceTotal moves the running total as near to the admitted units as one report may advance it. The rest,
// if any, follows with the next report.
func (c *customer) advanceTotal() {
	units := math.Ceil(c.uncountedUnits)
	if len(c.peerViews) > 0 {
		unreported := float64(int16(c.admittedUnits - c.reportedUnits))
		lowest := min(0, -maxReportedAdvance-unreported)
		highest := max(0, maxReportedAdvance-unreported)
		units = min(max(units, lowest), highest)
	}
	c.uncountedUnits -= units
	c.admittedUnits += uint16(int(units))
}

// hasUncountedUnits reports whether whole units have been admitted that the running total does not include
// yet.
func (c *customer) hasUncountedUnits() bool { return math.Abs(c.uncountedUnits) >= 1 }

// handleUsageLevel sets the tokens of a customer's bucket to those of an external counter. It does so only
// while the gateway has not run long enough to know the tokens, or is isolated: otherwise a quota could be
// granted twice.
func (g *Gateway) handleUsageLevel(ev UsageLevel) {
	c := g.customers.byKey[customerKey(ev.Customer)]
	if c == nil || c.tokensKnown && !g.isolated(c) {
		return
	}
	g.refill(c)
	if c.tokensKnown {
		c.externalLevelAt = g.now
		for _, view := range c.peerViews {
			view.hasReport = false // the level already includes the units that peers will report
		}
	}
	c.tokensKnown = true
	c.tokens = min(c.plan.Burst, max(0, ev.Units))
}

// isolated reports whether this gateway receives no information on the customer's use at other gateways:
// neither load reports, if it keeps the buckets, nor lease responses, if leaders do.
func (g *Gateway) isolated(c *customer) bool {
	if c.keepsBuckets() {
		return g.allPeersStale(c)
	}
	return g.leases.leadersUnresponsive()
}

// allPeersStale reports whether other gateways keep the customer's buckets, too, and the load reports of all
// of them are stale.
func (g *Gateway) allPeersStale(c *customer) bool {
	isFresh := func(view *peerView) bool { return !g.isStaleFor(c, view) }
	return len(c.peerViews) > 0 && !slices.ContainsFunc(c.peerViews, isFresh)
}
