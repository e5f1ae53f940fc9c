package pauseclock

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/pause"
)

// socket is what is known of one socket's reading.
type socket struct {
	c       *Clock
	empty   atomic.Int64 // when it was last seen empty with its reader waiting
	read    atomic.Int64 // when it last gave something
	reading atomic.Bool  // its reader waits for more
	ended   atomic.Bool  // it gave its end, or was closed
	arrived atomic.Int64 // when what it last gave arrived, since the base
	probe   func() bool  // whether it holds something
}

func (c *Clock) socket(probe func() bool) *socket {
	s := &socket{c: c, probe: probe}
	c.mu.Lock()
	c.sockets[s] = struct{}{}
	c.mu.Unlock()
	return s
}

func (s *socket) close() {
	s.ended.Store(true)
	s.c.mu.Lock()
	delete(s.c.sockets, s)
	s.c.mu.Unlock()
}

// clear tells whether all that came before a gap's end has been read, and handled
// as far as its reader goes: it waits for more, or has read nothing since.
func (s *socket) clear(since int64) bool {
	if s.ended.Load() || s.empty.Load() > since {
		return true
	}
	if s.probe() {
		return false
	}
	return s.reading.Load() || s.read.Load() <= since
}

func (s *socket) sawEmpty(now time.Duration) { s.empty.Store(int64(now)) }

// gave notes a read.
func (s *socket) gave(now time.Duration, wall time.Time, known bool) {
	s.read.Store(int64(now))
	at := s.c.arrival(pause.Read{Empty: time.Duration(s.empty.Load()), At: now, Known: known}, wall)
	s.arrived.Store(int64(at.Sub(s.c.Base)))
}

// Arrived is when what a connection last gave arrived, as far as is known; zero
// where the connection is not watched.
func Arrived(nc net.Conn) time.Time {
	for {
		switch c := nc.(type) {
		case *conn:
			return c.Arrived()
		case interface{ NetConn() net.Conn }: // TLS
			nc = c.NetConn()
		default:
			return time.Time{}
		}
	}
}

// ArrivedBy is Arrived of the connection with an address, as RemoteAddr gave it.
func ArrivedBy(a net.Addr) time.Time {
	if a, ok := a.(addr); ok {
		return a.c.Arrived()
	}
	return time.Time{}
}

// addr is an address that knows its connection.
type addr struct {
	net.Addr
	c *conn
}

// Watched is a network whose sockets a clock watches.
func (c *Clock) Watched(n network.Network) network.Network { return &watched{c, n} }

type watched struct {
	c *Clock
	n network.Network
}

// Unwrap is the network below.
func (w *watched) Unwrap() network.Network { return w.n }

func (w *watched) Dial(ctx context.Context, address string) (net.Conn, error) {
	nc, err := w.n.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return w.c.conn(nc, w.c.Now()), nil
}

func (w *watched) Listen(address string) (net.Listener, error) {
	l, err := w.n.Listen(address)
	if err != nil {
		return nil, err
	}
	return &listener{l, w.c.socket(prober(l))}, nil
}

func (w *watched) ListenPacket(address string) (net.PacketConn, error) {
	p, err := w.n.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return &packets{p, w.c.socket(prober(p))}, nil
}

type listener struct {
	net.Listener
	s *socket
}

func (l *listener) Accept() (net.Conn, error) {
	if !l.s.probe() {
		l.s.sawEmpty(l.s.c.Now())
	}
	l.s.reading.Store(true)
	nc, err := l.Listener.Accept()
	l.s.reading.Store(false)
	if err != nil {
		return nil, err
	}
	l.s.read.Store(int64(l.s.c.Now()))
	return l.s.c.conn(nc, time.Duration(l.s.empty.Load())), nil
}

func (l *listener) Close() error {
	l.s.close()
	return l.Listener.Close()
}

type packets struct {
	net.PacketConn
	s *socket
}

func (p *packets) ReadFrom(b []byte) (int, net.Addr, error) {
	if !p.s.probe() {
		p.s.sawEmpty(p.s.c.Now())
	}
	p.s.reading.Store(true)
	n, from, err := p.PacketConn.ReadFrom(b)
	p.s.reading.Store(false)
	p.s.read.Store(int64(p.s.c.Now()))
	return n, from, err
}

func (p *packets) Close() error {
	p.s.close()
	return p.PacketConn.Close()
}

// conn is a watched connection.
type conn struct {
	net.Conn
	s *socket
	r reader
}

// reader reads a connection: it says when it saw the socket empty, and what the
// kernel says of the bytes' arrival, by the wall clock.
type reader interface {
	read(b []byte, empty func()) (n int, stamp time.Time, known bool, err error)
}

func (c *Clock) conn(nc net.Conn, empty time.Duration) net.Conn {
	w := &conn{Conn: nc}
	w.s = c.socket(prober(nc))
	w.s.sawEmpty(empty)
	w.s.arrived.Store(int64(c.Now()))
	w.r = readerOf(nc, w.s.probe)
	return w
}

func (c *conn) Arrived() time.Time { return c.s.c.Base.Add(time.Duration(c.s.arrived.Load())) }

func (c *conn) RemoteAddr() net.Addr { return addr{c.Conn.RemoteAddr(), c} }

func (c *conn) Read(b []byte) (int, error) {
	c.s.reading.Store(true)
	n, stamp, known, err := c.r.read(b, c.sawEmpty)
	now := c.s.c.Now()
	if n > 0 {
		c.s.gave(now, stamp, known)
	} else if err != nil && !isTimeout(err) {
		c.s.ended.Store(true)
	}
	c.s.reading.Store(false)
	return n, err
}

// Readable tells whether the connection holds bytes that were not read, or its end.
func (c *conn) Readable() bool { return c.s.probe() }

func (c *conn) sawEmpty() { c.s.sawEmpty(c.s.c.Now()) }

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}

func (c *conn) Close() error {
	c.s.close()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, where the connection has one of its own.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Conn.Close()
}

// plain reads what has no more to tell than Readable and Arrived; memory's
// connections do.
type plain struct {
	net.Conn
	probe func() bool
}

func (p *plain) read(b []byte, empty func()) (int, time.Time, bool, error) {
	if !p.probe() {
		empty()
	}
	n, err := p.Conn.Read(b)
	if a, ok := p.Conn.(interface{ Arrived() (time.Time, bool) }); ok && n > 0 {
		stamp, known := a.Arrived()
		return n, stamp.Round(0), known, err
	}
	return n, time.Time{}, false, err
}
