package edgenode

import (
	"sync"

	"yardcleat.example/yardcleat/node"
)

// openRequests is the set of the IDs of requests in progress. Its methods may be called from
// any goroutine.
type openRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

// add adds an ID to the set. It returns false if the ID is in the set already.
func (o *openRequests) add(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ids[id] {
		return false
	}
	o.ids[id] = true
	return true
}

// remove removes the ID of a finished request from the set.
func (o *openRequests) remove(r *node.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, r.Trace)
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ids)
}
