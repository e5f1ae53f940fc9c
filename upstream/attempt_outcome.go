package upstream

import (
	"fmt"
	"strings"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy"
)

// failurePhase is how far an attempt had got when it ended without a complete response.
type failurePhase int

const (
	beforeConnect  failurePhase = iota // no connection was made
	beforeWrite                        // no byte of the request was written
	duringWrite                        // some bytes of the request may have been written, but not all
	beforeResponse                     // the connection was reset, closed or half-closed before the first byte of the response
	duringResponse                     // the response was malformed, too long or truncated
	streamRefused                      // REFUSED_STREAM, or above the last stream of GOAWAY (RFC 9113, section 8.7)
)

// outcomesByPhase states what the end of an attempt proves. Only ConnectFailed and Rejected (a
// refused stream, or the rejection signal of the servers' contract) prove that the request was not
// executed. A stall, a reset or a half-close after a byte was sent proves nothing, and neither does
// a server that closes a reused connection while the request is in transit. The results Cancelled
// and TimedOut are set by the node.
var outcomesByPhase = [...]struct {
	code        policy.ResultCode
	description string
}{
	beforeConnect:  {policy.ConnectFailed, "not connected"},
	beforeWrite:    {policy.ConnectFailed, "connection ended before a byte was sent"},
	duringWrite:    {policy.Reset, "connection ended while the request was sent"},
	beforeResponse: {policy.Reset, "connection ended without a response"},
	duringResponse: {policy.Reset, "response cut or malformed"},

	streamRefused: {policy.Rejected, "the server did not take the stream"},
}

// attemptOutcome returns the result code and the detail of an attempt that failed in a phase.
func attemptOutcome(phase failurePhase, err error) (policy.ResultCode, string) {
	return outcomesByPhase[phase].code, fmt.Sprintf("%s: %v", outcomesByPhase[phase].description, err)
}

// responseStallTimeout returns how long a response that has begun may make no progress before its
// attempt fails; the request may have been executed by then. It is a fraction of the attempt's
// timeout, so that the time left is enough for another attempt. 0: no limit.
func responseStallTimeout(timeout time.Duration) time.Duration { return timeout * 3 / 20 }

// RejectionSignal describes the response that proves, by the servers' contract, that a request was
// not executed: a status together with a header. The zero value matches no response.
type RejectionSignal struct {
	Status          int
	AlternateStatus int    // a second status of rejections; 0: none
	Header          string // name of the header, in canonical form
	SuccessStatus   int    // the only status that is not an error; 0: all below 500 are not
}

// Matches reports whether a response is a rejection. has reports whether the response has a header,
// by its name in lower case.
func (s RejectionSignal) Matches(status int, has func(lower string) bool) bool {
	return s.Status != 0 && (status == s.Status || status == s.AlternateStatus) && has(strings.ToLower(s.Header))
}

// resultCode returns the result code of a complete response. Without a SuccessStatus, a status below
// 500 is a valid response to the client's request. An error does not prove that the request was
// not executed.
func (s RejectionSignal) resultCode(response *http1.Response) policy.ResultCode {
	switch {
	case s.Matches(response.Status, func(string) bool { return response.Header.Has(s.Header) }):
		return policy.Rejected
	case s.SuccessStatus != 0 && response.Status != s.SuccessStatus, s.SuccessStatus == 0 && response.Status >= 500:
		return policy.Error
	}
	return policy.OK
}
