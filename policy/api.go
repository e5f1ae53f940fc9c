package policy

import "time"

// RequestID names one try of a client at one gateway. An ID is never reused.
type RequestID uint64

// ServerID names a server; it is the same at every gateway.
type ServerID uint32

// Effect says what a repeat of a request does.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // repeats are dropped inside a group of servers, for a time
	Unsafe               // must not run twice
)

// Group says which servers drop repeats of a keyed request.
type Group int

// The groups.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // those of one zone
	GroupCell              // those of one cell
)

// Class holds the settings of a class of request.
type Class struct {
	Name     string
	Aim      time.Duration // an answer within it earns full worth
	Deadline time.Duration // a client waits this long, over all its tries
	Effect   Effect
	Group    Group         // for Keyed
	Window   time.Duration // for Keyed: how long repeats are remembered
	Stream   bool          // the answer is a stream, announced by Started
}

// Plan holds the quotas of each customer on a plan, over all gateways.
type Plan struct {
	Name        string
	Rate        float64 // units a second; 0: no rate quota
	Burst       float64 // most units the quota's store holds
	Open        int     // most attempts out at once; 0: no such quota
	BeyondEarns float64 // share of the worth earned beyond the quota
	BeyondCosts float64 // share of the worth charged beyond the quota
	HardRate    float64 // units a second of the hard ceiling; 0: none
	HardBurst   float64 // most units the ceiling's store holds
}

// Settings is what a gateway is told at its start.
type Settings struct {
	Me       int // number of this gateway, from 0
	Gateways int // how many gateways there are
	Zone     string
	Classes  []Class
	Plans    []Plan

	Resolution    time.Duration // least time between two events in sequence
	MaxAttempts   int           // attempts allowed for one request; 0: any number
	CanCancel     bool          // Cancel is permitted
	CanTell       bool          // Tell is permitted
	MailPerSecond float64       // peer messages a gateway takes in a second
	LargestUnits  float64       // most units of one request
	MaxRetryAfter time.Duration // longest advice clients heed; 0: no advice
	MustAsk       bool          // server changes come only to those that Watch
	SizeKnown     bool          // Server.Weight is the size of the machine
	CrossZoneCost float64       // charge for an attempt that crosses zones
	ReportNames   []string      // names of the values in Load

	AnswerSlack  time.Duration // final answers are in time this long after a deadline
	ColdShare    float64       // a starting server has at least this share of its capacity
	WarmWithin   time.Duration // and all of it this long after its start
	FallMultiple float64       // a cold server falls when sent this multiple of its capacity
	FallTime     time.Duration // for this long
}

// Names of load report values the module understands.
const (
	LoadActive  = "active"  // requests in progress
	LoadWaiting = "waiting" // requests queued
)

// Code says how an attempt ended.
type Code int

// The ends of an attempt. NeverRan tells which prove that it never ran.
const (
	OK Code = iota
	Error
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// NeverRan reports whether the code proves that the attempt never ran.
func (c Code) NeverRan() bool { return c == Full || c == ConnectFailed || c == Moot }

// Event is something a gateway is told.
type Event interface{ event() }

// Request is a client's try. Exactly one final answer is owed for it.
type Request struct {
	ID        RequestID
	Customer  string
	Plan      string
	Class     string
	Units     float64
	Remaining time.Duration // until the client gives up this try
	First     int           // the customer comes in through Spread gateways, at least
	Spread    int           // one, counted round from First; this one is among them
	Retry     bool          // the client marked it as a repeat
}

// Started tells that the answer of a streamed class has begun.
type Started struct {
	ID      RequestID
	Attempt int
	Server  ServerID
}

// Outcome tells how an attempt ended; there is one for each Send.
type Outcome struct {
	ID      RequestID
	Attempt int // attempts of a request count from 0
	Server  ServerID
	Code    Code
	Latency time.Duration
	Over    bool      // the request has its final answer
	Actual  float64   // true units, where they are settled afterwards; else 0
	Load    []float64 // load report, as Settings.ReportNames; or nil
}

// Gone tells that the client left; nothing more is owed for the request.
type Gone struct{ ID RequestID }

// Timer tells that a timer set by SetTimer has run out.
type Timer struct{ Token string }

// PeerMessage is what another gateway sent with Tell.
type PeerMessage struct {
	From int
	Data []byte
}

// State is a server's state in the list.
type State int

// The states of a server.
const (
	Running State = iota
	Draining
	Removed
)

// Server is one line of the server list.
type Server struct {
	ID       ServerID
	Zone     string
	Cell     int
	State    State
	HasStart bool
	Start    time.Duration // time of its last start, where HasStart
	Weight   float64
}

// MembersKind says what a Members event holds.
type MembersKind int

// The kinds of Members event.
const (
	Changes    MembersKind = iota // changed servers only
	Whole                         // the whole list; a server not in it is gone
	Remembered                    // a whole list, as last held; may be old
	AskFailed                     // Watch failed; keep the list
)

// Members brings the server list or changes to it.
type Members struct {
	Kind    MembersKind
	Servers []Server
}

// Level tells how full a customer's store is, by a witness other than the
// peers' reports. It counts only where this gateway can't know yet.
type Level struct {
	Customer string
	Units    float64
}

// Fleet tells that the number of gateways has changed from Was, or, where Was is
// 0, that all have heard of the last change: from then on the new parts of
// ceilings hold. Below 0 it held no part before, or can't know. A gateway whose
// number is not below Gateways is leaving.
type Fleet struct{ Gateways, Was int }

// Action is something a gateway wants done.
type Action interface{ action() }

// Send starts an attempt. Timeout 0 means until the client gives up.
type Send struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration
}

// Cancel stops waiting for an attempt; its Outcome still comes.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reason says why a request was not served. It explains a decision to clients
// and operators; no decision rests on it.
type Reason byte

// The reasons.
const (
	NoReason  Reason = iota
	OverQuota        // the customer's rate quota has no room
	OverCap          // its cap on attempts out at once was full for too long
	OverHard         // its hard ceiling has no room
	Shed             // the gate lets in only a part, or a repeat gives way to first tries
	NoServer         // no server could take it in time
	NoTime           // too little time was left
	NoRoot           // who keeps the customer's counts did not answer
	Attempted        // attempts were made and no further one may be
)

// Refuse is the final answer that says a retry is harmless.
type Refuse struct {
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

// Tell sends at most 256 bytes to another gateway; it may be lost.
type Tell struct {
	To   int
	Data []byte
}

// Watch asks for the server list and its changes from now on.
type Watch struct{}

// Log writes a line for the operators.
type Log struct{ Text string }

func (Request) event()     {}
func (Started) event()     {}
func (Outcome) event()     {}
func (Gone) event()        {}
func (Timer) event()       {}
func (PeerMessage) event() {}
func (Members) event()     {}
func (Level) event()       {}
func (Fleet) event()       {}

func (Send) action()     {}
func (Cancel) action()   {}
func (Refuse) action()   {}
func (Fail) action()     {}
func (SetTimer) action() {}
func (Tell) action()     {}
func (Watch) action()    {}
func (Log) action()      {}
