package node

import (
	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/policy"
)

// authorizationPruneInterval is the number of requests between two removals of expired
// authorization results.
const authorizationPruneInterval = 4096

// authorize submits a request to the authorization decider.
func (n *Node) authorize(r *pendingRequest) {
	r.awaitAuthorization()
	if n.lastID%authorizationPruneInterval == 0 {
		n.options.AuthorizationDecider.RemoveExpired(n.wallTime())
	}
	request := r.request
	actions := n.options.AuthorizationDecider.StartRequest(n.wallTime(), authz.Request{
		ID:        uint64(r.id),
		Class:     request.Class,
		Customer:  request.Customer,
		Plan:      request.Plan,
		Units:     request.Units,
		Resource:  request.HTTP.Method + " " + request.HTTP.Target,
		Remaining: r.deadline - n.now,
	})
	n.executeAuthorization(actions)
}

// executeAuthorization carries out the actions of the authorization decider.
func (n *Node) executeAuthorization(actions []authz.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case authz.SendCheck:
			n.startCheck(action)
		case authz.CancelCheck:
			if r := n.requests[policy.RequestID(action.ID)]; r != nil {
				r.work.stop()
			}
		case authz.Resolve:
			n.concludeAuthorization(action)
		case authz.ScheduleTick:
			n.timerWheel.Add(n.now+action.After, func() { n.executeAuthorization(n.options.AuthorizationDecider.Tick(n.wallTime())) })
		case authz.LogWarning:
			n.options.Log.Warn(action.Text, "address", action.Address)
		}
	}
}

// startCheck sends an authorization check. It ends when its result is handled as an event,
// or when its timer expires.
func (n *Node) startCheck(action authz.SendCheck) {
	r := n.requests[policy.RequestID(action.ID)]
	r.authorization.number = action.Attempt
	r.authorization.startedAt = n.now
	r.work.timeout = n.timerWheel.Add(n.now+action.Timeout, func() {
		n.finishCheck(r, action.Attempt, AuthorizationResult{Outcome: authz.TimedOut, Detail: "authorization check timed out"})
	})
	r.work.cancel = n.options.AuthorizationClient.Check(action.Address, r.request, action.Timeout, func(result AuthorizationResult) {
		n.enqueue(checkFinished{request: r, check: action.Attempt, result: result})
	})
}

// finishCheck passes the result of the running check to the authorization decider. Only
// the first result of a check is used.
func (n *Node) finishCheck(r *pendingRequest, check int, result AuthorizationResult) {
	if r.state != stateAuthorizing || !r.work.isRunning() || r.authorization.number != check {
		return
	}
	r.work.stop()
	r.authorization.result = result
	elapsed := n.now - r.authorization.startedAt
	latency := n.activeTimeSince(r.authorization.startedAt)
	n.executeAuthorization(n.options.AuthorizationDecider.FinishCheck(n.wallTime(), uint64(r.id), check, authz.CheckResult{
		Outcome:       result.Outcome,
		Latency:       latency,
		ProcessPaused: latency < elapsed,
		CacheTTL:      result.CacheTTL,
		Payload:       result,
	}))
}

// cancelAuthorization cancels the authorization of a request that is about to be answered.
func (n *Node) cancelAuthorization(r *pendingRequest) {
	if r.state != stateAuthorizing {
		return
	}
	r.work.stop()
	r.awaitDecision()
	n.executeAuthorization(n.options.AuthorizationDecider.CancelRequest(n.wallTime(), uint64(r.id)))
}

// concludeAuthorization carries out the decider's decision on a request. The decision is
// based on the last check or, if that gave no result, on a cached result or the mode of the
// class.
func (n *Node) concludeAuthorization(action authz.Resolve) {
	r := n.requests[policy.RequestID(action.ID)]
	if r == nil || r.state != stateAuthorizing {
		return
	}
	result := r.authorization.result
	if action.FromFallback {
		result, _ = action.CachedPayload.(AuthorizationResult)
		result.Detail = "authorization service gave no response; using a cached result or the class default"
	}
	r.detail = result.Detail
	r.awaitDecision()
	reason := authorizationFailure(action.Decision)
	if reason == ReasonNone {
		result.apply(&r.request.HTTP)
		r.authorization.granted = result
		n.submitToPolicy(r)
		return
	}
	response := FinalResponse{Kind: Rejected, Reason: reason}
	if reason == ReasonAuthorizationDenied {
		response.Response = result.Denial.clone() // the denial may be cached and used for other requests
	} else {
		response.RetryAfter = n.options.Settings.MaxRetryAfter
	}
	n.respond(r, response)
	n.release(r)
}
