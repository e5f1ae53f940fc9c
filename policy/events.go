package policy

import (
	"time"
)

// RequestID names one try of a client at one gateway. An ID is never reused.
type RequestID uint64

// ServerID names a server; it is the same at every gateway.
type ServerID uint32

// Event is something a gateway is told.
type Event interface{ event() }

// Request is a client's try. Exactly one final answer is owed for it.
type Request struct {
	ID            RequestID
	Customer      string
	Plan          string
	Class         string
	Units         float64
	Remaining     time.Duration // until the client gives up this try
	FirstGateway  int           // the customer comes in through Spread gateways, at least
	GatewaySpread int           // one, counted round from First; this one is among them
	ClientRetry   bool          // the client marked it as a repeat
}

// ResponseStarted tells that the answer of a streamed class has begun.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
	Server  ServerID
}

// ResultCode says how an attempt ended.
type ResultCode int

// The ends of an attempt. NeverRan tells which prove that it never ran.
const (
	OK ResultCode = iota
	Error
	Rejected
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	TooLate
)

// NeverRan reports whether the code proves that the attempt never ran.
func (c ResultCode) NeverRan() bool { return c == Rejected || c == ConnectFailed || c == TooLate }

// AttemptResult tells how an attempt ended; there is one for each Send.
type AttemptResult struct {
	ID          RequestID
	Attempt     int // attempts of a request count from 0
	Server      ServerID
	Code        ResultCode
	Latency     time.Duration
	Answered    bool      // the request has its final answer
	ActualUnits float64   // true units, where they are settled afterwards; else 0
	LoadMetrics []float64 // load report, as Settings.ReportNames; or nil
}

// ClientDisconnected tells that the client left; nothing more is owed for the request.
type ClientDisconnected struct{ ID RequestID }

// TimerFired tells that a timer set by SetTimer has run out.
type TimerFired struct{ Token string }

// PeerMessage is what another gateway sent with Tell.
type PeerMessage struct {
	From int
	Data []byte
}

// ServerState is a server's state in the list.
type ServerState int

// The states of a server.
const (
	Running ServerState = iota
	Draining
	Removed
)

// Server is one line of the server list.
type Server struct {
	ID           ServerID
	Zone         string
	Cell         int
	State        ServerState
	HasStartTime bool
	StartedAt    time.Duration // time of its last start, where HasStart
	Weight       float64
}

// EndpointUpdateKind says what a Members event holds.
type EndpointUpdateKind int

// The kinds of Members event.
const (
	DeltaUpdate    EndpointUpdateKind = iota // changed servers only
	SnapshotUpdate                           // the whole list; a server not in it is gone
	CachedUpdate                             // a whole list, as last held; may be old
	WatchFailed                              // Watch failed; keep the list
)

// EndpointUpdate brings the server list or changes to it.
type EndpointUpdate struct {
	Kind    EndpointUpdateKind
	Servers []Server
}

// UsageLevel tells how full a customer's store is, by a witness other than the
// peers' reports. It counts only where this gateway can't know yet.
type UsageLevel struct {
	Customer string
	Units    float64
}

// FleetResized tells that the number of gateways has changed from Was, or, where Was is
// 0, that all have heard of the last change: from then on the new parts of
// ceilings hold. Below 0 it held no part before, or can't know. A gateway whose
// number is not below Gateways is leaving.
type FleetResized struct{ Gateways, PreviousSize int }

func (Request) event() {}

func (ResponseStarted) event() {}

func (AttemptResult) event() {}

func (ClientDisconnected) event() {}

func (TimerFired) event() {}

func (PeerMessage) event() {}

func (EndpointUpdate) event() {}

func (UsageLevel) event() {}

func (FleetResized) event() {}
