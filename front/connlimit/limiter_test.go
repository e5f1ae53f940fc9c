package connlimit

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy/connections"
)

// heldConn is a connection with a request in flight, which is closed when the test allows it.
type heldConn struct{ net.Conn }

func (heldConn) HasUnreadData() bool          { return false }
func (heldConn) Interrupt(connections.Action) {}
func (c heldConn) Close()                     { _ = c.Conn.Close() }

// Guards against a listener that holds more connections than it may, because it accepts them faster than those that
// are turned away are closed.
func TestServeWaitsForOpenConnections(t *testing.T) {
	const maxOpen, dialed = 3, 5
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := New(connections.Limits{MaxOpen: maxOpen}, slog.New(slog.DiscardHandler))
	accepted, closing, ended := make(chan struct{}, dialed), make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- limiter.Serve(l, func(nc net.Conn) {
			c := heldConn{nc}
			entry := limiter.Accept(c)
			limiter.Complete(entry)
			accepted <- struct{}{}
			go func() {
				<-closing
				c.Close()
				limiter.Remove(entry)
			}()
		})
	}()
	for range dialed {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
	}
	for range maxOpen {
		<-accepted
	}
	select {
	case <-accepted:
		t.Fatalf("more than %d connections are open", maxOpen)
	case <-time.After(50 * time.Millisecond):
	}
	closing <- struct{}{}
	<-accepted
	close(closing)
	<-accepted
	if err := limiter.StopServing(context.Background(), l); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against requests that get no response because the listener is closed while connections wait to be accepted: the
// kernel resets them.
func TestConnectionsThatWaitAreAcceptedBeforeTheListenerIsClosed(t *testing.T) {
	const dialed = 5
	clock := pauseclock.New(time.Now(), network.OS{}, pause.DefaultSettings())
	defer clock.Close()
	l, err := clock.WatchNetwork(network.OS{}).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := New(connections.Limits{MaxOpen: dialed}, slog.New(slog.DiscardHandler))
	accepted, proceed, ended := make(chan struct{}, dialed), make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- limiter.Serve(l, func(nc net.Conn) {
			defer func() { _ = nc.Close() }()
			accepted <- struct{}{}
			<-proceed
		})
	}()
	for range dialed {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
	}
	<-accepted
	stopped := make(chan error, 1)
	go func() { stopped <- limiter.StopServing(context.Background(), l) }()
	time.Sleep(5 * time.Millisecond)
	close(proceed)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if n := 1 + len(accepted); n != dialed {
		t.Errorf("%d connections of %d were accepted", n, dialed)
	}
}

// Guards against a listener that is not closed, or closed too early, because clients connect again and again: it is closed
// once those that had reached it are accepted.
func TestListenerIsClosedWhileClientsComeOn(t *testing.T) {
	const before = 20
	clock := pauseclock.New(time.Now(), network.OS{}, pause.DefaultSettings())
	defer clock.Close()
	l, err := clock.WatchNetwork(network.OS{}).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial := func() bool {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			t.Cleanup(func() { _ = nc.Close() })
		}
		return err == nil
	}
	for range before {
		dial()
	}
	limiter := New(connections.Limits{MaxOpen: before}, slog.New(slog.DiscardHandler))
	accepted, ended, comingOn := make(chan struct{}, 100_000), make(chan error, 1), make(chan struct{})
	go func() {
		defer close(comingOn)
		for dial() {
			time.Sleep(100 * time.Microsecond)
		}
	}()
	stopped := make(chan error, 1)
	go func() { stopped <- limiter.StopServing(context.Background(), l) }()
	go func() {
		ended <- limiter.Serve(l, func(nc net.Conn) {
			time.Sleep(10 * time.Millisecond)
			_ = nc.Close()
			accepted <- struct{}{}
		})
	}()
	for _, result := range []chan error{stopped, ended} {
		if err := <-result; err != nil {
			t.Error(err)
		}
	}
	<-comingOn
	if n := len(accepted); n < before {
		t.Errorf("%d connections of %d were accepted", n, before)
	}
}

// failingListener is a listener whose next accepts fail with an error.
type failingListener struct {
	net.Listener
	err      error
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: l.err}
	}
	return l.Listener.Accept()
}

// recordingOwner is the owner of a connection that says what is to be done with it.
type recordingOwner struct {
	heldConn
	actions chan connections.Action
}

func (o recordingOwner) Interrupt(action connections.Action) { o.actions <- action }

// Guards against a listener that waits while it could accept, or ends connections for nothing, because accept fails for a
// moment: a lack of descriptors ends a connection without a request, other errors none.
func TestAcceptErrorsArePassing(t *testing.T) {
	for err, action := range map[error]connections.Action{
		syscall.EMFILE: connections.Reject, syscall.ENFILE: connections.Reject, syscall.ENOBUFS: connections.Reject,
		syscall.ECONNABORTED: connections.None, syscall.EPERM: connections.None,
	} {
		l, listenErr := net.Listen("tcp", "127.0.0.1:0")
		if listenErr != nil {
			t.Fatal(listenErr)
		}
		limiter := New(connections.Limits{MaxOpen: 10}, slog.New(slog.DiscardHandler))
		silent, other := net.Pipe()
		owner := recordingOwner{heldConn{silent}, make(chan connections.Action, 10)}
		entry := limiter.Accept(owner)
		failing := &failingListener{Listener: l, err: err}
		failing.failures.Store(3)
		accepted, ended := make(chan struct{}), make(chan error, 1)
		go func() {
			ended <- limiter.Serve(failing, func(nc net.Conn) {
				_ = nc.Close()
				close(accepted)
			})
		}()
		nc, dialErr := net.Dial("tcp", l.Addr().String())
		if dialErr != nil {
			t.Fatal(dialErr)
		}
		<-accepted
		got, _ := limiter.Action(entry)
		if n := limiter.Counts().AcceptErrors; got != action || n != 3 {
			t.Errorf("%v: %v of a silent connection, %d errors counted; want %v and 3", err, got, n, action)
		}
		if err := limiter.StopServing(context.Background(), l); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		_, _, _ = nc.Close(), silent.Close(), other.Close()
	}
}
