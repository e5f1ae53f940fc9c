package pauseclock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/pause"
)

// watchedPair returns a host, a clock that watches the host's network, and the host's and the
// peer's end of a connection. The network's latency is 1 ms.
func watchedPair(t *testing.T) (host *network.Host, clock *Clock, accepted, peer net.Conn) {
	t.Helper()
	memory := network.NewMemory(time.Millisecond, 1)
	host = memory.Host("node")
	clock = New(time.Now(), host, pause.DefaultSettings())
	t.Cleanup(clock.Close)
	listener, err := clock.WatchNetwork(host).Listen("10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	peer, err = memory.Host("peer").Dial(context.Background(), "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = listener.Accept() }() // keeps the listener in a read
	t.Cleanup(func() {
		_ = accepted.Close()
		_ = peer.Close()
	})
	return host, clock, accepted, peer
}

// A process is paused for 2 s, and a peer sends data in the middle of the pause. The clock must detect
// the pause and return the time at which the data arrived, not the time at which it was read.
func TestClockDetectsPauseAndArrivalTimesDuringIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host, clock, conn, peer := watchedPair(t)
		time.Sleep(time.Second)
		if clock.Pauses() != 0 || clock.UnreadSockets() != 0 {
			t.Fatalf("%d pauses, %d unread sockets before the pause", clock.Pauses(), clock.UnreadSockets())
		}
		before := time.Now()
		from := clock.Now()
		host.Pause()
		time.Sleep(time.Second)
		if _, err := peer.Write([]byte("sent in the pause")); err != nil {
			t.Fatal(err)
		}
		sent := time.Now()
		time.Sleep(time.Second)
		host.Resume()

		to := clock.Now()
		if !clock.PausedSince(before) || clock.Pauses() != 1 {
			t.Errorf("paused since: %v; %d pauses", clock.PausedSince(before), clock.Pauses())
		}
		if clock.PausedSince(time.Now()) {
			t.Error("PausedSince reports a pause after the end of the pause")
		}
		if active := clock.ActiveTime(from, to); active > 50*time.Millisecond {
			t.Errorf("active for %v during the pause", active)
		}
		if n := clock.UnreadSockets(); n != 1 {
			t.Errorf("%d unread sockets after the pause, want only the connection", n)
		}
		if _, err := conn.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if arrived := ArrivalTime(conn); arrived.Sub(sent).Abs() > 5*time.Millisecond {
			t.Errorf("arrived %v after it was sent", arrived.Sub(sent))
		}
		if got, want := ArrivalTimeForAddr(conn.RemoteAddr()), ArrivalTime(conn); !got.Equal(want) {
			t.Errorf("arrival time for the address is %v, want %v", got, want)
		}
	})
}

// A socket counts as unread until its reader has processed the data and reads again. Otherwise the
// barrier after a pause could be lifted while a reader still processes a request of that pause.
func TestSocketIsUnreadWhileReaderProcessesData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host, clock, conn, peer := watchedPair(t)
		time.Sleep(time.Second)
		host.Pause()
		if _, err := peer.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		host.Resume()
		clock.Now() // detects the pause
		time.Sleep(time.Millisecond)
		if _, err := conn.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if n := clock.UnreadSockets(); n != 1 {
			t.Errorf("%d unread sockets while the reader processes data, want 1", n)
		}
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 100))
			ended <- err
		}()
		synctest.Wait()
		if n := clock.UnreadSockets(); n != 0 {
			t.Errorf("%d unread sockets while the reader waits, want 0", n)
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; err == nil {
			t.Error("a read of a closed connection returned no error")
		}
		if n := len(clock.sockets); n != 1 {
			t.Errorf("%d sockets are watched, want only the listener", n)
		}
	})
}

// Guards against a wait for a socket that cannot be read: its reader has suspended reading until the event loop, which
// would wait for the socket, has replied to it. From the next read on the socket counts again.
func TestSuspendedSocketIsNotUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host, clock, conn, peer := watchedPair(t)
		time.Sleep(time.Second)
		host.Pause()
		if _, err := peer.Write([]byte("more than is read")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		host.Resume()
		clock.Now() // detects the pause
		time.Sleep(time.Millisecond)
		if n := clock.UnreadSockets(); n != 1 {
			t.Errorf("%d unread sockets before reading is suspended, want 1", n)
		}
		SuspendReading(conn)
		if n := clock.UnreadSockets(); n != 0 {
			t.Errorf("%d unread sockets while reading is suspended, want 0", n)
		}
		if _, err := conn.Read(make([]byte, 4)); err != nil {
			t.Fatal(err)
		}
		if n := clock.UnreadSockets(); n != 1 {
			t.Errorf("%d unread sockets after a part was read, want 1", n)
		}
	})
}

func TestArrivalTimeIsZeroForUnwatchedConnection(t *testing.T) {
	a, b := net.Pipe()
	defer func() {
		_ = a.Close()
		_ = b.Close()
	}()
	if at := ArrivalTime(a); !at.IsZero() {
		t.Errorf("arrival time of the connection: %v, want zero", at)
	}
	if at := ArrivalTimeForAddr(a.RemoteAddr()); !at.IsZero() {
		t.Errorf("arrival time for the address: %v, want zero", at)
	}
}

func TestCloseMayBeRepeated(t *testing.T) {
	c := New(time.Now(), network.OS{}, pause.DefaultSettings())
	c.Close()
	c.Close()
	if c.Now() <= 0 {
		t.Error("Now returned no time after Close")
	}
}

// Guards against a listener that holds up the event loop after each pause: it is not read while there is no room for
// another connection, and there may be none before the event loop goes on.
func TestListenerWithoutRoomIsNotUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(time.Millisecond, 1)
		host := memory.Host("node")
		clock := New(time.Now(), host, pause.DefaultSettings())
		defer clock.Close()
		listener, err := clock.WatchNetwork(host).Listen("10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		dialAndPause := func() {
			peer, err := memory.Host("peer").Dial(context.Background(), "10.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = peer.Close() })
			time.Sleep(10 * time.Millisecond)
			host.Pause()
			time.Sleep(time.Second)
			host.Resume()
			clock.Now()
		}
		dialAndPause()
		if n := clock.UnreadSockets(); n != 1 {
			t.Errorf("%d unread sockets, want the listener", n)
		}
		SuspendAccepting(listener)
		if n := clock.UnreadSockets(); n != 0 {
			t.Errorf("%d unread sockets while there is no room", n)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = accepted.Close() }()
		dialAndPause()
		if n := clock.UnreadSockets(); n != 1 {
			t.Errorf("%d unread sockets, want the listener again", n)
		}
	})
}

// passingErrorConn is a connection whose first reads and writes fail for want of memory; a write is short besides.
type passingErrorConn struct {
	net.Conn
	readErrors, writeErrors int
	written                 []byte
}

func (c *passingErrorConn) Read(b []byte) (int, error) {
	if c.readErrors > 0 {
		c.readErrors--
		return 0, &net.OpError{Op: "read", Err: syscall.ENOMEM}
	}
	return copy(b, "read"), nil
}

func (c *passingErrorConn) Write(b []byte) (int, error) {
	if c.writeErrors > 0 {
		c.writeErrors--
		c.written = append(c.written, b[0])
		return 1, &net.OpError{Op: "write", Err: syscall.ENOBUFS}
	}
	c.written = append(c.written, b...)
	return len(b), nil
}

// Guards against a connection that counts as ended, and a request or response that is lost, because the system has no memory
// for its bytes for a moment.
func TestPassingErrorsEndNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := New(time.Now(), network.NewMemory(time.Millisecond, 1).Host("node"), pause.DefaultSettings())
		defer clock.Close()
		inner := &passingErrorConn{readErrors: 3, writeErrors: 3}
		conn := clock.watchConn(inner, 0)
		buffer := make([]byte, 10)
		if n, err := conn.Read(buffer); err != nil || string(buffer[:n]) != "read" {
			t.Errorf("read %q, %v", buffer[:n], err)
		}
		if n, err := conn.Write([]byte("written")); err != nil || n != len("written") || string(inner.written) != "written" {
			t.Errorf("%d bytes: %q, %v", n, inner.written, err)
		}
		inner.writeErrors = 1 << 20
		begun := time.Now()
		if _, err := conn.Write(make([]byte, 1<<20)); !errors.Is(err, syscall.ENOBUFS) || time.Since(begun) > time.Second {
			t.Errorf("a lasting error: %v after %v", err, time.Since(begun))
		}
	})
}
