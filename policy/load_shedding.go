package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	gateAim  = 0.4  // mean latency over aim above which the gate closes
	blindAim = 0.25 // and where gateways don't see the load at servers, or
	idleAims = 1.8  // so many idle latencies over their aims, if more
	idleSeen = 20   // outcomes of each class that those rest on

	gateShut, gateOpen = 3 * time.Second, 8 * time.Second // to 1/e in this time, and opens
	gateLeast          = 0.25                             // enough to learn from when all is well again
	strainLife         = 12 * time.Second                 // how fast an old strain is forgotten
	strainOwn          = 0.15                             // weight of an outcome or a root's word in it
)

// adapt moves the gate by how near latencies come to their aims: a part of the
// requests is refused. Guards against load this gateway is not told of, on all
// servers: peers unheard, slow fleets. Harms where aims are near idle latencies.
func (g *Gateway) adapt(dt time.Duration) {
	g.rest()
	if g.strain > gateAim || g.tree && g.strain > max(blindAim, idleAims*g.idle) {
		g.gate = max(gateLeast, g.gate*math.Exp(-dt.Seconds()/gateShut.Seconds()))
	} else {
		g.gate = min(1, g.gate+dt.Seconds()/gateOpen.Seconds())
	}
	g.strain *= math.Exp(-dt.Seconds() / strainLife.Seconds())
}

// rest notes how near an idle fleet's latencies come to their aims.
func (g *Gateway) rest() {
	near := 0.0
	for _, set := range g.set.Classes {
		c := g.classes[set.Name]
		if c.seen < idleSeen {
			return
		}
		near += c.mean / c.LatencyObjective.Seconds() / float64(len(g.classes))
	}
	g.idle = min(near, cmp.Or(g.idle, near))
}
