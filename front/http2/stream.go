package http2

import (
	"time"

	"golang.org/x/net/http2"

	"yardcleat.example/yardcleat/internal/memory"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
)

// stream is one request.
type stream struct {
	conn          *conn
	id            uint32
	arrivedAt     time.Time // arrival time of its header
	request       node.HTTPRequest
	contentLength int64 // -1: none was announced
	body          []byte
	bodyComplete  bool          // the end of the request was received
	sendWindow    int64         // bytes that may be sent on the stream
	aborted       bool          // reset, timed out, or its connection has ended
	abortSignal   chan struct{} // closed when aborted is set
	bodyTimer     *time.Timer   // runs until the body is complete
	claimed       bool          // a goroutine responds to it, or it was aborted

	memory    *memory.Account // what the request and its response hold
	freeBytes int64           // of it that are not charged
}

// claim reports whether the caller is to respond to a stream, and reserves the stream for it.
// The result is false if the stream was claimed before or was aborted.
func (c *conn) claim(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st.claimed || st.aborted {
		return false
	}
	st.claimed = true
	return true
}

// abortStream aborts the stream with the ID, if there is one.
func (c *conn) abortStream(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[id]; st != nil {
		c.abortLocked(st)
	}
}

// abortLocked aborts a stream. If a goroutine responds to the stream, that goroutine removes it.
// c.mu must be held.
func (c *conn) abortLocked(st *stream) {
	if st.aborted {
		return
	}
	st.aborted = true
	close(st.abortSignal)
	if st.bodyTimer != nil {
		st.bodyTimer.Stop()
	}
	c.changed.Broadcast()
	if !st.claimed {
		st.claimed = true
		c.removeLocked(st)
	}
}

// removeLocked removes a stream. When the last one is removed, it starts the idle timeout or, if
// the connection has drained, ends it. c.mu must be held.
func (c *conn) removeLocked(st *stream) {
	if c.streams[st.id] != st {
		return
	}
	delete(c.streams, st.id)
	st.memory.Close()
	c.freeBytes += st.freeBytes
	c.bufferedBodyBytes -= int64(len(st.body))
	if len(c.streams) == 0 {
		c.server.connections.AwaitRequest(c.entry)
		c.setReadDeadlineLocked(time.Now().Add(c.server.options.IdleTimeout))
		c.endIfDrainedLocked()
	}
	c.changed.Broadcast()
}

// isAborted reports whether the stream is reset, timed out, or ended with its connection.
func (s *stream) isAborted() bool {
	select {
	case <-s.abortSignal:
		return true
	default:
		return false
	}
}

// maxReceiveWait is how long AwaitReceived waits at most. A connection on which more arrives than is handled would
// hold up its requests for this long.
const maxReceiveWait = 5 * time.Millisecond

// AwaitReceived waits until the frames that the client has sent by now are handled: one may reset the stream.
func (s *stream) AwaitReceived() { pauseclock.AwaitRead(s.conn.netConn, maxReceiveWait) }

// Disconnected reports whether the stream is aborted or the client has closed the connection.
func (s *stream) Disconnected() bool { return s.isAborted() || pauseclock.PeerClosed(s.conn.netConn) }

// HasUnreadData implements [memory.Owner]. What is unread on the connection may belong to other streams.
func (*stream) HasUnreadData() bool { return false }

// Reclaim implements [memory.Owner]: a stream whose request is incomplete is refused, so that the client may retry
// it, and a response that the client does not read is cut off.
func (s *stream) Reclaim() {
	if s.conn.isClaimed(s) {
		go s.conn.resetStream(s, http2.ErrCodeCancel) // it writes to the connection, and the caller must not block
		return
	}
	go s.conn.refuseForMemory(s)
}

// isClaimed reports whether a stream was claimed.
func (c *conn) isClaimed(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return st.claimed
}

// refuseForMemory refuses a stream because memory is short, and logs the shortage. The request was not handled, so
// the client may retry it.
func (c *conn) refuseForMemory(st *stream) error {
	if budget := c.server.options.Memory; budget.ShortageIsDue(time.Now()) {
		c.server.options.Log.Warn("memory for requests is used up; rejecting requests", "used_bytes", budget.Used())
	}
	return c.resetStream(st, http2.ErrCodeRefusedStream)
}

// resetStream aborts a stream and resets it.
func (c *conn) resetStream(st *stream, code http2.ErrCode) error {
	c.abortStream(st.id)
	return c.write(func() error { return c.framer.WriteRSTStream(st.id, code) })
}
