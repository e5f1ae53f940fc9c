package authz

import "time"

// noAddress is the address of a request that has no check in flight, or had none yet.
const noAddress = -1

// pendingRequest is a request that is not resolved: it waits in the queue, or has a check in
// flight.
type pendingRequest struct {
	Request
	class       *classState
	startedAt   time.Time
	deadline    time.Time // without a result by then, the fallback decides
	overQuota   bool
	attempts    int  // checks sent
	address     int  // of the check in flight, or noAddress
	lastAddress int  // of the latest check, or noAddress
	isProbe     bool // the check in flight is a probe of its address
	queued      bool
	unreachable bool // a check failed, or no address accepted one
}

func (r *pendingRequest) inFlight() bool { return r.address != noAddress }

// timeLeft is the time for checks that is left at a moment.
func (r *pendingRequest) timeLeft(now time.Time) time.Duration { return r.deadline.Sub(now) }

func (r *pendingRequest) cacheKey() cacheKey {
	return cacheKey{customer: r.Customer, class: r.Class, resource: r.Resource}
}
