package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/timers"
	"yardcleat.example/yardcleat/policy"
)

// requestState is the state of a request between Submit and its release. It changes only
// in the methods of pendingRequest below:
//
//	authorizing → deciding → inFlight → answered
//	                  ↑_________|
//
// Every state may also go straight to answered, which is final.
type requestState int

const (
	stateAuthorizing requestState = iota // waits for the authorization service, or for its first turn in the loop
	stateDeciding                        // waits for the policy's decision
	stateInFlight                        // waits for the result of an attempt
	stateAnswered                        // has its final response; a proxied attempt may still be in flight
)

// pendingRequest is the loop's state of a request until it is answered and no attempt is
// in flight. The loop owns it once Submit has enqueued it.
type pendingRequest struct {
	id      policy.RequestID // 0 until the loop has begun the request
	request *Request
	reply   func(FinalResponse)
	state   requestState
	detail  string // explains the last result, for the log

	receivedAt         time.Duration // since the node's time origin, as is deadline
	deadline           time.Duration // the final response is given no later
	deadlineTimer      *timers.Timer // nil where the request is answered as it begins
	clientDisconnected bool          // before the request was begun

	authorization authorizationCheck
	attempts      attemptHistory
	work          outgoingWork
}

// authorizationCheck is the last authorization check of a request and its result.
type authorizationCheck struct {
	number    int           // of the last check started
	startedAt time.Duration // since the node's time origin
	result    AuthorizationResult
	granted   AuthorizationResult // the result by which the request was let through
}

// attemptHistory is the number of attempts of a request, and the state of the last one.
type attemptHistory struct {
	count      int // attempts started; they are numbered from 0
	active     bool
	server     policy.ServerID
	startedAt  time.Duration // since the node's time origin
	lastResult policy.ResultCode
}

// current is the number of the last attempt.
func (h *attemptHistory) current() int { return h.count - 1 }

// isActive reports whether an attempt is the one in flight.
func (h *attemptHistory) isActive(attempt int) bool { return h.active && attempt == h.current() }

// outgoingWork is the authorization check or the attempt in flight: a request never
// has both. The zero value is none.
type outgoingWork struct {
	timeout  *timers.Timer
	cancel   func()      // nil where nothing is to be canceled
	withdraw func() bool // see OutgoingAttempt; nil for checks and proxied attempts
}

// isRunning reports whether there is work in flight.
func (w *outgoingWork) isRunning() bool { return w.timeout != nil }

// stop ends the work; it does nothing where there is none.
func (w *outgoingWork) stop() {
	w.timeout.Stop()
	if w.cancel != nil {
		w.cancel()
	}
	*w = outgoingWork{}
}

// completed notes that the work ended by itself, so that there is nothing to cancel.
func (w *outgoingWork) completed() { w.cancel, w.withdraw = nil, nil }

// tryWithdraw ends an attempt that has not begun to write its request, and reports
// whether it did.
func (w *outgoingWork) tryWithdraw() bool { return w.withdraw != nil && w.withdraw() }

// awaitAuthorization begins the state of a request that waits for its check.
func (r *pendingRequest) awaitAuthorization() { r.state = stateAuthorizing }

// awaitDecision begins the state of a request that waits for the policy.
func (r *pendingRequest) awaitDecision() { r.state = stateDeciding }

// beginAttempt counts an attempt, whether or not it can still be sent, and returns its
// number.
func (r *pendingRequest) beginAttempt(server policy.ServerID, now time.Duration) int {
	r.attempts.server = server
	r.attempts.startedAt = now
	r.attempts.active = true
	r.attempts.count++
	return r.attempts.current()
}

// awaitAttempt waits for the result of the attempt that is being sent.
func (r *pendingRequest) awaitAttempt() { r.state = stateInFlight }

// endAttempt records the result of the active attempt. A request that is not answered
// goes back to the policy.
func (r *pendingRequest) endAttempt(result Result) {
	r.attempts.active = false
	r.attempts.lastResult = result.Code
	if result.Detail != "" {
		r.detail = result.Detail
	}
	if r.state == stateInFlight {
		r.awaitDecision()
	}
}

// markAnswered is the final state.
func (r *pendingRequest) markAnswered() { r.state = stateAnswered }

// isAnswered reports whether the request has its final response.
func (r *pendingRequest) isAnswered() bool { return r.state == stateAnswered }

// isDone reports whether nothing more happens to the request.
func (r *pendingRequest) isDone() bool { return r.isAnswered() && !r.attempts.active }
