package edgenode

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
)

// What an edge node may use, and for how long it waits, is decided here, without I/O.

// Bounds of the protocol and of this node.
const (
	maxRequestBody        = 64 << 10              // bytes of a request's body
	responseMargin        = 15 * time.Millisecond // answers leave so long before the client gives up
	firstRequestTimeout   = 2500 * time.Millisecond
	requestTimeout        = 2 * time.Second
	minIdleBeforeEviction = 2 * time.Second // the platform lets idle connections be closed from then on
	idleTimeout           = 20 * time.Second
	writeTimeout          = 3 * time.Second
	serverIdleFraction    = 0.7         // of the time after which servers close idle connections: used no later
	cachedListDelay       = time.Second // a remembered list serves when discovery says nothing for so long
)

// resources divides what a node may use.
type resources struct {
	maxClientConnections, maxServerConnections int   // connections
	maxIdleClientConnections                   int   // of clients', that lie idle
	maxLingeringConnections                    int   // of those that made room, that are not closed yet
	maxResponseBody, maxBufferedResponses      int64 // bytes of one answer's body, and of long ones being read
}

// messageLimits bounds a message with a body of so many bytes at most.
func messageLimits(body int64) http1.Limits {
	return http1.Limits{Line: 4 << 10, Fields: 64, Header: 16 << 10, Body: body}
}

// divideResources divides descriptors: a quarter for connections to servers, a few for the
// node itself, the rest for clients. Clients hold a third at most for requests; of
// connections that they keep and do not use they must not be left with so many that
// they can't reach this node. Of memory, long answers get an eighth: requests have
// 64 KiB at most, and so should answers, but servers send longer ones.
func divideResources(l Limits) resources {
	const own = 24 // listener, discovery old and new, peers, the runtime's
	s := resources{maxServerConnections: l.Sockets / 4, maxIdleClientConnections: l.Sockets / 6}
	s.maxLingeringConnections = max(2, l.Sockets/64)
	s.maxClientConnections = l.Sockets - s.maxServerConnections - own - s.maxLingeringConnections
	s.maxBufferedResponses = int64(l.MemoryMB * (1 << 20) / 8)
	s.maxResponseBody = min(s.maxBufferedResponses/4, 4<<20)
	return s
}
