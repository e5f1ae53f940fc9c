package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
)

// HTTPRequest is the content of a client's request, as it is forwarded.
type HTTPRequest struct {
	Method string
	Target string // path and query, as received
	Host   string
	Header http1.Header // end-to-end fields only
	Body   []byte
}

// Request is one request of a client, whatever its protocol. The node changes the field
// HTTP as the authorization service asks for; the others stay as they were submitted.
type Request struct {
	Trace    string  // request ID, for logs and records
	Class    string  // name of a class of the policy's settings
	Customer string  // whose quotas apply
	Plan     string  // name of a plan of the policy's settings
	Units    float64 // what the request counts against the customer's quota

	// FirstGateway and GatewaySpread name the gateways that receive the customer's
	// requests: GatewaySpread of them, at least one, counted from FirstGateway on.
	FirstGateway  int
	GatewaySpread int

	Arrived       time.Time     // when the request was received; zero: when it is submitted
	ClientTimeout time.Duration // how long after Arrived the client gives up
	ClientRetry   bool          // the client marked the request as a retry

	// Proxied requests are forwarded by the proxy that asked: they are answered with a
	// ForwardPermit in place of a server's response.
	Proxied bool

	HTTP          HTTPRequest
	ClientAddress string // host:port of the client; "": not known
	LocalAddress  string // host:port that the client connected to; "": not known
}
