package policy

import (
	"math"
	"slices"
	"time"
)

const (
	rootAsks     = 2                     // times a root is asked before its deputy is
	leastReply   = 30 * time.Millisecond // an answer is waited for this long at least
	replySpread  = 2.5                   // and for this many mean times
	unheardPower = 4.0                   // what no root answers passes with this power of the share answered
	deafBelow    = 0.5                   // with fewer asks answered another witness is heeded
	thinSpan     = 20 * time.Second      // a root's word of what part fits is heeded so long
	leaseAim     = 1.0                   // an attempt not told of as ended counts for this part of its aim
)

// lease names a request that another gateway asked for.
type lease struct {
	from int
	tag  uint32
}

type leased struct {
	until time.Duration
	r     *request
}

// ask sends a request to the customer's root, again if that or the answer is
// lost, and then to the deputy. No answer from either leaves it to the last
// fill heard, but under a ceiling: lost roots must not stop customers far below
// their quotas.
func (g *Gateway) ask(r *request) {
	c := r.c
	if len(c.ask) == 0 { // its counts have moved here
		delete(g.asks, r.tag)
		g.admit(r)
		return
	}
	cut := math.Pow(1-g.heard, unheardPower)
	late := r.asked > rootAsks || g.now+2*g.set.Resolution >= r.deadline
	if delete(g.asks, r.tag); late || r.asked > 0 && g.rng.Float64() < cut {
		// Much mail lost: roots are flooded, few may pass unheard. All lost: cut off, the own part passes.
		pass := math.Pow(g.heard, unheardPower) + cut
		if c.witness > 0 && g.now-c.witness < witnessLife {
			pass = 1
		}
		if r.waits || g.now >= r.deadline || g.rng.Float64() > pass || c.plan.HardRate > 0 ||
			!g.within(r) || !g.try(r) {
			g.refuse(r, either(r.waits, ReasonInFlightLimit, ReasonNoQuotaLeader))
		}
		return
	}
	to := c.ask[0]
	if r.asked == rootAsks {
		to = c.ask[1]
	}
	if to == g.set.SelfIndex {
		g.admit(r)
		return
	}
	if r.asked != 1 || r.root != to { // the same name when the same root is asked again
		g.nextTag++
		r.tag = g.nextTag
	}
	if r.asked > 0 {
		g.heard -= learn * g.heard
	}
	r.root, r.askedAt = to, g.now
	r.asked++
	wait := max(leastReply, time.Duration(replySpread*float64(g.reply)))
	r.until = min(g.now+wait, r.deadline-2*g.set.Resolution)
	g.asks[r.tag] = r
	g.asking = append(g.asking, r)
	g.do(SendPeerMessage{To: r.root, Data: encode(g.askOf(r))})
	g.do(SetTimer{Token: "ask", After: r.until - g.now})
}

// askOf makes the message that asks for a request.
func (g *Gateway) askOf(r *request) ask {
	c, left := r.c, (r.deadline - g.now).Milliseconds()
	m := ask{Customer: c.key, First: uint16(c.first), Spread: uint16(min(c.nodes, 65535)), Plan: c.plan.no,
		Class: byte(r.cl.no), Units: uint16(r.units), Left: uint16(min(max(0, left), math.MaxUint16)),
		Tag: r.tag, Repeat: r.repeat, Fill: unknownStore, Thin: small(250 * r.asks)}
	if c.told > 0 {
		m.Fill = small(250 * max(0, c.store) / max(1, c.plan.Burst))
	}
	return m
}

// onAskTimer asks again, elsewhere, for what was not answered.
func (g *Gateway) onAskTimer() {
	list := g.asking
	g.asking = nil
	for _, r := range list {
		switch {
		case r.over || r.granted || g.asks[r.tag] != r:
		case g.now+g.set.Resolution <= r.until: // a timer may come a rounding early
			g.asking = append(g.asking, r)
		case r.waits:
			g.refuse(r, ReasonInFlightLimit)
		default:
			g.ask(r)
		}
	}
}

func (g *Gateway) onAnswer(from int, m answer) {
	r := g.asks[m.Tag]
	if r == nil || r.root != from || r.over {
		return
	}
	c := r.c
	if !r.waits {
		g.reply += time.Duration(learn * float64(g.now-r.askedAt-g.reply))
	}
	g.advance(c)
	g.heard += learn * (1 - g.heard)
	g.strain += strainOwn * (float64(m.Strain)/100 - g.strain)
	c.part, c.partAt = float64(m.Part)/250, g.now
	c.store, c.told = float64(m.Fill)/250*c.plan.Burst, g.ticks+1
	if m.Verdict == waits {
		longest := time.Duration(holdAim * float64(r.cl.LatencyObjective))
		r.waits, r.until = true, min(r.arrived+longest, r.deadline-g.tick)
		g.do(SetTimer{Token: "ask", After: max(g.set.Resolution, r.until-g.now)})
		return
	}
	delete(g.asks, m.Tag)
	if m.Verdict != granted {
		g.refuse(r, Reason(m.Verdict>>reasonShift))
		return
	}
	if r.granted = true; !g.within(r) {
		g.refuse(r, g.over(r))
	} else if !g.try(r) {
		g.hold(r)
	}
}

// onAsk takes a member's request into the customer's counts as if it had come
// in here.
func (g *Gateway) onAsk(from int, m ask) {
	c := g.customers[m.Customer]
	fresh := c == nil
	if fresh {
		c = g.account(m.Customer, g.plans[g.set.Plans[m.Plan].Name], int(m.First), int(m.Spread))
	}
	// One that counts for a root it can't hear goes by what the root last told.
	if m.Fill != unknownStore && (fresh || len(c.ask) > 0) {
		c.store = min(c.store, float64(m.Fill)/250*c.plan.Burst)
	}
	if r, held := c.asked(from, m.Tag); r != nil || held {
		if r != nil {
			g.answer(r, granted) // the first answer was lost
		}
		return
	}
	g.advance(c)
	c.seen, c.sums = g.now, true
	c.rate += float64(m.Units) * 250 / float64(max(1, m.Thin))
	g.admit(g.requestOf(c, from, m))
}

// requestOf makes the request that another gateway asks for.
func (g *Gateway) requestOf(c *customer, from int, m ask) *request {
	return &request{c: c, cl: g.classes[g.set.Classes[m.Class].Name], units: float64(m.Units), arrived: g.now,
		deadline: g.now + time.Duration(m.Left)*time.Millisecond, repeat: m.Repeat, remote: true, root: from,
		tag: m.Tag}
}

// asked finds a request that another gateway has asked for before: granted, or
// held here.
func (c *customer) asked(from int, tag uint32) (r *request, held bool) {
	if l, ok := c.leases[lease{from, tag}]; ok {
		return l.r, false
	}
	return nil, slices.ContainsFunc(c.held, func(r *request) bool {
		return r.remote && r.root == from && r.tag == tag
	})
}

// grant counts a member's request and tells it to go.
func (g *Gateway) grant(r *request) {
	c := r.c
	c.take(r)
	c.leases[lease{r.root, r.tag}] = leased{g.now + time.Duration(leaseAim*float64(r.cl.LatencyObjective)), r}
	c.count(g.now, 1)
	r.counted, r.over = true, true
	g.answer(r, granted)
}

func (g *Gateway) answer(r *request, v byte) {
	fill := small(250 * max(0, r.c.store) / max(1, r.c.plan.Burst))
	part := 1.0
	if r.c.store < retryReserve*r.c.plan.Burst {
		part = min(1, r.c.plan.Rate*demandSpan.Seconds()/max(r.c.rate, 1))
	}
	m := answer{r.tag, v, fill, small(100 * g.strain), small(250 * part)}
	g.do(SendPeerMessage{To: r.root, Data: encode(m)})
}

// expire drops the leases that have run out.
func (c *customer) expire(now time.Duration) {
	for l, v := range c.leases {
		if now > v.until {
			delete(c.leases, l)
			c.count(now, -1)
		}
	}
}

// onEnded frees what a member's attempt held, and gives back what it never used.
func (g *Gateway) onEnded(from int, m ended) {
	c := g.customers[m.Customer]
	if c == nil {
		return
	}
	l, ok := c.leases[lease{from, m.Tag}]
	if !ok {
		return
	}
	delete(c.leases, lease{from, m.Tag})
	c.count(g.now, -1)
	g.advance(c)
	if m.Unused {
		c.store = min(c.plan.Burst, c.store+l.r.units)
	}
	g.release(c)
}
