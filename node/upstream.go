package node

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Attempt is one attempt at a server.
type Attempt struct {
	ID            policy.RequestID
	Number        int           // of this attempt; those of a request count from 0
	Address       string        // host:port of the server
	ConnectionKey string        // as in Endpoint
	Timeout       time.Duration // sent to the server; the node ends the attempt itself
	Request       *Request      // must not be changed
	DecidedAt     time.Time     // when the policy decided on the attempt
}

// Result says how an attempt ended. The node owns Response from then on.
type Result struct {
	Code     policy.ResultCode
	Response *Response     // with OK, and with Error where the server responded
	Detail   string        // for the log
	Latency  time.Duration // from DecidedAt to the result; 0: the node measures it
}

// Upstream makes attempts.
type Upstream interface {
	// Start starts an attempt. It is called in the loop and must not block. It calls
	// done once, from any goroutine, unless the attempt is canceled or withdrawn first.
	Start(attempt Attempt, done func(Result)) OutgoingAttempt
}

// OutgoingAttempt is an attempt in flight. Its methods are called in the loop. When they
// return, nothing more of the attempt is sent.
type OutgoingAttempt interface {
	// Cancel ends the attempt. It does nothing where the attempt has ended.
	Cancel()

	// Withdraw ends the attempt and returns true where its request has not begun to be
	// written, and so can't have run. Otherwise it does nothing and returns false.
	Withdraw() bool
}
