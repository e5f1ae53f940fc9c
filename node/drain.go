package node

import (
	"context"
	"fmt"

	"yardcleat.example/yardcleat/policy"
)

// UnansweredError is returned by Drain if its context ends before all requests are answered.
type UnansweredError struct {
	Requests int   // requests without a final response; at least 1
	Cause    error // the error of the context
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%d requests not answered: %v", e.Requests, e.Cause)
}

// Unwrap returns the error of the context.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// Drain permanently rejects further requests and waits until all accepted requests have
// their final response. If the context ends first, it returns an *UnansweredError; the
// requests then continue. It must not be called in the loop, nor concurrently with itself.
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

// closeForRequests makes the node reject further requests, and returns how many are unanswered.
func (n *Node) closeForRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
	return n.unanswered
}

// AbortRequests permanently rejects further requests and has the loop answer all unanswered
// ones immediately. A request is rejected if nothing of it was sent, since a retry is then
// harmless, and failed otherwise. It may be called from any goroutine and never blocks.
func (n *Node) AbortRequests() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
	n.enqueueLocked(requestsAborted{})
}

// abortRequests answers every unanswered request and cancels its attempt in flight.
func (n *Node) abortRequests() {
	for _, r := range n.requests {
		if !r.isAnswered() {
			n.abortRequest(r)
		}
	}
}

func (n *Node) abortRequest(r *pendingRequest) {
	n.cancelAuthorization(r)
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
