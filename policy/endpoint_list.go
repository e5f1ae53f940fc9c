package policy

import (
	"cmp"
	"slices"
	"time"
)

type server struct {
	Server
	hash   uint16
	out    int
	slow   float64                  // latency against the fleet's, at equal load
	heard  float64                  // attempts out there, as the peers last said
	oldest []*request               // attempts out, oldest first
	fullAt map[*quota]time.Duration // until then it is taken to turn this plan away
	sends  []time.Duration          // while cold: recent sends

	weight    float64  // in the draw at hand
	watchers  [2]int   // the gateways that judge it for all; the second only whether it can be reached
	by        []record // by class
	verdicts  float64  // its watcher may send now
	verdictAt time.Duration
	pace      float64 // latency against the fleet's, as the watcher learns it
}

func (g *Gateway) onMembers(ev EndpointUpdate) {
	if ev.Kind == WatchFailed {
		g.asked = false
		return
	}
	if ev.Kind != DeltaUpdate {
		for _, s := range g.fleet {
			s.State = Removed
		}
	}
	for _, m := range ev.Servers {
		s := g.servers[m.ID]
		if s == nil {
			h := uint32(m.ID) * 0x9e3779b1 >> (32 - serverBits)
			s = &server{hash: uint16(h), slow: 1, pace: 1, verdicts: verdictKeep, verdictAt: g.now,
				by:     make([]record, len(g.set.Classes)),
				fullAt: map[*quota]time.Duration{}, watchers: g.watchers(h)}
			g.servers[m.ID] = s
			g.fleet = append(g.fleet, s)
		} else if m.HasStartTime && m.StartedAt != s.StartedAt {
			s.slow, s.pace = 1, 1
			clear(s.by)
		}
		s.Server = m
	}
	// What has gone and has nothing out is forgotten: a fleet whose servers are replaced
	// would grow for ever, and each would count as one that could bear a part.
	g.fleet = slices.DeleteFunc(g.fleet, func(s *server) bool {
		gone := s.State == Removed && s.out == 0
		if gone {
			delete(g.servers, s.ID)
		}
		return gone
	})
	g.size = 0
	for _, s := range g.fleet {
		g.size += s.Weight / float64(len(g.fleet))
	}
	slices.SortFunc(g.fleet, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// watch asks for the server list where it must be asked for, once.
func (g *Gateway) watch() {
	if g.set.MustWatchEndpoints && !g.asked {
		g.asked = true
		g.do(WatchEndpoints{})
	}
}
