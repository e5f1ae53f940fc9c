package node

import (
	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// authorise carries out what authz says.
func (n *Node) authorise(acts []authz.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case authz.Check:
			r := n.reqs[policy.RequestID(a.ID)]
			r.check, r.checkAt = a.Try, n.now
			r.limit = n.wheel.Add(n.now+a.Budget, func() {
				n.checked(r, a.Try, AuthorizationResult{Verdict: authz.Late, Detail: "authoriser: no answer in time"})
			})
			r.cancel = n.o.Authorizer.Check(a.Target, r.try, a.Budget, func(c AuthorizationResult) {
				n.post(pause.Ended, func() { n.checked(r, a.Try, c) })
			})
		case authz.Cancel:
			if r := n.reqs[policy.RequestID(a.ID)]; r != nil {
				n.endWork(r)
			}
		case authz.Settle:
			if r := n.reqs[policy.RequestID(a.ID)]; r != nil && r.state == authorising {
				c := r.checkedAs
				if a.StoodIn {
					c, _ = a.Kept.(AuthorizationResult)
					c.Detail = "authoriser gave no answer: an earlier one or the default stands in"
				}
				r.state = deciding
				n.authorised(r, a.Step, c)
			}
		case authz.Wake:
			n.wheel.Add(n.now+a.After, func() { n.authorise(n.o.Authz.Tick(n.wall())) })
		case authz.Note:
			n.o.Logger.Warn(a.Text, "address", a.Target)
		}
	}
}

// checked takes in how a Check ended; only the first word counts.
func (n *Node) checked(r *request, try int, c AuthorizationResult) {
	if r.state != authorising || r.limit == nil || r.check != try {
		return
	}
	n.endWork(r)
	r.checkedAs = c
	n.authorise(n.o.Authz.Answered(n.wall(), uint64(r.id), try, authz.Answer{Verdict: c.Verdict, Latency: n.o.Clock.ActiveTime(r.checkAt, n.now),
		Stood: n.o.Clock.ActiveTime(r.checkAt, n.now) < n.now-r.checkAt,
		Life:  c.CacheTTL, Kept: c}))
}

// leaveCheck ends a Check whose answer no longer matters.
func (n *Node) leaveCheck(r *request) {
	if r.state == authorising {
		n.endWork(r)
		r.state = deciding
		n.authorise(n.o.Authz.Gone(n.wall(), uint64(r.id)))
	}
}

func (n *Node) authorised(r *request, step authz.Step, c AuthorizationResult) {
	r.detail = c.Detail
	a := FinalResponse{Kind: Rejected, RetryAfter: n.o.Settings.MaxRetryAfter}
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
		c.apply(&r.try.Call)
		r.allowed = c
		n.decide(r)
		return
	}
	n.answer(r, a)
	n.forget(r)
}
