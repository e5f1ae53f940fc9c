package node

import (
	"context"

	"yardcleat.example/yardcleat/policy"
)

// snapshotBatch is how many customers SaveSnapshot copies in one turn of the loop, so
// that it does not delay requests.
const snapshotBatch = 2000

// RestoreSnapshot gives the policy the state that an earlier process saved. It is
// called before the first request is submitted, and never blocks.
func (n *Node) RestoreSnapshot(snapshot policy.RestoreSnapshot) {
	n.Do(func() { n.queuePolicyEvent(snapshot) })
}

// SaveSnapshot returns the policy's state that is to outlive the process, and false
// where the context ends first. It waits for the loop, which copies the state in
// several turns, and must not be called in the loop. The loop must run until SaveSnapshot
// returns, or it waits for the end of the context; the gateway ensures this by closing
// its parts in reverse order of their start.
func (n *Node) SaveSnapshot(ctx context.Context) ([]policy.CustomerSnapshot, bool) {
	var customers []policy.CustomerSnapshot
	next := 0
	for {
		copied := make(chan struct{})
		n.Do(func() {
			customers, next = n.policy.SaveSnapshot(n.now, next, snapshotBatch, customers)
			close(copied)
		})
		select {
		case <-copied:
		case <-ctx.Done():
			return nil, false
		}
		if next <= 0 {
			return customers, true
		}
	}
}
