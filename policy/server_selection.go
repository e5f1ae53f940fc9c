package policy

import (
	"math"
	"slices"
	"time"
)

const (
	jitter      = 0.2  // spread of a prediction, so that none is left untried
	choices     = 4    // servers compared for an attempt
	zonePrice   = 25.0 // service times that a charge of one for another zone is worth
	otherZone   = 0.7  // weight of a server in another zone
	queueWeight = 0.5  // what each attempt out adds to a server's latency, in service times
	waitAim     = 0.15 // a server is full when the wait passes this part of the shortest aim
	leastOut    = 2.0  // but not below this many attempts out
	mostOut     = 0.7  // when more are out of use they are used all the same
	fullFor     = 2 * time.Second
)

type class struct {
	Class
	no   int     // place in the settings
	mean float64 // seconds an idle server of the fleet takes
	seen float64 // outcomes it rests on
}

// pick chooses a server, or nil when none has room. Those out of use for the
// class are left out while they are not too many; a watcher tries them now and
// then. A small fleet's gateway takes the best of a few random ones by predicted
// latency and zone price.
func (g *Gateway) pick(r *request) *server {
	ok, doubted := g.usables[:0], g.doubted[:0]
	for _, s := range g.fleet {
		if s == r.last || !g.usable(s, r) {
			continue
		}
		if v := g.record(s, r.cl); v != nil && v.bad && g.now < v.until {
			// Its watcher alone tries a server that is out of use.
			if s.watchers[0] == g.set.SelfIndex && g.now >= v.trial && r.attempts == 0 &&
				r.cl.Idempotency != NonIdempotent {
				v.wait = min(2*v.wait+trialEvery, trialMost)
				v.trial = g.now + v.wait
				return s
			}
			doubted = append(doubted, s)
			continue
		}
		ok = append(ok, s)
	}
	g.usables, g.doubted = ok, doubted
	if float64(len(doubted)) > mostOut*float64(len(ok)+len(doubted)) {
		ok = append(ok, doubted...)
	}
	if g.tree {
		return g.draw(ok)
	}
	var best *server
	low := math.Inf(1)
	for k := 0; k < choices && len(ok) > 0; {
		i := g.rng.IntN(len(ok))
		s := ok[i]
		ok = slices.Delete(ok, i, i+1)
		if g.full(s) {
			continue
		}
		p := g.predict(s, r.cl) * (1 - jitter/2 + jitter*g.rng.Float64())
		k++
		if s.Zone != g.set.Zone {
			p += r.cl.mean * g.set.CrossZoneCost * zonePrice
		}
		if p < low {
			best, low = s, p
		}
	}
	return best
}

// usable tells whether a request may go to a server at all: running, not
// ejected (but for a trial), inside its group and window once it may have
// run, and inside the budget of a cold server.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || g.now < s.fullAt[r.c.plan] ||
		r.ran && r.cl.Idempotency == IdempotentWithKey &&
			(g.now-r.ranAt >= r.cl.DedupWindow || !r.sameGroup(s)) {
		return false
	}
	if cold := g.coldness(s); cold < 1 {
		// A budget for every window, shared by all gateways: what warm servers
		// bear, times the share of capacity the server surely has.
		s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool {
			return g.now-t > g.set.ColdOverloadTime
		})
		warm := g.sendRate / max(1, float64(len(g.fleet)))
		return float64(len(s.sends)) < max(1, warm*cold*g.set.ColdOverloadFactor*coldSafety)
	}
	return true
}

// draw chooses a server by its share of the fleet's capacity. A large fleet's
// gateways don't see the load there; were each to take the best of a few, all
// would crowd onto the same servers. However slow the warm ones are, a cold one
// gets no more than its part of an even share; what is left over waits.
func (g *Gateway) draw(ok []*server) *server {
	all := 0.0
	for _, s := range ok {
		s.weight = g.sizeOf(s) / max(s.slow, 1) / float64(1+s.out)
		if s.Zone != g.set.Zone {
			s.weight *= otherZone
		}
		s.weight *= min(1, g.coldness(s))
		all += s.weight
	}
	least := 0.0
	for _, s := range ok {
		if cold := g.coldness(s); cold < 1 {
			s.weight = min(s.weight, cold*all/float64(len(ok)))
			least = max(least, s.weight*float64(len(ok))/(cold*coldSafety*max(1, g.set.ColdOverloadFactor)))
		}
	}
	return g.byWeight(ok, least)
}

// byWeight draws a server by weight, of a sum of at least so much: none for the rest.
func (g *Gateway) byWeight(list []*server, least float64) *server {
	sum := 0.0
	for _, s := range list {
		sum += s.weight
	}
	at := g.rng.Float64() * max(sum, least)
	for _, s := range list {
		if at -= s.weight; at < 0 {
			return s
		}
	}
	return nil
}

// predict is the latency in seconds expected of a server for a class.
func (g *Gateway) predict(s *server, cl *class) float64 {
	return cl.mean * s.slow * (1 + queueWeight*g.load(s)/g.sizeOf(s)) / g.coldness(s)
}

// full tells whether a server has all the work it can turn round in time: the
// wait there would pass a share of the shortest aim. Beyond that requests are
// held here, where they can still go elsewhere or be refused.
func (g *Gateway) full(s *server) bool {
	load := g.load(s) / g.sizeOf(s)
	return load >= leastOut && g.mean*s.slow/g.coldness(s)*queueWeight*load > waitAim*g.minAim
}

// load is the attempts out at a server: own, and the peers' as last reported,
// or its own load report where that says more.
func (g *Gateway) load(s *server) float64 {
	return float64(s.out) + s.heard
}

// size is a server's size against the fleet's mean, where the list tells it.
func (g *Gateway) sizeOf(s *server) float64 {
	if g.set.WeightIsCapacity && s.Weight > 0 && g.size > 0 {
		return s.Weight / g.size
	}
	return 1
}
