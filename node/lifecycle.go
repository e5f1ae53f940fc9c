package node

import (
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// Submit takes a try; reply is called once with its final answer, from the loop
// or at once, and must not block. The returned function says that the client
// has left.
func (n *Node) Submit(t *Request, reply func(FinalResponse)) (gone func()) {
	r := &request{try: t, reply: reply}
	at := n.o.Clock.Now()
	if !t.Arrived.IsZero() {
		at = t.Arrived.Sub(n.base)
	}
	n.mu.Lock()
	closing, full := n.closing, n.open >= n.o.MaxUnanswered
	if !closing && !full {
		// Under one lock with the look at closing: once that is set, the loop
		// empties the queue a last time.
		n.open++
		n.enqueue(item{pause.Asked, func() { n.begin(r, at) }})
	}
	n.mu.Unlock()
	if closing || full {
		why := ReasonOverload
		if closing {
			why = ReasonDraining
		}
		a := FinalResponse{Kind: Rejected, Reason: why, RetryAfter: n.o.Settings.MaxRetryAfter}
		n.line(t, a, 0, 0, "")
		n.forgotten(t)
		reply(a)
		return func() {}
	}
	return func() { n.post(pause.Left, func() { n.clientGone(r) }) }
}

// begin takes a request in: its deadline is set and its Check is sent.
func (n *Node) begin(r *request, at time.Duration) {
	n.nextID++
	r.id, r.taken = n.nextID, at
	r.deadline = at + max(r.try.ClientTimeout-n.o.ResponseMargin, r.try.ClientTimeout/2)
	n.reqs[r.id] = r
	if r.left || r.deadline <= n.now {
		// It waited for too long, or for nobody.
		a := FinalResponse{Kind: Rejected, Reason: ReasonNoTime, RetryAfter: n.o.Settings.MaxRetryAfter}
		if r.left {
			a = FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected}
		}
		n.answer(r, a)
		n.forget(r)
		return
	}
	r.timer = n.wheel.Add(r.deadline, func() { n.expire(r) })
	if n.o.Authz == nil {
		n.decide(r)
		return
	}
	r.state = authorising
	if n.nextID%4096 == 0 {
		n.o.Authz.Forget(n.wall())
	}
	t := r.try
	n.authorise(n.o.Authz.Begin(n.wall(), authz.Request{ID: uint64(r.id), Class: t.Class, Customer: t.Customer, Plan: t.Plan,
		Resource: t.Call.Method + " " + t.Call.Target, Remaining: r.deadline - n.now}))
}

// decide gives a request to the module.
func (n *Node) decide(r *request) {
	r.state = deciding
	t := r.try
	if n.o.UsageRecorder != nil {
		n.o.UsageRecorder.RequestSeen(t)
	}
	n.feed(policy.Request{ID: r.id, Customer: t.Customer, Plan: t.Plan, Class: t.Class, Units: t.Units,
		Remaining: r.deadline - n.now, FirstGateway: t.FirstGateway, GatewaySpread: t.GatewaySpread, ClientRetry: t.ClientRetry})
}

// expire comes at a request's deadline. An attempt that is out ends by its own
// timer, set for no later; the module has then a last word. This is the net
// below it all: one answer is owed in any case.
func (n *Node) expire(r *request) {
	if r.state == answered {
		return
	}
	if r.live {
		n.attemptEnded(r, r.attempts-1, Result{Code: policy.TimedOut, Detail: "no answer in time"})
	}
	// Also where the attempt's own timer has just run out, in the same step of the
	// wheel: the module's last word on that is not said yet.
	n.settle()
	if r.state == answered {
		return
	}
	if r.state == authorising {
		n.leaveCheck(r)
		n.answer(r, FinalResponse{Kind: Rejected, Reason: ReasonAuthorizationTimeout, RetryAfter: n.o.Settings.MaxRetryAfter})
		n.forget(r)
		return
	}
	n.o.Logger.Warn("the module gave no answer by the deadline", "trace", r.try.Trace, "class", r.try.Class)
	n.feed(policy.ClientDisconnected{ID: r.id})
	a := FinalResponse{Kind: Failed, Reason: ReasonNoTime}
	if r.attempts == 0 {
		a.Kind = Rejected // nothing ran
	}
	n.answer(r, a)
	n.done(r)
}

// clientGone comes when a client left before its answer. Nothing more is owed. An
// attempt that is out runs to its end, but for one whose request has not left yet: it
// may be in a dial that takes longer than the client's going, and must not begin after.
func (n *Node) clientGone(r *request) {
	if r.id == 0 {
		r.left = true // it is not begun yet
		return
	}
	if r.state == answered {
		return
	}
	n.leaveCheck(r)
	n.feed(policy.ClientDisconnected{ID: r.id})
	n.answer(r, FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected})
	if r.live && r.withdraw != nil && r.withdraw() {
		n.attemptEnded(r, r.attempts-1, Result{Code: policy.TooLate, Detail: "the client left before it was sent"})
	}
	n.done(r)
}

// answer gives the one final answer.
func (n *Node) answer(r *request, a FinalResponse) {
	if r.state == answered {
		return
	}
	r.state = answered
	r.timer.Stop()
	n.line(r.try, a, max(0, n.now-r.taken), r.attempts, r.detail)
	r.reply(a)
	n.mu.Lock()
	n.open--
	empty := n.open == 0
	n.mu.Unlock()
	if empty {
		select {
		case n.idle <- struct{}{}:
		default:
		}
	}
}

// done forgets a request that is answered and has no attempt out.
func (n *Node) done(r *request) {
	if r.state == answered && !r.live {
		n.forget(r)
	}
}

func (n *Node) forget(r *request) {
	r.timer.Stop()
	delete(n.reqs, r.id)
	n.forgotten(r.try)
}

func (n *Node) forgotten(t *Request) {
	if n.o.OnRequestDone != nil {
		n.o.OnRequestDone(t)
	}
}
