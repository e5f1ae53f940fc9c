package node

import (
	"context"

	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// RestoreSnapshot gives the module what an earlier process remembered; before any try is
// taken.
func (n *Node) RestoreSnapshot(r policy.RestoreSnapshot) {
	n.enqueue(pause.Other, func() { n.queuePolicyEvent(r) })
}

// SaveSnapshot returns what is to outlive the process, looking at some customers in each
// turn of the loop; false where the loop has ended.
func (n *Node) SaveSnapshot(ctx context.Context) (list []policy.CustomerSnapshot, ok bool) {
	const most = 2000
	for from, first := 0, true; first || from > 0; first = false {
		done := make(chan struct{})
		n.enqueue(pause.Other, func() {
			list, from = n.policy.SaveSnapshot(n.now, from, most, list)
			close(done)
		})
		select {
		case <-done:
		case <-ctx.Done():
			return nil, false
		}
	}
	return list, true
}
