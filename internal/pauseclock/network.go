package pauseclock

import (
	"context"
	"net"

	"yardcleat.example/yardcleat/internal/network"
)

// WatchNetwork returns a network whose sockets the clock watches until they are closed.
func (c *Clock) WatchNetwork(n network.Network) network.Network { return &watchedNetwork{c, n} }

type watchedNetwork struct {
	clock   *Clock
	network network.Network
}

// Unwrap returns the underlying network.
func (w *watchedNetwork) Unwrap() network.Network { return w.network }

// Dial connects through the underlying network.
func (w *watchedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	nc, err := w.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return w.clock.watchConn(nc, w.clock.Now()), nil
}

// Listen listens on the underlying network.
func (w *watchedNetwork) Listen(address string) (net.Listener, error) {
	l, err := w.network.Listen(address)
	if err != nil {
		return nil, err
	}
	return &watchedListener{l, w.clock.addSocket(readableFunc(l))}, nil
}

// ListenPacket listens for packets on the underlying network.
func (w *watchedNetwork) ListenPacket(address string) (net.PacketConn, error) {
	p, err := w.network.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return &watchedPacketConn{p, w.clock.addSocket(readableFunc(p))}, nil
}

// beforeRead records that a read begins, and marks the socket as empty if it is.
func (s *socketState) beforeRead() {
	if !s.readable() {
		s.markEmpty()
	}
	s.suspended.Store(false)
	s.reading.Store(true)
}

type watchedListener struct {
	net.Listener
	socket *socketState
}

// SuspendAccepting records that no connection is accepted from a watched listener before something else has happened,
// such as the end of another connection. Until the next Accept the listener does not count as unread; see
// SuspendReading.
func SuspendAccepting(l net.Listener) {
	if w, ok := l.(*watchedListener); ok {
		w.socket.suspended.Store(true)
	}
}

// HasBacklog reports whether a connection waits to be accepted from a watched listener. For others it returns false.
func HasBacklog(l net.Listener) bool {
	w, ok := l.(*watchedListener)
	return ok && w.socket.readable()
}

// BacklogLength returns how many connections wait to be accepted from a watched listener. The second result is false if
// that can't be determined, or if none seems to wait.
func BacklogLength(l net.Listener) (length int, isKnown bool) {
	w, ok := l.(*watchedListener)
	if !ok {
		return 0, false
	}
	return backlogLength(w.Listener)
}

// Accept accepts a connection, which arrived no earlier than the listener was last found empty.
func (l *watchedListener) Accept() (net.Conn, error) {
	l.socket.beforeRead()
	nc, err := l.Listener.Accept()
	l.socket.reading.Store(false)
	if err != nil {
		return nil, err
	}
	l.socket.lastRead.Store(l.socket.clock.Now())
	return l.socket.clock.watchConn(nc, l.socket.lastEmpty.Load()), nil
}

// Close closes the listener.
func (l *watchedListener) Close() error {
	l.socket.remove()
	return l.Listener.Close()
}

type watchedPacketConn struct {
	net.PacketConn
	socket *socketState
}

// ReadFrom reads a packet.
func (p *watchedPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	p.socket.beforeRead()
	n, from, err := p.PacketConn.ReadFrom(b)
	p.socket.reading.Store(false)
	p.socket.lastRead.Store(p.socket.clock.Now())
	return n, from, err
}

// Close closes the socket.
func (p *watchedPacketConn) Close() error {
	p.socket.remove()
	return p.PacketConn.Close()
}
