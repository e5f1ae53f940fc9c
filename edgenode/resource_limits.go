package edgenode

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
)

// Bounds of one message.
const (
	maxLineBytes    = 4 << 10
	maxHeaderFields = 64
	maxHeaderBytes  = 16 << 10
	maxRequestBody  = 64 << 10 // bytes; the platform's limit
)

// Timeouts of clients' connections, and the margin of responses.
const (
	responseMargin      = 15 * time.Millisecond   // how long before the client gives up its response is sent
	firstRequestTimeout = 2500 * time.Millisecond // from connecting to the first whole request
	requestTimeout      = 2 * time.Second         // from a request's first byte to its header, and on to its body
	idleTimeout         = 20 * time.Second        // of a client's connection
	writeTimeout        = 3 * time.Second         // for a client to receive a response

	// minIdleBeforeEviction is how long a client's connection is idle before it may be
	// closed in favor of another: the platform allows it from then on.
	minIdleBeforeEviction = 2 * time.Second

	// cachedListDelay is how long the node waits for discovery before the cached endpoint
	// list makes it ready.
	cachedListDelay = time.Second
)

// serverIdleFraction is the part of the servers' idle timeout for which a connection to one
// is used again: beyond it the server may be closing the connection already.
const serverIdleFraction = 0.7

// resourceLimits divides what the process may use.
type resourceLimits struct {
	maxClientConnections     int
	maxIdleClientConnections int
	maxLingeringConnections  int // evicted, and still read from until the client has closed
	maxServerConnections     int

	maxResponseBody      int64 // bytes of one response of a server
	maxBufferedResponses int64 // bytes of all long responses that are being read
}

// The division of file descriptors and memory.
const (
	// ownSockets is for the listener, discovery's old and new connection, peers and the
	// runtime.
	ownSockets = 24
	// A quarter of the descriptors is for connections to servers.
	serverSocketsDivisor = 4
	// Clients use a third of the descriptors for requests, at most. Idle connections must
	// leave them enough to reach this node, so a sixth of all may be idle.
	idleSocketsDivisor = 6
	// A 64th may linger, and never fewer than two.
	lingeringSocketsDivisor = 64
	minLingeringSockets     = 2
	// Long responses have an eighth of the memory together. Requests are short, and so
	// should responses be, but servers send longer ones.
	responseMemoryDivisor = 8
	// One response has a quarter of that, and never more than 4 MiB.
	singleResponseDivisor  = 4
	maxSingleResponseBytes = 4 << 20
)

const bytesPerMB = 1 << 20

// divideResources divides descriptors and memory. Clients get the descriptors that are left.
func divideResources(l Limits) resourceLimits {
	var r resourceLimits
	r.maxServerConnections = l.Sockets / serverSocketsDivisor
	r.maxIdleClientConnections = l.Sockets / idleSocketsDivisor
	r.maxLingeringConnections = max(minLingeringSockets, l.Sockets/lingeringSocketsDivisor)
	r.maxClientConnections = l.Sockets - r.maxServerConnections - ownSockets - r.maxLingeringConnections
	r.maxBufferedResponses = int64(l.MemoryMB * bytesPerMB / responseMemoryDivisor)
	r.maxResponseBody = min(r.maxBufferedResponses/singleResponseDivisor, maxSingleResponseBytes)
	return r
}

// messageLimits are the bounds of a message with a body of maxBody bytes at most.
func messageLimits(maxBody int64) http1.Limits {
	return http1.Limits{MaxLineBytes: maxLineBytes, MaxHeaderFields: maxHeaderFields, MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBody}
}
