package http1

import (
	"errors"
	"net"
	"os"
	"runtime"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy/connections"
)

type conn struct {
	server               *Server
	netConn              net.Conn
	reader               *http1.Reader
	entry                *connections.Connection // the connection as its limiter knows it
	arrived              time.Time               // when the first byte of the current request arrived
	nextArrived          time.Time               // when the first byte arrived that was sent ahead of the response; zero: none was
	firstRequestDeadline time.Time               // by when the first request must be complete; zero: it is, or there is no limit
	sentTooFarAhead      bool                    // the client has sent more ahead than the reader buffers, and not all of it is read
	disconnected         bool                    // the client has closed the connection, or a write failed
	memory               connMemory
	buf                  []byte
	finalResponses       chan node.FinalResponse
}

// HasUnreadData implements [connections.Owner] and [memory.Owner].
func (c *conn) HasUnreadData() bool { return pauseclock.HasUnreadData(c.netConn) }

// Interrupt implements [connlimit.Owner].
func (c *conn) Interrupt(action connections.Action) {
	switch action {
	case connections.End, connections.Reject, connections.Close:
		_ = c.netConn.SetReadDeadline(longAgo)
	case connections.Cut:
		_ = c.netConn.SetWriteDeadline(longAgo)
	case connections.Shed:
		if c.entry.State() == connections.Reading {
			_ = c.netConn.SetReadDeadline(longAgo)
		}
	case connections.None, connections.Finish: // the phase of the shutdown is looked at after the response
	}
}

// Close implements [connlimit.Owner].
func (c *conn) Close() { _ = c.netConn.Close() }

// RemoteAddr implements [connlimit.Owner].
func (c *conn) RemoteAddr() net.Addr { return c.netConn.RemoteAddr() }

// longAgo is the deadline that ends what a connection waits for.
var longAgo = time.Unix(1, 0)

// setReadTimeout sets the time limit of all reads from now on, unless the connection is to end.
func (c *conn) setReadTimeout(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	if !c.firstRequestDeadline.IsZero() && c.firstRequestDeadline.Before(deadline) {
		deadline = c.firstRequestDeadline
	}
	c.setReadDeadline(deadline)
}

// setReadDeadline sets the deadline of all reads from now on, unless the connection is to end.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.server.connections.Arm(c.entry, func(action connections.Action) {
		if action != connections.None {
			deadline = longAgo
		}
		_ = c.netConn.SetReadDeadline(deadline)
	})
}

// requestReader reads what a client sends. A time limit ends a read only if nothing has arrived: the process may not have run
// when it did.
type requestReader struct{ conn *conn }

// lateReadTime is how long reads may go on after the time for them is over, if something has arrived.
const lateReadTime = 100 * time.Millisecond

// Read implements [io.Reader].
func (r requestReader) Read(b []byte) (int, error) {
	for {
		n, err := r.conn.netConn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.conn.extendRead() {
			return n, err
		}
	}
}

// extendRead lets the read of a request go on after its time limit, if something has arrived. It returns false if the
// read is to end, because of that limit or to end the connection.
func (c *conn) extendRead() bool {
	if !c.HasUnreadData() {
		return false
	}
	extended := false
	c.server.connections.Arm(c.entry, func(action connections.Action) {
		state := c.entry.State()
		isReading := state == connections.New || state == connections.Reading || state == connections.Idle
		if extended = isReading && action == connections.None; extended {
			_ = c.netConn.SetReadDeadline(time.Now().Add(lateReadTime))
		}
	})
	return extended
}

// maxKeptBuffer is the size, in bytes, up to which the buffer of a response is kept for the next one.
const maxKeptBuffer = 4 << 10

func (c *conn) serve() {
	defer c.end()
	if c.server.options.FirstRequestTimeout > 0 {
		c.firstRequestDeadline = time.Now().Add(c.server.options.FirstRequestTimeout)
	}
	for c.awaitRequest() && c.serveRequest() {
		c.firstRequestDeadline = time.Time{}
		c.memory.request.Close()
		c.reader.ShrinkBuffer()
		if cap(c.buf) > maxKeptBuffer {
			c.buf = nil
		}
	}
}

// end closes the connection.
func (c *conn) end() {
	if !c.disconnected {
		c.linger()
	}
	_ = c.netConn.Close()
	c.memory.close()
	c.server.connections.Remove(c.entry)
}

// awaitRequest waits for the first bytes of the next request. It returns false if the connection is to be closed.
func (c *conn) awaitRequest() bool {
	if c.reader.Buffered() > 0 {
		c.yield()
	} else if err := c.awaitBytes(c.server.connections.AwaitRequest(c.entry)); err != nil {
		c.endWait(err)
		return false
	}
	if c.firstRequestDeadline.Before(time.Now()) {
		c.firstRequestDeadline = time.Time{} // the bytes came before the time was over, and were read after it
	}
	c.arrived, c.nextArrived = c.nextArrived, time.Time{}
	if c.arrived.IsZero() {
		c.arrived = pauseclock.ArrivalTime(c.netConn)
	}
	c.server.connections.BeginReading(c.entry)
	return true
}

// yield lets others run before a request that was sent ahead: such requests must not have more of the processor than
// those on other connections. A connection that is to end does not wait, since others wait for its end.
func (c *conn) yield() {
	if action, _ := c.server.connections.Action(c.entry); action == connections.None {
		runtime.Gosched()
	}
}

// awaitBytes waits until bytes arrive. If the connection is not to be kept it reads only what has arrived already.
func (c *conn) awaitBytes(keep bool) error {
	if !keep && !c.HasUnreadData() {
		return os.ErrDeadlineExceeded
	}
	c.setReadTimeout(c.server.options.IdleTimeout)
	return c.reader.Await()
}

// endWait ends the wait for a request. The first request of a connection may be on its way, and is rejected. A client
// whose later request crosses the end sends it once more on another connection.
func (c *conn) endWait(err error) {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.disconnected = true
	case !c.entry.HadRequest():
		c.reject(nil, err)
	case c.server.connections.Phase() < connections.Draining:
		c.server.connections.RecordEnd(c.entry, connections.End, connections.Timeout)
	}
}

// When the server closes a connection, bytes may still be on their way to it, and the client
// may still have a response to read. The server therefore closes only its sending side, and
// reads and discards until the client closes too (RFC 9112, 9.6), within these bounds.
const (
	lingerTimeout  = 500 * time.Millisecond // far above a round trip
	maxLingerBytes = 128 << 10              // above the size of one request with the limits of an edge node
)

// linger closes the connection's sending side, and reads and discards what still arrives.
// Closing a connection with unread bytes would reset it, and the client could lose the
// response before reading it.
func (c *conn) linger() {
	c.server.connections.Linger(c.entry)
	c.setReadDeadline(time.Now().Add(lingerTimeout))
	if w, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	c.reader.Discard(c.reader.Buffered() + maxLingerBytes)
}

// writeResponse writes the parts of a final response within a time limit. It returns false on failure.
func (c *conn) writeResponse(timeout time.Duration, parts ...[]byte) bool {
	c.server.connections.BeginWriting(c.entry)
	for _, part := range parts {
		c.memory.beginWriting(len(part))
	}
	defer c.memory.endWriting()
	return c.write(timeout, parts...)
}

// write writes within a time limit. It returns false on failure.
func (c *conn) write(timeout time.Duration, parts ...[]byte) bool {
	pauseclock.SuspendReading(c.netConn)
	c.server.connections.Arm(c.entry, func(action connections.Action) {
		deadline := time.Now().Add(timeout)
		if action == connections.Cut {
			deadline = longAgo
		}
		_ = c.netConn.SetWriteDeadline(deadline)
	})
	for _, part := range parts {
		if _, err := c.netConn.Write(part); err != nil {
			c.disconnected = true
			return false
		}
	}
	return true
}
