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

// Memory is a network of hosts in one process. Bytes and packets take Delay;
// packets are lost by chance. It blocks only in ways testing/synctest knows.
type Memory struct {
	mu         sync.Mutex
	delay      time.Duration
	rng        *rand.Rand
	listeners  map[string]*memListener
	packets    map[string]*memPacketConn
	nextPort   int
	packetLoss func(from, to string) float64
	// NoTimestamps has connections not say when their bytes arrived, as systems
	// without kernel timestamps.
	NoTimestamps bool
}

// NewMemory returns an empty network. The seed draws which packets are lost.
func NewMemory(delay time.Duration, seed uint64) *Memory {
	return &Memory{delay: delay, rng: rand.New(rand.NewPCG(seed, 1)), listeners: map[string]*memListener{},
		packets: map[string]*memPacketConn{}, nextPort: 40000}
}

// SetPacketLoss sets the chance, 0 to 1, that a packet between two hosts is lost; nil
// loses none. Hosts are the names given to Host.
func (m *Memory) SetPacketLoss(chance func(from, to string) float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.packetLoss = chance
}

// Host returns a host's view of the network. Whatever it opens lives until it
// is closed or the host is killed.
func (m *Memory) Host(name string) *Host {
	return &Host{network: m, name: name, open: map[io.Closer]bool{}}
}

// Host is one machine of a Memory network.
type Host struct {
	network *Memory
	name    string
	mu      sync.Mutex
	open    map[io.Closer]bool
	killed  bool
	resumed chan struct{} // while paused; closed at Resume
}

// Pause holds up all that the host reads, writes, dials and accepts, as a
// stopped process does; what others send it waits.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed == nil {
		h.resumed = make(chan struct{})
	}
}

// Resume lets a paused host go on.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed != nil {
		close(h.resumed)
		h.resumed = nil
	}
}

// WaitUntilRunning returns while the host is not paused; else once it goes on.
func (h *Host) WaitUntilRunning() { h.waitUntilRunning() }

func (h *Host) waitUntilRunning() {
	h.mu.Lock()
	stop := h.resumed
	h.mu.Unlock()
	if stop != nil {
		<-stop
	}
}

var errKilled = errors.New("network: host is dead")

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

// Kill closes all the host has open at once, as the kernel does for a process
// killed outright: connections are reset. The Host is of no use afterwards.
func (h *Host) Kill() {
	h.Resume() // what waits is to see its end
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
		c.Close()
	}
}

func (h *Host) assignPort(addr string) (string, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", err
	}
	if port == "0" {
		h.network.nextPort++
		port = strconv.Itoa(h.network.nextPort)
	}
	return net.JoinHostPort(host, port), nil
}

// Listen takes connections at an address of the network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	addr, err := h.assignPort(addr)
	if err != nil {
		return nil, err
	}
	if h.network.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &memListener{host: h, addr: memAddr(addr), conns: make(chan net.Conn, 1024), closed: make(chan struct{})}
	if err := h.register(l); err != nil {
		return nil, err
	}
	h.network.listeners[addr] = l
	return l, nil
}

// Dial connects; the error is ECONNREFUSED where nobody listens.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	h.waitUntilRunning()
	select {
	case <-time.After(h.network.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.waitUntilRunning()
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := h.network.listeners[addr]
	refused := fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	if l == nil {
		return nil, refused
	}
	h.network.nextPort++
	local := memAddr(net.JoinHostPort("127.0.0.1", strconv.Itoa(h.network.nextPort)))
	a, b := newStream(h.network.delay), newStream(h.network.delay)
	near := &memConn{host: h, rx: a, tx: b, local: local, remote: l.addr}
	far := &memConn{host: l.host, rx: b, tx: a, local: l.addr, remote: local}
	if err := h.register(near); err != nil {
		return nil, err
	}
	if err := l.host.register(far); err != nil {
		return nil, refused
	}
	select {
	case l.conns <- far:
		return near, nil
	default:
		return nil, refused // its accept queue is full
	}
}

type memAddr string

func (memAddr) Network() string  { return "memory" }
func (a memAddr) String() string { return string(a) }

type memListener struct {
	host      *Host
	addr      memAddr
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *memListener) Addr() net.Addr { return l.addr }

// Readable tells whether a connection waits to be taken.
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
		l.host.network.mu.Lock()
		defer l.host.network.mu.Unlock()
		delete(l.host.network.listeners, string(l.addr))
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

// stream carries bytes one way.
type stream struct {
	mu           sync.Mutex
	changed      *sync.Cond
	delay        time.Duration
	chunks       []chunk
	size         int
	eof          bool      // no more will be written
	eofAt        time.Time // when the reader learns of it
	err          error     // ends both sides at once
	readerClosed bool      // the reader went away
	lastArrival  time.Time // when what was read last arrived
	deadlines    [2]time.Time
	timers       [2]*time.Timer
}

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

// notify wakes the waiting ends, also once the delay is over.
func (s *stream) notify() {
	s.changed.Broadcast()
	time.AfterFunc(s.delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
}

func (s *stream) expired(side int) bool {
	d := s.deadlines[side]
	return !d.IsZero() && !time.Now().Before(d)
}

func (s *stream) setDeadline(side int, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlines[side] = t
	if s.timers[side] != nil {
		s.timers[side].Stop()
	}
	if !t.IsZero() {
		s.timers[side] = time.AfterFunc(time.Until(t), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.changed.Broadcast()
		})
	}
	s.changed.Broadcast()
}

func (s *stream) read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := time.Now()
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
		}
		s.changed.Wait()
	}
}

func (s *stream) write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := 0
	for {
		switch {
		case s.eof:
			return done, net.ErrClosed
		case s.err != nil:
			return done, s.err
		case s.readerClosed:
			return done, syscall.EPIPE
		case s.expired(writeSide):
			return done, os.ErrDeadlineExceeded
		case len(b) == 0:
			return done, nil
		}
		if n := min(len(b), streamBufferBytes-s.size); n > 0 {
			s.chunks = append(s.chunks, chunk{time.Now().Add(s.delay), append([]byte(nil), b[:n]...)})
			s.size, done, b = s.size+n, done+n, b[n:]
			s.notify()
			continue
		}
		s.changed.Wait()
	}
}

// closeWrite says that no more will be written.
func (s *stream) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eof {
		s.eof, s.eofAt = true, time.Now().Add(s.delay)
		s.notify()
	}
}

// abort ends both sides with an error; what was not read is lost.
func (s *stream) abort(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err, s.chunks, s.size = err, nil, 0
	}
	s.changed.Broadcast()
}

type memConn struct {
	host          *Host
	rx, tx        *stream
	local, remote memAddr
}

func (c *memConn) LocalAddr() net.Addr  { return c.local }
func (c *memConn) RemoteAddr() net.Addr { return c.remote }

func (c *memConn) Read(b []byte) (int, error) {
	n, err := c.rx.read(b)
	c.host.waitUntilRunning()
	return n, err
}

func (c *memConn) Write(b []byte) (int, error) {
	c.host.waitUntilRunning()
	return c.tx.write(b)
}

// Readable tells whether there is something to read, or the end.
func (c *memConn) Readable() bool {
	c.rx.mu.Lock()
	defer c.rx.mu.Unlock()
	now := time.Now()
	return len(c.rx.chunks) > 0 && !now.Before(c.rx.chunks[0].arrivesAt) || c.rx.err != nil ||
		len(c.rx.chunks) == 0 && c.rx.eof && !now.Before(c.rx.eofAt)
}

// ArrivalTime is when what was last read arrived; false where that is not known.
func (c *memConn) ArrivalTime() (time.Time, bool) {
	c.rx.mu.Lock()
	defer c.rx.mu.Unlock()
	return c.rx.lastArrival, !c.host.network.NoTimestamps
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

// CloseWrite half-closes the connection, as TCP's FIN does.
func (c *memConn) CloseWrite() error {
	c.tx.closeWrite()
	return nil
}

// Close ends the connection; bytes not read here reset it, as in TCP.
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

// Reset ends the connection with an error at both ends.
func (c *memConn) Reset() {
	c.rx.abort(syscall.ECONNRESET)
	c.tx.abort(syscall.ECONNRESET)
	c.host.unregister(c)
}

// ListenPacket takes packets at an address of the network.
func (h *Host) ListenPacket(addr string) (net.PacketConn, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	addr, err := h.assignPort(addr)
	if err != nil {
		return nil, err
	}
	if h.network.packets[addr] != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	p := &memPacketConn{host: h, addr: memAddr(addr), received: make(chan packet, 4096), closed: make(chan struct{})}
	if err := h.register(p); err != nil {
		return nil, err
	}
	h.network.packets[addr] = p
	return p, nil
}

type packet struct {
	from memAddr
	data []byte
}

type memPacketConn struct {
	host      *Host
	addr      memAddr
	received  chan packet
	closeOnce sync.Once
	closed    chan struct{}
}

// Readable tells whether a packet waits.
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
	m := p.host.network
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
		p.host.network.mu.Lock()
		defer p.host.network.mu.Unlock()
		delete(p.host.network.packets, string(p.addr))
	})
	return nil
}

// Deadlines are not needed by any user of packets here.
func (p *memPacketConn) SetDeadline(time.Time) error      { return errors.ErrUnsupported }
func (p *memPacketConn) SetReadDeadline(time.Time) error  { return errors.ErrUnsupported }
func (p *memPacketConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }

// Resolve makes the address of a packet's receiver.
func Resolve(n Network, addr string) (net.Addr, error) {
	if u, ok := n.(interface{ Unwrap() Network }); ok {
		return Resolve(u.Unwrap(), addr)
	}
	if _, ok := n.(*Host); ok {
		return memAddr(addr), nil
	}
	return net.ResolveUDPAddr("udp", addr)
}
