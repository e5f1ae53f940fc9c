package http1

import (
	"container/list"
	"time"
)

// connectionEvictor limits the number of connections. It orders the connections without a
// request in flight by how long they have had none, and selects which of them is evicted for
// a new one. The server's lock guards it.
type connectionEvictor struct {
	maxConnections  int
	minIdleTime     time.Duration // how long an idle connection is normally kept before it may be evicted for a new one; 0: none is
	maxIdle         int           // connections in idle; 0: any number
	connections     int
	awaitingRequest list.List        // connections without a complete request since they were accepted, or since the next one began; oldest first
	idle            list.List        // connections whose requests are all answered; longest idle first
	hasUnreadData   func(*conn) bool // whether the connection has received bytes that were not read yet
}

// evictionEntry is a connection's entry in the lists of a connectionEvictor. The zero
// evictionEntry is on no list: its connection has a request in flight.
type evictionEntry struct {
	conn    *conn
	queue   *list.List
	element *list.Element
	since   time.Time
}

// When the server closes a connection, bytes may still be on their way to it, and the client
// may still have a response to read. The server therefore closes only its sending side, and
// reads and discards until the client closes too (RFC 9112, 9.6), within these bounds.
const (
	lingerTimeout  = 500 * time.Millisecond // far above a round trip
	maxLingerBytes = 128 << 10              // above the size of one request with the limits of an edge node
)

const (
	// Clients send a complete request as soon as they connect: one that has not sent it within
	// this fraction of minIdleTime is not about to. If there is none to evict, connections that
	// have been idle for the same fraction are evicted early, longest idle first: a client that
	// returns to one sends its request on another connection.
	earlyEvictionDivisor = 8
	maxScanned           = 4 // entries of a list that are checked for one without unread data
)

// admit counts a new connection. It returns false if there are too many; victim is a
// connection to evict in favor of the new one.
func (e *connectionEvictor) admit(now time.Time) (ok bool, victim *conn) {
	if e.connections < e.maxConnections {
		e.connections++
		return true, nil
	}
	if e.minIdleTime == 0 {
		return false, nil
	}
	for _, candidates := range []struct {
		list    *list.List
		minTime time.Duration
	}{{&e.awaitingRequest, e.minIdleTime / earlyEvictionDivisor}, {&e.idle, e.minIdleTime}, {&e.idle, e.minIdleTime / earlyEvictionDivisor}} {
		if entry := e.oldestEvictable(candidates.list, now.Add(-candidates.minTime), nil); entry != nil {
			e.dequeue(entry)
			return true, entry.conn
		}
	}
	return false, nil
}

// oldestEvictable returns the oldest entry of a list that was added at notAfter or before, is
// not except, and has no unread data. It returns nil if the first maxScanned entries hold none.
func (e *connectionEvictor) oldestEvictable(l *list.List, notAfter time.Time, except *evictionEntry) *evictionEntry {
	element := l.Front()
	for n := 0; n < maxScanned && element != nil; n++ {
		entry := element.Value.(*evictionEntry)
		if entry.since.After(notAfter) {
			break
		}
		if entry != except && !e.hasUnreadData(entry.conn) {
			return entry
		}
		element = element.Next()
	}
	return nil
}

// markAwaitingRequest records that a connection was accepted or has begun a request.
func (e *connectionEvictor) markAwaitingRequest(entry *evictionEntry, now time.Time) {
	if entry.queue != &e.awaitingRequest {
		e.dequeue(entry)
		e.enqueue(entry, &e.awaitingRequest, now)
	}
}

// markIdle records that a connection's request is answered. If more than maxIdle connections
// are idle it returns the longest idle one as the victim to evict.
func (e *connectionEvictor) markIdle(entry *evictionEntry, now time.Time) (victim *conn) {
	e.dequeue(entry)
	e.enqueue(entry, &e.idle, now)
	if e.maxIdle == 0 || e.idle.Len() <= e.maxIdle {
		return nil
	}
	oldest := e.oldestEvictable(&e.idle, now, entry)
	if oldest == nil {
		return nil
	}
	e.remove(oldest)
	return oldest.conn
}

func (e *connectionEvictor) enqueue(entry *evictionEntry, l *list.List, now time.Time) {
	entry.queue, entry.since, entry.element = l, now, l.PushBack(entry)
}

// dequeue removes a connection that has a request in flight or is being closed from its list.
func (e *connectionEvictor) dequeue(entry *evictionEntry) {
	if entry.queue != nil {
		entry.queue.Remove(entry.element)
	}
	entry.queue, entry.element = nil, nil
}

// readmit counts an evicted connection again because it has a request in flight after all.
func (e *connectionEvictor) readmit() { e.connections++ }

// remove no longer counts a connection.
func (e *connectionEvictor) remove(entry *evictionEntry) {
	e.dequeue(entry)
	e.connections--
}
