package edgenode

import (
	"time"

	"yardcleat.example/yardcleat/internal/http1"
)

// What an edge node may use, and for how long it waits, is decided here, without I/O.

// Bounds of the protocol and of this node.
const (
	body       = 64 << 10              // bytes of a request's body
	margin     = 15 * time.Millisecond // answers leave so long before the client gives up
	firstTime  = 2500 * time.Millisecond
	headerTime = 2 * time.Second
	yield      = 2 * time.Second // the platform lets idle connections be closed from then on
	idleTime   = 20 * time.Second
	writeTime  = 3 * time.Second
	idleShare  = 0.7         // of the time after which servers close idle connections: used no later
	trust      = time.Second // a remembered list serves when discovery says nothing for so long
)

// shares divides what a node may use.
type shares struct {
	clients, servers int   // connections
	idle             int   // of clients', that lie idle
	lingers          int   // of those that made room, that are not closed yet
	answer, answers  int64 // bytes of one answer's body, and of long ones being read
}

// limits bounds a message with a body of so many bytes at most.
func limits(body int64) http1.Limits {
	return http1.Limits{Line: 4 << 10, Fields: 64, Header: 16 << 10, Body: body}
}

// share divides descriptors: a quarter for connections to servers, a few for the
// node itself, the rest for clients. Clients hold a third at most for requests; of
// connections that they keep and do not use they must not be left with so many that
// they can't reach this node. Of memory, long answers get an eighth: requests have
// 64 KiB at most, and so should answers, but servers send longer ones.
func share(l Limits) shares {
	const own = 24 // listener, discovery old and new, peers, the runtime's
	s := shares{servers: l.Sockets / 4, idle: l.Sockets / 6}
	s.lingers = max(2, l.Sockets/64)
	s.clients = l.Sockets - s.servers - own - s.lingers
	s.answers = int64(l.MemoryMB * (1 << 20) / 8)
	s.answer = min(s.answers/4, 4<<20)
	return s
}
