package policy

import (
	"math"
	"slices"
	"time"
)

const (
	priorityPerUnreportedTick = 0.01 // what a tick untold adds to a place in the report
	reportRepeats             = 3    // a change is told in this many reports
	leaderReportTicks         = 2    // roots of a customer report to each other every so many ticks
)

type peer struct {
	index            int
	incarnation      uint32
	sequence         uint32
	reportedAt       time.Duration
	hasReport        bool
	complete         bool               // its last report named all customers with news
	inFlightByServer map[uint16]float64 // attempts out by server
	customerViews    []*peerView        // what it said of each customer
}

// peerView is what one other gateway last said of one customer.
type peerView struct {
	peer          *peer
	reportedAt    time.Duration
	hasReport     bool
	incarnation   uint32
	inFlight      float64
	queued        float64
	admittedUnits uint16
	demand        float64 // asked units, decayed
}

// peerAt returns what is known of a gateway.
func (g *Gateway) peerAt(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{index: num}
	}
	return g.peers[num]
}

func (g *Gateway) createPeers() {
	for i := range g.peers {
		g.peerAt(i)
	}
}

// assignPeerViews makes room for what each of the others says of a customer.
func (g *Gateway) assignPeerViews(c *customer, others []int) {
	old := c.peerViews
	c.peerViews = nil
	for _, num := range others {
		if num != g.settings.SelfIndex {
			v := &peerView{peer: g.peerAt(num)}
			if i := slices.IndexFunc(old, func(o *peerView) bool { return o.peer == v.peer }); i >= 0 {
				v = old[i]
			}
			c.peerViews, v.peer.customerViews = append(c.peerViews, v), append(v.peer.customerViews, v)
		}
	}
}

// sendLoadReports tells each peer what has changed.
func (g *Gateway) sendLoadReports() {
	g.reportSequence++
	list := &g.reportRanking
	list.reset()
	for _, c := range g.activeCustomers {
		if c.hasChanges() {
			c.reportPriority = g.priorityOf(c)
			list.rest = append(list.rest, c)
		}
	}
	none := len(list.rest) == 0
	list.heapify()
	for _, p := range g.peers {
		if p == nil || p.index == g.settings.SelfIndex || g.leaderMode && none {
			continue
		}
		if m := g.newLoadReport(p, list); !g.leaderMode || len(m.customers) > 0 {
			g.do(SendPeerMessage{To: p.index, Data: m.encode()})
		}
	}
	for _, c := range list.top {
		if c.lastExchangeTick == g.tickCount {
			c.pendingReports, c.reportedUnits = max(0, c.pendingReports-1), c.admittedUnits
		}
	}
}

// newLoadReport makes the report for one peer: the servers this gateway has attempts
// out at, then the customers that come in through both, busiest first.
func (g *Gateway) newLoadReport(p *peer, list *ranking) *loadReport {
	m := &loadReport{incarnation: g.incarnation, sequence: g.reportSequence, complete: true}
	for _, s := range g.endpoints {
		if s.inFlight > 0 && len(m.servers) < maxReportedServers && !g.leaderMode {
			m.servers = append(m.servers, reportedServer{s.reportHash, byte(min(s.inFlight,
				maxReportedInFlight))})
		}
	}
	for k := 0; ; k++ {
		c := list.at(k)
		if c == nil {
			break
		}
		i := slices.IndexFunc(c.peerViews, func(v *peerView) bool { return v.peer == p })
		if i < 0 {
			continue
		}
		if !m.fits() {
			m.complete = false
			break
		}
		g.refill(c)
		e := reportedCustomer{hash: c.reportHash, queued: byte(min(len(c.queued), maxReportedQueued)),
			inFlight:      byte(min(math.Round(inFlightScale*math.Sqrt(c.meanInFlight)), 15)),
			admittedUnits: c.admittedUnits, fill: unknownFill,
			demand: min(maxReportedDemand,
				saturatingByte(demandScale*math.Log2(1+c.demand/demandWindow.Seconds())))}
		if c.tokensKnown && c.plan.Burst > 0 {
			e.fill = saturatingByte(250 * max(c.tokens, 0) / c.plan.Burst)
		}
		m.customers = append(m.customers, e)
		c.lastExchangeTick = g.tickCount
	}
	return m
}

// hasChanges tells whether peers must hear of a customer.
func (c *customer) hasChanges() bool {
	return len(c.peerViews) > 0 && (c.inFlight > 0 || c.meanInFlight > 0 || len(c.queued) > 0 ||
		c.pendingReports > 0)
}

// priorityOf orders a report, busiest first: held, and units not told yet, against
// what may be used at once; then those not told for longest.
func (g *Gateway) priorityOf(c *customer) float64 {
	units := float64(c.admittedUnits-c.reportedUnits) / (c.plan.Burst + 1)
	return float64(len(c.queued)) + units +
		priorityPerUnreportedTick*float64(g.tickCount-c.lastExchangeTick)
}

func (g *Gateway) handleLoadReport(p *peer, m loadReport) {
	if p == nil {
		return
	}
	if p.hasReport && p.incarnation == m.incarnation && int32(m.sequence-p.sequence) <= 0 {
		return // old or repeated: the later report holds all it said
	}
	if m.complete || p.incarnation != m.incarnation {
		for _, v := range p.customerViews {
			v.inFlight, v.queued = 0, 0
		}
	}
	p.hasReport, p.incarnation, p.sequence, p.reportedAt, p.complete = true, m.incarnation, m.sequence,
		g.now, m.complete
	p.inFlightByServer = map[uint16]float64{}
	for _, o := range m.servers {
		p.inFlightByServer[o.hash] = float64(o.inFlight)
	}
	g.sumPeerLoads()
	for _, e := range m.customers {
		if c := g.customersByHash[e.hash]; c != nil {
			g.mergePeerLoad(c, p, e)
		}
	}
}

// mergePeerLoad takes in what a peer says of a customer. Running totals heal lost
// reports; a total that jumps oddly (the peer started anew) is a new base.
func (g *Gateway) mergePeerLoad(c *customer, p *peer, e reportedCustomer) {
	i := slices.IndexFunc(c.peerViews, func(v *peerView) bool { return v.peer == p })
	if i < 0 {
		return
	}
	g.refill(c)
	v := c.peerViews[i]
	v.update(e, g.now)
	if v.hasReport && v.incarnation != p.incarnation {
		v.admittedUnits = 0
	}
	if v.hasReport {
		d := float64(int16(e.admittedUnits - v.admittedUnits)) // settled units may take it back
		c.tokens = min(c.plan.Burst, max(0, c.tokens-d))
	}
	v.hasReport, v.incarnation, v.admittedUnits = true, p.incarnation, e.admittedUnits
	if !c.tokensKnown && e.fill != unknownFill {
		c.tokensKnown = true
		c.tokens = min(c.tokens, float64(e.fill)/250*c.plan.Burst)
	}
}

// update takes over an entry's figures.
func (v *peerView) update(e reportedCustomer, now time.Duration) {
	v.reportedAt, v.demand = now, (math.Exp2(float64(e.demand)/demandScale)-1)*demandWindow.Seconds()
	v.inFlight, v.queued = math.Pow(float64(e.inFlight)/inFlightScale, 2), float64(e.queued)
}

// sumPeerLoads sums the peers' attempts out at each server; old counts are let go.
func (g *Gateway) sumPeerLoads() {
	if g.leaderMode {
		return // its reports tell of no servers
	}
	for _, s := range g.endpoints {
		s.peersInFlight = 0
		for _, p := range g.peers {
			if p != nil && !g.isStale(p) {
				s.peersInFlight += p.inFlightByServer[s.reportHash]
			}
		}
	}
}
