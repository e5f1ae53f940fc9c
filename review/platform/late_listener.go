package platform

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// LateListener is the listener of an app server whose connections can come up late: while it is blocked its queue of
// accepted connections is full, so that the system drops the first packet of a new connection. The other side
// repeats it a second later, and the connection comes up then.
type LateListener struct {
	net.Listener
	mu      sync.Mutex
	open    chan struct{} // closed while connections are accepted
	fillers []net.Conn
	own     map[string]bool // addresses of the fillers
}

// NewLateListener listens at a free loopback port.
func NewLateListener() (*LateListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }) // a queue of one connection
	if err != nil {
		return nil, err
	}
	open := make(chan struct{})
	close(open)
	return &LateListener{Listener: l, open: open, own: map[string]bool{}}, listenErr
}

// Block fills the queue, so that connections come up late until Unblock.
func (l *LateListener) Block() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
	for range 2 { // the pending Accept takes the first one
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return err
		}
		l.own[conn.LocalAddr().String()] = true
		l.fillers = append(l.fillers, conn)
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}

// Unblock empties the queue.
func (l *LateListener) Unblock() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
	for _, conn := range l.fillers {
		_ = conn.Close()
	}
	l.fillers = nil
}

// Accept returns the next connection that is not a filler.
func (l *LateListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		open, isFiller := l.open, l.own[conn.RemoteAddr().String()]
		l.mu.Unlock()
		<-open
		if !isFiller {
			return conn, nil
		}
		_ = conn.Close()
	}
}
