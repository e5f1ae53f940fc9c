package policy

import (
	"time"
)

// Action is something a gateway wants done.
type Action interface{ action() }

// StartAttempt starts an attempt. Timeout 0 means until the client gives up.
type StartAttempt struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration
}

// CancelAttempt stops waiting for an attempt; its Outcome still comes.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Reason says why a request was not served. It explains a decision to clients
// and operators; no decision rests on it.
type Reason byte

// The reasons.
const (
	ReasonNone              Reason = iota
	ReasonQuotaExceeded            // the customer's rate quota has no room
	ReasonInFlightLimit            // its cap on attempts out at once was full for too long
	ReasonCeilingExceeded          // its hard ceiling has no room
	ReasonLoadShed                 // the gate lets in only a part, or a repeat gives way to first tries
	ReasonNoServer                 // no server could take it in time
	ReasonNoTime                   // too little time was left
	ReasonNoQuotaLeader            // who keeps the customer's counts did not answer
	ReasonAttemptsExhausted        // attempts were made and no further one may be
)

// Reject is the final answer that says a retry is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // advice to the client; 0: none
	Reason     Reason
}

// Fail is the final answer that promises nothing.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// SetTimer asks for a Timer event after a time.
type SetTimer struct {
	Token string
	After time.Duration
}

// SendPeerMessage sends at most 256 bytes to another gateway; it may be lost.
type SendPeerMessage struct {
	To   int
	Data []byte
}

// WatchEndpoints asks for the server list and its changes from now on.
type WatchEndpoints struct{}

// Log writes a line for the operators.
type Log struct{ Text string }

func (StartAttempt) action() {}

func (CancelAttempt) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (SetTimer) action() {}

func (SendPeerMessage) action() {}

func (WatchEndpoints) action() {}

func (Log) action() {}
