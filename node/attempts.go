package node

import (
	"cmp"

	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// startAttempt starts an attempt. What is too late, or over, is not sent.
func (n *Node) startAttempt(a policy.StartAttempt) {
	r := n.requests[a.ID]
	if r == nil {
		return
	}
	r.server, r.sentAt, r.live = a.Server, n.now, true
	r.attempts++
	attempt := r.attempts - 1
	left := r.deadline - n.now
	if r.state == stateAnswered || left <= 0 {
		n.finishAttempt(r, attempt, Result{Code: policy.TooLate, Detail: "too late to send"})
		return
	}
	if a.Timeout > 0 {
		left = min(left, a.Timeout)
	}
	r.state = stateInFlight
	if attempt == 0 && n.options.UsageRecorder != nil {
		n.options.UsageRecorder.RequestForwarded(r.request)
	}
	r.limit = n.timerWheel.Add(n.now+left, func() {
		n.finishAttempt(r, attempt, Result{Code: policy.TimedOut, Detail: "no answer in time"})
	})
	to := n.endpoints[a.Server]
	if r.request.Proxied {
		n.respond(r, FinalResponse{Kind: Served, Permit: &ForwardPermit{ID: r.id, Attempt: attempt, Server: to.Address, Timeout: left,
			Authorization: r.allowed}})
		return
	}
	sending := n.options.Upstream.Start(Attempt{ID: r.id, Number: attempt, Address: to.Address, ConnectionKey: to.ConnectionKey, Timeout: left, Request: r.request, DecidedAt: n.timeOrigin.Add(n.now)},
		func(res Result) {
			n.enqueue(pause.Ended, func() {
				if r.live && attempt == r.attempts-1 {
					r.cancel, r.withdraw = nil, nil // it has ended by itself
					n.finishAttempt(r, attempt, res)
				}
			})
		})
	r.cancel, r.withdraw = sending.Cancel, sending.Withdraw
}

// finishAttempt takes in how the attempt that is out has ended; only the first
// word counts. A server's answer is the client's, and ends the request.
func (n *Node) finishAttempt(r *pendingRequest, attempt int, res Result) {
	if !r.live {
		return
	}
	n.stopOutgoingWork(r)
	r.live, r.last = false, res.Code
	if res.Detail != "" {
		r.detail = res.Detail
	}
	if res.Code == policy.OK && r.state != stateAnswered {
		res.Response.Header = append(res.Response.Header, r.allowed.ResponseHeaders...)
		n.respond(r, FinalResponse{Kind: Served, Response: res.Response})
	}
	if res.Code == policy.OK && n.options.Authz != nil {
		n.options.Authz.Took(r.request.Class, cmp.Or(res.Latency, n.options.Clock.ActiveTime(r.sentAt, n.now)))
	}
	over := r.state == stateAnswered
	if r.state == stateInFlight {
		r.state = stateDeciding
	}
	if res.Latency == 0 {
		res.Latency = n.options.Clock.ActiveTime(r.sentAt, n.now)
	}
	n.queuePolicyEvent(policy.AttemptResult{ID: r.id, Attempt: attempt, Server: r.server, Code: res.Code, Latency: res.Latency, Answered: over})
	n.releaseIfDone(r)
}

// stopOutgoingWork ends the Check or the attempt that is out.
func (n *Node) stopOutgoingWork(r *pendingRequest) {
	r.limit.Stop()
	if r.cancel != nil {
		r.cancel()
	}
	r.cancel, r.withdraw, r.limit = nil, nil, nil
}

// FinishProxiedAttempt tells how the attempt that a Go let a proxy make has ended.
func (n *Node) FinishProxiedAttempt(id policy.RequestID, attempt int, res Result) {
	n.enqueue(pause.Ended, func() {
		if r := n.requests[id]; r != nil && r.live && r.request.Proxied && attempt == r.attempts-1 {
			n.finishAttempt(r, attempt, res)
		}
	})
}
