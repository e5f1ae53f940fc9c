package policy

import "time"

// RequestID names one try of a client at one gateway. An ID is never reused.
type RequestID uint64

// ServerID names a server; it is the same at every gateway.
type ServerID uint32

// Idempotency says what a repeat of a request does.
type Idempotency int

// The kinds of effect.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // repeats are dropped inside a group of servers, for a time
	NonIdempotent                        // must not run twice
)

// DedupScope says which servers drop repeats of a keyed request.
type DedupScope int

// The groups.
const (
	DedupAllServers DedupScope = iota // all servers
	DedupZone                         // those of one zone
	DedupCell                         // those of one cell
)

// Class holds the settings of a class of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns full worth
	Deadline         time.Duration // a client waits this long, over all its tries
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are remembered
	Streaming        bool          // the answer is a stream, announced by Started
}

// Plan holds the quotas of each customer on a plan, over all gateways.
type Plan struct {
	Name           string
	Rate           float64 // units a second; 0: no rate quota
	Burst          float64 // most units the quota's store holds
	MaxInFlight    int     // most attempts out at once; 0: no such quota
	OverQuotaValue float64 // share of the worth earned beyond the quota
	OverQuotaCost  float64 // share of the worth charged beyond the quota
	HardRate       float64 // units a second of the hard ceiling; 0: none
	HardBurst      float64 // most units the ceiling's store holds
}

// Settings is what a gateway is told at its start.
type Settings struct {
	SelfIndex int // number of this gateway, from 0
	Gateways  int // how many gateways there are
	Zone      string
	Classes   []Class
	Plans     []Plan

	Resolution            time.Duration // least time between two events in sequence
	MaxAttempts           int           // attempts allowed for one request; 0: any number
	CanCancel             bool          // Cancel is permitted
	CanMessagePeers       bool          // Tell is permitted
	PeerMessagesPerSecond float64       // peer messages a gateway takes in a second
	MaxRequestUnits       float64       // most units of one request
	MaxRetryAfter         time.Duration // longest advice clients heed; 0: no advice
	MustWatchEndpoints    bool          // server changes come only to those that Watch
	WeightIsCapacity      bool          // Server.Weight is the size of the machine
	CrossZoneCost         float64       // charge for an attempt that crosses zones
	LoadMetricNames       []string      // names of the values in Load

	ResponseGrace      time.Duration // final answers are in time this long after a deadline
	InitialCapacity    float64       // a starting server has at least this share of its capacity
	WarmupTime         time.Duration // and all of it this long after its start
	ColdOverloadFactor float64       // a cold server falls when sent this multiple of its capacity
	ColdOverloadTime   time.Duration // for this long
}

// Names of load report values the module understands.
const (
	LoadActive  = "active"  // requests in progress
	LoadWaiting = "waiting" // requests queued
)

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

func (Request) event()            {}
func (ResponseStarted) event()    {}
func (AttemptResult) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (PeerMessage) event()        {}
func (EndpointUpdate) event()     {}
func (UsageLevel) event()         {}
func (FleetResized) event()       {}

func (StartAttempt) action()    {}
func (CancelAttempt) action()   {}
func (Reject) action()          {}
func (Fail) action()            {}
func (SetTimer) action()        {}
func (SendPeerMessage) action() {}
func (WatchEndpoints) action()  {}
func (Log) action()             {}
