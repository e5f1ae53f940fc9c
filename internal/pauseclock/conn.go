package pauseclock

import (
	"errors"
	"net"
	"time"
)

// ArrivalTime returns when the bytes that the last read of a connection returned arrived, as
// far as is known; before the first read, when the connection was made. It looks through TLS
// connections, and returns zero for a connection that is not watched. It may be called
// concurrently with reads.
func ArrivalTime(nc net.Conn) time.Time {
	for {
		switch c := nc.(type) {
		case *watchedConn:
			return c.arrivalTime()
		case interface{ NetConn() net.Conn }: // TLS
			nc = c.NetConn()
		default:
			return time.Time{}
		}
	}
}

// ArrivalTimeForAddr returns the ArrivalTime of the connection whose RemoteAddr returned an
// address; zero for other addresses.
func ArrivalTimeForAddr(a net.Addr) time.Time {
	if a, ok := a.(watchedAddr); ok {
		return a.conn.arrivalTime()
	}
	return time.Time{}
}

// watchedAddr is an address that knows its connection.
type watchedAddr struct {
	net.Addr
	conn *watchedConn
}

// watchedConn is a connection that a clock watches.
type watchedConn struct {
	net.Conn
	socket *socketState
	reader connReader
}

// connReader reads a connection in its own way. It calls onEmpty when it meets the socket
// empty, before it blocks. It is not safe for concurrent use.
type connReader interface {
	read(b []byte, onEmpty func()) (readResult, error)
}

// readResult is what a read returned, with the time by the wall clock at which the last bytes
// of it arrived, where that is known.
type readResult struct {
	n            int
	timestamp    time.Time
	hasTimestamp bool
}

// watchConn watches a connection that was last known to hold nothing at a time.
func (c *Clock) watchConn(nc net.Conn, lastEmpty time.Duration) net.Conn {
	w := &watchedConn{Conn: nc, socket: c.addSocket(readableFunc(nc))}
	w.socket.lastEmpty.Store(lastEmpty)
	w.socket.lastArrival.Store(c.Now())
	w.reader = newConnReader(nc, w.socket.readable)
	return w
}

func (c *watchedConn) arrivalTime() time.Time {
	return c.socket.clock.TimeOrigin.Add(c.socket.lastArrival.Load())
}

// RemoteAddr returns the peer's address, which ArrivalTimeForAddr takes.
func (c *watchedConn) RemoteAddr() net.Addr { return watchedAddr{c.Conn.RemoteAddr(), c} }

// Read reads from the connection and dates what it returns.
func (c *watchedConn) Read(b []byte) (int, error) {
	c.socket.reading.Store(true)
	defer c.socket.reading.Store(false)
	result, err := c.reader.read(b, c.socket.markEmpty)
	now := c.socket.clock.Now()
	if result.n > 0 {
		c.socket.markRead(now, result)
	} else if err != nil && !isTimeout(err) {
		c.socket.finished.Store(true)
	}
	return result.n, err
}

// Readable reports whether the connection holds bytes that were not read, or its end.
func (c *watchedConn) Readable() bool { return c.socket.readable() }

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Close closes the connection.
func (c *watchedConn) Close() error {
	c.socket.remove()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, or the connection if it has no side of its own.
func (c *watchedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Conn.Close()
}

// readableFunc returns a function that reports whether a socket holds bytes, a packet, a
// connection, or its end. The function is false where that cannot be known.
func readableFunc(socket any) func() bool {
	if s, ok := socket.(interface{ Readable() bool }); ok {
		return s.Readable
	}
	return pollFunc(socket)
}

func neverReadable() bool { return false }

// plainReader reads a connection that has no kernel timestamps. Its connection may know when
// bytes arrived; that of an in-memory network does.
type plainReader struct {
	conn     net.Conn
	readable func() bool
}

func (p *plainReader) read(b []byte, onEmpty func()) (readResult, error) {
	if !p.readable() {
		onEmpty()
	}
	n, err := p.conn.Read(b)
	result := readResult{n: n}
	if c, ok := p.conn.(interface{ Arrived() (time.Time, bool) }); ok && n > 0 {
		result.timestamp, result.hasTimestamp = c.Arrived()
		result.timestamp = result.timestamp.Round(0) // without the monotonic reading
	}
	return result, err
}
