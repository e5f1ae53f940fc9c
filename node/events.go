package node

import (
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// item is something for the loop to do.
type item struct {
	kind pause.Kind
	do   func()
}

// enqueue gives the loop something to do.
func (n *Node) enqueue(kind pause.Kind, f func()) {
	n.mu.Lock()
	n.enqueueLocked(item{kind, f})
	n.mu.Unlock()
}

// enqueueLocked is post under n.mu.
func (n *Node) enqueueLocked(f item) {
	n.queue = append(n.queue, f)
	if len(n.queue) == 1 {
		select {
		case n.wake <- struct{}{}:
		default:
		}
	}
}

// ReceivePeerMessage tells of a message from a peer.
func (n *Node) ReceivePeerMessage(from int, data []byte) {
	n.enqueue(pause.Heard, func() { n.queuePolicyEvent(policy.PeerMessage{From: from, Data: data}) })
}

// Do runs f in the loop, in turn with all else that happens.
func (n *Node) Do(f func()) { n.enqueue(pause.Other, f) }

// InjectPolicyPanic makes the module panic at its next event; for tests.
func (n *Node) InjectPolicyPanic() {
	n.enqueue(pause.Other, func() { n.policy = nil; n.queuePolicyEvent(policy.TimerFired{}) })
}
