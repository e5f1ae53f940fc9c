package node

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Submit hands a request to the node. The node calls reply once with the final
// response: in the loop, or before Submit returns where the request is rejected at
// once. Reply must not block. The caller calls the function returned when the client
// has disconnected; it may be called from any goroutine, at any time, and never blocks.
//
// Submit may be called from any goroutine and never blocks. The request belongs to the
// node until Options.OnRequestDone is called with it.
func (n *Node) Submit(request *Request, reply func(FinalResponse)) (disconnected func()) {
	r := &pendingRequest{request: request, reply: reply, receivedAt: n.arrivalTime(request)}
	if reason := n.accept(r); reason != ReasonNone {
		n.rejectSubmission(request, reason, reply)
		return func() {}
	}
	return func() { n.enqueue(clientDisconnected{r}) }
}

// arrivalTime is when a request arrived. The clock is read in any case, since that
// also detects a pause of the process.
func (n *Node) arrivalTime(request *Request) time.Duration {
	now := n.options.Clock.Now()
	if request.Arrived.IsZero() {
		return now
	}
	return request.Arrived.Sub(n.timeOrigin)
}

// accept enqueues a request, or returns why it can't be accepted. Both happen under
// one lock: once closing is set, the loop empties the queue for the last time.
func (n *Node) accept(r *pendingRequest) Reason {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return ReasonDraining
	}
	if n.unanswered >= n.options.MaxUnanswered {
		return ReasonOverload
	}
	n.unanswered++
	n.enqueueLocked(requestSubmitted{r})
	return ReasonNone
}

// rejectSubmission answers a request that never reaches the loop.
func (n *Node) rejectSubmission(request *Request, reason Reason, reply func(FinalResponse)) {
	response := FinalResponse{Kind: Rejected, Reason: reason, RetryAfter: n.options.Settings.MaxRetryAfter}
	n.logFinalResponse(request, response, responseLogDetails{})
	n.notifyRequestDone(request)
	reply(response)
}

// Unanswered is the number of requests that were accepted and have no final response.
// It may be called from any goroutine.
func (n *Node) Unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unanswered
}

// beginRequest is the first step of a request in the loop: it gets its number and its
// deadline, and goes to the authorization decider or the policy.
func (n *Node) beginRequest(r *pendingRequest) {
	n.lastID++
	r.id = n.lastID
	r.deadline = r.receivedAt + n.timeToAnswer(r.request.ClientTimeout)
	n.requests[r.id] = r
	if r.clientDisconnected {
		n.respond(r, FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected})
		n.release(r)
		return
	}
	if r.deadline <= n.now {
		n.respond(r, FinalResponse{Kind: Rejected, Reason: ReasonNoTime, RetryAfter: n.options.Settings.MaxRetryAfter})
		n.release(r)
		return
	}
	r.deadlineTimer = n.timerWheel.Add(r.deadline, func() { n.handleDeadline(r) })
	if n.options.AuthorizationDecider == nil {
		n.askPolicy(r)
		return
	}
	n.authorize(r)
}

// timeToAnswer is the part of the client's timeout that the node uses: all but the margin
// for the response to reach the client, and half of it at least.
func (n *Node) timeToAnswer(clientTimeout time.Duration) time.Duration {
	return max(clientTimeout-n.options.ResponseMargin, clientTimeout/2)
}

// handleDeadline ensures that a request has its final response at its deadline,
// whatever the authorization service, the servers and the policy do.
func (n *Node) handleDeadline(r *pendingRequest) {
	if r.isAnswered() {
		return
	}
	if r.attempts.active {
		n.timeOutAttempt(r)
	}
	// The policy answers requests whose last attempt has timed out, also where the
	// attempt's own timer expired in the same step of the wheel.
	n.runPolicy()
	if r.isAnswered() {
		return
	}
	if r.state == stateAuthorizing {
		n.abandonCheck(r)
		n.respond(r, FinalResponse{Kind: Rejected, Reason: ReasonAuthorizationTimeout, RetryAfter: n.options.Settings.MaxRetryAfter})
		n.release(r)
		return
	}
	n.options.Logger.Warn("policy returned no decision before the deadline", "trace", r.request.Trace, "class", r.request.Class)
	n.queuePolicyEvent(policy.ClientDisconnected{ID: r.id})
	response := FinalResponse{Kind: Failed, Reason: ReasonNoTime}
	if r.attempts.count == 0 {
		response.Kind = Rejected // nothing was sent
	}
	n.respond(r, response)
	n.releaseIfDone(r)
}

// handleClientDisconnect ends a request whose client has gone before the final
// response. An attempt in flight runs to its end, unless its request has not been
// written yet: a slow dial must not start work for a client that left long ago.
func (n *Node) handleClientDisconnect(r *pendingRequest) {
	if r.id == 0 {
		r.clientDisconnected = true
		return
	}
	if r.isAnswered() {
		return
	}
	n.abandonCheck(r)
	n.queuePolicyEvent(policy.ClientDisconnected{ID: r.id})
	n.respond(r, FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected})
	if r.attempts.active && r.work.tryWithdraw() {
		n.finishAttempt(r, Result{Code: policy.TooLate, Detail: "client disconnected before the request was sent"})
	}
	n.releaseIfDone(r)
}

// respond gives a request its final response; only the first one counts.
func (n *Node) respond(r *pendingRequest, response FinalResponse) {
	if r.isAnswered() {
		return
	}
	r.markAnswered()
	r.deadlineTimer.Stop()
	n.logFinalResponse(r.request, response, responseLogDetails{
		attempts: r.attempts.count,
		elapsed:  max(0, n.now-r.receivedAt),
		detail:   r.detail,
	})
	r.reply(response)
	n.countAnswered()
}

// countAnswered wakes Drain with the last request that was unanswered.
func (n *Node) countAnswered() {
	n.mu.Lock()
	n.unanswered--
	none := n.unanswered == 0
	n.mu.Unlock()
	if none {
		signal(n.allAnswered)
	}
}

// releaseIfDone releases a request that is answered and has no attempt in flight.
func (n *Node) releaseIfDone(r *pendingRequest) {
	if r.isDone() {
		n.release(r)
	}
}

// release drops a request from the loop's state.
func (n *Node) release(r *pendingRequest) {
	r.deadlineTimer.Stop()
	delete(n.requests, r.id)
	n.notifyRequestDone(r.request)
}

func (n *Node) notifyRequestDone(request *Request) {
	if n.options.OnRequestDone != nil {
		n.options.OnRequestDone(request)
	}
}
