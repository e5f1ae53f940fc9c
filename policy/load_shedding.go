package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	overloadThreshold           = 0.4  // mean latency over aim above which the gate closes
	leaderModeOverloadThreshold = 0.25 // and where gateways don't see the load at servers, or
	idleOverloadFactor          = 1.8  // so many idle latencies over their aims, if more
	minIdleOutcomes             = 20   // outcomes of each class that those rest on

	admitDecayTime, admitRecoveryTime = 3 * time.Second, 8 * time.Second // to 1/e in this time, and opens
	// enough to learn from when all is well again
	minAdmitProbability = 0.25
	// how fast an old strain is forgotten
	overloadDecayTime = 12 * time.Second
	// weight of an outcome or a root's word in it
	overloadWeight = 0.15
)

// updateAdmitProbability moves the gate by how near latencies come to their aims: a part of the
// requests is refused. Guards against load this gateway is not told of, on all
// servers: peers unheard, slow fleets. Harms where aims are near idle latencies.
func (g *Gateway) updateAdmitProbability(dt time.Duration) {
	g.updateIdleOverload()
	if g.overload > overloadThreshold || g.leaderMode && g.overload > max(leaderModeOverloadThreshold,
		idleOverloadFactor*g.idleOverload) {
		g.admitProbability = max(minAdmitProbability,
			g.admitProbability*math.Exp(-dt.Seconds()/admitDecayTime.Seconds()))
	} else {
		g.admitProbability = min(1, g.admitProbability+dt.Seconds()/admitRecoveryTime.Seconds())
	}
	g.overload *= math.Exp(-dt.Seconds() / overloadDecayTime.Seconds())
}

// updateIdleOverload notes how near an idle fleet's latencies come to their aims.
func (g *Gateway) updateIdleOverload() {
	near := 0.0
	for _, set := range g.settings.Classes {
		c := g.classes[set.Name]
		if c.outcomes < minIdleOutcomes {
			return
		}
		near += c.idleLatency / c.LatencyObjective.Seconds() / float64(len(g.classes))
	}
	g.idleOverload = min(near, cmp.Or(g.idleOverload, near))
}
