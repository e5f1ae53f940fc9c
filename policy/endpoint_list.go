package policy

import (
	"cmp"
	"slices"
	"time"
)

type server struct {
	Server
	reportHash     uint16
	inFlight       int
	latencyRatio   float64                         // latency against the fleet's, at equal load
	peersInFlight  float64                         // attempts out there, as the peers last said
	attempts       []*request                      // attempts out, oldest first
	rejectingUntil map[*customerPlan]time.Duration // until then it is taken to turn this plan away
	coldSends      []time.Duration                 // while cold: recent sends

	drawWeight float64 // in the draw at hand
	// the gateways that judge it for all; the second only whether it can be reached
	monitors       [2]int
	health         []classHealth // by class
	reportBudget   float64       // its watcher may send now
	reportBudgetAt time.Duration
	observedRatio  float64 // latency against the fleet's, as the watcher learns it
}

func (g *Gateway) handleEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == WatchFailed {
		g.watching = false
		return
	}
	if ev.Kind != DeltaUpdate {
		for _, s := range g.endpoints {
			s.State = Removed
		}
	}
	for _, m := range ev.Servers {
		s := g.servers[m.ID]
		if s == nil {
			h := uint32(m.ID) * 0x9e3779b1 >> (32 - serverHashBits)
			s = &server{reportHash: uint16(h), latencyRatio: 1, observedRatio: 1,
				reportBudget: maxReportBudget, reportBudgetAt: g.now,
				health:         make([]classHealth, len(g.settings.Classes)),
				rejectingUntil: map[*customerPlan]time.Duration{}, monitors: g.monitorsOf(h)}
			g.servers[m.ID] = s
			g.endpoints = append(g.endpoints, s)
		} else if m.HasStartTime && m.StartedAt != s.StartedAt {
			s.latencyRatio, s.observedRatio = 1, 1
			clear(s.health)
		}
		s.Server = m
	}
	// What has gone and has nothing out is forgotten: a fleet whose servers are replaced
	// would grow for ever, and each would count as one that could bear a part.
	g.endpoints = slices.DeleteFunc(g.endpoints, func(s *server) bool {
		gone := s.State == Removed && s.inFlight == 0
		if gone {
			delete(g.servers, s.ID)
		}
		return gone
	})
	g.meanWeight = 0
	for _, s := range g.endpoints {
		g.meanWeight += s.Weight / float64(len(g.endpoints))
	}
	slices.SortFunc(g.endpoints, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// requestEndpoints asks for the server list where it must be asked for, once.
func (g *Gateway) requestEndpoints() {
	if g.settings.MustWatchEndpoints && !g.watching {
		g.watching = true
		g.do(WatchEndpoints{})
	}
}
