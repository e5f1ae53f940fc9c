package policy

import (
	"cmp"
	"slices"
	"time"
)

// server is the state that a gateway holds for a server.
type server struct {
	Server
	reportHash     uint16                          // identifies the server in load reports
	inFlight       int                             // own attempts
	peersInFlight  float64                         // attempts of all other gateways, as last reported
	attempts       []*request                      // own attempts in flight, oldest first
	rejectingUntil map[*customerPlan]time.Duration // time until which the server gets no requests of a plan
	coldSends      []time.Duration                 // start times of own attempts in the last ColdOverloadTime
	drawWeight     float64                         // scratch space of drawByCapacity

	monitors       [2]int  // numbers of the first and the second monitor; see monitorsOf
	latencyRatio   float64 // latency relative to the other servers at equal load
	observedRatio  float64 // latencyRatio as observed by the monitor; used at the monitor only
	health         []classHealth
	reportBudget   float64 // number of outlier reports that may be sent now
	reportBudgetAt time.Duration
}

// endpointList holds the known servers.
type endpointList struct {
	byID       map[ServerID]*server
	list       []*server // in order of ID
	meanWeight float64
	watching   bool // WatchEndpoints was requested and has not failed since
}

func newEndpointList() endpointList { return endpointList{byID: map[ServerID]*server{}} }

// serverHash returns a hash of serverHashBits bits. All gateways must compute the same hash.
func serverHash(id ServerID) uint32 {
	const multiplier = 0x9e3779b1 // Knuth's multiplicative hash
	return uint32(id) * multiplier >> (32 - serverHashBits)
}

// requestEndpoints requests the endpoint list if Settings.MustWatchEndpoints is set, and repeats the request
// only after it has failed.
func (g *Gateway) requestEndpoints() {
	if g.settings.MustWatchEndpoints && !g.endpoints.watching {
		g.endpoints.watching = true
		g.emit(WatchEndpoints{})
	}
}

// handleEndpointUpdate applies the endpoint list or changes to it.
func (g *Gateway) handleEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == WatchFailed {
		g.endpoints.watching = false // requestEndpoints repeats the request within about a second
		return
	}
	if ev.Kind != DeltaUpdate {
		g.endpoints.markAllRemoved()
	}
	for _, listed := range ev.Servers {
		g.updateServer(listed)
	}
	g.endpoints.dropRemoved()
	g.endpoints.updateMeanWeight()
	slices.SortFunc(g.endpoints.list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// updateServer applies one entry of the endpoint list. The statistics of a server that was restarted are
// reset.
func (g *Gateway) updateServer(listed Server) {
	s := g.endpoints.byID[listed.ID]
	switch {
	case s == nil:
		s = g.newServer(listed.ID)
		g.endpoints.byID[listed.ID] = s
		g.endpoints.list = append(g.endpoints.list, s)
	case listed.HasStartTime && listed.StartedAt != s.StartedAt:
		s.latencyRatio = 1
		s.observedRatio = 1
		clear(s.health)
	}
	s.Server = listed
}

func (g *Gateway) newServer(id ServerID) *server {
	hash := serverHash(id)
	return &server{
		reportHash:     uint16(hash),
		rejectingUntil: map[*customerPlan]time.Duration{},
		monitors:       g.monitorsOf(hash),
		latencyRatio:   1,
		observedRatio:  1,
		health:         make([]classHealth, len(g.settings.Classes)),
		reportBudget:   maxReportBudget,
		reportBudgetAt: g.now,
	}
}

func (l *endpointList) markAllRemoved() {
	for _, s := range l.list {
		s.State = Removed
	}
}

// dropRemoved deletes removed servers without attempts in flight: otherwise the list would grow with each
// server that is replaced, and averages over the list would include servers that no longer exist.
func (l *endpointList) dropRemoved() {
	l.list = slices.DeleteFunc(l.list, func(s *server) bool {
		drop := s.State == Removed && s.inFlight == 0
		if drop {
			delete(l.byID, s.ID)
		}
		return drop
	})
}

func (l *endpointList) updateMeanWeight() {
	l.meanWeight = 0
	for _, s := range l.list {
		l.meanWeight += s.Weight / float64(len(l.list))
	}
}
