package policy

import "time"

const (
	// loadReportShare is the part of the messages a gateway can receive that load reports may fill.
	loadReportShare = 0.75

	// minTickInterval and maxTickInterval bound the time between ticks, and so between load reports.
	minTickInterval = 25 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond

	// leaderModeTickFactor is the tick interval, in maxTickInterval, beyond which full mesh reports would
	// be too slow and the fleet is in leader mode.
	leaderModeTickFactor = 2
)

// fleetSize is a number of gateways with what follows from it.
type fleetSize struct {
	gateways   int  // 0: not set; below 0: this gateway held no share of any ceiling then
	leaderMode bool // quota leaders in place of full mesh reports
}

// fleetSizeOf returns the size of a fleet of so many gateways.
func (g *Gateway) fleetSizeOf(gateways int) fleetSize {
	tooSlow := g.fullMeshInterval(gateways) > leaderModeTickFactor*maxTickInterval
	return fleetSize{gateways, tooSlow && g.settings.CanMessagePeers}
}

// fullMeshInterval is the time between reports that a gateway can receive from all others.
func (g *Gateway) fullMeshInterval(gateways int) time.Duration {
	reportsPerSecond := max(g.settings.PeerMessagesPerSecond*loadReportShare, 1)
	return time.Duration(float64(max(gateways-1, 1)) / reportsPerSecond * float64(time.Second))
}

// applyFleetSize sets what follows from the number of gateways.
func (g *Gateway) applyFleetSize(gateways int) {
	g.size = g.fleetSizeOf(gateways)
	if !g.size.leaderMode {
		g.createPeers()
	}
	interval := min(max(g.fullMeshInterval(gateways), minTickInterval), maxTickInterval)
	g.tick.interval = max(interval, g.settings.Resolution)
}

// handleFleetResized takes a new number of gateways. Buckets and counts carry over. Until all gateways
// are known to have heard of the change, the share of a ceiling held here is the smaller of the old and
// the new one: the old shares sum to the whole, and so do the new ones, but a mixture could exceed it.
func (g *Gateway) handleFleetResized(ev FleetResized) {
	switch {
	case ev.PreviousSize == 0:
		g.previousSize = fleetSize{}
	case g.previousSize.gateways == 0:
		g.previousSize = g.fleetSizeOf(ev.PreviousSize)
		if !g.previousSize.leaderMode {
			g.createPeers() // reports of the full mesh may still arrive
		}
	}
	g.resizeFleet(ev.Gateways)
	for _, c := range g.customers.ring {
		g.refill(c)
		g.assignLeaders(c)
		c.ceilingTokens = min(c.ceilingTokens, c.plan.HardBurst/c.ceilingDivisor)
	}
}

// resizeFleet makes room for a number of gateways, and forgets those beyond it.
func (g *Gateway) resizeFleet(gateways int) {
	peers := make([]*peerState, max(gateways, g.settings.SelfIndex+1))
	copy(peers, g.peers)
	g.peers = peers
	for _, p := range g.peers {
		if p != nil {
			p.customerViews = nil
		}
	}
	g.applyFleetSize(gateways)
	for _, s := range g.endpoints.list {
		s.monitors = g.monitorsOf(serverHash(s.ID))
	}
}
