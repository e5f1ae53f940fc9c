package policy

import "time"

const (
	// reportRepeats is the number of reports that include a change. It is above 1 since reports may be lost.
	reportRepeats = 3

	// leaderReportTicks is the number of ticks between the reports of a customer's leaders to each other.
	leaderReportTicks = 2

	// maxReportedAdvance is the maximum number of units by which a running total changes from one report to
	// the next. Reports may be lost, and a receiver reads an increase of 32,768 units or more as a decrease.
	maxReportedAdvance = 8192

	// priorityPerUnreportedTick is added to the priority of a customer for each tick without a report, so
	// that every customer is reported eventually.
	priorityPerUnreportedTick = 0.01
)

// peerState holds the last report of one other gateway.
type peerState struct {
	index            int
	hasReport        bool
	incarnation      uint32
	sequence         uint32
	reportedAt       time.Duration
	complete         bool // the report included all customers with changes
	inFlightByServer map[uint16]float64
	customerViews    []*peerView
}

// peerView holds the last report of one other gateway on one customer.
type peerView struct {
	peer          *peerState
	hasReport     bool
	incarnation   uint32
	reportedAt    time.Duration
	inFlight      float64
	queued        float64
	admittedUnits uint16  // running total, wraps around
	demand        float64 // units requested there, decayed over demandWindow
}

// loadReporter is the state of the reports that this gateway sends.
type loadReporter struct {
	sequence uint32
	ranking  ranking
}

// peerAt returns the state of a gateway, and creates it if there is none.
func (g *Gateway) peerAt(index int) *peerState {
	if g.peers[index] == nil {
		g.peers[index] = &peerState{index: index}
	}
	return g.peers[index]
}

func (g *Gateway) createPeers() {
	for i := range g.peers {
		g.peerAt(i)
	}
}

// assignPeerViews sets which other gateways keep a customer's buckets. The views of those that kept them
// before are retained.
func (g *Gateway) assignPeerViews(c *customer, gateways []int) {
	old := c.peerViews
	c.peerViews = nil
	for _, index := range gateways {
		if index == g.settings.SelfIndex {
			continue
		}
		p := g.peerAt(index)
		view := viewOf(old, p)
		if view == nil {
			view = &peerView{peer: p}
		}
		c.peerViews = append(c.peerViews, view)
		p.customerViews = append(p.customerViews, view)
	}
}

// viewOf returns the view of a peer, or nil if there is none.
func viewOf(views []*peerView, p *peerState) *peerView {
	for _, view := range views {
		if view.peer == p {
			return view
		}
	}
	return nil
}

// reportIsDue reports whether load reports are sent at the current tick.
func (g *Gateway) reportIsDue() bool {
	if !g.settings.CanMessagePeers {
		return false
	}
	return !g.size.leaderMode || g.tick.count%leaderReportTicks == 0
}

// sendLoadReports sends a report to each peer, in leader mode only if the report includes a customer.
func (g *Gateway) sendLoadReports() {
	g.reporter.sequence++
	ranked := g.rankCustomers()
	if g.size.leaderMode && ranked.isEmpty() {
		return
	}
	for _, p := range g.peers {
		if p == nil || p.index == g.settings.SelfIndex {
			continue
		}
		m := g.newLoadReport(p, ranked)
		if !g.size.leaderMode || len(m.customers) > 0 {
			g.emit(SendPeerMessage{To: p.index, Data: m.encode()})
		}
	}
	for _, c := range ranked.sorted {
		if c.lastExchangeTick == g.tick.count {
			c.pendingReports = max(0, c.pendingReports-1)
			c.reportedUnits = c.admittedUnits
			c.advanceTotal()
		}
	}
}

// rankCustomers ranks the customers that have changes to report.
func (g *Gateway) rankCustomers() *ranking {
	ranked := &g.reporter.ranking
	ranked.reset()
	for _, c := range g.customers.active {
		if c.hasChanges() {
			c.reportPriority = g.reportPriority(c)
			ranked.add(c)
		}
	}
	ranked.heapify()
	return ranked
}

// hasChanges reports whether the customer must be reported to peers. A customer whose hash collides with that
// of another is not reported, since receivers could not distinguish the two.
func (c *customer) hasChanges() bool {
	hasUpdates := c.isBusy() || c.pendingReports > 0 || c.hasUncountedUnits()
	return len(c.peerViews) > 0 && !c.hashCollides && hasUpdates
}

// reportPriority returns the priority of a customer in reports: the number of queued requests, plus the
// unreported units as a share of the bucket, plus a small amount for each tick since the last report.
func (g *Gateway) reportPriority(c *customer) float64 {
	unreported := float64(c.admittedUnits-c.reportedUnits) / (c.plan.Burst + 1)
	waited := float64(g.tick.count - c.lastExchangeTick)
	return float64(len(c.queued)) + unreported + priorityPerUnreportedTick*waited
}

// newLoadReport builds the report for one peer: the servers at which this gateway has attempts in flight,
// then the customers whose buckets both gateways keep, by priority, as many as fit.
func (g *Gateway) newLoadReport(p *peerState, ranked *ranking) loadReport {
	m := loadReport{
		incarnation: g.incarnation,
		sequence:    g.reporter.sequence,
		complete:    true,
		servers:     g.reportedServers(),
	}
	for k := 0; ; k++ {
		c := ranked.at(k)
		if c == nil {
			return m
		}
		if viewOf(c.peerViews, p) == nil {
			continue
		}
		if !m.fitsCustomer() {
			m.complete = false
			return m
		}
		g.refill(c)
		m.customers = append(m.customers, c.reported())
		c.lastExchangeTick = g.tick.count
	}
}

// reportedServers lists the attempts in flight at servers. Reports in leader mode have none.
func (g *Gateway) reportedServers() (list []reportedServer) {
	if g.size.leaderMode {
		return nil
	}
	for _, s := range g.endpoints.list {
		if s.inFlight > 0 && len(list) < maxReportedServers {
			inFlight := byte(min(s.inFlight, maxReportedInFlight))
			list = append(list, reportedServer{hash: s.reportHash, inFlight: inFlight})
		}
	}
	return list
}

// reported returns the part of a report on a customer.
func (c *customer) reported() reportedCustomer {
	m := reportedCustomer{
		hash:          c.reportHash,
		inFlight:      encodeInFlight(c.inFlight.mean),
		queued:        byte(min(len(c.queued), maxReportedQueued)),
		admittedUnits: c.admittedUnits,
		demand:        encodeDemand(c.demand / demandWindow.Seconds()),
		fill:          unknownFill,
	}
	if c.tokensKnown && c.plan.Burst > 0 {
		m.fill = encodeFill(c.tokens, c.plan.Burst)
	}
	return m
}

// handleLoadReport applies a peer's report, unless a later one has already arrived.
func (g *Gateway) handleLoadReport(p *peerState, m loadReport) {
	if p == nil {
		return
	}
	isRestarted := p.incarnation != m.incarnation
	if p.hasReport && !isRestarted && int32(m.sequence-p.sequence) <= 0 {
		return
	}
	if m.complete || isRestarted {
		for _, view := range p.customerViews {
			view.inFlight = 0
			view.queued = 0
		}
	}
	p.hasReport = true
	p.incarnation = m.incarnation
	p.sequence = m.sequence
	p.reportedAt = g.now
	p.complete = m.complete
	p.inFlightByServer = map[uint16]float64{}
	for _, s := range m.servers {
		p.inFlightByServer[s.hash] = float64(s.inFlight)
	}
	g.sumPeerLoads()
	for _, reported := range m.customers {
		if c := g.customers.byHash[reported.hash]; c != nil {
			g.mergePeerLoad(c, p, reported)
		}
	}
}

// mergePeerLoad applies a peer's report on a customer. It removes from the bucket the units that the peer
// has admitted since its last report. They are the difference of two running totals, so that units in lost
// reports are included in the next one; the total of a peer that has restarted begins at 0.
func (g *Gateway) mergePeerLoad(c *customer, p *peerState, reported reportedCustomer) {
	view := viewOf(c.peerViews, p)
	if view == nil {
		return
	}
	g.refill(c)
	view.reportedAt = g.now
	view.demand = decodeDemand(reported.demand) * demandWindow.Seconds()
	view.inFlight = decodeInFlight(reported.inFlight)
	view.queued = float64(reported.queued)
	if view.hasReport {
		if view.incarnation != p.incarnation {
			view.admittedUnits = 0
		}
		// Below 0 if actual costs were lower than the charged units.
		admitted := float64(int16(reported.admittedUnits - view.admittedUnits))
		c.tokens = min(c.plan.Burst, max(c.lowestTokens(), c.tokens-admitted))
	}
	view.hasReport = true
	view.incarnation = p.incarnation
	view.admittedUnits = reported.admittedUnits
	if !c.tokensKnown && reported.fill != unknownFill {
		c.tokensKnown = true
		c.tokens = min(c.tokens, decodeFill(reported.fill, c.plan.Burst))
	}
}

// sumPeerLoads sums the peers' attempts in flight at each server.
func (g *Gateway) sumPeerLoads() {
	if g.size.leaderMode {
		return // reports in leader mode list no servers
	}
	for _, s := range g.endpoints.list {
		s.peersInFlight = 0
		for _, p := range g.peers {
			if p != nil && !g.isStale(p) {
				s.peersInFlight += p.inFlightByServer[s.reportHash]
			}
		}
	}
}
