package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy"
)

// ResponseKind is what a final answer says.
type ResponseKind int

// The kinds of answer.
const (
	Served   ResponseKind = iota // a server's answer, or leave to forward
	Rejected                     // a retry is harmless
	Failed                       // promises nothing
)

func (k ResponseKind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Response is what a server, or the authoriser in denying, answered.
type Response struct {
	Status int
	Header http1.Header // end-to-end fields
	Body   []byte
}

// FinalResponse is the one final answer to a Try.
type FinalResponse struct {
	Kind       ResponseKind
	Reason     Reason
	Detail     string         // for the client to read, where the reason does not say it all
	RetryAfter time.Duration  // with Refused: advice; 0: none
	Response   *Response      // of Served, and of authorisation-denied
	Permit     *ForwardPermit // of Served to a Proxied try
}

// ForwardPermit lets a proxy make the attempt itself.
type ForwardPermit struct {
	ID            policy.RequestID
	Attempt       int
	Server        string // address
	Timeout       time.Duration
	Authorization AuthorizationResult // what the authoriser changes
}
