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
	mu        sync.Mutex
	delay     time.Duration
	rng       *rand.Rand
	listeners map[string]*memListener
	packets   map[string]*memPacketConn
	nextPort  int
	loss      func(from, to string) float64
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
	m.loss = chance
}

// Host returns a host's view of the network. Whatever it opens lives until it
// is closed or the host is killed.
func (m *Memory) Host(name string) *Host { return &Host{m: m, name: name, open: map[io.Closer]bool{}} }

// Host is one machine of a Memory network.
type Host struct {
	m    *Memory
	name string
	mu   sync.Mutex
	open map[io.Closer]bool
	dead bool
	stop chan struct{} // while paused; closed at Resume
}

// Pause holds up all that the host reads, writes, dials and accepts, as a
// stopped process does; what others send it waits.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stop == nil {
		h.stop = make(chan struct{})
	}
}

// Resume lets a paused host go on.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stop != nil {
		close(h.stop)
		h.stop = nil
	}
}

// WaitUntilRunning returns while the host is not paused; else once it goes on.
func (h *Host) WaitUntilRunning() { h.running() }

func (h *Host) running() {
	h.mu.Lock()
	stop := h.stop
	h.mu.Unlock()
	if stop != nil {
		<-stop
	}
}

var errDead = errors.New("network: host is dead")

func (h *Host) keep(c io.Closer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return errDead
	}
	h.open[c] = true
	return nil
}

func (h *Host) drop(c io.Closer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, c)
}

// Kill closes all the host has open at once, as the kernel does for a process
// killed outright: connections are reset. The Host is of no use afterwards.
func (h *Host) Kill() {
	h.Resume() // what waits is to see its end
	h.mu.Lock()
	h.dead = true
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

func (h *Host) bind(addr string) (string, error) {
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

// Listen takes connections at an address of the network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	addr, err := h.bind(addr)
	if err != nil {
		return nil, err
	}
	if h.m.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &memListener{h: h, addr: memAddr(addr), conns: make(chan net.Conn, 1024), done: make(chan struct{})}
	if err := h.keep(l); err != nil {
		return nil, err
	}
	h.m.listeners[addr] = l
	return l, nil
}

// Dial connects; the error is ECONNREFUSED where nobody listens.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	h.running()
	select {
	case <-time.After(h.m.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.running()
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	l := h.m.listeners[addr]
	refused := fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	if l == nil {
		return nil, refused
	}
	h.m.nextPort++
	local := memAddr(net.JoinHostPort("127.0.0.1", strconv.Itoa(h.m.nextPort)))
	a, b := newStream(h.m.delay), newStream(h.m.delay)
	near := &memConn{h: h, rx: a, tx: b, local: local, remote: l.addr}
	far := &memConn{h: l.h, rx: b, tx: a, local: l.addr, remote: local}
	if err := h.keep(near); err != nil {
		return nil, err
	}
	if err := l.h.keep(far); err != nil {
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
	h     *Host
	addr  memAddr
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *memListener) Addr() net.Addr { return l.addr }

// Readable tells whether a connection waits to be taken.
func (l *memListener) Readable() bool { return len(l.conns) > 0 }

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		l.h.running()
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.h.drop(l)
		l.h.m.mu.Lock()
		defer l.h.m.mu.Unlock()
		delete(l.h.m.listeners, string(l.addr))
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
	mu       sync.Mutex
	cond     *sync.Cond
	delay    time.Duration
	chunks   []chunk
	size     int
	eof      bool      // no more will be written
	eofAt    time.Time // when the reader learns of it
	err      error     // ends both sides at once
	closed   bool      // the reader went away
	last     time.Time // when what was read last arrived
	deadline [2]time.Time
	timers   [2]*time.Timer
}

type chunk struct {
	at   time.Time
	data []byte
}

const (
	reading = iota
	writing

	streamBuffer = 64 << 10
)

func newStream(delay time.Duration) *stream {
	s := &stream{delay: delay}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// wake wakes the waiting ends, also once the delay is over.
func (s *stream) wake() {
	s.cond.Broadcast()
	time.AfterFunc(s.delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cond.Broadcast()
	})
}

func (s *stream) expired(side int) bool {
	d := s.deadline[side]
	return !d.IsZero() && !time.Now().Before(d)
}

func (s *stream) setDeadline(side int, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline[side] = t
	if s.timers[side] != nil {
		s.timers[side].Stop()
	}
	if !t.IsZero() {
		s.timers[side] = time.AfterFunc(time.Until(t), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.cond.Broadcast()
		})
	}
	s.cond.Broadcast()
}

func (s *stream) read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case s.closed:
			return 0, net.ErrClosed
		case s.expired(reading):
			return 0, os.ErrDeadlineExceeded
		case len(s.chunks) > 0 && !now.Before(s.chunks[0].at):
			n := copy(b, s.chunks[0].data)
			s.last = s.chunks[0].at
			if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
				s.chunks = s.chunks[1:]
			}
			s.size -= n
			s.cond.Broadcast()
			return n, nil
		case s.err != nil:
			return 0, s.err
		case len(s.chunks) == 0 && s.eof && !now.Before(s.eofAt):
			return 0, io.EOF
		}
		s.cond.Wait()
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
		case s.closed:
			return done, syscall.EPIPE
		case s.expired(writing):
			return done, os.ErrDeadlineExceeded
		case len(b) == 0:
			return done, nil
		}
		if n := min(len(b), streamBuffer-s.size); n > 0 {
			s.chunks = append(s.chunks, chunk{time.Now().Add(s.delay), append([]byte(nil), b[:n]...)})
			s.size, done, b = s.size+n, done+n, b[n:]
			s.wake()
			continue
		}
		s.cond.Wait()
	}
}

// end says that no more will be written.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eof {
		s.eof, s.eofAt = true, time.Now().Add(s.delay)
		s.wake()
	}
}

// abort ends both sides with an error; what was not read is lost.
func (s *stream) abort(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err, s.chunks, s.size = err, nil, 0
	}
	s.cond.Broadcast()
}

type memConn struct {
	h             *Host
	rx, tx        *stream
	local, remote memAddr
}

func (c *memConn) LocalAddr() net.Addr  { return c.local }
func (c *memConn) RemoteAddr() net.Addr { return c.remote }

func (c *memConn) Read(b []byte) (int, error) {
	n, err := c.rx.read(b)
	c.h.running()
	return n, err
}

func (c *memConn) Write(b []byte) (int, error) {
	c.h.running()
	return c.tx.write(b)
}

// Readable tells whether there is something to read, or the end.
func (c *memConn) Readable() bool {
	c.rx.mu.Lock()
	defer c.rx.mu.Unlock()
	now := time.Now()
	return len(c.rx.chunks) > 0 && !now.Before(c.rx.chunks[0].at) || c.rx.err != nil ||
		len(c.rx.chunks) == 0 && c.rx.eof && !now.Before(c.rx.eofAt)
}

// ArrivalTime is when what was last read arrived; false where that is not known.
func (c *memConn) ArrivalTime() (time.Time, bool) {
	c.rx.mu.Lock()
	defer c.rx.mu.Unlock()
	return c.rx.last, !c.h.m.NoTimestamps
}

func (c *memConn) SetDeadline(t time.Time) error {
	c.rx.setDeadline(reading, t)
	c.tx.setDeadline(writing, t)
	return nil
}

func (c *memConn) SetReadDeadline(t time.Time) error {
	c.rx.setDeadline(reading, t)
	return nil
}

func (c *memConn) SetWriteDeadline(t time.Time) error {
	c.tx.setDeadline(writing, t)
	return nil
}

// CloseWrite half-closes the connection, as TCP's FIN does.
func (c *memConn) CloseWrite() error {
	c.tx.end()
	return nil
}

// Close ends the connection; bytes not read here reset it, as in TCP.
func (c *memConn) Close() error {
	c.rx.mu.Lock()
	unread := c.rx.size > 0
	c.rx.closed = true
	c.rx.cond.Broadcast()
	c.rx.mu.Unlock()
	if unread {
		c.tx.abort(syscall.ECONNRESET)
	}
	c.tx.end()
	c.h.drop(c)
	return nil
}

// Reset ends the connection with an error at both ends.
func (c *memConn) Reset() {
	c.rx.abort(syscall.ECONNRESET)
	c.tx.abort(syscall.ECONNRESET)
	c.h.drop(c)
}

// ListenPacket takes packets at an address of the network.
func (h *Host) ListenPacket(addr string) (net.PacketConn, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	addr, err := h.bind(addr)
	if err != nil {
		return nil, err
	}
	if h.m.packets[addr] != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	p := &memPacketConn{h: h, addr: memAddr(addr), in: make(chan packet, 4096), done: make(chan struct{})}
	if err := h.keep(p); err != nil {
		return nil, err
	}
	h.m.packets[addr] = p
	return p, nil
}

type packet struct {
	from memAddr
	data []byte
}

type memPacketConn struct {
	h    *Host
	addr memAddr
	in   chan packet
	once sync.Once
	done chan struct{}
}

// Readable tells whether a packet waits.
func (p *memPacketConn) Readable() bool { return len(p.in) > 0 }

func (p *memPacketConn) LocalAddr() net.Addr { return p.addr }

func (p *memPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case m := <-p.in:
		p.h.running()
		return copy(b, m.data), m.from, nil
	case <-p.done:
		return 0, nil, net.ErrClosed
	}
}

func (p *memPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p.h.running()
	m := p.h.m
	m.mu.Lock()
	defer m.mu.Unlock()
	dest := m.packets[to.String()]
	if dest == nil {
		return len(b), nil
	}
	if m.loss != nil && m.rng.Float64() < m.loss(p.h.name, dest.h.name) {
		return len(b), nil
	}
	msg := packet{p.addr, append([]byte(nil), b...)}
	time.AfterFunc(m.delay, func() {
		select {
		case dest.in <- msg:
		default:
		}
	})
	return len(b), nil
}

func (p *memPacketConn) Close() error {
	p.once.Do(func() {
		close(p.done)
		p.h.drop(p)
		p.h.m.mu.Lock()
		defer p.h.m.mu.Unlock()
		delete(p.h.m.packets, string(p.addr))
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
