package edgenode

import "time"

const (
	// idRetention is how long the ID of a request that may have had an effect is refused after the request has ended. A
	// client that has left may send its request once more.
	idRetention = 30 * time.Second

	// maxRetainedIDs is the number of these IDs; beyond it the oldest are forgotten.
	maxRetainedIDs = 4096
)

// requestIDs is the IDs of requests that must not run now, because one with the same ID is in progress or has run. It
// has no I/O and is not safe for concurrent use.
type requestIDs struct {
	inProgress map[string]bool
	retained   map[string]bool
	queue      []retainedID // of retained, in the order in which they expire
}

// retainedID is the ID of a request that has ended.
type retainedID struct {
	id      string
	expires time.Time
}

func newRequestIDs() requestIDs {
	return requestIDs{inProgress: map[string]bool{}, retained: map[string]bool{}}
}

// begin adds the ID of a request. It returns false if a request with the ID must not run.
func (r *requestIDs) begin(id string, now time.Time) bool {
	r.forget(now)
	if r.inProgress[id] || r.retained[id] {
		return false
	}
	r.inProgress[id] = true
	return true
}

// end records that a request in progress has ended. Its ID is retained if it may have had an effect.
func (r *requestIDs) end(id string, hadEffect bool, now time.Time) {
	delete(r.inProgress, id)
	if !hadEffect || r.retained[id] {
		return
	}
	r.retained[id] = true
	r.queue = append(r.queue, retainedID{id, now.Add(idRetention)})
	r.forget(now)
}

// forget forgets the IDs that have expired, and the oldest beyond maxRetainedIDs.
func (r *requestIDs) forget(now time.Time) {
	for len(r.queue) > maxRetainedIDs || len(r.queue) > 0 && !now.Before(r.queue[0].expires) {
		delete(r.retained, r.queue[0].id)
		r.queue = r.queue[1:]
	}
}
