package pauseclock

import (
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/pause"
)

// socketState records whether a socket may hold data that arrived before a given time. The
// socket's reader updates it; the event loop reads it through Clock.UnreadSockets.
type socketState struct {
	clock    *Clock
	readable func() bool // see readableFunc

	lastEmpty   atomicDuration // when the reader last found the socket empty
	lastRead    atomicDuration // when a read last returned data
	lastArrival atomicDuration // when the data of the last read arrived
	reading     atomic.Bool    // a read is in progress
	suspended   atomic.Bool    // see SuspendReading
	finished    atomic.Bool    // the socket is at its end or was closed
}

// addSocket registers an open socket. remove must be called when the socket is closed.
func (c *Clock) addSocket(readable func() bool) *socketState {
	s := &socketState{clock: c, readable: readable}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sockets[s] = struct{}{}
	return s
}

// remove marks the socket as finished and removes it from the clock's sockets.
func (s *socketState) remove() {
	s.finished.Store(true)
	s.clock.mu.Lock()
	defer s.clock.mu.Unlock()
	delete(s.clock.sockets, s)
}

// UnreadSockets returns the number of sockets that may hold data received before the end of the
// last pause, or whose readers still process such data. It polls sockets without blocking.
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

// socketsNotEmptySince returns the open sockets that were not found empty after t. It returns a
// copy, so that the caller can poll them without holding the clock's lock.
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

// drainedSince reports whether all data that arrived before t was read and processed by the
// reader: a read is in progress again, or nothing was read since t. A socket whose reader has
// suspended reading counts as drained, because nothing is read from it before the reader goes on.
func (s *socketState) drainedSince(t time.Duration) bool {
	if s.finished.Load() || s.suspended.Load() || s.lastEmpty.Load() > t {
		return true
	}
	if s.readable() {
		return false
	}
	return s.reading.Load() || s.lastRead.Load() <= t
}

// caughtUpSince reports whether the reader has read and processed all data that arrived before t: it has found the
// socket empty since, or waits at an empty one.
func (s *socketState) caughtUpSince(t time.Duration) bool {
	return s.finished.Load() || s.lastEmpty.Load() > t || s.reading.Load() && !s.readable()
}

// markEmpty records that the reader found the socket empty now.
func (s *socketState) markEmpty() { s.lastEmpty.Store(s.clock.Now()) }

// markRead records that a read returned data at the given time.
func (s *socketState) markRead(now time.Duration, r readResult) {
	s.lastRead.Store(now)
	read := pause.SocketRead{LastEmpty: s.lastEmpty.Load(), ReadAt: now, HasKernelTimestamp: r.hasTimestamp}
	s.lastArrival.Store(s.clock.arrivalTime(read, r.timestamp))
}
