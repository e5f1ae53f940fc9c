package node

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// Attempt is one attempt at a server, for an Upstream.
type Attempt struct {
	ID            policy.RequestID
	Number        int // attempts of a request count from 0
	Address       string
	ConnectionKey string        // names the server and its start, for its connections; "": the address does
	Timeout       time.Duration // told to the server; the node ends the attempt itself
	Request       *Request
	DecidedAt     time.Time // when the module said so
}

// Result is how an attempt ended.
type Result struct {
	Code     policy.ResultCode
	Response *Response     // of OK, and of Error where there was one
	Detail   string        // for logs
	Latency  time.Duration // from Decided on, as measured where the attempt was made; 0: by the node
}

// Upstream makes attempts. Start returns at once; done is called once, from any
// goroutine, unless the attempt was ended before.
type Upstream interface {
	Start(a Attempt, done func(Result)) OutgoingAttempt
}

// OutgoingAttempt is an attempt under way. Both methods end its work on its connection before
// they return.
type OutgoingAttempt interface {
	Cancel()
	// Withdraw is Cancel where the request is not being written yet, and so can't have
	// run; else it does nothing and is false.
	Withdraw() bool
}
