package policy

import "time"

// Action is an output of Handle. The caller must carry out the actions of a call in order. Only types of this
// package implement it.
type Action interface{ action() }

// StartAttempt starts an attempt of a request at a server. An AttemptResult must follow.
type StartAttempt struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration // 0: no limit but the request's deadline

	// SendWithin is the time from now within which the request must be sent completely. If it is not, the
	// attempt must end: servers that drop repeats of the request may have forgotten its key by then. An
	// attempt of which nothing was sent ends with TooLate. 0: no limit.
	SendWithin time.Duration
}

// CancelAttempt stops waiting for an attempt, if it has not ended. Its AttemptResult must still follow.
type CancelAttempt struct {
	ID      RequestID
	Attempt int // attempts of a request count from 0
}

// Reason is why a request was not served. It explains a decision to clients and operators; no decision
// depends on it. The numbers are part of messages between gateways.
type Reason byte

// The values of Reason.
const (
	// ReasonNone means that no reason is given.
	ReasonNone Reason = iota

	// ReasonQuotaExceeded means that the customer's rate quota has fewer tokens than the request costs.
	ReasonQuotaExceeded

	// ReasonInFlightLimit means that the customer's cap on attempts in flight was reached for too long, or
	// that the quota leader that queued the request stopped responding.
	ReasonInFlightLimit

	// ReasonCeilingExceeded means that the share of the customer's hard ceiling that the deciding gateway
	// holds has fewer tokens than the request costs.
	ReasonCeilingExceeded

	// ReasonLoadShed means that the request was shed because of overload, or that it was a client's retry
	// while there was a shortage of tokens or servers.
	ReasonLoadShed

	// ReasonNoServer means that no server had capacity in time.
	ReasonNoServer

	// ReasonNoTime means that too little time was left when the request arrived, or that its deadline passed
	// while it waited for a lease.
	ReasonNoTime

	// ReasonNoQuotaLeader means that the quota leaders of the customer did not respond, and that the request
	// could not be admitted without them.
	ReasonNoQuotaLeader

	// ReasonAttemptsExhausted means that attempts were made, and no further one is allowed.
	ReasonAttemptsExhausted
)

// Reject is a final response to a request for which a retry by the client is harmless: the request has not
// run, or a second run is harmless or prevented by the servers.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // Settings.MaxRetryAfter; 0: no Retry-After is advised
	Reason     Reason
}

// Fail is a final response to a request that may have run, so that a retry by the client could run it twice.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// SetTimer requests a TimerFired event after a time, early or late by at most Settings.Resolution. Several
// timers with the same token may run concurrently.
type SetTimer struct {
	Token string
	After time.Duration
}

// SendPeerMessage sends at most 256 bytes to another gateway. The message may be lost, delayed or
// reordered.
type SendPeerMessage struct {
	To   int // number of the gateway; below 0: all others
	Data []byte
}

// WatchEndpoints requests the endpoint list, and all later changes of it, as EndpointUpdate events.
type WatchEndpoints struct{}

// Log writes a log line for the operators.
type Log struct{ Text string }

func (StartAttempt) action()    {}
func (CancelAttempt) action()   {}
func (Reject) action()          {}
func (Fail) action()            {}
func (SetTimer) action()        {}
func (SendPeerMessage) action() {}
func (WatchEndpoints) action()  {}
func (Log) action()             {}
