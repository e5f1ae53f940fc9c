package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
)

// HTTPRequest is the content of a client's request, as it is forwarded.
type HTTPRequest struct {
	Method string
	Target string // path and query, as they came in
	Host   string
	Header http1.Header // end-to-end fields only
	Body   []byte
}

// Request is one request of a client, whatever protocol it came by. The node changes
// Call as the authorization service asks for; all else stays as it was submitted.
type Request struct {
	Trace    string  // request ID, for logs and records
	Class    string  // name of a class of the policy's settings
	Customer string  // whose quotas apply
	Plan     string  // name of a plan of the policy's settings
	Units    float64 // what the request counts against the customer's quota

	// FirstGateway and GatewaySpread say by which gateways the customer's requests come
	// in: GatewaySpread of them, at least one, counted from FirstGateway on.
	FirstGateway  int
	GatewaySpread int

	Arrived       time.Time     // when the request came in; zero: when it is submitted
	ClientTimeout time.Duration // how long after Arrived the client gives up
	ClientRetry   bool          // the client marked the request as a retry

	// Proxied requests are forwarded by the proxy that asked: they are answered with a
	// ForwardPermit in place of a server's response.
	Proxied bool

	HTTP          HTTPRequest
	ClientAddress string // host:port of the client; "": not known
	LocalAddress  string // host:port that the client connected to; "": not known
}
