package policy

import (
	"math"
	"slices"
	"time"
)

const (
	predictionJitter      = 0.2  // spread of a prediction, so that none is left untried
	candidateCount        = 4    // servers compared for an attempt
	crossZoneServiceTimes = 25.0 // service times that a charge of one for another zone is worth
	otherZoneWeight       = 0.7  // weight of a server in another zone
	queueingPerAttempt    = 0.5  // what each attempt out adds to a server's latency, in service times
	saturationWaitShare   = 0.15 // a server is full when the wait passes this part of the shortest aim
	minSaturationInFlight = 2.0  // but not below this many attempts out
	maxEjectedShare       = 0.7  // when more are out of use they are used all the same
	planRejectionBackoff  = 2 * time.Second
)

type requestClass struct {
	Class
	index       int     // place in the settings
	idleLatency float64 // seconds an idle server of the fleet takes
	outcomes    float64 // outcomes it rests on
}

// selectServer chooses a server, or nil when none has room. Those out of use for the
// class are left out while they are not too many; a watcher tries them now and
// then. A small fleet's gateway takes the best of a few random ones by predicted
// latency and zone price.
func (g *Gateway) selectServer(r *request) *server {
	ok, doubted := g.candidateScratch[:0], g.ejectedScratch[:0]
	for _, s := range g.endpoints {
		if s == r.lastServer || !g.isCandidate(s, r) {
			continue
		}
		if v := g.healthOf(s, r.class); v != nil && v.ejected && g.now < v.ejectedUntil {
			// Its watcher alone tries a server that is out of use.
			if s.monitors[0] == g.settings.SelfIndex && g.now >= v.nextProbeAt && r.attempts == 0 &&
				r.class.Idempotency != NonIdempotent {
				v.probeInterval = min(2*v.probeInterval+probeIntervalStep, maxProbeInterval)
				v.nextProbeAt = g.now + v.probeInterval
				return s
			}
			doubted = append(doubted, s)
			continue
		}
		ok = append(ok, s)
	}
	g.candidateScratch, g.ejectedScratch = ok, doubted
	if float64(len(doubted)) > maxEjectedShare*float64(len(ok)+len(doubted)) {
		ok = append(ok, doubted...)
	}
	if g.leaderMode {
		return g.drawByCapacity(ok)
	}
	var best *server
	low := math.Inf(1)
	for k := 0; k < candidateCount && len(ok) > 0; {
		i := g.rng.IntN(len(ok))
		s := ok[i]
		ok = slices.Delete(ok, i, i+1)
		if g.isSaturated(s) {
			continue
		}
		p := g.predictedLatency(s, r.class) * (1 - predictionJitter/2 + predictionJitter*g.rng.Float64())
		k++
		if s.Zone != g.settings.Zone {
			p += r.class.idleLatency * g.settings.CrossZoneCost * crossZoneServiceTimes
		}
		if p < low {
			best, low = s, p
		}
	}
	return best
}

// isCandidate tells whether a request may go to a server at all: running, not
// ejected (but for a trial), inside its group and window once it may have
// run, and inside the budget of a cold server.
func (g *Gateway) isCandidate(s *server, r *request) bool {
	if s.State != Running || g.now < s.rejectingUntil[r.customer.plan] ||
		r.mayHaveRun && r.class.Idempotency == IdempotentWithKey &&
			(g.now-r.firstRunAt >= r.class.DedupWindow || !r.inDedupScope(s)) {
		return false
	}
	if cold := g.warmFraction(s); cold < 1 {
		// A budget for every window, shared by all gateways: what warm servers
		// bear, times the share of capacity the server surely has.
		s.coldSends = slices.DeleteFunc(s.coldSends, func(t time.Duration) bool {
			return g.now-t > g.settings.ColdOverloadTime
		})
		warm := g.warmSendRate / max(1, float64(len(g.endpoints)))
		return float64(len(s.coldSends)) < max(1, warm*cold*g.settings.ColdOverloadFactor*coldBudgetSafety)
	}
	return true
}

// drawByCapacity chooses a server by its share of the fleet's capacity. A large fleet's
// gateways don't see the load there; were each to take the best of a few, all
// would crowd onto the same servers. However slow the warm ones are, a cold one
// gets no more than its part of an even share; what is left over waits.
func (g *Gateway) drawByCapacity(ok []*server) *server {
	all := 0.0
	for _, s := range ok {
		s.drawWeight = g.relativeCapacity(s) / max(s.latencyRatio, 1) / float64(1+s.inFlight)
		if s.Zone != g.settings.Zone {
			s.drawWeight *= otherZoneWeight
		}
		s.drawWeight *= min(1, g.warmFraction(s))
		all += s.drawWeight
	}
	least := 0.0
	for _, s := range ok {
		if cold := g.warmFraction(s); cold < 1 {
			s.drawWeight = min(s.drawWeight, cold*all/float64(len(ok)))
			least = max(least, s.drawWeight*float64(len(ok))/(cold*coldBudgetSafety*max(1,
				g.settings.ColdOverloadFactor)))
		}
	}
	return g.drawWeighted(ok, least)
}

// drawWeighted draws a server by weight, of a sum of at least so much: none for the rest.
func (g *Gateway) drawWeighted(list []*server, least float64) *server {
	sum := 0.0
	for _, s := range list {
		sum += s.drawWeight
	}
	at := g.rng.Float64() * max(sum, least)
	for _, s := range list {
		if at -= s.drawWeight; at < 0 {
			return s
		}
	}
	return nil
}

// predictedLatency is the latency in seconds expected of a server for a class.
func (g *Gateway) predictedLatency(s *server, cl *requestClass) float64 {
	return cl.idleLatency * s.latencyRatio * (1 +
		queueingPerAttempt*g.loadAt(s)/g.relativeCapacity(s)) / g.warmFraction(s)
}

// isSaturated tells whether a server has all the work it can turn round in time: the
// wait there would pass a share of the shortest aim. Beyond that requests are
// held here, where they can still go elsewhere or be refused.
func (g *Gateway) isSaturated(s *server) bool {
	load := g.loadAt(s) / g.relativeCapacity(s)
	return load >= minSaturationInFlight &&
		g.idleLatency*s.latencyRatio/g.warmFraction(s)*queueingPerAttempt*load >
			saturationWaitShare*g.shortestObjective
}

// loadAt is the attempts out at a server: own, and the peers' as last reported,
// or its own load report where that says more.
func (g *Gateway) loadAt(s *server) float64 {
	return float64(s.inFlight) + s.peersInFlight
}

// size is a server's size against the fleet's mean, where the list tells it.
func (g *Gateway) relativeCapacity(s *server) float64 {
	if g.settings.WeightIsCapacity && s.Weight > 0 && g.meanWeight > 0 {
		return s.Weight / g.meanWeight
	}
	return 1
}
