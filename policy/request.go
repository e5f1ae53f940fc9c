package policy

import "time"

// request is a client's request, or one that another gateway requests a lease for. A remote request is
// finished with the grant or the rejection of its lease: it never has an attempt here.
type request struct {
	id          RequestID // 0 for a remote request
	customer    *customer
	class       *requestClass
	units       float64
	arrivedAt   time.Duration
	deadline    time.Duration
	clientRetry bool
	remote      bool
	charged     bool // its units are taken from the buckets
	done        bool // its final response is given, or the client has gone

	lease      leaseState
	attempts   int          // started so far
	current    attemptState // of the attempt in flight or, once that has ended, of the last one
	lastServer *server      // of the last attempt; nil before the first
	firstRun   runState
}

// leaseState is the state of a request's lease. Of a remote request only key is used.
type leaseState struct {
	key            leaseKey
	chance         float64 // with which a lease was requested at all
	requests       int     // lease requests sent
	requestedAt    time.Duration
	waitUntil      time.Duration // for the response
	queuedAtLeader bool
	granted        bool
}

// leaseKey names a lease: the gateway at its other end (the leader for a local request, the requester for
// a remote one) and a tag drawn by the requester.
type leaseKey struct {
	gateway int
	tag     uint32
}

// attemptState is the state of one attempt.
type attemptState struct {
	server          *server // nil once the attempt has ended
	sentAt          time.Duration
	loadAtSend      float64 // attempts in flight at the server when this one was sent
	responseStarted bool
	cancelRequested bool
}

// runState describes the first attempt that may have run, which fixes where and until when servers drop
// repeats.
type runState struct {
	happened bool
	zone     string
	cell     int
	at       time.Duration
}

// newLocalRequest registers a client's request. One of a class that is not in the settings is taken to be
// NonIdempotent.
func (g *Gateway) newLocalRequest(ev Request) *request {
	c := g.customerOf(&ev)
	class := g.classes[ev.Class]
	if class == nil {
		unknown := Class{LatencyObjective: ev.Remaining, Idempotency: NonIdempotent}
		class = &requestClass{Class: unknown, idleLatency: g.latency.idle}
	}
	g.refill(c)
	c.lastRequestAt = g.now
	r := &request{
		id:          ev.ID,
		customer:    c,
		class:       class,
		units:       ev.Units,
		arrivedAt:   g.now,
		deadline:    g.now + ev.Remaining,
		clientRetry: ev.ClientRetry,
	}
	g.requests[r.id] = r
	return r
}

// newRemoteRequest makes the request that another gateway requests a lease for.
func (g *Gateway) newRemoteRequest(c *customer, from int, m leaseRequest) *request {
	return &request{
		customer:    c,
		class:       g.classes[g.settings.Classes[m.Class].Name],
		units:       float64(m.Units),
		arrivedAt:   g.now,
		deadline:    g.now + time.Duration(m.RemainingMS)*time.Millisecond,
		clientRetry: m.ClientRetry,
		remote:      true,
		lease:       leaseState{key: leaseKey{from, m.Tag}},
	}
}

// finish ends a request: it leaves its queue, and is forgotten once it has no attempt in flight.
func (g *Gateway) finish(r *request) {
	r.done = true
	g.dequeue(r)
	if r.remote || r.current.server != nil {
		return
	}
	delete(g.requests, r.id)
	delete(g.leases.pending, r.lease.key.tag)
	g.returnLease(r)
}

// rejectionIsHarmless reports whether a client may retry the request without a second run.
func (r *request) rejectionIsHarmless() bool {
	switch {
	case !r.firstRun.happened || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentWithKey:
		return r.class.DedupScope == DedupAllServers
	}
	return false
}
