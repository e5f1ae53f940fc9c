package pauseclock

import (
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/pause"
)

// socketState tells whether a socket may hold what arrived before a time. Its reader updates
// it; the event loop reads it through Clock.UnreadSockets.
type socketState struct {
	clock    *Clock
	readable func() bool // whether the socket holds bytes, a packet, a connection, or its end

	lastEmpty   atomicDuration // when the reader last met the socket empty
	lastRead    atomicDuration // when a read last returned something
	lastArrival atomicDuration // when that had arrived
	reading     atomic.Bool    // the reader is in a read
	finished    atomic.Bool    // the socket gave its end, or was closed
}

// addSocket registers an open socket. Its state must be removed when it is closed.
func (c *Clock) addSocket(readable func() bool) *socketState {
	s := &socketState{clock: c, readable: readable}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sockets[s] = struct{}{}
	return s
}

// remove marks the socket as finished and forgets it.
func (s *socketState) remove() {
	s.finished.Store(true)
	s.clock.mu.Lock()
	defer s.clock.mu.Unlock()
	delete(s.clock.sockets, s)
}

// UnreadSockets returns how many sockets may hold what arrived before the end of the last
// pause, or have readers that are still at work on it. It polls sockets without blocking.
func (c *Clock) UnreadSockets() int {
	since := c.lastPauseEnd.Load()
	unread := 0
	for _, s := range c.socketsNotEmptySince(since) {
		if !s.drainedSince(since) {
			unread++
		}
	}
	return unread
}

// socketsNotEmptySince returns the open sockets that were not met empty after a time. They
// are polled without holding the clock's lock.
func (c *Clock) socketsNotEmptySince(t time.Duration) []*socketState {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*socketState, 0, len(c.sockets))
	for s := range c.sockets {
		if s.lastEmpty.Load() <= t && !s.finished.Load() {
			list = append(list, s)
		}
	}
	return list
}

// drainedSince reports whether everything that arrived before a time was read, and handled by
// the reader: it is in a read again, or has read nothing since.
func (s *socketState) drainedSince(t time.Duration) bool {
	if s.finished.Load() || s.lastEmpty.Load() > t {
		return true
	}
	if s.readable() {
		return false
	}
	return s.reading.Load() || s.lastRead.Load() <= t
}

// markEmpty notes that the reader met the socket empty now.
func (s *socketState) markEmpty() { s.lastEmpty.Store(s.clock.Now()) }

// markRead notes that a read returned something at a time.
func (s *socketState) markRead(now time.Duration, r readResult) {
	s.lastRead.Store(now)
	read := pause.SocketRead{LastEmpty: s.lastEmpty.Load(), ReadAt: now, HasKernelTimestamp: r.hasTimestamp}
	s.lastArrival.Store(s.clock.arrivalTime(read, r.timestamp))
}
