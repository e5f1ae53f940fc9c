package policy

import (
	"time"
)

const (
	retryBudgetEarned, maxRetryBudget = 0.15, 12.0 // retry budget earned by each first attempt, most kept
)

// mayRetry decides whether a request may have a further attempt. Where it may go
// is usable's to say. The budget keeps retries from feeding an overload.
func (g *Gateway) mayRetry(r *request, code ResultCode) bool {
	if g.settings.MaxAttempts > 0 && r.attempts >= g.settings.MaxAttempts ||
		r.mayHaveRun && (r.class.Idempotency == NonIdempotent ||
			r.class.Idempotency == IdempotentWithKey && g.now-r.firstRunAt >= r.class.DedupWindow) ||
		g.now+time.Duration(r.class.idleLatency/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Rejected {
		g.retryBudget--
	}
	return g.retryBudget >= 0
}

// inDedupScope tells whether a server drops repeats of what may have run.
func (r *request) inDedupScope(s *server) bool {
	return (r.class.DedupScope != DedupZone || s.Zone == r.firstRunZone) &&
		(r.class.DedupScope != DedupCell || s.Cell == r.firstRunCell)
}
