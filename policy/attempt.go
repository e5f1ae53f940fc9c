package policy

import (
	"slices"
	"time"
)

// startAttempt sends the request to a server if one has room for it.
func (g *Gateway) startAttempt(r *request) bool {
	if r.remote {
		g.grantLease(r)
		return true
	}
	s := g.selectServer(r)
	if s == nil {
		g.lastShortageAt = g.now
		return false
	}
	c := r.customer
	if !r.charged {
		r.charged = true
		c.charge(r)
		g.retryBudget = min(maxRetryBudget, g.retryBudget+retryBudgetEarned)
	}
	c.pendingReports = reportRepeats
	g.recordAttemptStart(r, s)
	if g.warmFraction(s) < 1 {
		s.coldSends = append(s.coldSends, g.now)
	} else {
		g.warmSendRate++
	}
	var timeout time.Duration
	if !g.settings.CanCancel && r.class.Idempotency == Idempotent && !r.class.Streaming {
		timeout = max(r.class.LatencyObjective*3/5, r.deadline-g.now-r.class.LatencyObjective)
	}
	g.do(StartAttempt{ID: r.id, Server: s.ID, Timeout: timeout})
	return true
}

// recordAttemptStart and ended keep the lists of attempts out.
func (g *Gateway) recordAttemptStart(r *request, s *server) {
	r.customer.addInFlight(g.now, 1)
	r.server, r.lastServer, r.sentAt, r.loadAtSend, r.cancelRequested = s, s, g.now, g.loadAt(s), false
	r.attempts++
	s.inFlight, g.inFlight = s.inFlight+1, g.inFlight+1
	s.attempts = append(s.attempts, r)
}

func (g *Gateway) handleAttemptResult(ev AttemptResult) {
	r := g.requests[ev.ID]
	if r == nil || r.server == nil || ev.Attempt != r.attempts-1 {
		return
	}
	s, c := r.server, r.customer
	g.refill(c)
	c.pendingReports = reportRepeats
	g.recordAttemptEnd(r, ev.Code)
	g.learnFromResult(s, r, ev)
	if ev.Code == OK && ev.ActualUnits > 0 && ev.ActualUnits != r.units {
		c.settle(ev.ActualUnits - r.units)
	}
	switch {
	case r.done || ev.Answered || ev.Code == OK:
		g.finish(r)
	case ev.Code == TooLate || g.now >= r.deadline || !g.mayRetry(r, ev.Code):
		g.reject(r, ReasonAttemptsExhausted)
	case !g.hasInFlightRoom(c, false) || !g.startAttempt(r):
		g.enqueue(r)
	}
	g.releaseAfterResult(c)
}

func (g *Gateway) recordAttemptEnd(r *request, code ResultCode) {
	s := r.server
	if !code.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.firstRunZone, r.firstRunCell, r.firstRunAt = true, s.Zone, s.Cell, r.sentAt
	}
	r.server, r.responseStarted = nil, false
	s.inFlight, g.inFlight = s.inFlight-1, g.inFlight-1
	r.customer.addInFlight(g.now, -1)
	if i := slices.Index(s.attempts, r); i >= 0 {
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
}
