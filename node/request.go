package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/memory"
)

// HTTPRequest is the content of a client's request, as it is forwarded.
type HTTPRequest struct {
	Method string
	Target string // path and query, as received
	Host   string
	Header http1.Header // end-to-end fields only
	Body   []byte
}

// Request is a client's request, independent of its protocol. The node changes only the
// field HTTP, as specified by the authorization service.
type Request struct {
	Trace    string  // request ID, for logs and records
	Class    string  // name of a class of the policy's settings
	Customer string  // the customer whose quotas apply
	Plan     string  // name of a plan of the policy's settings
	Units    float64 // cost counted against the customer's quota

	// FirstGateway and GatewaySpread identify the gateways that receive the customer's
	// requests: GatewaySpread consecutive gateways, at least one, starting at FirstGateway.
	FirstGateway  int
	GatewaySpread int

	Arrived       time.Time     // when the request was received; zero means when it is submitted
	ClientTimeout time.Duration // how long after Arrived the client stops waiting
	ClientRetry   bool          // the client marked the request as a retry

	// Proxied means that the request is forwarded by the proxy that submitted it. It is
	// answered with a ForwardPermit instead of a server's response.
	Proxied bool

	HTTP          HTTPRequest
	ClientAddress string // host:port of the client; empty if unknown
	LocalAddress  string // host:port that the client connected to; empty if unknown

	Client ClientConnection // nil if it can't be looked at

	// Memory is what the request and its response hold until the response is written. nil: not limited.
	Memory *memory.Account
}

// ClientConnection is the connection on which a client waits for the response to one request. An Upstream
// looks at it right before it writes the request: the event that the client has disconnected passes through
// several goroutines, and an attempt may be written before they get to run. Its methods may be called from any
// goroutine.
type ClientConnection interface {
	// AwaitReceived waits until what the client has sent by now is handled, for a few milliseconds at most.
	AwaitReceived()

	// Disconnected reports whether the client has disconnected. It does not block.
	Disconnected() bool
}
