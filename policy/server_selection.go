package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// candidateCount is the number of servers compared for an attempt.
	candidateCount = 4

	// predictionJitter is the width of the range of the random factor on predicted latencies, which ensures
	// that every server gets attempts.
	predictionJitter = 0.2

	// crossZoneIdleLatencies is the latency, in idle latencies of the class, that a CrossZoneCost of 1 adds
	// to the prediction for a server of another zone.
	crossZoneIdleLatencies = 25.0

	// otherZoneWeight is the weight of a server of another zone in a weighted draw.
	otherZoneWeight = 0.7

	// saturationWaitShare is the wait at a server, as a share of the shortest latency objective, beyond
	// which it is saturated.
	saturationWaitShare = 0.15

	// minSaturationInFlight is the number of attempts in flight below which a server is never saturated.
	minSaturationInFlight = 2.0

	// maxEjectedShare is the share of ejected servers above which ejections are ignored: when most servers
	// fail, the cause is common to them and ejections do not help.
	maxEjectedShare = 0.7

	// planRejectionBackoff is how long a server gets no requests of a plan after it has rejected one.
	planRejectionBackoff = 2 * time.Second
)

// serverSelector is the state of server selection.
type serverSelector struct {
	lastShortageAt time.Duration // when a request last found no server with capacity; 0: never
	warmSendRate   float64       // own attempts at warm servers, decayed over ColdOverloadTime

	// Scratch space of the method candidates.
	healthy []*server
	ejected []*server
}

// selectServer chooses the server of the next attempt. It returns nil if none has capacity left.
func (g *Gateway) selectServer(r *request) *server {
	healthy, ejected, probe := g.candidates(r)
	if probe != nil {
		return probe
	}
	if float64(len(ejected)) > maxEjectedShare*float64(len(healthy)+len(ejected)) {
		healthy = append(healthy, ejected...)
	}
	if g.size.leaderMode {
		return g.drawByCapacity(healthy)
	}
	return g.bestOfRandom(healthy, r.class)
}

// candidates returns the servers that may get the attempt, or one that is due for a probe with it. The server
// of the request's last attempt is never among them, even if there is no other. The slices are valid until
// the next call.
func (g *Gateway) candidates(r *request) (healthy, ejected []*server, probe *server) {
	healthy, ejected = g.selector.healthy[:0], g.selector.ejected[:0]
	for _, s := range g.endpoints.list {
		if s == r.lastServer || !g.isCandidate(s, r) {
			continue
		}
		h := s.healthFor(r.class)
		switch {
		case !h.isEjected(g.now):
			healthy = append(healthy, s)
		case g.mayProbe(s, h, r):
			h.scheduleProbe(g.now)
			return nil, nil, s
		default:
			ejected = append(ejected, s)
		}
	}
	g.selector.healthy, g.selector.ejected = healthy, ejected
	return healthy, ejected, nil
}

// isCandidate reports whether a request may be sent to a server, apart from ejection.
func (g *Gateway) isCandidate(s *server, r *request) bool {
	if s.State != Running || g.now < s.rejectingUntil[r.customer.plan] {
		return false
	}
	return r.mayRunAgainAt(s, g.now) && g.hasColdBudget(s)
}

// bestOfRandom compares candidateCount random servers by predicted latency and cross-zone cost. It overwrites
// the slice servers, and returns nil if all are saturated.
func (g *Gateway) bestOfRandom(servers []*server, class *requestClass) *server {
	var best *server
	lowest := math.Inf(1)
	for compared := 0; compared < candidateCount && len(servers) > 0; {
		i := g.rng.IntN(len(servers))
		s := servers[i]
		servers = slices.Delete(servers, i, i+1)
		if g.isSaturated(s) {
			continue
		}
		compared++
		cost := g.predictedLatency(s, class) * (1 - predictionJitter/2 + predictionJitter*g.rng.Float64())
		if s.Zone != g.settings.Zone {
			cost += class.idleLatency * g.settings.CrossZoneCost * crossZoneIdleLatencies
		}
		if cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// isSaturated reports whether the wait at a server would exceed saturationWaitShare of the shortest
// objective. Further requests are queued at the gateway, where they can still be sent to another server or
// rejected.
func (g *Gateway) isSaturated(s *server) bool {
	load := s.load() / g.relativeCapacity(s)
	if load < minSaturationInFlight {
		return false
	}
	wait := g.latency.idle * s.latencyRatio / g.warmFraction(s) * queueingPerAttempt * load
	return wait > saturationWaitShare*g.latency.shortestObjective
}

// drawByCapacity draws a server by its share of the servers' capacity. In leader mode gateways do not know
// the load at servers: if each chose the best of a few, all would choose the same ones. A cold server gets
// no more than its warm fraction of an even share; requests for which no server is drawn are queued.
func (g *Gateway) drawByCapacity(servers []*server) *server {
	total := 0.0
	for _, s := range servers {
		s.drawWeight = g.capacityWeight(s)
		total += s.drawWeight
	}
	count := float64(len(servers))
	minSum := 0.0
	for _, s := range servers {
		if warm := g.warmFraction(s); warm < 1 {
			s.drawWeight = min(s.drawWeight, warm*total/count)
			allowed := warm * coldBudgetSafety * max(1, g.settings.ColdOverloadFactor)
			minSum = max(minSum, s.drawWeight*count/allowed)
		}
	}
	return g.drawWeighted(servers, minSum)
}

// capacityWeight returns the weight of a server in a draw.
func (g *Gateway) capacityWeight(s *server) float64 {
	weight := g.relativeCapacity(s) / max(s.latencyRatio, 1) / float64(1+s.inFlight)
	if s.Zone != g.settings.Zone {
		weight *= otherZoneWeight
	}
	return weight * min(1, g.warmFraction(s))
}

// drawWeighted draws a server by drawWeight. If the weights sum to less than minSum, it returns nil with a
// probability of the difference divided by minSum.
func (g *Gateway) drawWeighted(servers []*server, minSum float64) *server {
	sum := 0.0
	for _, s := range servers {
		sum += s.drawWeight
	}
	position := g.rng.Float64() * max(sum, minSum)
	for _, s := range servers {
		position -= s.drawWeight
		if position < 0 {
			return s
		}
	}
	return nil
}
