package policy

import "time"

// RequestID names one request of a client at one gateway. An ID must never be reused.
type RequestID uint64

// ServerID names a server. It must be the same at all gateways.
type ServerID uint32

// Event is an input of Handle. The types of this package that implement it are all there are.
type Event interface{ event() }

// Request is a request of a client. Exactly one final response is owed for it: that of an attempt, or a
// Reject or Fail. A client's retry is a new Request.
type Request struct {
	ID        RequestID
	Customer  string        // whose quotas apply
	Plan      string        // Plan.Name; one that is not in the settings has no quotas
	Class     string        // Class.Name; one that is not in the settings is NonIdempotent
	Units     float64       // cost, as far as it is known now
	Remaining time.Duration // until the client gives up

	// The customer comes in through GatewaySpread gateways (at least 1), counted round from FirstGateway.
	// This gateway must be among them, and all gateways must be given the same.
	FirstGateway  int
	GatewaySpread int

	ClientRetry bool // the client marked the request as a retry: it gives way to first attempts
}

// ResponseStarted reports that the response of a streaming class has begun. The attempt is then not
// cancelled any more.
type ResponseStarted struct {
	ID      RequestID
	Attempt int // attempts of a request count from 0
	Server  ServerID
}

// AttemptResult reports how an attempt ended. There must be exactly one for each StartAttempt, also after
// CancelAttempt and after the client has gone.
type AttemptResult struct {
	ID          RequestID
	Attempt     int // attempts of a request count from 0
	Server      ServerID
	Code        ResultCode
	Latency     time.Duration // from the start of the attempt
	Answered    bool          // the client has its final response
	ActualUnits float64       // the true cost, where it is known only now; 0: as in Request
	LoadMetrics []float64     // in the order of Settings.LoadMetricNames; may be nil
}

// ResultCode says how an attempt ended.
type ResultCode int

// The results of an attempt. The numbers are part of messages between gateways.
const (
	OK            ResultCode = iota
	Error                    // the server failed
	Rejected                 // the server did not take it
	TimedOut                 // no response in time
	ConnectFailed            // the server could not be reached
	Reset                    // the connection broke
	Cancelled                // CancelAttempt came first
	TooLate                  // it was not sent: no time was left, or no connection was to be had
)

// NeverRan reports whether the code proves that the attempt never ran.
func (c ResultCode) NeverRan() bool { return c == Rejected || c == ConnectFailed || c == TooLate }

// ClientDisconnected reports that the client has gone. No final response is owed any more.
type ClientDisconnected struct{ ID RequestID }

// TimerFired reports that a timer of SetTimer has run out.
type TimerFired struct{ Token string }

// PeerMessage is what another gateway sent with SendPeerMessage. Malformed messages are dropped.
type PeerMessage struct {
	From int // number of the gateway; the caller vouches for it
	Data []byte
}

// ServerState is the state of a server in the server list.
type ServerState int

// The states of a server.
const (
	Running  ServerState = iota
	Draining             // finishes its attempts and gets no more
	Removed              // gone
)

// Server is one line of the server list.
type Server struct {
	ID           ServerID
	Zone         string
	Cell         int // for DedupCell
	State        ServerState
	HasStartTime bool          // without it the server counts as warm
	StartedAt    time.Duration // time of its last start, on the clock of Handle
	Weight       float64       // capacity of its machine, if Settings.WeightIsCapacity
}

// EndpointUpdateKind says what an EndpointUpdate holds.
type EndpointUpdateKind int

// The kinds of EndpointUpdate.
const (
	DeltaUpdate    EndpointUpdateKind = iota // the changed servers only
	SnapshotUpdate                           // the whole list: a server that is not in it is Removed
	CachedUpdate                             // a whole list from a cache, which may be old
	// WatchEndpoints failed: the list stays, and is requested again
	WatchFailed
)

// EndpointUpdate brings the server list or changes to it.
type EndpointUpdate struct {
	Kind    EndpointUpdateKind
	Servers []Server
}

// UsageLevel reports the fill of a customer's rate quota as an external counter knows it. It counts only
// where this gateway cannot know the fill: shortly after its start, or while no other gateway is heard.
type UsageLevel struct {
	Customer string
	Units    float64 // left in the bucket
}

// FleetResized reports that the number of gateways has changed. Until a second one with PreviousSize 0
// reports that all gateways have heard of the change, the share of each hard ceiling held here is the
// smaller of the old and the new one. A gateway whose number is not below Gateways is leaving.
type FleetResized struct {
	Gateways     int // below 1: the event is ignored
	PreviousSize int // below 0: this gateway held no share before, or cannot know
}

func (Request) event()            {}
func (ResponseStarted) event()    {}
func (AttemptResult) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (PeerMessage) event()        {}
func (EndpointUpdate) event()     {}
func (UsageLevel) event()         {}
func (FleetResized) event()       {}
