package node

import (
	"slices"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy"
)

// ResponseKind classifies final responses by what a client may conclude from them.
type ResponseKind int

// The kinds of final response.
const (
	Served   ResponseKind = iota // a server's response, or a permit to forward
	Rejected                     // the request did not run, or a retry is harmless; the client may retry
	Failed                       // the request may or may not have run
)

// String returns the kind as it appears in the log.
func (k ResponseKind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Response is the response of a server, or the authorization service's response to a request
// that it denied.
type Response struct {
	Status int          // HTTP status code
	Header http1.Header // end-to-end fields only
	Body   []byte
}

// clone returns a copy that shares nothing with r.
func (r *Response) clone() *Response {
	if r == nil {
		return nil
	}
	return &Response{Status: r.Status, Header: slices.Clone(r.Header), Body: slices.Clone(r.Body)}
}

// FinalResponse is the only response to a Request. It belongs to the receiver, which may change it.
type FinalResponse struct {
	Kind       ResponseKind
	Reason     Reason         // ReasonNone with Served
	Detail     string         // explanation for the client, if the reason is not specific enough
	RetryAfter time.Duration  // with Rejected: how long the client should wait before a retry; 0 if not specified
	Response   *Response      // with Served, and with ReasonAuthorizationDenied; otherwise nil
	Permit     *ForwardPermit // with Served for a Proxied request; otherwise nil
}

// ForwardPermit permits a proxy to make an attempt itself. When the attempt has ended,
// FinishProxiedAttempt must be called with ID and Attempt; otherwise the node ends the
// attempt after Timeout.
type ForwardPermit struct {
	ID            policy.RequestID
	Attempt       int
	Server        string              // host:port of the server to forward to
	Timeout       time.Duration       // timeout of the attempt, from now on
	Authorization AuthorizationResult // header and query changes to the request and its response
}
