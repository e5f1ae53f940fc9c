package edgenode

import (
	"sync"
	"time"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// openRequests keeps the IDs of requests, so that none runs twice. Its methods may be called from any goroutine.
type openRequests struct {
	hasEffect map[string]bool // whether requests of a class have an effect, by its name

	mu  sync.Mutex
	ids requestIDs
}

func newOpenRequests(classes []policy.Class) *openRequests {
	o := &openRequests{hasEffect: map[string]bool{}, ids: newRequestIDs()}
	for _, class := range classes {
		o.hasEffect[class.Name] = class.Idempotency != policy.Idempotent
	}
	return o
}

// add adds the ID of a request. It returns false if a request with the ID must not run.
func (o *openRequests) add(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ids.begin(id, time.Now())
}

// remove records that a request has ended.
func (o *openRequests) remove(r *node.Request, mayHaveRun bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ids.end(r.Trace, mayHaveRun && o.hasEffect[r.Class], time.Now())
}

// count returns the number of requests in progress.
func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ids.inProgress)
}
