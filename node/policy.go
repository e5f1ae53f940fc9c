package node

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"

	"yardcleat.example/yardcleat/policy"
)

// queuePolicyEvent queues an event for the module.
func (n *Node) queuePolicyEvent(ev policy.Event) { n.policyEvents = append(n.policyEvents, ev) }

// runPolicy gives the module its events and carries out what it says, in order,
// until it has nothing more to say.
func (n *Node) runPolicy() {
	for n.nextPolicyEvent < len(n.policyEvents) {
		ev := n.policyEvents[n.nextPolicyEvent]
		n.nextPolicyEvent++
		acts, err := n.callPolicy(ev)
		if err != nil {
			n.restartPolicy(ev, err)
			continue
		}
		for _, a := range acts {
			n.executePolicyAction(a)
		}
	}
	n.policyEvents, n.nextPolicyEvent = n.policyEvents[:0], 0
}

func (n *Node) callPolicy(ev policy.Event) (acts []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	n.policyActions = n.policy.Handle(n.now, ev, n.policyActions[:0])
	return n.policyActions, nil
}

// restartPolicy answers for a module that panicked: what it held is failed, and a new
// one starts as after a restart.
func (n *Node) restartPolicy(ev policy.Event, err error) {
	n.options.Logger.Error("panic in a decision; all requests are failed and the module starts anew",
		"event", fmt.Sprintf("%T", ev), "panic", err)
	n.failAll("panic in a decision")
	n.seed++
	gw, err := policy.New(n.options.Settings, n.seed)
	if err != nil {
		panic(err) // the settings were good at the start
	}
	n.policy = gw
	n.policyEvents, n.nextPolicyEvent = n.policyEvents[:0], 0
	m := policy.EndpointUpdate{Kind: policy.CachedUpdate}
	for _, s := range n.endpoints {
		m.Servers = append(m.Servers, s.Server)
	}
	slices.SortFunc(m.Servers, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
	n.queuePolicyEvent(m)
	if n.fleetSize.Gateways > 0 {
		n.queuePolicyEvent(n.fleetSize)
	}
}

func (n *Node) failAll(why string) {
	for _, r := range n.requests {
		n.abandonCheck(r)
		n.respond(r, FinalResponse{Kind: Failed, Reason: ReasonInternal, Detail: why})
		n.stopOutgoingWork(r)
		n.release(r)
	}
}

// executePolicyAction carries out one action of the module.
func (n *Node) executePolicyAction(a policy.Action) {
	switch a := a.(type) {
	case policy.StartAttempt:
		n.startAttempt(a)
	case policy.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && r.live && a.Attempt == r.attempts-1 && !r.request.Proxied {
			n.finishAttempt(r, a.Attempt, Result{Code: policy.Cancelled, Detail: "called back"})
		}
	case policy.Reject:
		if r := n.requests[a.ID]; r != nil {
			n.respond(r, FinalResponse{Kind: Rejected, Reason: n.failureReason(r, a.Reason), RetryAfter: a.RetryAfter})
			n.releaseIfDone(r)
		}
	case policy.Fail:
		if r := n.requests[a.ID]; r != nil {
			n.respond(r, FinalResponse{Kind: Failed, Reason: n.failureReason(r, a.Reason)})
			n.releaseIfDone(r)
		}
	case policy.SetTimer:
		n.timerWheel.Add(n.now+a.After, func() { n.queuePolicyEvent(policy.TimerFired{Token: a.Token}) })
	case policy.SendPeerMessage:
		if a.To >= 0 || n.options.SendToAllPeers {
			n.options.SendToPeer(a.To, a.Data)
			break
		}
		for i := range n.options.Settings.Gateways {
			if i != n.options.Settings.SelfIndex {
				n.options.SendToPeer(i, a.Data)
			}
		}
	case policy.Log:
		n.options.Logger.Info(a.Text, "from", "policy")
	}
}

// Resize tells the module of another number of gateways; see policy.Fleet. From the
// loop only.
func (n *Node) Resize(gateways, was int) {
	n.options.Settings.Gateways = gateways
	if n.fleetSize = (policy.FleetResized{Gateways: gateways, PreviousSize: was}); was != 0 {
		n.fleetSize.PreviousSize = -1 // for a module made anew meanwhile, which holds nothing yet
	}
	n.queuePolicyEvent(policy.FleetResized{Gateways: gateways, PreviousSize: was})
	n.runPolicy()
}

// SetUsageLevel tells the module how full a customer's store is; from the loop only.
func (n *Node) SetUsageLevel(customer string, units float64) {
	n.queuePolicyEvent(policy.UsageLevel{Customer: customer, Units: units})
}
