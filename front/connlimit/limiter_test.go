package connlimit

import (
	"context"
	"log/slog"
	"net"
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
