package authz

import "time"

// noAddress means that a request has no check in flight, or has had no check yet.
const noAddress = -1

// pendingRequest is an unresolved request. It is in the queue or has a check in flight.
type pendingRequest struct {
	Request
	class       *classState
	startedAt   time.Time
	deadline    time.Time // without a result by then, the request is resolved by the fallback
	overQuota   bool
	attempts    int  // number of checks sent
	address     int  // address of the check in flight, or noAddress
	lastAddress int  // address of the last check, or noAddress
	isProbe     bool // the check in flight is a probe of its address
	queued      bool
	unreachable bool // a check failed, or no address accepted one
}

func (r *pendingRequest) inFlight() bool { return r.address != noAddress }

// timeLeft returns the remaining time for checks.
func (r *pendingRequest) timeLeft(now time.Time) time.Duration { return r.deadline.Sub(now) }

func (r *pendingRequest) cacheKey() cacheKey {
	return cacheKey{customer: r.Customer, class: r.Class, resource: r.Resource}
}
