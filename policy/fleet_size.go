package policy

import "time"

const (
	// loadReportShare is the share of Settings.PeerMessagesPerSecond that load reports may use.
	loadReportShare = 0.75

	// minTickInterval and maxTickInterval bound the time between ticks, and thus between load reports.
	minTickInterval = 25 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond

	// leaderModeTickFactor times maxTickInterval is the interval between full mesh reports beyond which
	// the fleet is in leader mode, since such reports would be too old to be useful.
	leaderModeTickFactor = 2
)

// fleetSize is a number of gateways and the mode that follows from it.
type fleetSize struct {
	gateways   int  // in Gateway.previousSize: values as in FleetResized.PreviousSize
	leaderMode bool // quota leaders in place of full mesh reports
}

// isSet reports, for Gateway.previousSize, whether a change of the fleet's size is in progress.
func (s fleetSize) isSet() bool { return s.gateways != ResizeComplete }

// isUnknown reports whether this gateway held no share of any ceiling at that size, or cannot know it.
func (s fleetSize) isUnknown() bool { return s.gateways <= UnknownPreviousSize }

// fleetSizeOf returns the size of a fleet of a number of gateways.
func (g *Gateway) fleetSizeOf(gateways int) fleetSize {
	tooSlow := g.fullMeshInterval(gateways) > leaderModeTickFactor*maxTickInterval
	return fleetSize{gateways, tooSlow && g.settings.CanMessagePeers}
}

// fullMeshInterval returns the shortest time between load reports at which a gateway can receive those of
// all others in a fleet of a number of gateways.
func (g *Gateway) fullMeshInterval(gateways int) time.Duration {
	reportsPerSecond := max(g.settings.PeerMessagesPerSecond*loadReportShare, 1)
	return time.Duration(float64(max(gateways-1, 1)) / reportsPerSecond * float64(time.Second))
}

// applyFleetSize sets the mode and the tick interval for a number of gateways.
func (g *Gateway) applyFleetSize(gateways int) {
	g.size = g.fleetSizeOf(gateways)
	if !g.size.leaderMode {
		g.createPeers()
	}
	interval := min(max(g.fullMeshInterval(gateways), minTickInterval), maxTickInterval)
	g.tick.interval = max(interval, g.settings.Resolution)
}

// handleFleetResized applies a new number of gateways. Buckets and counts carry over. Until all gateways have
// been notified of the change, this gateway uses the smaller of its old and its new share of each ceiling:
// the old shares sum to at most the ceiling, and so do the new ones, but a mixture of both could exceed it.
func (g *Gateway) handleFleetResized(ev FleetResized) {
	switch {
	case ev.PreviousSize == ResizeComplete:
		g.previousSize = fleetSize{}
	case !g.previousSize.isSet():
		g.previousSize = g.fleetSizeOf(ev.PreviousSize)
		if !g.previousSize.leaderMode {
			g.createPeers() // reports of the full mesh may still arrive
		}
	}
	g.resizedAt = g.now
	g.resizeFleet(ev.Gateways)
	for _, c := range g.customers.list {
		g.refill(c)
		g.assignLeaders(c)
		c.ceilingTokens = min(c.ceilingTokens, c.plan.HardBurst/c.ceilingDivisor)
	}
}

// resizeFleet resizes the peer table to a number of gateways, removes the peers beyond it, and reassigns the
// monitors of all servers.
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
