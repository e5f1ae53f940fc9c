package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// queueTimeShare is the longest time for which a request may be queued, as a share of its latency
	// objective.
	queueTimeShare = 0.5

	// serverShortageWindow is how long clients' retries are shed after a request found no server with
	// capacity.
	serverShortageWindow = 200 * time.Millisecond

	// allQueued is a release limit above any number of queued requests.
	allQueued = 1 << 30
)

// handleRequest sheds a request, admits it, or requests a lease for it.
func (g *Gateway) handleRequest(r *request) {
	c := r.customer
	c.demand += r.units
	if r.deadline-g.now <= g.timerMargin() {
		g.reject(r, ReasonNoTime)
		return
	}
	if g.rng.Float64() > g.shedder.admitProbability {
		g.reject(r, ReasonLoadShed)
		return
	}
	if c.keepsBuckets() {
		g.admit(r)
		return
	}
	r.lease.chance = g.leaseChance(c)
	if g.rng.Float64() > r.lease.chance {
		g.reject(r, ReasonQuotaExceeded)
		return
	}
	g.requestLease(r)
}

// timerMargin returns the remaining time below which a timer may fire after the deadline.
func (g *Gateway) timerMargin() time.Duration { return 2 * g.settings.Resolution }

// admit sends a request to a server (or grants the lease of a remote request), queues it, or rejects it.
func (g *Gateway) admit(r *request) {
	c := r.customer
	c.pendingReports = reportRepeats
	if !g.withinQuota(r) {
		g.reject(r, g.quotaRejection(r))
		return
	}
	if r.clientRetry && g.mustShedClientRetry(r) {
		g.reject(r, ReasonLoadShed)
		return
	}
	if len(c.queued) == 0 && g.hasRoomOnArrival(c) && g.startAttempt(r) {
		return
	}
	g.enqueue(r)
	if r.remote && !r.done {
		g.sendLeaseResponse(r, leaseQueued)
	}
}

// mustShedClientRetry reports whether a client's retry is shed in favor of first attempts, which prevents
// retry storms: the bucket is low or, for a local request, no server had capacity recently.
func (g *Gateway) mustShedClientRetry(r *request) bool {
	plan := r.customer.plan
	reserve := firstAttemptReserve * plan.Burst
	tokensAreLow := plan.Rate > 0 && g.spendableTokens(r.customer) < r.units+reserve
	return tokensAreLow || !r.remote && g.hasServerShortage()
}

// hasServerShortage reports whether a request found no server with capacity within the last
// serverShortageWindow.
func (g *Gateway) hasServerShortage() bool {
	lastAt := g.selector.lastShortageAt
	return lastAt > 0 && g.now-lastAt < serverShortageWindow
}

// reject gives the final response: Reject if a retry is harmless, Fail otherwise. For a remote request it
// sends a lease response instead.
func (g *Gateway) reject(r *request, reason Reason) {
	switch {
	case r.remote:
		g.sendLeaseResponse(r, leaseRejected+byte(reason)<<reasonShift)
	case r.rejectionIsHarmless():
		g.emit(Reject{ID: r.id, RetryAfter: g.settings.MaxRetryAfter, Reason: reason})
	default:
		g.emit(Fail{ID: r.id, Reason: reason})
	}
	g.finish(r)
}

// queueRejection returns the reason for rejecting a queued request: it waited for its customer's in-flight
// cap or for a server.
func (g *Gateway) queueRejection(r *request) Reason {
	switch {
	case !g.hasRoom(r.customer):
		return ReasonInFlightLimit
	case r.firstRun.happened:
		return ReasonAttemptsExhausted
	}
	return ReasonNoServer
}

// enqueue queues a request, or rejects it at once if its deadline would pass before the next tick. A request
// that is already charged is queued first, since it is retried.
func (g *Gateway) enqueue(r *request) {
	if g.now+g.tick.interval+g.timerMargin() >= r.deadline {
		g.reject(r, g.queueRejection(r))
		return
	}
	c := r.customer
	if len(c.queued) == 0 {
		g.customers.queued = append(g.customers.queued, c)
	}
	if r.charged {
		c.queued = slices.Insert(c.queued, 0, r)
	} else {
		c.queued = append(c.queued, r)
	}
}

// dequeue removes a request from its customer's queue, if it is queued.
func (g *Gateway) dequeue(r *request) {
	c := r.customer
	i := slices.Index(c.queued, r)
	if i < 0 {
		return
	}
	c.queued = slices.Delete(c.queued, i, i+1)
	c.pendingReports = reportRepeats
	if len(c.queued) == 0 {
		isCustomer := func(other *customer) bool { return other == c }
		g.customers.queued = slices.DeleteFunc(g.customers.queued, isCustomer)
	}
}

// releaseQueued starts attempts for up to limit queued requests of a customer, in queue order. Requests that
// exceed the quota are rejected and count towards limit. It returns false if no server had capacity.
func (g *Gateway) releaseQueued(c *customer, limit int) bool {
	for ; limit > 0 && len(c.queued) > 0; limit-- {
		r := c.queued[0]
		g.refill(c)
		if !g.withinQuota(r) {
			g.reject(r, g.quotaRejection(r))
			continue
		}
		if !g.hasRoom(c) {
			return true
		}
		if !g.startAttempt(r) {
			return false
		}
		g.dequeue(r)
	}
	return true
}

// releaseAfterResult releases queued requests when an attempt has ended: those of its customer while the cap
// permits it, then one of each other customer, the longest waiting first, while servers have capacity.
func (g *Gateway) releaseAfterResult(c *customer) {
	if !g.releaseQueued(c, allQueued) || len(g.customers.queued) == 0 {
		return
	}
	others := slices.Clone(g.customers.queued)
	slices.SortStableFunc(others, func(a, b *customer) int {
		return cmp.Compare(a.queued[0].arrivedAt, b.queued[0].arrivedAt)
	})
	for _, other := range others {
		if other != c && !g.releaseQueued(other, 1) {
			return
		}
	}
}

// serveQueue rejects expired requests in a customer's queue and releases others at a tick.
func (g *Gateway) serveQueue(c *customer) {
	g.refill(c)
	g.rejectExpired(c)
	if len(c.queued) > 0 {
		g.releaseQueued(c, g.releaseShare(c))
	}
}

// releaseShare returns the number of queued requests that this gateway releases at a tick: its share of the
// free in-flight capacity, by queue length, rounded at random so that the gateways together use all of it.
func (g *Gateway) releaseShare(c *customer) int {
	if c.plan.MaxInFlight == 0 {
		return allQueued
	}
	peerInFlight, peerQueued := g.peerLoad(c)
	free := float64(c.plan.MaxInFlight-c.inFlight.count) - peerInFlight
	share := free / (1 + peerQueued/float64(len(c.queued)))
	return int(math.Floor(max(share, 0) + g.rng.Float64()))
}

// rejectExpired rejects requests that have been queued for longer than queueTime, early enough for the client
// to retry, and those whose deadline is at most two ticks away.
func (g *Gateway) rejectExpired(c *customer) {
	for _, r := range slices.Clone(c.queued) {
		expired := g.now-r.arrivedAt > r.class.queueTime()
		nearDeadline := g.now+2*g.tick.interval >= r.deadline
		if expired || nearDeadline {
			g.reject(r, g.queueRejection(r))
		}
	}
}

// queueTime returns the longest time for which a request of the class is queued.
func (c *requestClass) queueTime() time.Duration {
	return time.Duration(queueTimeShare * float64(c.LatencyObjective))
}
