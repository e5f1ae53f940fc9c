package pauseclock

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/pause"
)

// socketState is what is known of one socket's reading.
type socketState struct {
	clock       *Clock
	lastEmpty   atomic.Int64 // when it was last seen empty with its reader waiting
	lastRead    atomic.Int64 // when it last gave something
	reading     atomic.Bool  // its reader waits for more
	finished    atomic.Bool  // it gave its end, or was closed
	lastArrival atomic.Int64 // when what it last gave arrived, since the base
	readable    func() bool  // whether it holds something
}

func (c *Clock) addSocket(probe func() bool) *socketState {
	s := &socketState{clock: c, readable: probe}
	c.mu.Lock()
	c.sockets[s] = struct{}{}
	c.mu.Unlock()
	return s
}

func (s *socketState) remove() {
	s.finished.Store(true)
	s.clock.mu.Lock()
	delete(s.clock.sockets, s)
	s.clock.mu.Unlock()
}

// drainedSince tells whether all that came before a gap's end has been read, and handled
// as far as its reader goes: it waits for more, or has read nothing since.
func (s *socketState) drainedSince(since int64) bool {
	if s.finished.Load() || s.lastEmpty.Load() > since {
		return true
	}
	if s.readable() {
		return false
	}
	return s.reading.Load() || s.lastRead.Load() <= since
}

func (s *socketState) markEmpty(now time.Duration) { s.lastEmpty.Store(int64(now)) }

// markRead notes a read.
func (s *socketState) markRead(now time.Duration, wall time.Time, known bool) {
	s.lastRead.Store(int64(now))
	at := s.clock.arrivalTime(pause.SocketRead{LastEmpty: time.Duration(s.lastEmpty.Load()), ReadAt: now, HasKernelTimestamp: known}, wall)
	s.lastArrival.Store(int64(at.Sub(s.clock.TimeOrigin)))
}

// ArrivalTime is when what a connection last gave arrived, as far as is known; zero
// where the connection is not watched.
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

// ArrivalTimeOf is Arrived of the connection with an address, as RemoteAddr gave it.
func ArrivalTimeOf(a net.Addr) time.Time {
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

// WatchNetwork is a network whose sockets a clock watches.
func (c *Clock) WatchNetwork(n network.Network) network.Network { return &watchedNetwork{c, n} }

type watchedNetwork struct {
	clock   *Clock
	network network.Network
}

// Unwrap is the network below.
func (w *watchedNetwork) Unwrap() network.Network { return w.network }

func (w *watchedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	nc, err := w.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return w.clock.watchConn(nc, w.clock.Now()), nil
}

func (w *watchedNetwork) Listen(address string) (net.Listener, error) {
	l, err := w.network.Listen(address)
	if err != nil {
		return nil, err
	}
	return &watchedListener{l, w.clock.addSocket(readableFunc(l))}, nil
}

func (w *watchedNetwork) ListenPacket(address string) (net.PacketConn, error) {
	p, err := w.network.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return &watchedPacketConn{p, w.clock.addSocket(readableFunc(p))}, nil
}

type watchedListener struct {
	net.Listener
	socket *socketState
}

func (l *watchedListener) Accept() (net.Conn, error) {
	if !l.socket.readable() {
		l.socket.markEmpty(l.socket.clock.Now())
	}
	l.socket.reading.Store(true)
	nc, err := l.Listener.Accept()
	l.socket.reading.Store(false)
	if err != nil {
		return nil, err
	}
	l.socket.lastRead.Store(int64(l.socket.clock.Now()))
	return l.socket.clock.watchConn(nc, time.Duration(l.socket.lastEmpty.Load())), nil
}

func (l *watchedListener) Close() error {
	l.socket.remove()
	return l.Listener.Close()
}

type watchedPacketConn struct {
	net.PacketConn
	socket *socketState
}

func (p *watchedPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	if !p.socket.readable() {
		p.socket.markEmpty(p.socket.clock.Now())
	}
	p.socket.reading.Store(true)
	n, from, err := p.PacketConn.ReadFrom(b)
	p.socket.reading.Store(false)
	p.socket.lastRead.Store(int64(p.socket.clock.Now()))
	return n, from, err
}

func (p *watchedPacketConn) Close() error {
	p.socket.remove()
	return p.PacketConn.Close()
}

// watchedConn is a watched connection.
type watchedConn struct {
	net.Conn
	socket *socketState
	reader connReader
}

// connReader reads a connection: it says when it saw the socket empty, and what the
// kernel says of the bytes' arrival, by the wall clock.
type connReader interface {
	read(b []byte, empty func()) (n int, stamp time.Time, known bool, err error)
}

func (c *Clock) watchConn(nc net.Conn, empty time.Duration) net.Conn {
	w := &watchedConn{Conn: nc}
	w.socket = c.addSocket(readableFunc(nc))
	w.socket.markEmpty(empty)
	w.socket.lastArrival.Store(int64(c.Now()))
	w.reader = newConnReader(nc, w.socket.readable)
	return w
}

func (c *watchedConn) arrivalTime() time.Time {
	return c.socket.clock.TimeOrigin.Add(time.Duration(c.socket.lastArrival.Load()))
}

func (c *watchedConn) RemoteAddr() net.Addr { return watchedAddr{c.Conn.RemoteAddr(), c} }

func (c *watchedConn) Read(b []byte) (int, error) {
	c.socket.reading.Store(true)
	n, stamp, known, err := c.reader.read(b, c.markEmpty)
	now := c.socket.clock.Now()
	if n > 0 {
		c.socket.markRead(now, stamp, known)
	} else if err != nil && !isTimeout(err) {
		c.socket.finished.Store(true)
	}
	c.socket.reading.Store(false)
	return n, err
}

// Readable tells whether the connection holds bytes that were not read, or its end.
func (c *watchedConn) Readable() bool { return c.socket.readable() }

func (c *watchedConn) markEmpty() { c.socket.markEmpty(c.socket.clock.Now()) }

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}

func (c *watchedConn) Close() error {
	c.socket.remove()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, where the connection has one of its own.
func (c *watchedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Conn.Close()
}

// plainReader reads what has no more to tell than Readable and Arrived; memory's
// connections do.
type plainReader struct {
	net.Conn
	readable func() bool
}

func (p *plainReader) read(b []byte, empty func()) (int, time.Time, bool, error) {
	if !p.readable() {
		empty()
	}
	n, err := p.Conn.Read(b)
	if a, ok := p.Conn.(interface{ Arrived() (time.Time, bool) }); ok && n > 0 {
		stamp, known := a.Arrived()
		return n, stamp.Round(0), known, err
	}
	return n, time.Time{}, false, err
}
