package authz

import (
	"cmp"
	"slices"
	"time"
)

// maxQueueLength is the maximum number of requests that wait for a check. Further requests are
// resolved by the fallback immediately.
const maxQueueLength = 4096

// requestQueue is the queue of requests that wait for a check, the next one first.
type requestQueue struct{ requests []*pendingRequest }

func (q *requestQueue) len() int { return len(q.requests) }

// compareInQueue orders requests: customers within their quota first, then the highest priority
// weight, then classes that fail closed before classes that fail open, then the oldest request.
// Requests of classes with the mode Skip are never queued.
func compareInQueue(a, b *pendingRequest) int {
	return cmp.Or(
		compareBool(a.overQuota, b.overQuota),
		cmp.Compare(b.class.PriorityWeight, a.class.PriorityWeight),
		compareBool(a.class.Mode == FailOpen, b.class.Mode == FailOpen),
		a.startedAt.Compare(b.startedAt),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (q *requestQueue) push(r *pendingRequest) {
	i, _ := slices.BinarySearchFunc(q.requests, r, compareInQueue)
	q.requests = slices.Insert(q.requests, i, r)
	r.queued = true
}

// first returns the next request, or nil.
func (q *requestQueue) first() *pendingRequest {
	if len(q.requests) == 0 {
		return nil
	}
	return q.requests[0]
}

// remove removes a request, if it is in the queue.
func (q *requestQueue) remove(r *pendingRequest) {
	if !r.queued {
		return
	}
	r.queued = false
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
}

// removeAll empties the queue, and returns the removed requests in order.
func (q *requestQueue) removeAll() []*pendingRequest {
	removed := q.requests
	q.requests = nil
	for _, r := range removed {
		r.queued = false
	}
	return removed
}

// removeLate removes the requests whose time left is too short for a check, and returns them in
// order.
func (q *requestQueue) removeLate(now time.Time) (late []*pendingRequest) {
	q.requests = slices.DeleteFunc(q.requests, func(r *pendingRequest) bool {
		if r.timeLeft(now) >= minCheckTimeout {
			return false
		}
		r.queued = false
		late = append(late, r)
		return true
	})
	return late
}

// earliestDeadline returns the earliest deadline of the queued requests. The queue must not be empty.
func (q *requestQueue) earliestDeadline() time.Time {
	earliest := q.requests[0].deadline
	for _, r := range q.requests[1:] {
		if r.deadline.Before(earliest) {
			earliest = r.deadline
		}
	}
	return earliest
}
