package node

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"

	"yardcleat.example/yardcleat/policy"
)

// feed queues an event for the module.
func (n *Node) feed(ev policy.Event) { n.fifo = append(n.fifo, ev) }

// settle gives the module its events and carries out what it says, in order,
// until it has nothing more to say.
func (n *Node) settle() {
	for n.head < len(n.fifo) {
		ev := n.fifo[n.head]
		n.head++
		acts, err := n.handle(ev)
		if err != nil {
			n.broken(ev, err)
			continue
		}
		for _, a := range acts {
			n.act(a)
		}
	}
	n.fifo, n.head = n.fifo[:0], 0
}

func (n *Node) handle(ev policy.Event) (acts []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	n.acts = n.gw.Handle(n.now, ev, n.acts[:0])
	return n.acts, nil
}

// broken answers for a module that panicked: what it held is failed, and a new
// one starts as after a restart.
func (n *Node) broken(ev policy.Event, err error) {
	n.o.Logger.Error("panic in a decision; all requests are failed and the module starts anew",
		"event", fmt.Sprintf("%T", ev), "panic", err)
	n.failAll("panic in a decision")
	n.seed++
	gw, err := policy.New(n.o.Settings, n.seed)
	if err != nil {
		panic(err) // the settings were good at the start
	}
	n.gw = gw
	n.fifo, n.head = n.fifo[:0], 0
	m := policy.EndpointUpdate{Kind: policy.CachedUpdate}
	for _, s := range n.servers {
		m.Servers = append(m.Servers, s.Server)
	}
	slices.SortFunc(m.Servers, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
	n.feed(m)
	if n.fleet.Gateways > 0 {
		n.feed(n.fleet)
	}
}

func (n *Node) failAll(why string) {
	for _, r := range n.reqs {
		n.leaveCheck(r)
		n.answer(r, FinalResponse{Kind: Failed, Reason: ReasonInternal, Detail: why})
		n.endWork(r)
		n.forget(r)
	}
}

// act carries out one action of the module.
func (n *Node) act(a policy.Action) {
	switch a := a.(type) {
	case policy.StartAttempt:
		n.send(a)
	case policy.CancelAttempt:
		if r := n.reqs[a.ID]; r != nil && r.live && a.Attempt == r.attempts-1 && !r.try.Proxied {
			n.attemptEnded(r, a.Attempt, Result{Code: policy.Cancelled, Detail: "called back"})
		}
	case policy.Reject:
		if r := n.reqs[a.ID]; r != nil {
			n.answer(r, FinalResponse{Kind: Rejected, Reason: n.reason(r, a.Reason), RetryAfter: a.RetryAfter})
			n.done(r)
		}
	case policy.Fail:
		if r := n.reqs[a.ID]; r != nil {
			n.answer(r, FinalResponse{Kind: Failed, Reason: n.reason(r, a.Reason)})
			n.done(r)
		}
	case policy.SetTimer:
		n.wheel.Add(n.now+a.After, func() { n.feed(policy.TimerFired{Token: a.Token}) })
	case policy.SendPeerMessage:
		if a.To >= 0 || n.o.SendToAllPeers {
			n.o.SendToPeer(a.To, a.Data)
			break
		}
		for i := range n.o.Settings.Gateways {
			if i != n.o.Settings.SelfIndex {
				n.o.SendToPeer(i, a.Data)
			}
		}
	case policy.Log:
		n.o.Logger.Info(a.Text, "from", "policy")
	}
}

// Resize tells the module of another number of gateways; see policy.Fleet. From the
// loop only.
func (n *Node) Resize(gateways, was int) {
	n.o.Settings.Gateways = gateways
	if n.fleet = (policy.FleetResized{Gateways: gateways, PreviousSize: was}); was != 0 {
		n.fleet.PreviousSize = -1 // for a module made anew meanwhile, which holds nothing yet
	}
	n.feed(policy.FleetResized{Gateways: gateways, PreviousSize: was})
	n.settle()
}

// SetUsageLevel tells the module how full a customer's store is; from the loop only.
func (n *Node) SetUsageLevel(customer string, units float64) {
	n.feed(policy.UsageLevel{Customer: customer, Units: units})
}
