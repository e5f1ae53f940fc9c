package http1

import (
	"container/list"
	"time"
)

// connectionEvictor keeps the connections without an open request in the order in which they
// came to be so, and says which of them makes connectionEvictor for a new one.
type connectionEvictor struct {
	maxConnections  int           // connections
	minIdleTime     time.Duration // one that has asked gives way first after so long without a request; 0: none ever does
	maxIdle         int           // of those that have asked, this many may lie idle; 0: any number
	connections     int
	awaitingRequest list.List        // that have not sent a whole request since they came, or since they began one; longest first
	idle            list.List        // whose requests are answered
	hasUnreadData   func(*conn) bool // whether something of it is not read yet
}

// evictionEntry is a connection's place in a room. The zero evictionEntry is of one with an open
// request.
type evictionEntry struct {
	conn    *conn
	list    *list.List
	element *list.Element
	since   time.Time
}

// A connection that is closed here may have bytes on their way to it, and its client an
// answer to read: it is half-closed and read on, for nothing, until the client closes too
// (RFC 9112, 9.6), within these bounds.
const (
	lingerTimeout  = 500 * time.Millisecond // far above a round trip
	maxLingerBytes = 128 << 10              // above one whole request
)

const (
	// Clients send as they connect, and whole requests: one that does not for this
	// part of yield is not about to. Where that is not enough, those that have asked
	// go as earlyEvictionDivisor; they are the longest idle ones, and a client that comes back to
	// one asks again on another.
	earlyEvictionDivisor = 8
	maxScanned           = 4 // at connections of a kind, for one that holds nothing unread
)

// admit counts a new connection; false where there is no room, victim is one that
// makes room for it by leaving.
func (r *connectionEvictor) admit(now time.Time) (ok bool, victim *conn) {
	if r.connections < r.maxConnections {
		r.connections++
		return true, nil
	}
	if r.minIdleTime == 0 {
		return false, nil
	}
	for _, l := range []struct {
		list *list.List
		keep time.Duration
	}{{&r.awaitingRequest, r.minIdleTime / earlyEvictionDivisor}, {&r.idle, r.minIdleTime}, {&r.idle, r.minIdleTime / earlyEvictionDivisor}} {
		if s := r.oldestEvictable(l.list, now.Add(-l.keep), nil); s != nil {
			r.dequeue(s)
			return true, s.conn
		}
	}
	return false, nil
}

// oldestEvictable is the seat that was oldestEvictable on a list, since a time at the latest and
// other than one, whose connection holds nothing unread; nil where none is found.
func (r *connectionEvictor) oldestEvictable(l *list.List, since time.Time, but *evictionEntry) *evictionEntry {
	e := l.Front()
	for n := 0; n < maxScanned && e != nil; n++ {
		s := e.Value.(*evictionEntry)
		if s.since.After(since) {
			break
		}
		if s != but && !r.hasUnreadData(s.conn) {
			return s
		}
		e = e.Next()
	}
	return nil
}

// markAwaitingRequest notes that a connection came, or began a request.
func (r *connectionEvictor) markAwaitingRequest(s *evictionEntry, now time.Time) {
	if s.list != &r.awaitingRequest {
		r.dequeue(s)
		r.enqueue(s, &r.awaitingRequest, now)
	}
}

// markIdle notes that a connection's request is answered. Where too many lie markIdle the
// longest markIdle one is to leave.
func (r *connectionEvictor) markIdle(s *evictionEntry, now time.Time) (victim *conn) {
	r.dequeue(s)
	r.enqueue(s, &r.idle, now)
	if r.maxIdle == 0 || r.idle.Len() <= r.maxIdle {
		return nil
	}
	v := r.oldestEvictable(&r.idle, now, s)
	if v == nil {
		return nil
	}
	r.remove(v)
	return v.conn
}

func (r *connectionEvictor) enqueue(s *evictionEntry, l *list.List, now time.Time) {
	s.list, s.since, s.element = l, now, l.PushBack(s)
}

// dequeue notes that a connection has an dequeue request, or leaves.
func (r *connectionEvictor) dequeue(s *evictionEntry) {
	if s.list != nil {
		s.list.Remove(s.element)
	}
	s.list, s.element = nil, nil
}

// readmit counts a connection that was to make room, and has a request open after all.
func (r *connectionEvictor) readmit() { r.connections++ }

// remove counts a connection less.
func (r *connectionEvictor) remove(s *evictionEntry) {
	r.dequeue(s)
	r.connections--
}
