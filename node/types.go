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

// Try is one client's try, whatever protocol it came by.
type Try struct {
	Trace    string // request id, for logs and records
	Class    string
	Customer string
	Plan     string
	Units    float64
	First    int // the customer comes in through Spread nodes from First on
	Spread   int
	Arrived  time.Time     // when it came in; zero: as it is taken
	Patience time.Duration // from then until the client gives up
	Repeat   bool          // the client marked it as one
	Proxied  bool          // the front's client forwards it itself; an Answer with Go lets it
	Call     Call
	Client   string // address of who asked, where known: host:port
	Local    string // address it was asked at
}

// Kind is what a final answer says.
type Kind int

// The kinds of answer.
const (
	Served  Kind = iota // a server's answer, or leave to forward
	Refused             // a retry is harmless
	Failed              // promises nothing
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Reason says why a request was not served; this is the whole list.
type Reason string

// The reasons.
const (
	None                     Reason = ""
	BadRequest               Reason = "bad-request"
	TooLarge                 Reason = "too-large"
	UnknownKey               Reason = "unknown-key"
	NoRoute                  Reason = "no-route"
	Quota                    Reason = "quota"
	OpenCap                  Reason = "open-cap"
	Ceiling                  Reason = "ceiling"
	Shed                     Reason = "shed"
	NoServer                 Reason = "no-server"
	NoTime                   Reason = "no-time"
	QuotaUnknown             Reason = "quota-unknown"
	ServerGone               Reason = "server-gone"
	ServerError              Reason = "server-error"
	ServerFull               Reason = "server-full"
	ServerLate               Reason = "server-late"
	AuthorisationDenied      Reason = "authorisation-denied"
	AuthorisationLate        Reason = "authorisation-late"
	AuthorisationUnreachable Reason = "authorisation-unreachable"
	Overload                 Reason = "overload"
	Draining                 Reason = "draining"
	Internal                 Reason = "internal"
	ClientGone               Reason = "client-gone" // in logs only
)

// Response is what a server, or the authoriser in denying, answered.
type Response struct {
	Status int
	Header http1.Header // end-to-end fields
	Body   []byte
}

// Answer is the one final answer to a Try.
type Answer struct {
	Kind       Kind
	Reason     Reason
	Detail     string        // for the client to read, where the reason does not say it all
	RetryAfter time.Duration // with Refused: advice; 0: none
	Response   *Response     // of Served, and of authorisation-denied
	Go         *Go           // of Served to a Proxied try
}

// Go lets a proxy make the attempt itself.
type Go struct {
	ID      policy.RequestID
	Attempt int
	Server  string // address
	Timeout time.Duration
	Allowed Checked // what the authoriser changes
}

// Attempt is one attempt at a server, for an Upstream.
type Attempt struct {
	ID      policy.RequestID
	Number  int // attempts of a request count from 0
	Address string
	Key     string        // names the server and its start, for its connections; "": the address does
	Timeout time.Duration // told to the server; the node ends the attempt itself
	Try     *Try
	Decided time.Time // when the module said so
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
	Start(a Attempt, done func(Result)) Sending
}

// Sending is an attempt under way. Both methods end its work on its connection before
// they return.
type Sending interface {
	Cancel()
	// Withdraw is Cancel where the request is not being written yet, and so can't have
	// run; else it does nothing and is false.
	Withdraw() bool
}

// Checked is how a Check ended.
type Checked struct {
	Verdict authz.Verdict
	Denial  *Response     // of Denied
	Set     http1.Header  // of Allowed: fields that replace the client's
	Append  http1.Header  // fields added to them
	Remove  []string      // fields taken out
	Life    time.Duration // that the authoriser states for its answer; 0: none
	Detail  string        // for logs
	Query   []http1.Field // of Allowed: query parameters set
	Unquery []string      // and taken out
	Add     http1.Header  // fields added to the client's response
}

// Authoriser asks the external authorisation service at one of its addresses,
// counted from 0. Check returns at once; done is called once, from any goroutine,
// unless cancel was called before.
type Authoriser interface {
	Check(target int, t *Try, budget time.Duration, done func(Checked)) (cancel func())
}

// Server is a line of the server list with its address.
type Server struct {
	policy.Server // Start is not used: see Started
	Address       string
	Key           string    // names it and its start, for connections to it; "": the address does
	Started       time.Time // wall clock; zero: not known
}
