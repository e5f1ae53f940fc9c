package policy

import "time"

const (
	// retryBudgetEarned is what each first attempt adds to the retry budget; a retry costs 1. It bounds
	// retries to this share of the requests, so that they do not feed an overload.
	retryBudgetEarned = 0.15

	// maxRetryBudget bounds the retry budget, in retries.
	maxRetryBudget = 12.0
)

// retryBudget is the number of retries that may be made now.
type retryBudget float64

func (b *retryBudget) earn() { *b = min(maxRetryBudget, *b+retryBudgetEarned) }

func (b *retryBudget) spend() { *b-- }

// takeRetry reports whether a request may have another attempt, and charges it to the retry budget.
// Attempts that never reached a server's queue are free.
func (g *Gateway) takeRetry(r *request, code ResultCode) bool {
	expected := time.Duration(r.class.idleLatency / 2 * float64(time.Second))
	if g.attemptsExhausted(r) || !r.mayRunAgain(g.now) || g.now+expected > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Rejected {
		g.retryBudget.spend()
	}
	return g.retryBudget >= 0
}

func (g *Gateway) attemptsExhausted(r *request) bool {
	return g.settings.MaxAttempts > 0 && r.attempts >= g.settings.MaxAttempts
}

// mayRunAgain reports whether some server may get another attempt.
func (r *request) mayRunAgain(now time.Duration) bool {
	if !r.firstRun.happened {
		return true
	}
	switch r.class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		return r.inDedupWindow(now)
	}
	return true
}

// mayRunAgainAt reports whether a server drops the attempt if the request has run before, where that is
// required.
func (r *request) mayRunAgainAt(s *server, now time.Duration) bool {
	if !r.firstRun.happened || r.class.Idempotency != IdempotentWithKey {
		return true
	}
	return r.inDedupWindow(now) && r.inDedupScope(s)
}

func (r *request) inDedupWindow(now time.Duration) bool {
	return now-r.firstRun.at < r.class.DedupWindow
}

func (r *request) inDedupScope(s *server) bool {
	switch r.class.DedupScope {
	case DedupZone:
		return s.Zone == r.firstRun.zone
	case DedupCell:
		return s.Cell == r.firstRun.cell
	}
	return true
}
