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

// post gives the loop something to do.
func (n *Node) post(kind pause.Kind, f func()) {
	n.mu.Lock()
	n.enqueue(item{kind, f})
	n.mu.Unlock()
}

// enqueue is post under n.mu.
func (n *Node) enqueue(f item) {
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
	n.post(pause.Heard, func() { n.feed(policy.PeerMessage{From: from, Data: data}) })
}

// Do runs f in the loop, in turn with all else that happens.
func (n *Node) Do(f func()) { n.post(pause.Other, f) }

// InjectPolicyPanic makes the module panic at its next event; for tests.
func (n *Node) InjectPolicyPanic() {
	n.post(pause.Other, func() { n.gw = nil; n.feed(policy.TimerFired{}) })
}
