package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	queueTimeShare       = 0.5 // a request is held for this part of its aim
	serverShortageMemory = 200 * time.Millisecond
)

type request struct {
	id               RequestID
	customer         *customer
	class            *requestClass
	units            float64
	arrivedAt        time.Duration
	deadline         time.Duration
	attempts         int
	server           *server // of the attempt out; nil when none is
	sentAt           time.Duration
	loadAtSend       float64 // the server's when sent to
	charged          bool    // has taken its units
	mayHaveRun       bool    // an attempt may have run
	firstRunZone     string  // where and since when, for keyed classes
	firstRunCell     int
	firstRunAt       time.Duration
	done             bool
	responseStarted  bool
	cancelRequested  bool    // its attempt was cancelled
	leaseChance      float64 // with what chance it was asked for
	clientRetry      bool    // the client marked it as one
	remote           bool    // came in at the gateway root, which asks for it
	leader           int     // the gateway asked for it
	leaseTag         uint32  // by this name
	leaseAttempts    int     // how often
	leaseRequestedAt time.Duration
	leaseWaitUntil   time.Duration // an answer is waited for until then
	queuedAtLeader   bool          // held there
	leaseGranted     bool
	lastServer       *server // of the attempt before
}

// newLocalRequest enters a client's request. One of a class not in the settings is
// taken for unsafe.
func (g *Gateway) newLocalRequest(ev Request) *request {
	c, cl := g.customerOf(&ev), g.classes[ev.Class]
	if cl == nil {
		cl = &requestClass{Class: Class{LatencyObjective: ev.Remaining, Idempotency: NonIdempotent},
			idleLatency: g.idleLatency}
	}
	g.refill(c)
	r := &request{id: ev.ID, customer: c, class: cl, units: ev.Units, arrivedAt: g.now,
		clientRetry: ev.ClientRetry,
		deadline:    g.now + ev.Remaining}
	g.requests[r.id], c.lastRequestAt = r, g.now
	return r
}

func (g *Gateway) handleRequest(r *request) {
	c := r.customer
	c.demand += r.units
	// With no time left any wait is too long.
	if late := r.deadline-g.now <= 2*g.settings.Resolution; late || g.rng.Float64() > g.admitProbability {
		g.reject(r, either(late, ReasonNoTime, ReasonLoadShed))
		return
	}
	if len(c.leaders) == 0 {
		g.admit(r)
		return
	}
	// Of a customer far above its quota only the part that fits is asked for:
	// its root could not take in all its asks, nor those of others then. Harms
	// for as long as thinSpan when the customer stops asking for more.
	r.leaseChance = 1
	if c.plan.Rate > 0 && c.lastExchangeTick > 0 {
		r.leaseChance = min(1,
			c.admittedShare+(g.now-c.admittedShareAt).Seconds()/admittedShareTTL.Seconds())
	}
	if g.rng.Float64() > r.leaseChance {
		g.reject(r, ReasonQuotaExceeded)
		return
	}
	g.requestLease(r)
}

// admit lets a request pass, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.customer
	c.pendingReports = reportRepeats
	// A client's repeat is often late. It gives way to first tries while requests
	// wait for servers or the store is low. Guards against retry storms; harms
	// where repeats come soon and aims are long.
	scarce := c.plan.Rate > 0 && g.spendableTokens(c) < r.units+firstAttemptReserve*c.plan.Burst
	if within := g.withinQuota(r); !within || r.clientRetry && (scarce || !r.remote && g.serverShortage()) {
		g.reject(r, either(within, ReasonLoadShed, g.quotaRejection(r)))
		return
	}
	if len(c.queued) == 0 && g.hasInFlightRoom(c, true) && g.startAttempt(r) {
		return
	}
	g.enqueue(r)
	if r.remote && !r.done {
		g.sendLeaseResponse(r, leaseQueued)
	}
}

// serverShortage tells whether a request lacked a server in the last moment.
func (g *Gateway) serverShortage() bool {
	return g.lastShortageAt > 0 && g.now-g.lastShortageAt < serverShortageMemory
}

// reject gives the final answer: a refusal where a retry is harmless.
func (g *Gateway) reject(r *request, why Reason) {
	if r.remote {
		g.sendLeaseResponse(r, leaseRejected+byte(why)<<reasonShift)
	} else if r.mayHaveRun && r.class.Idempotency != Idempotent &&
		!(r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAllServers) {
		g.do(Fail{r.id, why})
	} else {
		g.do(Reject{r.id, g.settings.MaxRetryAfter, why})
	}
	g.finish(r)
}

// queueRejection says what a held request waited for: a place under its customer's
// cap, or a server.
func (g *Gateway) queueRejection(r *request) Reason {
	if !g.hasInFlightRoom(r.customer, false) {
		return ReasonInFlightLimit
	}
	return either(r.mayHaveRun, ReasonAttemptsExhausted, ReasonNoServer)
}

func (g *Gateway) finish(r *request) {
	r.done = true
	if i := slices.Index(r.customer.queued, r); i >= 0 {
		g.removeQueued(r.customer, i)
	}
	if r.remote || r.server != nil {
		return
	}
	delete(g.requests, r.id)
	delete(g.pendingLeases, r.leaseTag)
	if r.leaseGranted && (r.customer.plan.MaxInFlight > 0 || !r.charged) {
		r.leaseGranted = false
		g.do(SendPeerMessage{To: r.leader, Data: encode(leaseReturn{r.customer.key, r.leaseTag,
			!r.charged})})
	}
}

// enqueue puts a request in its customer's queue. What no tick could answer in
// time is answered now.
func (g *Gateway) enqueue(r *request) {
	if g.now+g.tickInterval+2*g.settings.Resolution >= r.deadline {
		g.reject(r, g.queueRejection(r))
		return
	}
	g.insertQueued(r)
}

// insertQueued puts a request in its customer's queue, one with units taken first.
func (g *Gateway) insertQueued(r *request) {
	if len(r.customer.queued) == 0 {
		g.queuedCustomers = append(g.queuedCustomers, r.customer)
	}
	if r.charged {
		r.customer.queued = slices.Insert(r.customer.queued, 0, r)
	} else {
		r.customer.queued = append(r.customer.queued, r)
	}
}

// removeQueued takes the i-th request out of its customer's queue.
func (g *Gateway) removeQueued(c *customer, i int) {
	c.queued = slices.Delete(c.queued, i, i+1)
	c.pendingReports = reportRepeats
	if len(c.queued) == 0 {
		g.queuedCustomers = slices.DeleteFunc(g.queuedCustomers, func(w *customer) bool { return w == c })
	}
}

// releaseQueued sends up to n of a customer's held requests, oldest first. It is false
// when no server had room.
func (g *Gateway) releaseQueued(c *customer, n int) bool {
	for ; n > 0 && len(c.queued) > 0; n-- {
		r := c.queued[0]
		g.refill(c)
		if !g.withinQuota(r) {
			g.reject(r, g.quotaRejection(r))
			continue
		}
		if !g.hasInFlightRoom(c, false) {
			return true
		}
		if !g.startAttempt(r) {
			return false
		}
		g.removeQueued(c, 0)
	}
	return true
}

// releaseAfterResult lets held requests go at an outcome: the customer's own while its
// live count and the heard means stay under the cap, then others that waited
// for a server.
func (g *Gateway) releaseAfterResult(c *customer) {
	if !g.releaseQueued(c, 1<<30) || len(g.queuedCustomers) == 0 {
		return
	}
	rest := slices.Clone(g.queuedCustomers)
	slices.SortStableFunc(rest, func(a, b *customer) int {
		return cmp.Compare(a.queued[0].arrivedAt, b.queued[0].arrivedAt)
	})
	for _, w := range rest {
		if w != c && !g.releaseQueued(w, 1) {
			return
		}
	}
}

// rejectExpired refuses held requests that can no longer meet their aim, while a retry
// can still help, and in any case before the deadline.
func (g *Gateway) rejectExpired(c *customer) {
	for _, r := range slices.Clone(c.queued) {
		longest := time.Duration(queueTimeShare * float64(r.class.LatencyObjective))
		if g.now-r.arrivedAt > longest || g.now+2*g.tickInterval >= r.deadline {
			g.reject(r, g.queueRejection(r))
		}
	}
}
