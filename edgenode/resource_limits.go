package edgenode

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy/connections"
)

// Maximum sizes of one message.
const (
	maxLineBytes    = 4 << 10
	maxHeaderFields = 64
	maxHeaderBytes  = 16 << 10
	maxRequestBody  = 64 << 10 // bytes; the platform's limit
)

// Timeouts of connections from clients, and the response margin.
const (
	responseMargin      = 15 * time.Millisecond   // how long before the client's timeout the final response is sent
	firstRequestTimeout = 2500 * time.Millisecond // from the connection to the complete first request
	requestTimeout      = 2 * time.Second         // from a request's first byte to the end of its header, and from there to the end of its body
	idleTimeout         = 20 * time.Second        // of a connection without a request
	writeTimeout        = 3 * time.Second         // for a client to receive a response

	// minIdleBeforeEviction is how long a client's connection must be idle before it may be
	// evicted in favor of another. The platform does not allow earlier evictions.
	minIdleBeforeEviction = 2 * time.Second

	// cachedListDelay is how long the node waits for discovery before the cached endpoint
	// list makes it ready.
	cachedListDelay = time.Second
)

// serverIdleFraction is the fraction of the servers' idle timeout during which an idle
// connection is reused. After that the server may already be closing it.
const serverIdleFraction = 0.7

// resourceLimits is the division of the resources that the process may use.
type resourceLimits struct {
	connections          connections.Limits // of clients
	maxServerConnections int

	maxResponseBody int64 // bytes of one response of a server
	clientMemory    int64 // bytes of all requests and responses together, but for the free bytes of each request

	freeBytesOfRequest int64 // of a request and its response

	customerMemory int // bytes of the policy's state of customers
}

// The division of file descriptors and memory.
const (
	// reservedSockets is the number of descriptors for the listener, the calls of discovery in
	// flight, peers and the runtime.
	reservedSockets = 24
	// waitingSockets is the number of descriptors for connections of clients that are accepted and wait for room.
	waitingSockets = 1
	// serverSocketsDivisor: a quarter of the descriptors is for connections to servers.
	serverSocketsDivisor = 4
	// idleSocketsDivisor: at most a sixth of the descriptors may be idle connections of
	// clients. Requests use up to a third of the descriptors, and idle connections must not
	// keep new ones from reaching the node.
	idleSocketsDivisor = 6
	// turnoverSocketsDivisor: a 32nd of the descriptors, and at least four, may be connections of clients that are
	// closing. As many are left to requests that are rejected because all other connections have one in flight.
	turnoverSocketsDivisor = 32
	minTurnoverSockets     = 4
	// clientMemoryDivisor: a quarter of the memory is for requests and responses.
	clientMemoryDivisor = 4
	// freeMemoryDivisor: a sixteenth of the memory is divided evenly among the connections of clients, so that short
	// requests and responses always have room.
	freeMemoryDivisor = 16
	maxFreeBytes      = 64 << 10
	// customerMemoryDivisor: an eighth of the memory is for the state of customers.
	customerMemoryDivisor = 8
	// singleResponseDivisor: one response may use a 32nd of the memory, and at most 4 MiB.
	singleResponseDivisor  = 32
	maxSingleResponseBytes = 4 << 20
)

const bytesPerMB = 1 << 20

// divideResources divides descriptors and memory. Connections of clients get the descriptors
// that remain.
func divideResources(l Limits) resourceLimits {
	var r resourceLimits
	r.maxServerConnections = l.Sockets / serverSocketsDivisor
	turnover := max(minTurnoverSockets, l.Sockets/turnoverSocketsDivisor)
	maxOpen := l.Sockets - r.maxServerConnections - reservedSockets - waitingSockets
	r.connections = connections.Limits{
		MaxOpen:     maxOpen,
		MaxActive:   maxOpen - turnover,
		MaxInFlight: maxOpen - 2*turnover,
		MaxIdle:     l.Sockets / idleSocketsDivisor,
		MinIdleTime: minIdleBeforeEviction,
	}
	memory := int64(l.MemoryMB * bytesPerMB)
	r.clientMemory = memory / clientMemoryDivisor
	r.freeBytesOfRequest = min(maxFreeBytes, memory/freeMemoryDivisor/int64(maxOpen))
	r.customerMemory = int(memory / customerMemoryDivisor)
	r.maxResponseBody = min(memory/singleResponseDivisor, maxSingleResponseBytes)
	return r
}

// messageLimits returns the limits for a message with a body of at most maxBody bytes.
func messageLimits(maxBody int64) http1.Limits {
	return http1.Limits{MaxLineBytes: maxLineBytes, MaxHeaderFields: maxHeaderFields, MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBody}
}
