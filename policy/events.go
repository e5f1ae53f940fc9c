package policy

import "time"

// RequestID names one request of a client at one gateway. An ID must never be reused.
type RequestID uint64

// ServerID names a server. It must be the same at all gateways.
type ServerID uint32

// Event is an input of Handle. Only types of this package implement it.
type Event interface{ event() }

// Request is a request of a client. It gets exactly one final response: that of an attempt, or a Reject or
// Fail. A client's retry is a new Request. Other gateways count its Units rounded up to 1/128, and running
// totals of them rounded up to whole units. In leader mode a request of more than 65,535 units is rejected.
type Request struct {
	ID        RequestID
	Customer  string        // whose quotas apply
	Plan      string        // Plan.Name; one that is not in the settings has no quotas
	Class     string        // Class.Name; one that is not in the settings is NonIdempotent
	Units     float64       // cost, or an estimate of it
	Remaining time.Duration // until the client gives up

	// The customer's requests come in through GatewaySpread gateways (at least 1) from FirstGateway on, where
	// gateway 0 follows the last one. This gateway must be among them, and all gateways must be given the
	// same values for a customer.
	FirstGateway  int
	GatewaySpread int

	ClientRetry bool // the client marked the request as a retry: it gives way to first attempts
}

// ResponseStarted reports that the response to a request of a streaming class has started. From then on the
// attempt is not cancelled.
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
	ActualUnits float64       // the actual cost, if it differs from Request.Units; 0: it does not
	LoadMetrics []float64     // in the order of Settings.LoadMetricNames; may be nil
}

// ResultCode says how an attempt ended.
type ResultCode int

// The results of an attempt. The numbers are part of messages between gateways.
const (
	OK            ResultCode = iota
	Error                    // the server failed
	Rejected                 // the server refused it and did not run it
	TimedOut                 // no response in time
	ConnectFailed            // the server could not be reached
	Reset                    // the connection broke
	Cancelled                // ended by CancelAttempt
	TooLate                  // not sent: no time was left
	Withdrawn                // not sent: its server left first, which is no failure of that server
	NoConnection             // not sent: this gateway had no connection to spare
)

// NeverRan reports whether the code proves that the attempt never ran.
func (c ResultCode) NeverRan() bool {
	switch c {
	case Rejected, ConnectFailed, TooLate, Withdrawn, NoConnection:
		return true
	default:
		return false
	}
}

// attributableToServer reports whether the code says something of the server that the attempt went to.
func (c ResultCode) attributableToServer() bool {
	switch c {
	case TooLate, Cancelled, Withdrawn, NoConnection:
		return false
	default:
		return true
	}
}

// ClientDisconnected reports that the client has disconnected. The request gets no final response any more.
type ClientDisconnected struct{ ID RequestID }

// TimerFired reports that a timer of SetTimer has run out.
type TimerFired struct{ Token string }

// PeerMessage is what another gateway sent with SendPeerMessage. Malformed messages are dropped.
type PeerMessage struct {
	From int // number of the gateway, which the caller has verified
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
	WatchFailed                              // WatchEndpoints failed: it is requested again
)

// EndpointUpdate delivers the server list or changes to it.
type EndpointUpdate struct {
	Kind    EndpointUpdateKind
	Servers []Server
}

// UsageLevel reports the tokens of a customer's rate quota according to an external counter. It is used only
// where this gateway cannot know them: shortly after its start, or while it receives nothing from the
// gateways that know the customer's use elsewhere.
type UsageLevel struct {
	Customer string
	Units    float64 // left in the bucket
}

// FleetResized reports a change of the number of gateways. It comes when the change begins and again, with
// PreviousSize ResizeComplete, when all gateways have been notified. In between, the share of each hard
// ceiling that this gateway uses is the smaller of the old and the new one. When a second change begins
// before the first is complete, the old share remains that before the first. A gateway whose number is not
// below Gateways is leaving.
type FleetResized struct {
	Gateways int // the new number; below 1: the event is ignored

	// PreviousSize is the number of gateways before the change (above 0), ResizeComplete, or
	// UnknownPreviousSize (any number below 0).
	PreviousSize int
}

// Values of FleetResized.PreviousSize that are not a number of gateways.
const (
	// ResizeComplete says that all gateways have been notified of the change.
	ResizeComplete = 0

	// UnknownPreviousSize says that this gateway held no share of any hard ceiling before the change, or
	// cannot know it: it uses none until the change is complete. Every value below 0 means the same.
	UnknownPreviousSize = -1
)

func (Request) event()            {}
func (ResponseStarted) event()    {}
func (AttemptResult) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (PeerMessage) event()        {}
func (EndpointUpdate) event()     {}
func (UsageLevel) event()         {}
func (FleetResized) event()       {}
