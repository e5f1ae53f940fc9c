package policy

import (
	"time"
)

const (
	retryEarn, retryCap = 0.15, 12.0 // retry budget earned by each first attempt, most kept
)

// again decides whether a request may have a further attempt. Where it may go
// is usable's to say. The budget keeps retries from feeding an overload.
func (g *Gateway) again(r *request, code ResultCode) bool {
	if g.set.MaxAttempts > 0 && r.attempts >= g.set.MaxAttempts ||
		r.ran && (r.cl.Idempotency == NonIdempotent ||
			r.cl.Idempotency == IdempotentWithKey && g.now-r.ranAt >= r.cl.DedupWindow) ||
		g.now+time.Duration(r.cl.mean/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Rejected {
		g.budget--
	}
	return g.budget >= 0
}

// sameGroup tells whether a server drops repeats of what may have run.
func (r *request) sameGroup(s *server) bool {
	return (r.cl.DedupScope != DedupZone || s.Zone == r.ranZone) &&
		(r.cl.DedupScope != DedupCell || s.Cell == r.ranCell)
}
