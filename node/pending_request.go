package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/timers"
	"yardcleat.example/yardcleat/policy"
)

// requestState is the state of a request between Submit and its release. Only the methods
// of pendingRequest below change it:
//
//	authorizing → deciding → inFlight → answered
//	                  ↑_________|
//
// Every state may also change directly to answered, which is final.
type requestState int

const (
	stateAuthorizing requestState = iota // waits for the authorization service, or to be begun by the loop
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
	detail  string // description of the last result, for the log

	receivedAt         time.Duration // since the node's time origin, like deadline
	deadline           time.Duration // when the final response is due at the latest
	deadlineTimer      *timers.Timer // nil if the request is answered when it is begun
	clientDisconnected bool          // the client disconnected before the request was begun

	authorization authorizationCheck
	attempts      attemptHistory
	work          outgoingWork
}

// authorizationCheck is the last authorization check of a request and its result.
type authorizationCheck struct {
	number    int           // number of the last check started
	startedAt time.Duration // since the node's time origin
	result    AuthorizationResult
	granted   AuthorizationResult // the result that permitted the request
}

// attemptHistory counts the attempts of a request and holds the state of the last one.
type attemptHistory struct {
	count      int // attempts started; they are numbered from 0
	active     bool
	server     policy.ServerID
	startedAt  time.Duration // since the node's time origin
	lastResult policy.ResultCode
	mayHaveRun bool // an attempt has ended of which it is not known that it never ran
}

// current returns the number of the last attempt.
func (h *attemptHistory) current() int { return h.count - 1 }

// isActive reports whether the attempt with the given number is in flight.
func (h *attemptHistory) isActive(attempt int) bool { return h.active && attempt == h.current() }

// outgoingWork is the authorization check or the attempt in flight; a request never has
// both. The zero value means that nothing is in flight.
type outgoingWork struct {
	timeout  *timers.Timer
	cancel   func()      // nil if there is nothing to cancel
	withdraw func() bool // see OutgoingAttempt; nil for checks and proxied attempts
}

// isRunning reports whether a check or an attempt is in flight.
func (w *outgoingWork) isRunning() bool { return w.timeout != nil }

// stop ends the work in flight, if there is any.
func (w *outgoingWork) stop() {
	w.timeout.Stop()
	if w.cancel != nil {
		w.cancel()
	}
	*w = outgoingWork{}
}

// completed records that the work ended by itself, so that stop does not cancel it.
func (w *outgoingWork) completed() { w.cancel, w.withdraw = nil, nil }

// tryWithdraw ends the attempt if it has not begun to write its request, and reports whether
// it ended the attempt.
func (w *outgoingWork) tryWithdraw() bool { return w.withdraw != nil && w.withdraw() }

// awaitAuthorization moves the request to the state in which it waits for its check.
func (r *pendingRequest) awaitAuthorization() { r.state = stateAuthorizing }

// awaitDecision moves the request to the state in which it waits for the policy.
func (r *pendingRequest) awaitDecision() { r.state = stateDeciding }

// beginAttempt counts a new attempt, even if it turns out to be too late to send it, and
// returns its number.
func (r *pendingRequest) beginAttempt(server policy.ServerID, now time.Duration) int {
	r.attempts.server = server
	r.attempts.startedAt = now
	r.attempts.active = true
	r.attempts.count++
	return r.attempts.current()
}

// awaitAttempt moves the request to the state in which it waits for an attempt's result.
func (r *pendingRequest) awaitAttempt() { r.state = stateInFlight }

// endAttempt records the result of the active attempt. If the request is not answered, it
// then waits for the policy again.
func (r *pendingRequest) endAttempt(result Result) {
	r.attempts.active = false
	r.attempts.lastResult = result.Code
	r.attempts.mayHaveRun = r.attempts.mayHaveRun || !result.Code.NeverRan()
	if result.Detail != "" {
		r.detail = result.Detail
	}
	if r.state == stateInFlight {
		r.awaitDecision()
	}
}

// markAnswered moves the request to its final state.
func (r *pendingRequest) markAnswered() { r.state = stateAnswered }

// isAnswered reports whether the request has its final response.
func (r *pendingRequest) isAnswered() bool { return r.state == stateAnswered }

// isDone reports whether the request is answered and has no attempt in flight.
func (r *pendingRequest) isDone() bool { return r.isAnswered() && !r.attempts.active }
