package node

import (
	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// executeAuthorization carries out what authz says.
func (n *Node) executeAuthorization(acts []authz.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case authz.Check:
			r := n.requests[policy.RequestID(a.ID)]
			r.check, r.checkAt = a.Try, n.now
			r.limit = n.timerWheel.Add(n.now+a.Budget, func() {
				n.finishCheck(r, a.Try, AuthorizationResult{Verdict: authz.Late, Detail: "authoriser: no answer in time"})
			})
			r.cancel = n.options.Authorizer.Check(a.Target, r.request, a.Budget, func(c AuthorizationResult) {
				n.enqueue(pause.Ended, func() { n.finishCheck(r, a.Try, c) })
			})
		case authz.Cancel:
			if r := n.requests[policy.RequestID(a.ID)]; r != nil {
				n.stopOutgoingWork(r)
			}
		case authz.Settle:
			if r := n.requests[policy.RequestID(a.ID)]; r != nil && r.state == stateAuthorizing {
				c := r.checkedAs
				if a.StoodIn {
					c, _ = a.Kept.(AuthorizationResult)
					c.Detail = "authoriser gave no answer: an earlier one or the default stands in"
				}
				r.state = stateDeciding
				n.applyAuthorization(r, a.Step, c)
			}
		case authz.Wake:
			n.timerWheel.Add(n.now+a.After, func() { n.executeAuthorization(n.options.Authz.Tick(n.wallTime())) })
		case authz.Note:
			n.options.Logger.Warn(a.Text, "address", a.Target)
		}
	}
}

// finishCheck takes in how a Check ended; only the first word counts.
func (n *Node) finishCheck(r *pendingRequest, try int, c AuthorizationResult) {
	if r.state != stateAuthorizing || r.limit == nil || r.check != try {
		return
	}
	n.stopOutgoingWork(r)
	r.checkedAs = c
	n.executeAuthorization(n.options.Authz.Answered(n.wallTime(), uint64(r.id), try, authz.Answer{Verdict: c.Verdict, Latency: n.options.Clock.ActiveTime(r.checkAt, n.now),
		Stood: n.options.Clock.ActiveTime(r.checkAt, n.now) < n.now-r.checkAt,
		Life:  c.CacheTTL, Kept: c}))
}

// abandonCheck ends a Check whose answer no longer matters.
func (n *Node) abandonCheck(r *pendingRequest) {
	if r.state == stateAuthorizing {
		n.stopOutgoingWork(r)
		r.state = stateDeciding
		n.executeAuthorization(n.options.Authz.Gone(n.wallTime(), uint64(r.id)))
	}
}

func (n *Node) applyAuthorization(r *pendingRequest, step authz.Step, c AuthorizationResult) {
	r.detail = c.Detail
	a := FinalResponse{Kind: Rejected, RetryAfter: n.options.Settings.MaxRetryAfter}
	switch step {
	case authz.Deny:
		a.Reason, a.Response, a.RetryAfter = ReasonAuthorizationDenied, c.Denial, 0
	case authz.RefuseLate:
		a.Reason = ReasonAuthorizationTimeout
	case authz.RefuseError:
		a.Reason = ReasonAuthorizationUnreachable
	case authz.RefuseQuota:
		a.Reason = ReasonQuota
	default:
		c.apply(&r.request.Call)
		r.allowed = c
		n.askPolicy(r)
		return
	}
	n.respond(r, a)
	n.release(r)
}
