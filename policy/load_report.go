package policy

import (
	"math"
	"slices"
	"time"
)

const (
	untold      = 0.01 // what a tick untold adds to a place in the report
	repeatTicks = 3    // a change is told in this many reports
	rootTicks   = 2    // roots of a customer report to each other every so many ticks
)

type peer struct {
	num      int
	inc      uint32
	seq      uint32
	at       time.Duration
	heard    bool
	complete bool               // its last report named all customers with news
	outs     map[uint16]float64 // attempts out by server
	views    []*peerView        // what it said of each customer
}

// peerView is what one other gateway last said of one customer.
type peerView struct {
	p      *peer
	at     time.Duration
	heard  bool
	inc    uint32
	out    float64
	held   float64
	passed uint16
	rate   float64 // asked units, decayed
}

// peer returns what is known of a gateway.
func (g *Gateway) peer(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{num: num}
	}
	return g.peers[num]
}

func (g *Gateway) allPeers() {
	for i := range g.peers {
		g.peer(i)
	}
}

// views makes room for what each of the others says of a customer.
func (g *Gateway) views(c *customer, others []int) {
	old := c.set
	c.set = nil
	for _, num := range others {
		if num != g.set.SelfIndex {
			v := &peerView{p: g.peer(num)}
			if i := slices.IndexFunc(old, func(o *peerView) bool { return o.p == v.p }); i >= 0 {
				v = old[i]
			}
			c.set, v.p.views = append(c.set, v), append(v.p.views, v)
		}
	}
}

// report tells each peer what has changed.
func (g *Gateway) report() {
	g.seq++
	list := &g.ranks
	list.reset()
	for _, c := range g.stirred {
		if c.news() {
			c.urgency = g.urgent(c)
			list.rest = append(list.rest, c)
		}
	}
	none := len(list.rest) == 0
	list.heapify()
	for _, p := range g.peers {
		if p == nil || p.num == g.set.SelfIndex || g.tree && none {
			continue
		}
		if m := g.message(p, list); !g.tree || len(m.customers) > 0 {
			g.do(SendPeerMessage{To: p.num, Data: m.encode()})
		}
	}
	for _, c := range list.top {
		if c.told == g.ticks {
			c.fresh, c.toldUnits = max(0, c.fresh-1), c.passed
		}
	}
}

// message makes the report for one peer: the servers this gateway has attempts
// out at, then the customers that come in through both, busiest first.
func (g *Gateway) message(p *peer, list *ranking) *report {
	m := &report{inc: g.inc, seq: g.seq, complete: true}
	for _, s := range g.fleet {
		if s.out > 0 && len(m.servers) < maxServers && !g.tree {
			m.servers = append(m.servers, serverOut{s.hash, byte(min(s.out, maxOut))})
		}
	}
	for k := 0; ; k++ {
		c := list.at(k)
		if c == nil {
			break
		}
		i := slices.IndexFunc(c.set, func(v *peerView) bool { return v.p == p })
		if i < 0 {
			continue
		}
		if !m.fits() {
			m.complete = false
			break
		}
		g.advance(c)
		e := entry{hash: c.hash, held: byte(min(len(c.held), maxHeld)),
			out:    byte(min(math.Round(outScale*math.Sqrt(c.mean)), 15)),
			passed: c.passed, store: unknownStore,
			rate: min(maxRate, small(rateScale*math.Log2(1+c.rate/demandSpan.Seconds())))}
		if c.known && c.plan.Burst > 0 {
			e.store = small(250 * max(c.store, 0) / c.plan.Burst)
		}
		m.customers = append(m.customers, e)
		c.told = g.ticks
	}
	return m
}

// news tells whether peers must hear of a customer.
func (c *customer) news() bool {
	return len(c.set) > 0 && (c.out > 0 || c.mean > 0 || len(c.held) > 0 || c.fresh > 0)
}

// urgent orders a report, busiest first: held, and units not told yet, against
// what may be used at once; then those not told for longest.
func (g *Gateway) urgent(c *customer) float64 {
	units := float64(c.passed-c.toldUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + untold*float64(g.ticks-c.told)
}

func (g *Gateway) onReport(p *peer, m report) {
	if p == nil {
		return
	}
	if p.heard && p.inc == m.inc && int32(m.seq-p.seq) <= 0 {
		return // old or repeated: the later report holds all it said
	}
	if m.complete || p.inc != m.inc {
		for _, v := range p.views {
			v.out, v.held = 0, 0
		}
	}
	p.heard, p.inc, p.seq, p.at, p.complete = true, m.inc, m.seq, g.now, m.complete
	p.outs = map[uint16]float64{}
	for _, o := range m.servers {
		p.outs[o.hash] = float64(o.out)
	}
	g.sumLoads()
	for _, e := range m.customers {
		if c := g.byHash[e.hash]; c != nil {
			g.hear(c, p, e)
		}
	}
}

// hear takes in what a peer says of a customer. Running totals heal lost
// reports; a total that jumps oddly (the peer started anew) is a new base.
func (g *Gateway) hear(c *customer, p *peer, e entry) {
	i := slices.IndexFunc(c.set, func(v *peerView) bool { return v.p == p })
	if i < 0 {
		return
	}
	g.advance(c)
	v := c.set[i]
	v.read(e, g.now)
	if v.heard && v.inc != p.inc {
		v.passed = 0
	}
	if v.heard {
		d := float64(int16(e.passed - v.passed)) // settled units may take it back
		c.store = min(c.plan.Burst, max(0, c.store-d))
	}
	v.heard, v.inc, v.passed = true, p.inc, e.passed
	if !c.known && e.store != unknownStore {
		c.known = true
		c.store = min(c.store, float64(e.store)/250*c.plan.Burst)
	}
}

// read takes over an entry's figures.
func (v *peerView) read(e entry, now time.Duration) {
	v.at, v.rate = now, (math.Exp2(float64(e.rate)/rateScale)-1)*demandSpan.Seconds()
	v.out, v.held = math.Pow(float64(e.out)/outScale, 2), float64(e.held)
}

// sumLoads sums the peers' attempts out at each server; old counts are let go.
func (g *Gateway) sumLoads() {
	if g.tree {
		return // its reports tell of no servers
	}
	for _, s := range g.fleet {
		s.heard = 0
		for _, p := range g.peers {
			if p != nil && !g.silent(p) {
				s.heard += p.outs[s.hash]
			}
		}
	}
}
