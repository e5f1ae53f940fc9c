// Package node runs the modules of one gateway: a loop that owns them, gives
// them events in order and carries out their actions. Fronts hand it Tries and
// get one Answer for each; upstream carries its attempts to servers.
package node

import (
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy"
)

// Call is a client's request as it is to be forwarded.
type Call struct {
	Method string
	Target string // path and query, as they came in
	Host   string
	Header http1.Header // end-to-end fields
	Body   []byte
}

// Request is one client's try, whatever protocol it came by.
type Request struct {
	Trace         string // request id, for logs and records
	Class         string
	Customer      string
	Plan          string
	Units         float64
	FirstGateway  int // the customer comes in through Spread nodes from First on
	GatewaySpread int
	Arrived       time.Time     // when it came in; zero: as it is taken
	ClientTimeout time.Duration // from then until the client gives up
	ClientRetry   bool          // the client marked it as one
	Proxied       bool          // the front's client forwards it itself; an Answer with Go lets it
	Call          Call
	ClientAddress string // address of who asked, where known: host:port
	LocalAddress  string // address it was asked at
}

// ResponseKind is what a final answer says.
type ResponseKind int

// The kinds of answer.
const (
	Served   ResponseKind = iota // a server's answer, or leave to forward
	Rejected                     // a retry is harmless
	Failed                       // promises nothing
)

func (k ResponseKind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Reason says why a request was not served; this is the whole list.
type Reason string

// The reasons.
const (
	ReasonNone                     Reason = ""
	ReasonBadRequest               Reason = "bad-request"
	ReasonTooLarge                 Reason = "too-large"
	ReasonUnknownKey               Reason = "unknown-key"
	ReasonNoRoute                  Reason = "no-route"
	ReasonQuota                    Reason = "quota"
	ReasonInFlightLimit            Reason = "open-cap"
	ReasonCeiling                  Reason = "ceiling"
	ReasonLoadShed                 Reason = "shed"
	ReasonNoServer                 Reason = "no-server"
	ReasonNoTime                   Reason = "no-time"
	ReasonQuotaUnknown             Reason = "quota-unknown"
	ReasonServerGone               Reason = "server-gone"
	ReasonServerError              Reason = "server-error"
	ReasonServerRejected           Reason = "server-full"
	ReasonServerTimeout            Reason = "server-late"
	ReasonAuthorizationDenied      Reason = "authorisation-denied"
	ReasonAuthorizationTimeout     Reason = "authorisation-late"
	ReasonAuthorizationUnreachable Reason = "authorisation-unreachable"
	ReasonOverload                 Reason = "overload"
	ReasonDraining                 Reason = "draining"
	ReasonInternal                 Reason = "internal"
	ReasonClientDisconnected       Reason = "client-gone" // in logs only
)

// Response is what a server, or the authoriser in denying, answered.
type Response struct {
	Status int
	Header http1.Header // end-to-end fields
	Body   []byte
}

// FinalResponse is the one final answer to a Try.
type FinalResponse struct {
	Kind       ResponseKind
	Reason     Reason
	Detail     string         // for the client to read, where the reason does not say it all
	RetryAfter time.Duration  // with Refused: advice; 0: none
	Response   *Response      // of Served, and of authorisation-denied
	Permit     *ForwardPermit // of Served to a Proxied try
}

// ForwardPermit lets a proxy make the attempt itself.
type ForwardPermit struct {
	ID            policy.RequestID
	Attempt       int
	Server        string // address
	Timeout       time.Duration
	Authorization AuthorizationResult // what the authoriser changes
}

// Attempt is one attempt at a server, for an Upstream.
type Attempt struct {
	ID            policy.RequestID
	Number        int // attempts of a request count from 0
	Address       string
	ConnectionKey string        // names the server and its start, for its connections; "": the address does
	Timeout       time.Duration // told to the server; the node ends the attempt itself
	Request       *Request
	DecidedAt     time.Time // when the module said so
}

// Result is how an attempt ended.
type Result struct {
	Code     policy.ResultCode
	Response *Response     // of OK, and of Error where there was one
	Detail   string        // for logs
	Latency  time.Duration // from Decided on, as measured where the attempt was made; 0: by the node
}

// Upstream makes attempts. Start returns at once; done is called once, from any
// goroutine, unless the attempt was ended before.
type Upstream interface {
	Start(a Attempt, done func(Result)) OutgoingAttempt
}

// OutgoingAttempt is an attempt under way. Both methods end its work on its connection before
// they return.
type OutgoingAttempt interface {
	Cancel()
	// Withdraw is Cancel where the request is not being written yet, and so can't have
	// run; else it does nothing and is false.
	Withdraw() bool
}

// AuthorizationResult is how a Check ended.
type AuthorizationResult struct {
	Verdict         authz.Outcome
	Denial          *Response     // of Denied
	SetHeaders      http1.Header  // of Allowed: fields that replace the client's
	AppendHeaders   http1.Header  // fields added to them
	RemoveHeaders   []string      // fields taken out
	CacheTTL        time.Duration // that the authoriser states for its answer; 0: none
	Detail          string        // for logs
	SetQuery        []http1.Field // of Allowed: query parameters set
	RemoveQuery     []string      // and taken out
	ResponseHeaders http1.Header  // fields added to the client's response
}

// Authorizer asks the external authorisation service at one of its addresses,
// counted from 0. Check returns at once; done is called once, from any goroutine,
// unless cancel was called before.
type Authorizer interface {
	Check(target int, t *Request, budget time.Duration, done func(AuthorizationResult)) (cancel func())
}

// Server is a line of the server list with its address.
type Server struct {
	policy.Server // Start is not used: see Started
	Address       string
	ConnectionKey string    // names it and its start, for connections to it; "": the address does
	StartTime     time.Time // wall clock; zero: not known
}
