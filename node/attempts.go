package node

import (
	"cmp"

	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// send starts an attempt. What is too late, or over, is not sent.
func (n *Node) send(a policy.StartAttempt) {
	r := n.reqs[a.ID]
	if r == nil {
		return
	}
	r.server, r.sentAt, r.live = a.Server, n.now, true
	r.attempts++
	attempt := r.attempts - 1
	left := r.deadline - n.now
	if r.state == answered || left <= 0 {
		n.attemptEnded(r, attempt, Result{Code: policy.TooLate, Detail: "too late to send"})
		return
	}
	if a.Timeout > 0 {
		left = min(left, a.Timeout)
	}
	r.state = out
	if attempt == 0 && n.o.UsageRecorder != nil {
		n.o.UsageRecorder.RequestForwarded(r.try)
	}
	r.limit = n.wheel.Add(n.now+left, func() {
		n.attemptEnded(r, attempt, Result{Code: policy.TimedOut, Detail: "no answer in time"})
	})
	to := n.servers[a.Server]
	if r.try.Proxied {
		n.answer(r, FinalResponse{Kind: Served, Permit: &ForwardPermit{ID: r.id, Attempt: attempt, Server: to.Address, Timeout: left,
			Authorization: r.allowed}})
		return
	}
	sending := n.o.Upstream.Start(Attempt{ID: r.id, Number: attempt, Address: to.Address, ConnectionKey: to.ConnectionKey, Timeout: left, Request: r.try, DecidedAt: n.base.Add(n.now)},
		func(res Result) {
			n.post(pause.Ended, func() {
				if r.live && attempt == r.attempts-1 {
					r.cancel, r.withdraw = nil, nil // it has ended by itself
					n.attemptEnded(r, attempt, res)
				}
			})
		})
	r.cancel, r.withdraw = sending.Cancel, sending.Withdraw
}

// attemptEnded takes in how the attempt that is out has ended; only the first
// word counts. A server's answer is the client's, and ends the request.
func (n *Node) attemptEnded(r *request, attempt int, res Result) {
	if !r.live {
		return
	}
	n.endWork(r)
	r.live, r.last = false, res.Code
	if res.Detail != "" {
		r.detail = res.Detail
	}
	if res.Code == policy.OK && r.state != answered {
		res.Response.Header = append(res.Response.Header, r.allowed.ResponseHeaders...)
		n.answer(r, FinalResponse{Kind: Served, Response: res.Response})
	}
	if res.Code == policy.OK && n.o.Authz != nil {
		n.o.Authz.Took(r.try.Class, cmp.Or(res.Latency, n.o.Clock.ActiveTime(r.sentAt, n.now)))
	}
	over := r.state == answered
	if r.state == out {
		r.state = deciding
	}
	if res.Latency == 0 {
		res.Latency = n.o.Clock.ActiveTime(r.sentAt, n.now)
	}
	n.feed(policy.AttemptResult{ID: r.id, Attempt: attempt, Server: r.server, Code: res.Code, Latency: res.Latency, Answered: over})
	n.done(r)
}

// endWork ends the Check or the attempt that is out.
func (n *Node) endWork(r *request) {
	r.limit.Stop()
	if r.cancel != nil {
		r.cancel()
	}
	r.cancel, r.withdraw, r.limit = nil, nil, nil
}

// FinishProxiedAttempt tells how the attempt that a Go let a proxy make has ended.
func (n *Node) FinishProxiedAttempt(id policy.RequestID, attempt int, res Result) {
	n.post(pause.Ended, func() {
		if r := n.reqs[id]; r != nil && r.live && r.try.Proxied && attempt == r.attempts-1 {
			n.attemptEnded(r, attempt, res)
		}
	})
}
