package node

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// startAttempt carries out the policy's decision to send a request to a server. If the
// request is answered or its deadline has passed, nothing is sent and the attempt ends with
// TooLate, which proves that it never ran.
func (n *Node) startAttempt(action policy.StartAttempt) {
	r := n.requests[action.ID]
	if r == nil {
		return
	}
	attempt := r.beginAttempt(action.Server, n.now)
	timeout := r.deadline - n.now
	if r.isAnswered() || timeout <= 0 {
		n.finishAttempt(r, Result{Code: policy.TooLate, Detail: "too late to send"})
		return
	}
	if action.Timeout > 0 {
		timeout = min(timeout, action.Timeout)
	}
	r.awaitAttempt()
	if attempt == 0 && n.options.UsageRecorder != nil {
		n.options.UsageRecorder.RequestForwarded(r.request)
	}
	r.work.timeout = n.timerWheel.Add(n.now+timeout, func() { n.timeOutAttempt(r) })
	if r.request.Proxied {
		n.permitForward(r, timeout)
		return
	}
	n.sendUpstream(r, timeout, action.SendWithin)
}

// permitForward answers a Proxied request with a permit for the proxy to make the current
// attempt. The attempt stays active until the proxy reports its result.
func (n *Node) permitForward(r *pendingRequest, timeout time.Duration) {
	n.respond(r, FinalResponse{Kind: Served, Permit: &ForwardPermit{
		ID:            r.id,
		Attempt:       r.attempts.current(),
		Server:        n.endpoints[r.attempts.server].Address,
		Timeout:       timeout,
		Authorization: r.authorization.granted,
	}})
}

// sendUpstream makes the current attempt. Its result is enqueued as an event.
func (n *Node) sendUpstream(r *pendingRequest, timeout, sendWithin time.Duration) {
	number := r.attempts.current()
	endpoint := n.endpoints[r.attempts.server]
	attempt := Attempt{
		ID:            r.id,
		Number:        number,
		Address:       endpoint.Address,
		ConnectionKey: endpoint.ConnectionKey,
		Timeout:       timeout,
		Request:       r.request,
		DecidedAt:     n.wallTime(),
	}
	if sendWithin > 0 {
		attempt.SendBy = attempt.DecidedAt.Add(sendWithin)
	}
	outgoing := n.options.Upstream.Start(attempt, func(result Result) {
		n.enqueue(attemptFinished{request: r, attempt: number, result: result})
	})
	r.work.cancel = outgoing.Cancel
	r.work.withdraw = outgoing.Withdraw
}

// FinishProxiedAttempt reports the result of an attempt that a proxy made with a
// ForwardPermit. It may be called from any goroutine and never blocks. Reports of other
// attempts, and further reports of the same attempt, are ignored.
func (n *Node) FinishProxiedAttempt(id policy.RequestID, attempt int, result Result) {
	n.enqueue(proxiedAttemptFinished{id: id, attempt: attempt, result: result})
}

// handleProxiedAttemptFinished handles a proxy's report, unless the attempt was ended before.
func (n *Node) handleProxiedAttemptFinished(e proxiedAttemptFinished) {
	r := n.requests[e.id]
	if r != nil && r.request.Proxied && r.attempts.isActive(e.attempt) {
		n.finishAttempt(r, e.result)
	}
}

// handleAttemptFinished handles the result of an attempt, unless it was ended before.
func (n *Node) handleAttemptFinished(e attemptFinished) {
	if !e.request.attempts.isActive(e.attempt) {
		return
	}
	e.request.work.completed()
	if e.result.ClientDisconnected {
		n.handleClientDisconnect(e.request)
	}
	n.finishAttempt(e.request, e.result)
}

// cancelAttempt carries out the policy's decision to stop waiting for an attempt. An
// attempt that a proxy makes can't be canceled.
func (n *Node) cancelAttempt(action policy.CancelAttempt) {
	r := n.requests[action.ID]
	if r != nil && !r.request.Proxied && r.attempts.isActive(action.Attempt) {
		n.finishAttempt(r, Result{Code: policy.Cancelled, Detail: "canceled by policy"})
	}
}

// timeOutAttempt ends the active attempt because its time has run out.
func (n *Node) timeOutAttempt(r *pendingRequest) {
	n.finishAttempt(r, Result{Code: policy.TimedOut, Detail: "attempt timed out"})
}

// finishAttempt ends the active attempt and passes its result to the policy; without an
// active attempt it does nothing. A server's response becomes the final response. The work
// on the connection ends before the policy handles the result, so that the next attempt
// starts only after this one has ended.
func (n *Node) finishAttempt(r *pendingRequest, result Result) {
	if !r.attempts.active {
		return
	}
	r.work.stop()
	r.endAttempt(result)
	if result.Code == policy.OK {
		n.serveResponse(r, result.Response)
	}
	latency := result.Latency
	if latency == 0 {
		latency = n.activeTimeSince(r.attempts.startedAt)
	}
	if result.Code == policy.OK && n.options.AuthorizationDecider != nil {
		n.options.AuthorizationDecider.RecordLatency(r.request.Class, latency)
	}
	n.queuePolicyEvent(policy.AttemptResult{
		ID:       r.id,
		Attempt:  r.attempts.current(),
		Server:   r.attempts.server,
		Code:     result.Code,
		Latency:  latency,
		Answered: r.isAnswered(),
	})
	n.releaseIfDone(r)
}

// serveResponse answers a request with a server's response, unless it is already answered.
func (n *Node) serveResponse(r *pendingRequest, response *Response) {
	if r.isAnswered() {
		return
	}
	response.Header = append(response.Header, r.authorization.granted.ResponseHeaders...)
	n.respond(r, FinalResponse{Kind: Served, Response: response})
}
