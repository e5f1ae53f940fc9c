package node

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Attempt is one attempt at a server.
type Attempt struct {
	ID            policy.RequestID
	Number        int           // number of this attempt within its request, from 0
	Address       string        // host:port of the server
	ConnectionKey string        // as in Endpoint
	Timeout       time.Duration // sent to the server; the node itself ends the attempt after it
	Request       *Request      // must not be changed
	DecidedAt     time.Time     // when the policy decided on the attempt

	// SendBy is when the request must be sent completely, or not at all; see policy.StartAttempt. Zero: there is
	// no such limit.
	SendBy time.Time
}

// Result describes how an attempt ended. The node takes ownership of Response.
type Result struct {
	Code     policy.ResultCode
	Response *Response     // with OK, and with Error if the server responded
	Detail   string        // for the log
	Latency  time.Duration // from DecidedAt to the result; if 0, the node measures it

	// ClientDisconnected means that the attempt was not sent because its client has disconnected.
	ClientDisconnected bool
}

// ResultClientDisconnected is the result of an attempt that is not sent because its client has disconnected.
var ResultClientDisconnected = Result{
	Code:               policy.TooLate,
	Detail:             "client disconnected before the request was sent",
	ClientDisconnected: true,
}

// Upstream makes attempts.
type Upstream interface {
	// Start starts an attempt. It is called in the loop and must not block. It calls
	// done once, from any goroutine, unless the attempt is canceled or withdrawn first.
	Start(attempt Attempt, done func(Result)) OutgoingAttempt
}

// OutgoingAttempt is an attempt in flight. Its methods are called in the loop. After one of
// them has ended the attempt, nothing more of it is sent.
type OutgoingAttempt interface {
	// Cancel ends the attempt. It does nothing if the attempt has already ended.
	Cancel()

	// Withdraw ends the attempt and returns true if no part of its request has been written,
	// so that the request can't have run. Otherwise it does nothing and returns false.
	Withdraw() bool
}
