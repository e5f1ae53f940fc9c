package upstream

import (
	"fmt"
	"strings"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy"
)

// How far an attempt came before it ended without a whole response.
type failurePhase int

const (
	beforeConnect  failurePhase = iota // no connection was made
	beforeWrite                        // the connection took no byte of the request
	duringWrite                        // it took some bytes, not all
	beforeResponse                     // it ended before a byte of the response: reset, closed or half-closed
	duringResponse                     // the response was malformed, too long or cut short
	streamRefused                      // REFUSED_STREAM, or above the last stream of GOAWAY (RFC 9113, 8.7)
)

// outcomesByPhase is the one table of what an attempt's end proves. Only ConnectFailed
// (and a status that the servers' contract reserves, as policy.Rejected) proves that
// nothing ran; silence, a reset or a half-close after a byte has left, and a
// lost keep-alive race prove nothing. A cancel and a time-out are the node's
// own: Cancelled and TimedOut.
var outcomesByPhase = [...]struct {
	code policy.ResultCode
	what string
}{
	beforeConnect:  {policy.ConnectFailed, "not connected"},
	beforeWrite:    {policy.ConnectFailed, "connection ended before a byte was sent"},
	duringWrite:    {policy.Reset, "connection ended while the request was sent"},
	beforeResponse: {policy.Reset, "connection ended without a response"},
	duringResponse: {policy.Reset, "response cut or malformed"},

	streamRefused: {policy.Rejected, "the server did not take the stream"},
}

func attemptOutcome(p failurePhase, err error) (policy.ResultCode, string) {
	return outcomesByPhase[p].code, fmt.Sprintf("%s: %v", outcomesByPhase[p].what, err)
}

// responseStallTimeout is how long an answer that has begun may bring nothing more, of an attempt
// with so much time in all: then it has stopped short, and may have run. The rest of
// the time is enough for another attempt. 0: for any time.
func responseStallTimeout(timeout time.Duration) time.Duration { return timeout * 3 / 20 }

// RejectionSignal is the response that proves, by the servers' contract, that a
// request did not run: a status with a header field. Zero: none does.
type RejectionSignal struct {
	Status          int
	AlternateStatus int    // another status that proves it; 0: none
	Header          string // in canonical form
	SuccessStatus   int    // the one status that is an answer, all others are errors; 0: all below 500 are
}

// Matches tells whether a response is such a one; has looks a field up by its name
// in lower case.
func (t RejectionSignal) Matches(status int, has func(lower string) bool) bool {
	return t.Status != 0 && (status == t.Status || status == t.AlternateStatus) && has(strings.ToLower(t.Header))
}

// resultCode is what a whole response says. A status below 500 is the answer to the
// client's request, whatever it says; one above may come after work was done.
func (t RejectionSignal) resultCode(res *http1.Response) policy.ResultCode {
	switch {
	case t.Matches(res.Status, func(string) bool { return res.Header.Has(t.Header) }):
		return policy.Rejected
	case t.SuccessStatus != 0 && res.Status != t.SuccessStatus, t.SuccessStatus == 0 && res.Status >= 500:
		return policy.Error
	}
	return policy.OK
}
