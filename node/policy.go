package node

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"

	"yardcleat.example/yardcleat/policy"
)

// Details in the responses when the node fails all requests.
const (
	detailPolicyPanicked = "panic in a decision"
	detailStopped        = "stopped"
)

// policyPanic is the error for a recovered panic of the policy.
type policyPanic struct {
	value any
	stack []byte
}

func (p *policyPanic) Error() string { return fmt.Sprintf("%v\n%s", p.value, p.stack) }

// submitToPolicy submits a request to the policy.
func (n *Node) submitToPolicy(r *pendingRequest) {
	r.awaitDecision()
	request := r.request
	if n.options.UsageRecorder != nil {
		n.options.UsageRecorder.RequestSeen(request)
	}
	n.queuePolicyEvent(policy.Request{
		ID:            r.id,
		Customer:      request.Customer,
		Plan:          request.Plan,
		Class:         request.Class,
		Units:         request.Units,
		Remaining:     r.deadline - n.now,
		FirstGateway:  request.FirstGateway,
		GatewaySpread: request.GatewaySpread,
		ClientRetry:   request.ClientRetry,
	})
}

// queuePolicyEvent queues an event for the next call of runPolicy.
func (n *Node) queuePolicyEvent(event policy.Event) { n.policyEvents = append(n.policyEvents, event) }

// runPolicy passes the queued events to the policy, one by one, and carries out the actions
// of each event before the next. It returns when no event is left.
func (n *Node) runPolicy() {
	for n.nextPolicyEvent < len(n.policyEvents) {
		event := n.policyEvents[n.nextPolicyEvent]
		n.nextPolicyEvent++
		actions, err := n.callPolicy(event)
		if err != nil {
			n.restartPolicy(event, err)
			continue
		}
		for _, action := range actions {
			n.executePolicyAction(action)
		}
	}
	n.clearPolicyEvents()
}

func (n *Node) clearPolicyEvents() {
	n.policyEvents = n.policyEvents[:0]
	n.nextPolicyEvent = 0
}

// callPolicy passes one event to the policy and returns its actions, which are valid until
// the next call. If the policy panics, it returns a *policyPanic.
func (n *Node) callPolicy(event policy.Event) (actions []policy.Action, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &policyPanic{value: value, stack: debug.Stack()}
		}
	}()
	n.policyActions = n.policy.Handle(n.now, event, n.policyActions[:0])
	return n.policyActions, nil
}

// restartPolicy replaces a policy that panicked, since its state may be inconsistent. All
// requests fail, and a new policy starts as it would after a restart of the process, with
// the current endpoint list.
func (n *Node) restartPolicy(event policy.Event, cause error) {
	n.options.Log.Error("policy panicked; failing all requests and restarting policy",
		"event", fmt.Sprintf("%T", event), "panic", cause)
	n.failAll(ReasonInternal, detailPolicyPanicked)
	n.seed++
	gateway, err := policy.New(n.options.Settings, n.seed)
	if err != nil {
		panic(err) // New accepted these settings
	}
	n.policy = gateway
	n.clearPolicyEvents()
	n.queuePolicyEvent(n.cachedEndpoints())
	if n.fleetSize.Gateways > 0 {
		n.queuePolicyEvent(n.fleetSize)
	}
}

// failAll fails and releases every request and ends all work in flight. Results that arrive
// later are ignored.
func (n *Node) failAll(reason Reason, detail string) {
	for _, r := range n.requests {
		n.cancelAuthorization(r)
		n.respond(r, FinalResponse{Kind: Failed, Reason: reason, Detail: detail})
		r.work.stop()
		r.endAttempt(Result{Code: policy.Cancelled, Detail: detail})
		n.release(r)
	}
}

// cachedEndpoints returns the endpoint list as an update for a restarted policy. It is sorted
// by server ID, so that the policy's decisions don't depend on the iteration order of a map.
func (n *Node) cachedEndpoints() policy.EndpointUpdate {
	update := policy.EndpointUpdate{Kind: policy.CachedUpdate}
	for _, endpoint := range n.endpoints {
		update.Servers = append(update.Servers, endpoint.Server)
	}
	slices.SortFunc(update.Servers, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
	return update
}

// executePolicyAction carries out one action of the policy.
func (n *Node) executePolicyAction(action policy.Action) {
	switch action := action.(type) {
	case policy.StartAttempt:
		n.startAttempt(action)
	case policy.CancelAttempt:
		n.cancelAttempt(action)
	case policy.Reject:
		if r := n.requests[action.ID]; r != nil {
			reason := failureReason(action.Reason, r.attempts.count, r.attempts.lastResult)
			n.respond(r, FinalResponse{Kind: Rejected, Reason: reason, RetryAfter: action.RetryAfter})
			n.releaseIfDone(r)
		}
	case policy.Fail:
		if r := n.requests[action.ID]; r != nil {
			reason := failureReason(action.Reason, r.attempts.count, r.attempts.lastResult)
			n.respond(r, FinalResponse{Kind: Failed, Reason: reason})
			n.releaseIfDone(r)
		}
	case policy.SetTimer:
		n.setPolicyTimer(action)
	case policy.SendPeerMessage:
		n.sendPeerMessage(action)
	case policy.Log:
		n.options.Log.Info(action.Text, "from", "policy")
	}
}

// setPolicyTimer sets a timer of the policy. If the policy is restarted before the timer
// expires, the timer is ignored: the new policy sets its own timers.
func (n *Node) setPolicyTimer(action policy.SetTimer) {
	owner := n.policy
	n.timerWheel.Add(n.now+action.After, func() {
		if n.policy == owner {
			n.queuePolicyEvent(policy.TimerFired{Token: action.Token})
		}
	})
}

// sendPeerMessage sends a message to one gateway, or to all others if To is negative.
func (n *Node) sendPeerMessage(action policy.SendPeerMessage) {
	if action.To >= 0 || n.options.SendToAllPeers {
		n.options.SendToPeer(action.To, action.Data)
		return
	}
	for gateway := range n.options.Settings.Gateways {
		if gateway != n.options.Settings.SelfIndex {
			n.options.SendToPeer(gateway, action.Data)
		}
	}
}

// Resize sets the number of gateways in the policy. previous is the number before the
// change; 0 means that the change is complete, and a negative number that it is unknown.
// Resize must be called in the loop; see Do.
func (n *Node) Resize(gateways, previous int) {
	resized := policy.FleetResized{Gateways: gateways, PreviousSize: previous}
	n.options.Settings.Gateways = gateways
	n.fleetSize = resized
	if previous != policy.ResizeComplete {
		// A restarted policy held no quota share of the previous size.
		n.fleetSize.PreviousSize = policy.UnknownPreviousSize
	}
	n.queuePolicyEvent(resized)
	n.runPolicy()
}

// SetUsageLevel sets the number of units that a customer's quota has left according to the
// external usage counter. It must be called in the loop; see Do.
func (n *Node) SetUsageLevel(customer string, units float64) {
	n.queuePolicyEvent(policy.UsageLevel{Customer: customer, Units: units})
}
