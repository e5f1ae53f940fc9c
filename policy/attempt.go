package policy

import (
	"slices"
	"time"
)

// attemptTimeoutNumerator over attemptTimeoutDenominator is the shortest timeout of an attempt, as a share of
// the latency objective, if attempts cannot be canceled.
const (
	attemptTimeoutNumerator   = 3
	attemptTimeoutDenominator = 5
)

// startAttempt sends a request to a server, and returns false if none has capacity. A remote request is
// granted its lease instead.
func (g *Gateway) startAttempt(r *request) bool {
	if r.remote {
		g.grantLease(r)
		return true
	}
	s := g.selectServer(r)
	if s == nil {
		g.selector.lastShortageAt = g.now
		return false
	}
	c := r.customer
	if !r.charged {
		r.charged = true
		c.charge(r)
		g.retryBudget.earn()
	}
	c.pendingReports = reportRepeats
	g.recordAttemptStart(r, s)
	g.countSend(s)
	sendWithin := r.timeToSend(g.now)
	g.emit(StartAttempt{ID: r.id, Server: s.ID, Timeout: g.attemptTimeout(r), SendWithin: sendWithin})
	return true
}

// attemptTimeout returns the timeout of an attempt; 0 means no limit but the request's deadline. It is
// above 0 only if a stalled attempt cannot be canceled but may be retried: the request is idempotent, and
// its response is not a stream, which a timeout could cut off. (mayCancel needs no such exception for
// streams, since an attempt whose response has started never counts as stalled.)
func (g *Gateway) attemptTimeout(r *request) time.Duration {
	mayTimeOut := r.class.Idempotency == Idempotent && !r.class.Streaming
	if g.settings.CanCancel || !mayTimeOut {
		return 0
	}
	objective := r.class.LatencyObjective
	shortest := objective * attemptTimeoutNumerator / attemptTimeoutDenominator
	return max(shortest, r.deadline-g.now-objective)
}

func (g *Gateway) recordAttemptStart(r *request, s *server) {
	r.customer.inFlight.add(g.now, 1)
	r.current = attemptState{server: s, sentAt: g.now, loadAtSend: s.load()}
	r.lastServer = s
	r.attempts++
	s.inFlight++
	s.attempts = append(s.attempts, r)
}

func (g *Gateway) recordAttemptEnd(r *request, code ResultCode) {
	s := r.current.server
	if !code.NeverRan() && !r.firstRun.happened {
		r.firstRun = runState{happened: true, zone: s.Zone, cell: s.Cell, at: r.current.sentAt}
	}
	r.current.server = nil
	r.current.responseStarted = false
	s.inFlight--
	r.customer.inFlight.add(g.now, -1)
	if i := slices.Index(s.attempts, r); i >= 0 {
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
}

// handleAttemptResult updates the statistics with an attempt that has ended, finishes or retries its request,
// and releases queued requests.
func (g *Gateway) handleAttemptResult(ev AttemptResult) {
	r := g.requests[ev.ID]
	if r == nil || r.current.server == nil || ev.Attempt != r.attempts-1 {
		return
	}
	c := r.customer
	s := r.current.server
	g.refill(c)
	c.pendingReports = reportRepeats
	g.recordAttemptEnd(r, ev.Code)
	g.learnFromResult(s, r, ev)
	if ev.Code == OK && ev.ActualUnits > 0 && ev.ActualUnits != r.units {
		c.settle(ev.ActualUnits - r.units)
	}
	g.continueRequest(r, ev)
	g.releaseAfterResult(c)
}

// continueRequest finishes, rejects, retries or queues a request whose attempt has ended.
func (g *Gateway) continueRequest(r *request, ev AttemptResult) {
	answered := r.done || ev.Answered || ev.Code == OK
	mustNotRetry := ev.Code == TooLate || ev.Code == NoConnection || g.now >= r.deadline
	switch {
	case answered:
		g.finish(r)
	case mustNotRetry || !g.takeRetry(r, ev.Code):
		g.reject(r, ReasonAttemptsExhausted)
	case !g.hasRoom(r.customer) || !g.startAttempt(r):
		g.enqueue(r)
	}
}

func (g *Gateway) handleResponseStarted(ev ResponseStarted) {
	r := g.requests[ev.ID]
	if r != nil && r.attempts == ev.Attempt+1 && r.current.server != nil {
		r.current.responseStarted = true
	}
}
