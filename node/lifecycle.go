package node

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Submit passes a request to the node. The node calls reply once with the final response:
// in the loop, or before Submit returns if the request is rejected immediately. reply must
// not block. The caller must call the returned function when the client disconnects; it may
// be called from any goroutine, at any time, and never blocks.
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

// arrivalTime returns when a request arrived. It always reads the clock, since that also
// detects a pause of the process.
func (n *Node) arrivalTime(request *Request) time.Duration {
	now := n.options.Clock.Now()
	if request.Arrived.IsZero() {
		return now
	}
	return request.Arrived.Sub(n.timeOrigin)
}

// accept enqueues a request, or returns the reason why it can't be accepted. It checks
// closing and enqueues under the same lock: after closing is set, Drain counts the unanswered
// requests and failRemaining empties the queue, and a request enqueued later would be missed.
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
	n.notifyRequestDone(request, false)
	reply(response)
}

// Unanswered returns the number of accepted requests that have no final response. It may
// be called from any goroutine.
func (n *Node) Unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unanswered
}

// beginRequest is the first step of a request in the loop: it assigns the ID and the
// deadline, and submits the request to the authorization decider or to the policy.
func (n *Node) beginRequest(r *pendingRequest) {
	n.lastID++
	r.id = n.lastID
	r.deadline = r.receivedAt + n.responseTimeout(r.request.ClientTimeout)
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
		n.submitToPolicy(r)
		return
	}
	n.authorize(r)
}

// responseTimeout returns the time within which the node must respond: the client timeout
// minus the response margin, but at least half of the client timeout.
func (n *Node) responseTimeout(clientTimeout time.Duration) time.Duration {
	return max(clientTimeout-n.options.ResponseMargin, clientTimeout/2)
}

// handleDeadline ensures that a request has its final response at its deadline, even if the
// authorization service, the servers or the policy have not produced one.
func (n *Node) handleDeadline(r *pendingRequest) {
	if r.isAnswered() {
		return
	}
	if r.attempts.active {
		n.timeOutAttempt(r)
	}
	// The policy decides on a request whose last attempt has timed out, also if the attempt's
	// own timer expired in the same step of the timer wheel.
	n.runPolicy()
	if r.isAnswered() {
		return
	}
	if r.state == stateAuthorizing {
		n.cancelAuthorization(r)
		n.respond(r, FinalResponse{Kind: Rejected, Reason: ReasonAuthorizationTimeout, RetryAfter: n.options.Settings.MaxRetryAfter})
		n.release(r)
		return
	}
	n.options.Log.Warn("policy returned no decision before the deadline", "trace", r.request.Trace, "class", r.request.Class)
	n.queuePolicyEvent(policy.ClientDisconnected{ID: r.id})
	response := FinalResponse{Kind: Failed, Reason: ReasonNoTime}
	if r.attempts.count == 0 {
		response.Kind = Rejected // nothing was sent
	}
	n.respond(r, response)
	n.releaseIfDone(r)
}

// handleClientDisconnect ends a request whose client disconnected before the final
// response. An attempt in flight runs to its end, unless its request has not been written
// yet: a slow dial must not start work for a client that disconnected long before.
func (n *Node) handleClientDisconnect(r *pendingRequest) {
	if r.id == 0 {
		r.clientDisconnected = true
		return
	}
	if r.isAnswered() {
		return
	}
	n.cancelAuthorization(r)
	n.queuePolicyEvent(policy.ClientDisconnected{ID: r.id})
	n.respond(r, FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected})
	if r.attempts.active && r.work.tryWithdraw() {
		n.finishAttempt(r, ResultClientDisconnected)
	}
	n.releaseIfDone(r)
}

// respond gives a request its final response. It does nothing if the request already has one.
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

// countAnswered counts an answered request, and wakes Drain if no unanswered request is left.
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

// release removes a request from the loop's state and calls Options.OnRequestDone.
func (n *Node) release(r *pendingRequest) {
	r.deadlineTimer.Stop()
	delete(n.requests, r.id)
	n.notifyRequestDone(r.request, r.attempts.mayHaveRun || r.attempts.active)
}

func (n *Node) notifyRequestDone(request *Request, mayHaveRun bool) {
	if n.options.OnRequestDone != nil {
		n.options.OnRequestDone(request, mayHaveRun)
	}
}
