package policy

import "time"

// Action is an output of Handle. The caller must carry out the actions of a call in order. Only types of this
// package implement it.
type Action interface{ action() }

// StartAttempt starts an attempt of a request at a server. An AttemptResult must follow.
type StartAttempt struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration // 0: until the client gives up
}

// CancelAttempt stops waiting for an attempt, if it has not ended. Its AttemptResult must still follow.
type CancelAttempt struct {
	ID      RequestID
	Attempt int // attempts of a request count from 0
}

// Reason says why a request was not served. It explains a decision to clients and operators; no decision
// rests on it. The numbers are part of messages between gateways.
type Reason byte

// The reasons.
const (
	ReasonNone Reason = iota

	// ReasonQuotaExceeded: the customer's rate quota has fewer tokens than the request costs.
	ReasonQuotaExceeded

	// ReasonInFlightLimit: the customer's cap on attempts in flight was full for too long, or the quota
	// leader that queued the request was lost meanwhile.
	ReasonInFlightLimit

	// ReasonCeilingExceeded: the share of the customer's hard ceiling that the deciding gateway holds has
	// fewer tokens than the request costs.
	ReasonCeilingExceeded

	// ReasonLoadShed: the request was shed because of overload, or it was a client's retry while tokens or
	// servers were short.
	ReasonLoadShed

	// ReasonNoServer: no server had capacity in time.
	ReasonNoServer

	// ReasonNoTime: too little time was left when the request arrived.
	ReasonNoTime

	// ReasonNoQuotaLeader: the quota leaders of the customer did not respond, and the request could not be
	// admitted without them.
	ReasonNoQuotaLeader

	// ReasonAttemptsExhausted: attempts were made, and no further one is allowed.
	ReasonAttemptsExhausted
)

// Reject is a final response to a request for which a retry by the client is harmless: it has not run,
// or a second run is harmless or prevented by the servers.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // Settings.MaxRetryAfter; 0: no advice to the client
	Reason     Reason
}

// Fail is a final response to a request that may have run, so that a retry by the client could run it twice.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// SetTimer requests a TimerFired after a time, early or late by at most Settings.Resolution. Several
// timers with the same token may run at once.
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

// WatchEndpoints requests the server list, and its changes from now on, as EndpointUpdate events.
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
