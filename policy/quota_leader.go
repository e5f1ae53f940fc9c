package policy

import (
	"math"
	"slices"
	"time"
)

const (
	treeBeyond = 2    // the mail would stretch the longest tick by this factor
	rootMail   = 0.5  // part of its mail intake that a root spends on one customer
	rootPeak   = 2.0  // asks it must bear, as a multiple of those inside the quota
	deputyPart = 0.25 // part of a hard ceiling that the deputy holds
)

// size is what follows from a number of gateways.
type size struct {
	gateways int
	tree     bool
}

// fit sets what follows from how many gateways there are.
func (g *Gateway) fit() {
	mail := max(g.set.PeerMessagesPerSecond*mailShare, 1)
	g.tick = time.Duration(float64(max(g.set.Gateways-1, 1)) / mail * float64(time.Second))
	g.own = learn
	if g.tree = g.tick > treeBeyond*maxTick && g.set.CanMessagePeers; g.tree {
		g.own = 0 // what the watchers tell is more than what this gateway sees
	} else {
		g.allPeers()
	}
	g.tick = max(min(max(g.tick, minTick), maxTick), g.set.Resolution)
}

// treeAt tells whether a fleet of a size reports by roots.
func (g *Gateway) treeAt(n int) bool {
	now := g.set.Gateways
	g.set.Gateways = n
	g.fit()
	tree := g.tree
	g.set.Gateways = now
	g.fit()
	return tree
}

// roots are the gateways that sum a customer's counts: as few as can take in
// what its gateways ask of them, all where reports go from all to all. The
// deputy steps in for a root that is silent.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	k := c.spread
	if g.tree {
		asks := rootPeak * c.plan.Rate
		if c.plan.MaxInFlight > 0 {
			asks += c.plan.Rate // those that pass tell their ends too
		}
		asks /= max(1, g.set.MaxRequestUnits/2)
		k = min(max(1, int(math.Ceil(asks/max(1, g.set.PeerMessagesPerSecond*rootMail)))), c.spread)
	}
	base, step := int(c.key>>33)%c.spread, max(1, c.spread/(k+1))
	for i := range k + 1 {
		deputy = (c.first + (base+i*step)%c.spread) % g.set.Gateways
		if i < k {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// place says who sums a customer's counts, and what part of its ceiling is held here.
func (g *Gateway) place(c *customer) {
	c.spread = max(1, min(c.nodes, g.set.Gateways))
	roots, deputy := g.roots(c)
	c.n, c.ask = float64(c.spread), nil
	if slices.Contains(roots, g.set.SelfIndex) || !g.tree {
		g.views(c, roots)
	} else if c.plan.Rate > 0 || c.plan.MaxInFlight > 0 {
		c.ask = []int{roots[g.set.SelfIndex%len(roots)], deputy}
	}
	if g.tree {
		// All ceiling parts are with those who grant.
		c.n = float64(len(roots)) / (1 - deputyPart)
		if len(c.ask) > 0 {
			c.n = 1 / deputyPart
		}
	}
	if g.was.gateways != 0 {
		c.n = max(g.part(c, g.was), g.part(c, size{g.set.Gateways, g.tree}))
	}
}

// part is one over the part of a ceiling held here in a fleet of a size: infinite where none is.
func (g *Gateway) part(c *customer, z size) float64 {
	if z.gateways < 0 {
		return math.Inf(1)
	}
	now, spread := size{g.set.Gateways, g.tree}, c.spread
	g.set.Gateways, g.tree, c.spread = z.gateways, z.tree, max(1, min(c.nodes, z.gateways))
	roots, deputy := g.roots(c)
	g.set.Gateways, g.tree, c.spread = now.gateways, now.tree, spread
	switch n := float64(len(roots)); {
	case slices.Contains(roots, g.set.SelfIndex) && z.tree:
		return n / (1 - deputyPart)
	case slices.Contains(roots, g.set.SelfIndex):
		return n
	case z.tree && deputy == g.set.SelfIndex:
		return 1 / deputyPart
	}
	return math.Inf(1)
}

// onFleet takes a new number of gateways. Counts carry over; parts of ceilings are the smaller of the old
// and the new until all are known to have heard: the old ones sum to the whole, and the new ones do.
func (g *Gateway) onFleet(ev FleetResized) {
	if ev.PreviousSize == 0 {
		g.was = size{}
	} else if g.was.gateways == 0 {
		g.was = size{ev.PreviousSize, g.treeAt(ev.PreviousSize)}
	}
	g.resize(ev.Gateways)
	for _, c := range g.ring {
		g.advance(c)
		g.place(c)
		c.ceiling = min(c.ceiling, c.plan.HardBurst/c.n)
	}
}

// resize makes room for a number of gateways, and forgets those beyond.
func (g *Gateway) resize(n int) {
	g.set.Gateways = n
	peers := make([]*peer, max(n, g.set.SelfIndex+1))
	copy(peers, g.peers)
	g.peers = peers
	for _, p := range g.peers {
		if p != nil {
			p.views = nil
		}
	}
	g.fit()
	for _, s := range g.fleet {
		s.watchers = g.watchers(uint32(s.ID) * 0x9e3779b1 >> (32 - serverBits))
	}
}
