package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Memory is a simulated network of hosts in one process. It delivers bytes and packets
// after a fixed delay, and can lose packets at random. It blocks only in operations that
// testing/synctest regards as durably blocking.
type Memory struct {
	mu         sync.Mutex
	delay      time.Duration
	rng        *rand.Rand
	listeners  map[string]*memListener
	packets    map[string]*memPacketConn
	nextPort   int
	packetLoss func(from, to string) float64
	// NoTimestamps means that connections do not report when their bytes arrived, as on
	// systems without kernel timestamps.
	NoTimestamps bool
}

// NewMemory returns a network without hosts. The seed determines which packets are lost.
func NewMemory(delay time.Duration, seed uint64) *Memory {
	return &Memory{delay: delay, rng: rand.New(rand.NewPCG(seed, 1)), listeners: map[string]*memListener{},
		packets: map[string]*memPacketConn{}, nextPort: 40000}
}

// SetPacketLoss sets the probability, from 0 to 1, that a packet from one host to another
// is lost. The arguments of the function are the names of the hosts. Nil: none is lost.
func (m *Memory) SetPacketLoss(probability func(from, to string) float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.packetLoss = probability
}

// Host returns a new host of the network. What the host opens stays open until it is closed
// or the host is killed.
func (m *Memory) Host(name string) *Host { return &Host{m: m, name: name, open: map[io.Closer]bool{}} }

// Host is a host of a Memory network. It implements Network.
type Host struct {
	m       *Memory
	name    string
	mu      sync.Mutex
	open    map[io.Closer]bool // listeners, connections and packet connections
	killed  bool
	resumed chan struct{} // closed by Resume; nil: the host is not paused

	readDelay time.Duration // see SetReadDelay
}

// SetReadDelay sets how long after their arrival the host's processes read bytes or the end of a connection, as
// on a machine on which they get little time to run. What was read is not affected.
func (h *Host) SetReadDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readDelay = delay
}

func (h *Host) currentReadDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.readDelay
}

// Pause makes the host's reads, writes, dials and accepts block until Resume, as in a stopped
// process. Data sent to the host in the meantime is kept for it to read later.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed == nil {
		h.resumed = make(chan struct{})
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed != nil {
		close(h.resumed)
		h.resumed = nil
	}
}

// WaitUntilRunning blocks while the host is paused.
func (h *Host) WaitUntilRunning() { h.waitUntilRunning() }

func (h *Host) waitUntilRunning() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

var errKilled = errors.New("network: host was killed")

// register adds c to what Kill closes. It fails if the host was killed.
func (h *Host) register(c io.Closer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		return errKilled
	}
	h.open[c] = true
	return nil
}

func (h *Host) unregister(c io.Closer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, c)
}

// Kill resets the host's connections and closes its listeners and packet connections, as the
// kernel does for a killed process. The host can't open anything afterwards.
func (h *Host) Kill() {
	h.Resume() // operations that the pause blocks must return
	h.mu.Lock()
	h.killed = true
	open := h.open
	h.open = map[io.Closer]bool{}
	h.mu.Unlock()
	for c := range open {
		if c, ok := c.(*memConn); ok {
			c.Reset()
			continue
		}
		_ = c.Close() // a listener or a socket in memory: can't fail
	}
}

// assignPort replaces port 0 in an address by an unused port. h.m.mu must be held.
func (h *Host) assignPort(addr string) (string, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", err
	}
	if port == "0" {
		h.m.nextPort++
		port = strconv.Itoa(h.m.nextPort)
	}
	return net.JoinHostPort(host, port), nil
}

// Listen opens a listener at an address of the network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	addr, err := h.assignPort(addr)
	if err != nil {
		return nil, err
	}
	if h.m.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &memListener{host: h, addr: memAddr(addr), conns: make(chan net.Conn, 1024), closed: make(chan struct{})}
	if err := h.register(l); err != nil {
		return nil, err
	}
	h.m.listeners[addr] = l
	return l, nil
}

// Dial opens a connection. The error is ECONNREFUSED if there is no listener at the address.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	h.waitUntilRunning()
	select {
	case <-time.After(h.m.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.waitUntilRunning()
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	l := h.m.listeners[addr]
	refused := fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	if l == nil {
		return nil, refused
	}
	h.m.nextPort++
	local := memAddr(net.JoinHostPort("127.0.0.1", strconv.Itoa(h.m.nextPort)))
	toClient, toServer := newStream(h.m.delay), newStream(h.m.delay)
	client := &memConn{host: h, rx: toClient, tx: toServer, local: local, remote: l.addr}
	server := &memConn{host: l.host, rx: toServer, tx: toClient, local: l.addr, remote: local}
	if err := h.register(client); err != nil {
		return nil, err
	}
	if err := l.host.register(server); err != nil {
		return nil, refused
	}
	select {
	case l.conns <- server:
		return client, nil
	default:
		return nil, refused // the accept queue is full
	}
}

type memAddr string

func (memAddr) Network() string  { return "memory" }
func (a memAddr) String() string { return string(a) }

// memListener is a listener of a host.
type memListener struct {
	host      *Host
	addr      memAddr
	conns     chan net.Conn // the accept queue
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *memListener) Addr() net.Addr { return l.addr }

// Readable reports whether a connection waits to be accepted.
func (l *memListener) Readable() bool { return len(l.conns) > 0 }

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		l.host.waitUntilRunning()
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.host.unregister(l)
		l.host.m.mu.Lock()
		defer l.host.m.mu.Unlock()
		delete(l.host.m.listeners, string(l.addr))
		for {
			select {
			case c := <-l.conns:
				go c.(*memConn).Reset()
			default:
				return
			}
		}
	})
	return nil
}

// stream carries bytes in one direction of a connection.
type stream struct {
	mu           sync.Mutex
	changed      *sync.Cond
	delay        time.Duration
	chunks       []chunk
	size         int          // bytes in chunks
	eof          bool         // the writer has closed its end
	eofAt        time.Time    // when the end reaches the reader
	err          error        // set by abort; both ends fail with it
	readerClosed bool         // the reader has closed its end
	lastArrival  time.Time    // when the bytes last read arrived
	deadlines    [2]time.Time // of readSide and writeSide; zero: none
	timers       [2]*time.Timer
}

// chunk holds bytes of a stream that arrive at the same time.
type chunk struct {
	arrivesAt time.Time
	data      []byte
}

const (
	readSide = iota
	writeSide

	streamBufferBytes = 64 << 10
)

func newStream(delay time.Duration) *stream {
	s := &stream{delay: delay}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// notify wakes both ends now, and again after the delay, when what was written arrives.
func (s *stream) notify() {
	s.changed.Broadcast()
	s.wakeAfter(s.delay)
}

// wakeAfter wakes both ends after a delay.
func (s *stream) wakeAfter(delay time.Duration) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
}

func (s *stream) expired(side int) bool {
	deadline := s.deadlines[side]
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

func (s *stream) setDeadline(side int, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlines[side] = t
	if s.timers[side] != nil {
		s.timers[side].Stop()
	}
	// Both ends see a deadline that has passed without a timer. With one, the race detector would crash: the runtime
	// runs a timer that is due when it is set at once, on the system stack, if it is in a synctest bubble.
	if t.After(time.Now()) {
		s.timers[side] = time.AfterFunc(time.Until(t), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.changed.Broadcast()
		})
	}
	s.changed.Broadcast()
}

// read reads what has arrived. readDelay returns by how much later than its arrival that is returned.
func (s *stream) read(b []byte, readDelay func() time.Duration) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		delay := readDelay()
		now := time.Now().Add(-delay)
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case s.expired(readSide):
			return 0, os.ErrDeadlineExceeded
		case len(s.chunks) > 0 && !now.Before(s.chunks[0].arrivesAt):
			n := copy(b, s.chunks[0].data)
			s.lastArrival = s.chunks[0].arrivesAt
			if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
				s.chunks = s.chunks[1:]
			}
			s.size -= n
			s.changed.Broadcast()
			return n, nil
		case s.err != nil:
			return 0, s.err
		case len(s.chunks) == 0 && s.eof && !now.Before(s.eofAt):
			return 0, io.EOF
		case delay > 0 && (len(s.chunks) > 0 || s.eof):
			s.wakeAfter(delay)
		}
		s.changed.Wait()
	}
}

func (s *stream) write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for {
		switch {
		case s.eof:
			return written, net.ErrClosed
		case s.err != nil:
			return written, s.err
		case s.readerClosed:
			return written, syscall.EPIPE
		case s.expired(writeSide):
			return written, os.ErrDeadlineExceeded
		case len(b) == 0:
			return written, nil
		}
		if n := min(len(b), streamBufferBytes-s.size); n > 0 {
			s.chunks = append(s.chunks, chunk{time.Now().Add(s.delay), append([]byte(nil), b[:n]...)})
			s.size, written, b = s.size+n, written+n, b[n:]
			s.notify()
			continue
		}
		s.changed.Wait()
	}
}

// closeWrite closes the writer's end. The reader reads the remaining bytes, then io.EOF.
func (s *stream) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eof {
		s.eof, s.eofAt = true, time.Now().Add(s.delay)
		s.notify()
	}
}

// abort makes reads and writes fail with err. Bytes that were not read are lost.
func (s *stream) abort(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err, s.chunks, s.size = err, nil, 0
	}
	s.changed.Broadcast()
}

// memConn is one end of a connection.
type memConn struct {
	host          *Host
	rx, tx        *stream
	local, remote memAddr
}

func (c *memConn) LocalAddr() net.Addr  { return c.local }
func (c *memConn) RemoteAddr() net.Addr { return c.remote }

func (c *memConn) Read(b []byte) (int, error) {
	n, err := c.rx.read(b, c.host.currentReadDelay)
	c.host.waitUntilRunning()
	return n, err
}

func (c *memConn) Write(b []byte) (int, error) {
	c.host.waitUntilRunning()
	return c.tx.write(b)
}

// Readable reports whether the connection holds unread bytes or is at its end.
func (c *memConn) Readable() bool {
	c.rx.mu.Lock()
	defer c.rx.mu.Unlock()
	now := time.Now()
	return len(c.rx.chunks) > 0 && !now.Before(c.rx.chunks[0].arrivesAt) || c.rx.err != nil ||
		len(c.rx.chunks) == 0 && c.rx.eof && !now.Before(c.rx.eofAt)
}

// PeerClosed reports whether the other end has closed its sending side, or the connection has ended, even if
// bytes are still unread.
func (c *memConn) PeerClosed() bool {
	c.rx.mu.Lock()
	defer c.rx.mu.Unlock()
	return c.rx.readerClosed || c.rx.err != nil || c.rx.eof && !time.Now().Before(c.rx.eofAt)
}

// ArrivalTime returns when the bytes last read arrived, and whether that is known.
func (c *memConn) ArrivalTime() (time.Time, bool) {
	c.rx.mu.Lock()
	defer c.rx.mu.Unlock()
	return c.rx.lastArrival, !c.host.m.NoTimestamps
}

func (c *memConn) SetDeadline(t time.Time) error {
	c.rx.setDeadline(readSide, t)
	c.tx.setDeadline(writeSide, t)
	return nil
}

func (c *memConn) SetReadDeadline(t time.Time) error {
	c.rx.setDeadline(readSide, t)
	return nil
}

func (c *memConn) SetWriteDeadline(t time.Time) error {
	c.tx.setDeadline(writeSide, t)
	return nil
}

// CloseWrite closes the sending direction of the connection, as a FIN does in TCP.
func (c *memConn) CloseWrite() error {
	c.tx.closeWrite()
	return nil
}

// Close closes the connection. If it holds unread bytes the other end gets a reset, as in TCP.
func (c *memConn) Close() error {
	c.rx.mu.Lock()
	unread := c.rx.size > 0
	c.rx.readerClosed = true
	c.rx.changed.Broadcast()
	c.rx.mu.Unlock()
	if unread {
		c.tx.abort(syscall.ECONNRESET)
	}
	c.tx.closeWrite()
	c.host.unregister(c)
	return nil
}

// Reset resets the connection: both ends fail with ECONNRESET.
func (c *memConn) Reset() {
	c.rx.abort(syscall.ECONNRESET)
	c.tx.abort(syscall.ECONNRESET)
	c.host.unregister(c)
}

// ListenPacket opens a packet connection at an address of the network.
func (h *Host) ListenPacket(addr string) (net.PacketConn, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	addr, err := h.assignPort(addr)
	if err != nil {
		return nil, err
	}
	if h.m.packets[addr] != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	p := &memPacketConn{host: h, addr: memAddr(addr), received: make(chan packet, 4096), closed: make(chan struct{})}
	if err := h.register(p); err != nil {
		return nil, err
	}
	h.m.packets[addr] = p
	return p, nil
}

// packet is a packet on its way to a host.
type packet struct {
	from memAddr
	data []byte
}

// memPacketConn is a packet connection of a host.
type memPacketConn struct {
	host      *Host
	addr      memAddr
	received  chan packet
	closeOnce sync.Once
	closed    chan struct{}
}

// Readable reports whether a packet waits to be read.
func (p *memPacketConn) Readable() bool { return len(p.received) > 0 }

func (p *memPacketConn) LocalAddr() net.Addr { return p.addr }

func (p *memPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case m := <-p.received:
		p.host.waitUntilRunning()
		return copy(b, m.data), m.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *memPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p.host.waitUntilRunning()
	m := p.host.m
	m.mu.Lock()
	defer m.mu.Unlock()
	dest := m.packets[to.String()]
	if dest == nil {
		return len(b), nil
	}
	if m.packetLoss != nil && m.rng.Float64() < m.packetLoss(p.host.name, dest.host.name) {
		return len(b), nil
	}
	msg := packet{p.addr, append([]byte(nil), b...)}
	time.AfterFunc(m.delay, func() {
		select {
		case dest.received <- msg:
		default:
		}
	})
	return len(b), nil
}

func (p *memPacketConn) Close() error {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.host.unregister(p)
		p.host.m.mu.Lock()
		defer p.host.m.mu.Unlock()
		delete(p.host.m.packets, string(p.addr))
	})
	return nil
}

// Deadlines of packet connections are not supported, as no caller needs them.
func (p *memPacketConn) SetDeadline(time.Time) error      { return errors.ErrUnsupported }
func (p *memPacketConn) SetReadDeadline(time.Time) error  { return errors.ErrUnsupported }
func (p *memPacketConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }

// Resolve returns an address as a net.Addr to which packet connections of the network can
// send. It unwraps networks that have an Unwrap method.
func Resolve(n Network, addr string) (net.Addr, error) {
	if u, ok := n.(interface{ Unwrap() Network }); ok {
		return Resolve(u.Unwrap(), addr)
	}
	if _, ok := n.(*Host); ok {
		return memAddr(addr), nil
	}
	return net.ResolveUDPAddr("udp", addr)
}
