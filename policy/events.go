package policy

import "time"

// RequestID identifies one request of a client at one gateway. An ID must never be reused.
type RequestID uint64

// ServerID identifies a server. It must be the same at all gateways.
type ServerID uint32

// Event is an input of Handle. Only types of this package implement it.
type Event interface{ event() }

// Request is a request of a client. It gets exactly one final response: that of an attempt, or a Reject or
// Fail. A client's retry is a new Request. Other gateways count its Units rounded up to 1/128, and running
// totals of them rounded up to whole units. In leader mode a request of more than 65,535 units is rejected.
type Request struct {
	ID        RequestID
	Customer  string        // name of the customer whose quotas apply
	Plan      string        // Plan.Name, under which it counts; one that is not in the settings has no quotas
	Class     string        // Class.Name; a class that is not in the settings is NonIdempotent
	Units     float64       // cost, or an estimate of it
	Remaining time.Duration // time left until the client times out

	// The customer's requests arrive at GatewaySpread gateways (at least 1), starting with FirstGateway and
	// continuing with gateway 0 after the last one. This gateway must be among them, and all gateways must be
	// given the same values for a customer.
	FirstGateway  int
	GatewaySpread int

	ClientRetry bool // the client marked the request as a retry: it is shed before first attempts are
}

// ResponseStarted reports that the response to a request of a streaming class has started. From then on the
// attempt is not canceled.
type ResponseStarted struct {
	ID      RequestID
	Attempt int // attempts of a request count from 0
	Server  ServerID
}

// AttemptResult reports how an attempt ended. There must be exactly one for each StartAttempt, also after
// CancelAttempt and after the client has disconnected.
type AttemptResult struct {
	ID          RequestID
	Attempt     int // attempts of a request count from 0
	Server      ServerID
	Code        ResultCode
	Latency     time.Duration // time from the start of the attempt
	Answered    bool          // the client has received its final response
	ActualUnits float64       // actual cost, if it differs from Request.Units; 0: it does not
	LoadMetrics []float64     // in the order of Settings.LoadMetricNames; may be nil
}

// ResultCode is the result of an attempt.
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
	TooLate                  // not sent: no time was left, or the client had disconnected
	Withdrawn                // not sent: its server was withdrawn first, which is not a failure of the server
	NoConnection             // not sent: this gateway had no free connection
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

// attributableToServer reports whether the code reflects the state of the server to which the attempt was
// sent.
func (c ResultCode) attributableToServer() bool {
	switch c {
	case TooLate, Cancelled, Withdrawn, NoConnection:
		return false
	default:
		return true
	}
}

// ClientDisconnected reports that the client has disconnected. The request gets no final response after it.
type ClientDisconnected struct{ ID RequestID }

// TimerFired reports that a timer requested by SetTimer has expired.
type TimerFired struct{ Token string }

// PeerMessage is a message that another gateway sent with SendPeerMessage. Malformed messages are dropped.
type PeerMessage struct {
	From int // number of the gateway, which the caller has verified
	Data []byte
}

// ServerState is the state of a server in the endpoint list.
type ServerState int

// The states of a server.
const (
	Running  ServerState = iota
	Draining             // finishes its attempts and gets no more
	Removed              // no longer available; deleted once its attempts have ended
)

// Server is one entry of the endpoint list.
type Server struct {
	ID           ServerID
	Zone         string
	Cell         int // the cell that DedupCell refers to
	State        ServerState
	HasStartTime bool          // StartedAt is set; without it the server counts as warm
	StartedAt    time.Duration // time of its last start, on the clock of Handle
	Weight       float64       // capacity of its machine, if Settings.WeightIsCapacity
}

// EndpointUpdateKind is the kind of the content of an EndpointUpdate.
type EndpointUpdateKind int

// The kinds of EndpointUpdate.
const (
	DeltaUpdate    EndpointUpdateKind = iota // only the servers that have changed
	SnapshotUpdate                           // the whole list: a server that is not in it is Removed
	CachedUpdate                             // a whole list from a cache, which may be old
	WatchFailed                              // WatchEndpoints failed: it is requested again
)

// EndpointUpdate delivers the endpoint list or changes to it.
type EndpointUpdate struct {
	Kind    EndpointUpdateKind
	Servers []Server
}

// UsageLevel reports the tokens of a customer's rate quota according to an external counter. It is used only
// while this gateway cannot know them: shortly after its start, or while it receives no messages from the
// gateways that know the customer's use elsewhere.
type UsageLevel struct {
	Customer string
	Units    float64 // tokens left in the bucket
}

// FleetResized reports a change of the number of gateways. The caller sends it when the change begins and
// again, with PreviousSize ResizeComplete, when all gateways have been notified. In between, the share of
// each hard ceiling that this gateway uses is the smaller of the old and the new one. If a second change
// begins before the first is complete, the old share is still that from before the first change. A gateway
// whose number is not below Gateways is leaving the fleet.
type FleetResized struct {
	Gateways int // the new number; below 1: the event is ignored

	// PreviousSize is the number of gateways before the change (above 0), ResizeComplete, or
	// UnknownPreviousSize (any number below 0).
	PreviousSize int
}

// Values of FleetResized.PreviousSize that are not a number of gateways.
const (
	// ResizeComplete means that all gateways have been notified of the change.
	ResizeComplete = 0

	// UnknownPreviousSize means that this gateway held no share of any hard ceiling before the change, or
	// cannot know its share: it uses none until the change is complete. Every value below 0 means the same.
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
