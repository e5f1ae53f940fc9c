package policy

import (
	"math"
	"slices"
)

const (
	// leaderMessageShare is the share of Settings.PeerMessagesPerSecond that the lease messages of one
	// customer may use at each of its leaders.
	leaderMessageShare = 0.5

	// leaderPeakFactor is the rate of lease requests that leaders must be able to receive, as a multiple of
	// the rate that the quota admits.
	leaderPeakFactor = 2.0

	// standbyCeilingShare is the share of a hard ceiling that the standby leader holds.
	standbyCeilingShare = 0.25
)

// assignLeaders sets which gateways keep a customer's buckets, and the share of its ceiling held here.
func (g *Gateway) assignLeaders(c *customer) {
	c.gatewaySpread = c.spreadIn(g.size)
	leaders, standby := g.quotaLeaders(c, g.size)
	isLeader := slices.Contains(leaders, g.settings.SelfIndex)
	c.leaders = leaderPair{}
	switch {
	case isLeader || !g.size.leaderMode:
		g.assignPeerViews(c, leaders)
	case c.plan.hasQuota():
		leader := leaders[g.settings.SelfIndex%len(leaders)]
		c.leaders = leaderPair{assigned: true, leader: leader, standby: standby}
	}
	c.ceilingDivisor = g.ceilingDivisor(c)
}

// spreadIn returns the number of gateways that receive the customer's requests in a fleet of a size.
func (c *customer) spreadIn(size fleetSize) int { return max(1, min(c.requestedSpread, size.gateways)) }

// quotaLeaders returns the gateways that keep a customer's buckets in a fleet of a size: as few as can
// receive the lease requests of the others, or in full mesh all that receive the customer's requests. The
// standby leader replaces a leader that does not respond.
func (g *Gateway) quotaLeaders(c *customer, size fleetSize) (leaders []int, standby int) {
	spread := c.spreadIn(size)
	count := spread
	if size.leaderMode {
		count = min(g.leadersNeeded(c), spread)
	}
	first := int(c.key>>33) % spread
	step := max(1, spread/(count+1))
	gateway := func(i int) int { return (c.firstGateway + (first+i*step)%spread) % size.gateways }
	for i := range count {
		leaders = append(leaders, gateway(i))
	}
	return leaders, gateway(count)
}

// leadersNeeded returns the number of leaders that can together receive the lease messages for a customer.
func (g *Gateway) leadersNeeded(c *customer) int {
	units := leaderPeakFactor * c.plan.leasedRate()
	if c.plan.MaxInFlight > 0 {
		units += c.plan.Rate // each lease within the quota is returned by a message of its own
	}
	messages := units / max(1, g.settings.MaxRequestUnits/2)
	perLeader := max(1, g.settings.PeerMessagesPerSecond*leaderMessageShare)
	return max(1, int(math.Ceil(messages/perLeader)))
}

// ceilingDivisor returns the reciprocal of the share of a customer's ceiling that this gateway may use now:
// while the fleet is resized, of the smaller of its shares in the old and in the new fleet.
func (g *Gateway) ceilingDivisor(c *customer) float64 {
	divisor := g.ceilingDivisorIn(c, g.size)
	if g.previousSize.isSet() {
		divisor = max(divisor, g.ceilingDivisorIn(c, g.previousSize))
	}
	return divisor
}

// ceilingDivisorIn returns the reciprocal of the share of a customer's ceiling that this gateway holds in
// a fleet of a size. It is infinite if this gateway holds none: only the customer's leaders and, in leader
// mode, the standby leader admit requests under the ceiling. Other gateways may receive requests of the
// customer as well: those outside its GatewaySpread, and those that have left the fleet and still run.
func (g *Gateway) ceilingDivisorIn(c *customer, size fleetSize) float64 {
	if size.isUnknown() {
		return math.Inf(1)
	}
	leaders, standby := g.quotaLeaders(c, size)
	isLeader := slices.Contains(leaders, g.settings.SelfIndex)
	count := float64(len(leaders))
	switch {
	case isLeader && size.leaderMode:
		return count / (1 - standbyCeilingShare)
	case isLeader:
		return count
	case size.leaderMode && standby == g.settings.SelfIndex:
		return 1 / standbyCeilingShare
	}
	return math.Inf(1)
}
