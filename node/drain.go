package node

import (
	"context"
	"fmt"

	"yardcleat.example/yardcleat/policy"
)

// UnansweredError is the error of Drain where its context ends too early.
type UnansweredError struct {
	Requests int   // requests without a final response; at least 1
	Cause    error // the error of the context
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%d requests not answered: %v", e.Requests, e.Cause)
}

// Unwrap returns the error of the context.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// Drain rejects further requests, for good, and waits until all accepted ones have
// their final response. Where the context ends first, it returns an *UnansweredError;
// the requests then go on. Any goroutine but the loop's may call it, one at a time.
func (n *Node) Drain(ctx context.Context) error {
	for {
		unanswered := n.closeForRequests()
		if unanswered == 0 {
			return nil
		}
		select {
		case <-n.allAnswered:
		case <-ctx.Done():
			return &UnansweredError{Requests: unanswered, Cause: ctx.Err()}
		}
	}
}

// closeForRequests rejects further requests and returns how many are unanswered.
func (n *Node) closeForRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
	return n.unanswered
}

// AbortRequests rejects further requests, for good, and has the loop answer all that
// are unanswered at once: they are rejected where nothing was sent, so that a retry is
// harmless, and failed otherwise. It may be called from any goroutine and never blocks.
func (n *Node) AbortRequests() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
	n.enqueueLocked(requestsAborted{})
}

// abortRequests answers every request, and cancels attempts in flight.
func (n *Node) abortRequests() {
	for _, r := range n.requests {
		if !r.isAnswered() {
			n.abortRequest(r)
		}
	}
}

func (n *Node) abortRequest(r *pendingRequest) {
	n.abandonCheck(r)
	response := FinalResponse{Kind: Failed, Reason: ReasonDraining}
	if r.attempts.count == 0 {
		response.Kind = Rejected
		response.RetryAfter = n.options.Settings.MaxRetryAfter
	}
	n.queuePolicyEvent(policy.ClientDisconnected{ID: r.id})
	n.respond(r, response)
	if r.attempts.active {
		n.finishAttempt(r, Result{Code: policy.Cancelled, Detail: "node is shutting down"})
	}
	n.releaseIfDone(r)
}
