package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	holdAim    = 0.5 // a request is held for this part of its aim
	pressedFor = 200 * time.Millisecond
)

type request struct {
	id       RequestID
	c        *customer
	cl       *class
	units    float64
	arrived  time.Duration
	deadline time.Duration
	attempts int
	srv      *server // of the attempt out; nil when none is
	sentAt   time.Duration
	load     float64 // the server's when sent to
	counted  bool    // has taken its units
	ran      bool    // an attempt may have run
	ranZone  string  // where and since when, for keyed classes
	ranCell  int
	ranAt    time.Duration
	over     bool
	stream   bool
	quit     bool    // its attempt was cancelled
	asks     float64 // with what chance it was asked for
	repeat   bool    // the client marked it as one
	remote   bool    // came in at the gateway root, which asks for it
	root     int     // the gateway asked for it
	tag      uint32  // by this name
	asked    int     // how often
	askedAt  time.Duration
	until    time.Duration // an answer is waited for until then
	waits    bool          // held there
	granted  bool
	last     *server // of the attempt before
}

// arrive enters a client's request. One of a class not in the settings is
// taken for unsafe.
func (g *Gateway) arrive(ev Request) *request {
	c, cl := g.customer(&ev), g.classes[ev.Class]
	if cl == nil {
		cl = &class{Class: Class{LatencyObjective: ev.Remaining, Idempotency: NonIdempotent}, mean: g.mean}
	}
	g.advance(c)
	r := &request{id: ev.ID, c: c, cl: cl, units: ev.Units, arrived: g.now, repeat: ev.ClientRetry,
		deadline: g.now + ev.Remaining}
	g.reqs[r.id], c.seen = r, g.now
	return r
}

func (g *Gateway) onRequest(r *request) {
	c := r.c
	c.rate += r.units
	// With no time left any wait is too long.
	if late := r.deadline-g.now <= 2*g.set.Resolution; late || g.rng.Float64() > g.gate {
		g.refuse(r, either(late, ReasonNoTime, ReasonLoadShed))
		return
	}
	if len(c.ask) == 0 {
		g.admit(r)
		return
	}
	// Of a customer far above its quota only the part that fits is asked for:
	// its root could not take in all its asks, nor those of others then. Harms
	// for as long as thinSpan when the customer stops asking for more.
	r.asks = 1
	if c.plan.Rate > 0 && c.told > 0 {
		r.asks = min(1, c.part+(g.now-c.partAt).Seconds()/thinSpan.Seconds())
	}
	if g.rng.Float64() > r.asks {
		g.refuse(r, ReasonQuotaExceeded)
		return
	}
	g.ask(r)
}

// admit lets a request pass, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.c
	c.fresh = repeatTicks
	// A client's repeat is often late. It gives way to first tries while requests
	// wait for servers or the store is low. Guards against retry storms; harms
	// where repeats come soon and aims are long.
	scarce := c.plan.Rate > 0 && g.allowance(c) < r.units+retryReserve*c.plan.Burst
	if within := g.within(r); !within || r.repeat && (scarce || !r.remote && g.pressed()) {
		g.refuse(r, either(within, ReasonLoadShed, g.over(r)))
		return
	}
	if len(c.held) == 0 && g.room(c, true) && g.try(r) {
		return
	}
	g.hold(r)
	if r.remote && !r.over {
		g.answer(r, waits)
	}
}

// pressed tells whether a request lacked a server in the last moment.
func (g *Gateway) pressed() bool { return g.lackAt > 0 && g.now-g.lackAt < pressedFor }

// refuse gives the final answer: a refusal where a retry is harmless.
func (g *Gateway) refuse(r *request, why Reason) {
	if r.remote {
		g.answer(r, refused+byte(why)<<reasonShift)
	} else if r.ran && r.cl.Idempotency != Idempotent &&
		!(r.cl.Idempotency == IdempotentWithKey && r.cl.DedupScope == DedupAllServers) {
		g.do(Fail{r.id, why})
	} else {
		g.do(Reject{r.id, g.set.MaxRetryAfter, why})
	}
	g.close(r)
}

// lacking says what a held request waited for: a place under its customer's
// cap, or a server.
func (g *Gateway) lacking(r *request) Reason {
	if !g.room(r.c, false) {
		return ReasonInFlightLimit
	}
	return either(r.ran, ReasonAttemptsExhausted, ReasonNoServer)
}

func (g *Gateway) close(r *request) {
	r.over = true
	if i := slices.Index(r.c.held, r); i >= 0 {
		g.unhold(r.c, i)
	}
	if r.remote || r.srv != nil {
		return
	}
	delete(g.reqs, r.id)
	delete(g.asks, r.tag)
	if r.granted && (r.c.plan.MaxInFlight > 0 || !r.counted) {
		r.granted = false
		g.do(SendPeerMessage{To: r.root, Data: encode(ended{r.c.key, r.tag, !r.counted})})
	}
}

// hold puts a request in its customer's queue. What no tick could answer in
// time is answered now.
func (g *Gateway) hold(r *request) {
	if g.now+g.tick+2*g.set.Resolution >= r.deadline {
		g.refuse(r, g.lacking(r))
		return
	}
	g.queue(r)
}

// queue puts a request in its customer's queue, one with units taken first.
func (g *Gateway) queue(r *request) {
	if len(r.c.held) == 0 {
		g.waiting = append(g.waiting, r.c)
	}
	if r.counted {
		r.c.held = slices.Insert(r.c.held, 0, r)
	} else {
		r.c.held = append(r.c.held, r)
	}
}

// unhold takes the i-th request out of its customer's queue.
func (g *Gateway) unhold(c *customer, i int) {
	c.held = slices.Delete(c.held, i, i+1)
	c.fresh = repeatTicks
	if len(c.held) == 0 {
		g.waiting = slices.DeleteFunc(g.waiting, func(w *customer) bool { return w == c })
	}
}

// drain sends up to n of a customer's held requests, oldest first. It is false
// when no server had room.
func (g *Gateway) drain(c *customer, n int) bool {
	for ; n > 0 && len(c.held) > 0; n-- {
		r := c.held[0]
		g.advance(c)
		if !g.within(r) {
			g.refuse(r, g.over(r))
			continue
		}
		if !g.room(c, false) {
			return true
		}
		if !g.try(r) {
			return false
		}
		g.unhold(c, 0)
	}
	return true
}

// release lets held requests go at an outcome: the customer's own while its
// live count and the heard means stay under the cap, then others that waited
// for a server.
func (g *Gateway) release(c *customer) {
	if !g.drain(c, 1<<30) || len(g.waiting) == 0 {
		return
	}
	rest := slices.Clone(g.waiting)
	slices.SortStableFunc(rest, func(a, b *customer) int {
		return cmp.Compare(a.held[0].arrived, b.held[0].arrived)
	})
	for _, w := range rest {
		if w != c && !g.drain(w, 1) {
			return
		}
	}
}

// age refuses held requests that can no longer meet their aim, while a retry
// can still help, and in any case before the deadline.
func (g *Gateway) age(c *customer) {
	for _, r := range slices.Clone(c.held) {
		longest := time.Duration(holdAim * float64(r.cl.LatencyObjective))
		if g.now-r.arrived > longest || g.now+2*g.tick >= r.deadline {
			g.refuse(r, g.lacking(r))
		}
	}
}
