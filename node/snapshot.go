package node

import (
	"context"

	"yardcleat.example/yardcleat/policy"
)

// snapshotBatchSize is the number of customers that SaveSnapshot copies in one event of the
// loop. It is limited so that copying does not delay requests.
const snapshotBatchSize = 2000

// RestoreSnapshot passes the state that an earlier process saved to the policy. It must be
// called before the first request is submitted, and never blocks.
func (n *Node) RestoreSnapshot(snapshot policy.RestoreSnapshot) {
	n.Do(func() { n.queuePolicyEvent(snapshot) })
}

// SaveSnapshot returns the part of the policy's state that is to be stored, and false if the
// context ends first. It waits for the loop, which copies the state in several events, and
// must not be called in the loop. If the loop does not run, SaveSnapshot waits for the end of
// the context; the gateway avoids this by closing its components in reverse order of their
// start.
func (n *Node) SaveSnapshot(ctx context.Context) ([]policy.CustomerSnapshot, bool) {
	var customers []policy.CustomerSnapshot
	next := 0
	for {
		copied := make(chan struct{})
		n.Do(func() {
			customers, next = n.policy.SaveSnapshot(n.now, next, snapshotBatchSize, customers)
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
