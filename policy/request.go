package policy

import "time"

// request is a client's request, or a remote request, for which another gateway requests a lease. A remote
// request is finished when its lease is granted or rejected, and never has an attempt at this gateway.
type request struct {
	id          RequestID // 0 for a remote request
	customer    *customer
	class       *requestClass
	units       float64
	arrivedAt   time.Duration
	deadline    time.Duration
	clientRetry bool
	remote      bool
	charged     bool // the units have been taken from the buckets
	done        bool // the final response has been given, or the client has disconnected

	lease      leaseState
	attempts   int          // started so far
	current    attemptState // the attempt in flight or, once that has ended, the last one
	lastServer *server      // server of the last attempt; nil before the first
	firstRun   runState     // the first attempt that may have run
}

// leaseState is the state of a request's lease. For a remote request only key is used.
type leaseState struct {
	key            leaseKey
	chance         float64 // probability with which a lease was requested at all; see leaseChance
	requests       int     // lease requests sent
	requestedAt    time.Duration
	waitUntil      time.Duration // when waiting for the response ends
	queuedAtLeader bool
	granted        bool
}

// leaseKey identifies a lease: the gateway at its other end (the leader for a local request, the requester
// for a remote one) and a tag assigned by the requester.
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

// runState describes the first attempt that may have run. It determines which servers drop repeats, and
// until when.
type runState struct {
	happened bool
	zone     string
	cell     int
	at       time.Duration
}

// newLocalRequest registers a client's request. A request of a class that is not in the settings counts as
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

// newRemoteRequest returns the remote request for a lease request of another gateway.
func (g *Gateway) newRemoteRequest(c *customer, from int, m leaseRequest) *request {
	return &request{
		customer:    c,
		class:       g.classes[g.settings.Classes[m.Class].Name],
		units:       m.Units,
		arrivedAt:   g.now,
		deadline:    g.now + time.Duration(m.RemainingMS)*time.Millisecond,
		clientRetry: m.ClientRetry,
		remote:      true,
		lease:       leaseState{key: leaseKey{from, m.Tag}},
	}
}

// finish marks a request as done, removes it from its queue, and deletes it once no attempt is in flight.
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

// rejectionIsHarmless reports whether a retry by the client is harmless: no attempt has run, or a second run
// is harmless or prevented by the servers.
func (r *request) rejectionIsHarmless() bool {
	switch {
	case !r.firstRun.happened || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentWithKey:
		return r.class.DedupScope == DedupAllServers
	}
	return false
}
