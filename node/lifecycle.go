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
	r := &pendingRequest{request: t, reply: reply}
	at := n.options.Clock.Now()
	if !t.Arrived.IsZero() {
		at = t.Arrived.Sub(n.timeOrigin)
	}
	n.mu.Lock()
	closing, full := n.closing, n.unanswered >= n.options.MaxUnanswered
	if !closing && !full {
		// Under one lock with the look at closing: once that is set, the loop
		// empties the queue a last time.
		n.unanswered++
		n.enqueueLocked(item{pause.Asked, func() { n.begin(r, at) }})
	}
	n.mu.Unlock()
	if closing || full {
		why := ReasonOverload
		if closing {
			why = ReasonDraining
		}
		a := FinalResponse{Kind: Rejected, Reason: why, RetryAfter: n.options.Settings.MaxRetryAfter}
		n.logFinalResponse(t, a, 0, 0, "")
		n.notifyRequestDone(t)
		reply(a)
		return func() {}
	}
	return func() { n.enqueue(pause.Left, func() { n.handleClientDisconnect(r) }) }
}

// begin takes a request in: its deadline is set and its Check is sent.
func (n *Node) begin(r *pendingRequest, at time.Duration) {
	n.nextID++
	r.id, r.receivedAt = n.nextID, at
	r.deadline = at + max(r.request.ClientTimeout-n.options.ResponseMargin, r.request.ClientTimeout/2)
	n.requests[r.id] = r
	if r.clientLeft || r.deadline <= n.now {
		// It waited for too long, or for nobody.
		a := FinalResponse{Kind: Rejected, Reason: ReasonNoTime, RetryAfter: n.options.Settings.MaxRetryAfter}
		if r.clientLeft {
			a = FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected}
		}
		n.respond(r, a)
		n.release(r)
		return
	}
	r.deadlineTimer = n.timerWheel.Add(r.deadline, func() { n.expire(r) })
	if n.options.Authz == nil {
		n.askPolicy(r)
		return
	}
	r.state = stateAuthorizing
	if n.nextID%4096 == 0 {
		n.options.Authz.Forget(n.wallTime())
	}
	t := r.request
	n.executeAuthorization(n.options.Authz.Begin(n.wallTime(), authz.Request{ID: uint64(r.id), Class: t.Class, Customer: t.Customer, Plan: t.Plan,
		Resource: t.Call.Method + " " + t.Call.Target, Remaining: r.deadline - n.now}))
}

// askPolicy gives a request to the module.
func (n *Node) askPolicy(r *pendingRequest) {
	r.state = stateDeciding
	t := r.request
	if n.options.UsageRecorder != nil {
		n.options.UsageRecorder.RequestSeen(t)
	}
	n.queuePolicyEvent(policy.Request{ID: r.id, Customer: t.Customer, Plan: t.Plan, Class: t.Class, Units: t.Units,
		Remaining: r.deadline - n.now, FirstGateway: t.FirstGateway, GatewaySpread: t.GatewaySpread, ClientRetry: t.ClientRetry})
}

// expire comes at a request's deadline. An attempt that is out ends by its own
// timer, set for no later; the module has then a last word. This is the net
// below it all: one answer is owed in any case.
func (n *Node) expire(r *pendingRequest) {
	if r.state == stateAnswered {
		return
	}
	if r.live {
		n.finishAttempt(r, r.attempts-1, Result{Code: policy.TimedOut, Detail: "no answer in time"})
	}
	// Also where the attempt's own timer has just run out, in the same step of the
	// wheel: the module's last word on that is not said yet.
	n.runPolicy()
	if r.state == stateAnswered {
		return
	}
	if r.state == stateAuthorizing {
		n.abandonCheck(r)
		n.respond(r, FinalResponse{Kind: Rejected, Reason: ReasonAuthorizationTimeout, RetryAfter: n.options.Settings.MaxRetryAfter})
		n.release(r)
		return
	}
	n.options.Logger.Warn("the module gave no answer by the deadline", "trace", r.request.Trace, "class", r.request.Class)
	n.queuePolicyEvent(policy.ClientDisconnected{ID: r.id})
	a := FinalResponse{Kind: Failed, Reason: ReasonNoTime}
	if r.attempts == 0 {
		a.Kind = Rejected // nothing ran
	}
	n.respond(r, a)
	n.releaseIfDone(r)
}

// handleClientDisconnect comes when a client left before its answer. Nothing more is owed. An
// attempt that is out runs to its end, but for one whose request has not left yet: it
// may be in a dial that takes longer than the client's going, and must not begin after.
func (n *Node) handleClientDisconnect(r *pendingRequest) {
	if r.id == 0 {
		r.clientLeft = true // it is not begun yet
		return
	}
	if r.state == stateAnswered {
		return
	}
	n.abandonCheck(r)
	n.queuePolicyEvent(policy.ClientDisconnected{ID: r.id})
	n.respond(r, FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected})
	if r.live && r.withdraw != nil && r.withdraw() {
		n.finishAttempt(r, r.attempts-1, Result{Code: policy.TooLate, Detail: "the client left before it was sent"})
	}
	n.releaseIfDone(r)
}

// respond gives the one final answer.
func (n *Node) respond(r *pendingRequest, a FinalResponse) {
	if r.state == stateAnswered {
		return
	}
	r.state = stateAnswered
	r.deadlineTimer.Stop()
	n.logFinalResponse(r.request, a, max(0, n.now-r.receivedAt), r.attempts, r.detail)
	r.reply(a)
	n.mu.Lock()
	n.unanswered--
	empty := n.unanswered == 0
	n.mu.Unlock()
	if empty {
		select {
		case n.allAnswered <- struct{}{}:
		default:
		}
	}
}

// releaseIfDone forgets a request that is answered and has no attempt out.
func (n *Node) releaseIfDone(r *pendingRequest) {
	if r.state == stateAnswered && !r.live {
		n.release(r)
	}
}

func (n *Node) release(r *pendingRequest) {
	r.deadlineTimer.Stop()
	delete(n.requests, r.id)
	n.notifyRequestDone(r.request)
}

func (n *Node) notifyRequestDone(t *Request) {
	if n.options.OnRequestDone != nil {
		n.options.OnRequestDone(t)
	}
}
