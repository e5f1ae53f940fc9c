package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy"
)

// ResponseKind is what a client may conclude from a final response.
type ResponseKind int

// The kinds of final response.
const (
	Served   ResponseKind = iota // a server's response, or a permit to forward
	Rejected                     // nothing ran, or running again is harmless: the client may retry
	Failed                       // the request may or may not have run
)

// String returns the kind as it appears in the log.
func (k ResponseKind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Response is the response of a server, or of the authorization service to a request that
// it denied.
type Response struct {
	Status int          // HTTP status code
	Header http1.Header // end-to-end fields only
	Body   []byte
}

// FinalResponse is the one response to a Request. The receiver may keep it but must not
// change Response: a denial may be cached and given to several requests.
type FinalResponse struct {
	Kind       ResponseKind
	Reason     Reason         // ReasonNone with Served
	Detail     string         // for the client to read, where the reason does not say enough
	RetryAfter time.Duration  // with Rejected: the client should wait this long; 0: no advice
	Response   *Response      // with Served, and with ReasonAuthorizationDenied; else nil
	Permit     *ForwardPermit // with Served for a Proxied request; else nil
}

// ForwardPermit lets a proxy make an attempt itself. FinishProxiedAttempt is called with
// ID and Attempt when the attempt has ended; without that, the node ends it after
// Timeout.
type ForwardPermit struct {
	ID            policy.RequestID
	Attempt       int
	Server        string              // host:port of the server to forward to
	Timeout       time.Duration       // for the attempt, from now on
	Authorization AuthorizationResult // changes to the request and its response
}
