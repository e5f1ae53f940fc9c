package policy

import "time"

const (
	// retryBudgetPerFirstAttempt is the number of retries that each first attempt adds to the retry budget.
	// It bounds retries to this share of the requests, so that they do not increase an overload.
	retryBudgetPerFirstAttempt = 0.15

	// maxRetryBudget is the upper bound of the retry budget, in retries.
	maxRetryBudget = 12.0
)

// retryBudget is the number of retries that may be made now.
type retryBudget float64

func (b *retryBudget) earn() { *b = min(maxRetryBudget, *b+retryBudgetPerFirstAttempt) }

// trySpend charges one retry, if the budget covers it, and reports whether it does.
func (b *retryBudget) trySpend() bool {
	if *b < 1 {
		return false
	}
	*b--
	return true
}

// takeRetry reports whether a request gets another attempt after one that ended with code, and charges the
// retry budget for it. A retry after an attempt that never reached a server's queue is free.
func (g *Gateway) takeRetry(r *request, code ResultCode) bool {
	return g.mayRetry(r) && (retryIsFree(code) || g.retryBudget.trySpend())
}

// retryIsFree reports whether a retry after the result costs no budget, because the attempt has added no load
// to a server. A retry after a rejection does cost: otherwise retries would increase the overload that the
// rejection indicates.
func retryIsFree(code ResultCode) bool { return code.NeverRan() && code != Rejected }

// mayRetry reports whether the number of attempts, the idempotency and the remaining time permit another
// attempt.
func (g *Gateway) mayRetry(r *request) bool {
	expected := time.Duration(r.class.idleLatency / 2 * float64(time.Second))
	return !g.attemptsExhausted(r) && r.mayRunAgain(g.now) && g.now+expected <= r.deadline
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

// mayRunAgainAt reports whether an attempt at a server is safe: if the request may have run before and is
// IdempotentWithKey, the server must be one that drops the repeat.
func (r *request) mayRunAgainAt(s *server, now time.Duration) bool {
	if !r.firstRun.happened || r.class.Idempotency != IdempotentWithKey {
		return true
	}
	return r.inDedupWindow(now) && r.inDedupScope(s)
}

// inDedupWindow reports whether an attempt that is decided on now can still be sent within the dedup window.
func (r *request) inDedupWindow(now time.Duration) bool {
	return now-r.firstRun.at < r.class.sendWindow
}

// timeToSend returns the time within which an attempt must be sent, or 0 if there is no limit. The
// decision alone does not keep the dedup window: a connection may have to come up before the write.
func (r *request) timeToSend(now time.Duration) time.Duration {
	if !r.firstRun.happened || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return r.firstRun.at + r.class.sendWindow - now
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
