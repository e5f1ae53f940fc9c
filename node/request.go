package node

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
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
