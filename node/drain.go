package node

import (
	"context"
	"fmt"

	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// AbortRequests lets no more tries in, and gives what is not answered its final answer now: a
// refusal where nothing was sent, so that a repeat is harmless.
func (n *Node) AbortRequests() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
	n.enqueueLocked(item{pause.Other, func() {
		for _, r := range n.requests {
			if r.state == stateAnswered {
				continue
			}
			n.abandonCheck(r)
			a := FinalResponse{Kind: Failed, Reason: ReasonDraining}
			if r.attempts == 0 {
				a.Kind, a.RetryAfter = Rejected, n.options.Settings.MaxRetryAfter
			}
			n.queuePolicyEvent(policy.ClientDisconnected{ID: r.id})
			n.respond(r, a)
			if r.live {
				n.finishAttempt(r, r.attempts-1, Result{Code: policy.Cancelled, Detail: "the node ends"})
			}
			n.releaseIfDone(r)
		}
	}})
}

// Drain lets no more tries in and waits until all are answered, or the context
// ends.
func (n *Node) Drain(ctx context.Context) error {
	for {
		n.mu.Lock()
		n.closing = true
		left := n.unanswered
		n.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-n.allAnswered:
		case <-ctx.Done():
			return fmt.Errorf("%d requests not answered: %w", left, ctx.Err())
		}
	}
}
