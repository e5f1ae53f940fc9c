package policy

import (
	"math"
	"slices"
	"time"
)

const (
	leaderModeTickFactor = 2    // the mail would stretch the longest tick by this factor
	leaderMessageShare   = 0.5  // part of its mail intake that a root spends on one customer
	leaderPeakFactor     = 2.0  // asks it must bear, as a multiple of those inside the quota
	standbyCeilingShare  = 0.25 // part of a hard ceiling that the deputy holds
)

// fleetSize is what follows from a number of gateways.
type fleetSize struct {
	gateways   int
	leaderMode bool
}

// applyFleetSize sets what follows from how many gateways there are.
func (g *Gateway) applyFleetSize() {
	mail := max(g.settings.PeerMessagesPerSecond*loadReportShare, 1)
	g.tickInterval = time.Duration(float64(max(g.settings.Gateways-1, 1)) / mail * float64(time.Second))
	g.outcomeWeight = learningWeight
	if g.leaderMode = g.tickInterval > leaderModeTickFactor*maxTickInterval &&
		g.settings.CanMessagePeers; g.leaderMode {
		g.outcomeWeight = 0 // what the watchers tell is more than what this gateway sees
	} else {
		g.createPeers()
	}
	g.tickInterval = max(min(max(g.tickInterval, minTickInterval), maxTickInterval), g.settings.Resolution)
}

// leaderModeAt tells whether a fleet of a size reports by roots.
func (g *Gateway) leaderModeAt(n int) bool {
	now := g.settings.Gateways
	g.settings.Gateways = n
	g.applyFleetSize()
	tree := g.leaderMode
	g.settings.Gateways = now
	g.applyFleetSize()
	return tree
}

// quotaLeaders are the gateways that sum a customer's counts: as few as can take in
// what its gateways ask of them, all where reports go from all to all. The
// deputy steps in for a root that is silent.
func (g *Gateway) quotaLeaders(c *customer) (nums []int, deputy int) {
	k := c.gatewaySpread
	if g.leaderMode {
		asks := leaderPeakFactor * c.plan.Rate
		if c.plan.MaxInFlight > 0 {
			asks += c.plan.Rate // those that pass tell their ends too
		}
		asks /= max(1, g.settings.MaxRequestUnits/2)
		k = min(max(1, int(math.Ceil(asks/max(1,
			g.settings.PeerMessagesPerSecond*leaderMessageShare)))), c.gatewaySpread)
	}
	base, step := int(c.key>>33)%c.gatewaySpread, max(1, c.gatewaySpread/(k+1))
	for i := range k + 1 {
		deputy = (c.firstGateway + (base+i*step)%c.gatewaySpread) % g.settings.Gateways
		if i < k {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// assignLeaders says who sums a customer's counts, and what part of its ceiling is held here.
func (g *Gateway) assignLeaders(c *customer) {
	c.gatewaySpread = max(1, min(c.requestedSpread, g.settings.Gateways))
	roots, deputy := g.quotaLeaders(c)
	c.ceilingDivisor, c.leaders = float64(c.gatewaySpread), nil
	if slices.Contains(roots, g.settings.SelfIndex) || !g.leaderMode {
		g.assignPeerViews(c, roots)
	} else if c.plan.Rate > 0 || c.plan.MaxInFlight > 0 {
		c.leaders = []int{roots[g.settings.SelfIndex%len(roots)], deputy}
	}
	if g.leaderMode {
		// All ceiling parts are with those who grant.
		c.ceilingDivisor = float64(len(roots)) / (1 - standbyCeilingShare)
		if len(c.leaders) > 0 {
			c.ceilingDivisor = 1 / standbyCeilingShare
		}
	}
	if g.previousSize.gateways != 0 {
		c.ceilingDivisor = max(g.ceilingDivisorAt(c, g.previousSize), g.ceilingDivisorAt(c,
			fleetSize{g.settings.Gateways, g.leaderMode}))
	}
}

// ceilingDivisorAt is one over the part of a ceiling held here in a fleet of a size: infinite where
// none is.
func (g *Gateway) ceilingDivisorAt(c *customer, z fleetSize) float64 {
	if z.gateways < 0 {
		return math.Inf(1)
	}
	now, spread := fleetSize{g.settings.Gateways, g.leaderMode}, c.gatewaySpread
	g.settings.Gateways, g.leaderMode, c.gatewaySpread = z.gateways, z.leaderMode, max(1,
		min(c.requestedSpread, z.gateways))
	roots, deputy := g.quotaLeaders(c)
	g.settings.Gateways, g.leaderMode, c.gatewaySpread = now.gateways, now.leaderMode, spread
	switch n := float64(len(roots)); {
	case slices.Contains(roots, g.settings.SelfIndex) && z.leaderMode:
		return n / (1 - standbyCeilingShare)
	case slices.Contains(roots, g.settings.SelfIndex):
		return n
	case z.leaderMode && deputy == g.settings.SelfIndex:
		return 1 / standbyCeilingShare
	}
	return math.Inf(1)
}

// handleFleetResized takes a new number of gateways. Counts carry over; parts of ceilings are the
// smaller of the old and the new until all are known to have heard: the old ones sum to the whole,
// and the new ones do.
func (g *Gateway) handleFleetResized(ev FleetResized) {
	if ev.PreviousSize == 0 {
		g.previousSize = fleetSize{}
	} else if g.previousSize.gateways == 0 {
		g.previousSize = fleetSize{ev.PreviousSize, g.leaderModeAt(ev.PreviousSize)}
	}
	g.resizeFleet(ev.Gateways)
	for _, c := range g.customerRing {
		g.refill(c)
		g.assignLeaders(c)
		c.ceilingTokens = min(c.ceilingTokens, c.plan.HardBurst/c.ceilingDivisor)
	}
}

// resizeFleet makes room for a number of gateways, and forgets those beyond.
func (g *Gateway) resizeFleet(n int) {
	g.settings.Gateways = n
	peers := make([]*peer, max(n, g.settings.SelfIndex+1))
	copy(peers, g.peers)
	g.peers = peers
	for _, p := range g.peers {
		if p != nil {
			p.customerViews = nil
		}
	}
	g.applyFleetSize()
	for _, s := range g.endpoints {
		s.monitors = g.monitorsOf(uint32(s.ID) * 0x9e3779b1 >> (32 - serverHashBits))
	}
}
