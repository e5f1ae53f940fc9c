package pauseclock

import (
	"errors"
	"net"
	"time"
)

// ArrivalTime returns an estimate of when the bytes returned by the last read of a connection
// arrived, or when the connection was made if nothing was read. It unwraps TLS connections. For
// a connection that is not watched it returns the zero time. It may be called concurrently with
// reads.
func ArrivalTime(nc net.Conn) time.Time {
	if c := findWatched(nc); c != nil {
		return c.arrivalTime()
	}
	return time.Time{}
}

// findWatched returns the watched connection below nc, or nil. It unwraps TLS connections.
func findWatched(nc net.Conn) *watchedConn {
	for {
		switch c := nc.(type) {
		case *watchedConn:
			return c
		case interface{ NetConn() net.Conn }: // TLS
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// PeerClosed reports whether the other end of a watched connection has closed its sending side, or the
// connection has ended. Bytes sent before that may still be unread. It asks the operating system, without
// blocking; where that can't tell, and for connections that are not watched, it returns false. It may be
// called concurrently with all other methods.
func PeerClosed(nc net.Conn) bool {
	c := findWatched(nc)
	return c != nil && c.peerClosed()
}

// SuspendReading records that the reader of a watched connection will not read before something else has happened:
// before an event loop has replied to it, for example, or the other end has received a response. Until the next Read
// the connection does not count as unread. An event loop that waits for unread sockets would otherwise wait for
// a reader that waits for the event loop.
func SuspendReading(nc net.Conn) {
	if c := findWatched(nc); c != nil {
		c.socket.suspended.Store(true)
	}
}

// HasUnreadData reports whether a watched connection holds bytes that were not read, or is at its end. It unwraps TLS
// connections. For other connections it asks their method Readable, if they have one, and else returns false.
func HasUnreadData(nc net.Conn) bool {
	if c := findWatched(nc); c != nil {
		return c.Readable()
	}
	r, ok := nc.(interface{ Readable() bool })
	return ok && r.Readable()
}

// readPollInterval is the time between two looks of AwaitRead at a connection.
const readPollInterval = 500 * time.Microsecond

// AwaitRead waits until the reader of a watched connection has read and processed all data that arrived before
// the call, or until the timeout has passed.
func AwaitRead(nc net.Conn, timeout time.Duration) {
	c := findWatched(nc)
	if c == nil {
		return
	}
	begun := c.socket.clock.Now()
	for !c.socket.caughtUpSince(begun) && c.socket.clock.Now()-begun < timeout {
		time.Sleep(readPollInterval)
	}
}

// ArrivalTimeForAddr returns the ArrivalTime of the watched connection whose RemoteAddr method
// returned the address. For other addresses it returns the zero time.
func ArrivalTimeForAddr(a net.Addr) time.Time {
	if a, ok := a.(watchedAddr); ok {
		return a.conn.arrivalTime()
	}
	return time.Time{}
}

// watchedAddr is the remote address of a watched connection, with a reference to the connection.
type watchedAddr struct {
	net.Addr
	conn *watchedConn
}

// watchedConn is a connection that a clock watches.
type watchedConn struct {
	net.Conn
	socket     *socketState
	reader     connReader
	peerClosed func() bool // see PeerClosed
}

// connReader reads from a connection. It calls onEmpty if the socket is empty, before it blocks.
// It is not safe for concurrent use.
type connReader interface {
	read(b []byte, onEmpty func()) (readResult, error)
}

// readResult is the result of a read. timestamp is the wall-clock time at which the last of its
// bytes arrived, if hasTimestamp is true.
type readResult struct {
	n            int
	timestamp    time.Time
	hasTimestamp bool
}

// watchConn watches a connection. lastEmpty is the last time at which it is known to have been empty.
func (c *Clock) watchConn(nc net.Conn, lastEmpty time.Duration) net.Conn {
	w := &watchedConn{Conn: nc, socket: c.addSocket(readableFunc(nc)), peerClosed: peerClosedFunc(nc)}
	w.socket.lastEmpty.Store(lastEmpty)
	w.socket.lastArrival.Store(c.Now())
	w.reader = newConnReader(nc, w.socket.readable)
	return w
}

func (c *watchedConn) arrivalTime() time.Time {
	return c.socket.clock.TimeOrigin.Add(c.socket.lastArrival.Load())
}

// RemoteAddr returns the peer's address. It can be passed to ArrivalTimeForAddr.
func (c *watchedConn) RemoteAddr() net.Addr { return watchedAddr{c.Conn.RemoteAddr(), c} }

// Read reads from the connection and records when the returned bytes arrived.
func (c *watchedConn) Read(b []byte) (int, error) {
	c.socket.suspended.Store(false)
	c.socket.reading.Store(true)
	defer c.socket.reading.Store(false)
	result, err := c.reader.read(b, c.socket.markEmpty)
	if isPassing(err) {
		err = repeatPassing(func() (err error) {
			result, err = c.reader.read(b, c.socket.markEmpty)
			return err
		})
	}
	now := c.socket.clock.Now()
	if result.n > 0 {
		c.socket.markRead(now, result)
	} else if err != nil && !isTimeout(err) {
		c.socket.finished.Store(true)
	}
	return result.n, err
}

// Write writes to the connection. It goes on after errors that pass, behind what was written.
func (c *watchedConn) Write(b []byte) (written int, err error) {
	written, err = c.Conn.Write(b)
	if isPassing(err) {
		err = repeatPassing(func() error {
			n, err := c.Conn.Write(b[written:])
			written += n
			return err
		})
	}
	return written, err
}

// Readable reports whether the connection holds unread bytes or is at its end.
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

// CloseWrite closes the sending side, or the whole connection if it can't be closed separately.
func (c *watchedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Conn.Close()
}

// readableFunc returns a function that reports whether a socket holds bytes, a packet or a
// connection, or is at its end. The function returns false if that can't be determined.
func readableFunc(socket any) func() bool {
	if s, ok := socket.(interface{ Readable() bool }); ok {
		return s.Readable
	}
	return pollFunc(socket)
}

// peerClosedFunc returns a function that reports whether the other end of a connection has closed its sending
// side. The function returns false if that can't be determined.
func peerClosedFunc(nc net.Conn) func() bool {
	if c, ok := nc.(interface{ PeerClosed() bool }); ok {
		return c.PeerClosed
	}
	return pollPeerClosedFunc(nc)
}

// unknown is the result of a poll where sockets can't be polled.
func unknown() bool { return false }

// plainReader reads a connection without kernel timestamps. The connection itself may report
// when bytes arrived, as connections of the in-memory network do.
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
	if c, ok := p.conn.(interface{ ArrivalTime() (time.Time, bool) }); ok && n > 0 {
		result.timestamp, result.hasTimestamp = c.ArrivalTime()
		result.timestamp = result.timestamp.Round(0) // without the monotonic reading
	}
	return result, err
}
