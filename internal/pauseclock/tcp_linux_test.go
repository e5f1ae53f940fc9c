package pauseclock

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/pause"
)

// connectOnLoopback returns the two ends of a connection, of which a clock watches the second until the test ends.
func connectOnLoopback(t *testing.T) (peer, conn net.Conn) {
	t.Helper()
	clock := New(time.Now(), network.OS{}, pause.DefaultSettings())
	t.Cleanup(clock.Close)
	listener, err := clock.WatchNetwork(network.OS{}).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if peer, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if conn, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return peer, conn
}

// A TCP read long after the bytes arrived must return the kernel's arrival time, not the time of
// the read. A read at the end of the connection must mark its socket as finished.
func TestLateTCPReadHasTheKernelsArrivalTime(t *testing.T) {
	peer, conn := connectOnLoopback(t)
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 10)
	// The first socket of a machine that enables timestamps receives them only after a short delay.
	hasArrivalTime := false
	for attempts := 0; attempts < 20 && !hasArrivalTime; attempts++ {
		hasArrivalTime = lateReadHasArrivalTime(t, peer, conn, buffer)
	}
	if !hasArrivalTime {
		t.Error("no late read has the time at which its bytes arrived")
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(buffer); !errors.Is(err, io.EOF) {
		t.Errorf("read at the end of the connection: %v, want EOF", err)
	}
	if !conn.(*watchedConn).socket.finished.Load() {
		t.Error("a socket whose end was read is not finished")
	}
}

// lateReadHasArrivalTime sends bytes, reads them 100 ms later, and reports whether the arrival
// time is less than 50 ms after the time at which they were sent.
func lateReadHasArrivalTime(t *testing.T, peer, conn net.Conn, buffer []byte) bool {
	t.Helper()
	if _, err := peer.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	time.Sleep(100 * time.Millisecond)
	if r, ok := conn.(interface{ Readable() bool }); !ok || !r.Readable() {
		t.Error("a connection with unread bytes is not readable")
	}
	if n, err := conn.Read(buffer); err != nil || string(buffer[:n]) != "late" {
		t.Fatalf("%q, %v", buffer[:n], err)
	}
	return ArrivalTime(conn).Sub(sent) < 50*time.Millisecond
}

// PeerClosed must report a client's close while bytes before it are still unread, and AwaitRead must wait for a
// reader that has not caught up, but no longer than its timeout. Otherwise requests are sent to servers for
// clients that have disconnected.
func TestCloseBehindUnreadBytesIsSeen(t *testing.T) {
	peer, conn := connectOnLoopback(t)
	if _, err := peer.Write([]byte("unread")); err != nil {
		t.Fatal(err)
	}
	if PeerClosed(conn) {
		t.Error("an open connection is reported as closed")
	}
	const timeout = 20 * time.Millisecond
	begun := time.Now()
	AwaitRead(conn, timeout)
	if waited := time.Since(begun); waited < timeout {
		t.Errorf("AwaitRead waited %v for a connection that nobody reads", waited)
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	if !PeerClosed(conn) {
		t.Error("the close behind unread bytes is not reported")
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatal(err)
	}
	begun = time.Now()
	AwaitRead(conn, time.Hour)
	if waited := time.Since(begun); waited > time.Minute {
		t.Errorf("AwaitRead waited %v for a connection that was read to its end", waited)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if !PeerClosed(conn) {
		t.Error("a connection closed by this process is not reported as closed")
	}
}

// Guards against a client's close, or bytes that have arrived, that are not seen because a signal interrupts the look at
// the socket.
func TestInterruptedPollIsRepeated(t *testing.T) {
	interruptions := 2
	poll := func(fds []unix.PollFd, timeout int) (int, error) {
		if interruptions > 0 {
			interruptions--
			return -1, unix.EINTR
		}
		return unix.Poll(fds, timeout)
	}
	var pipe [2]int
	if err := unix.Pipe(pipe[:]); err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = unix.Close(pipe[0]), unix.Close(pipe[1]) }()
	if hasEvent(poll, []unix.PollFd{{Fd: int32(pipe[0]), Events: unix.POLLIN}}) {
		t.Error("an empty pipe is reported as readable")
	}
	if _, err := unix.Write(pipe[1], []byte("x")); err != nil {
		t.Fatal(err)
	}
	interruptions = 2
	if !hasEvent(poll, []unix.PollFd{{Fd: int32(pipe[0]), Events: unix.POLLIN}}) {
		t.Error("a pipe that holds a byte is not reported as readable")
	}
}

// The length of a listener's backlog is that of the connections that wait.
func TestBacklogLength(t *testing.T) {
	const dialed = 3
	clock := New(time.Now(), network.OS{}, pause.DefaultSettings())
	defer clock.Close()
	listener, err := clock.WatchNetwork(network.OS{}).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for waiting := range dialed + 1 {
		if n, isKnown := BacklogLength(listener); n != waiting || isKnown != (waiting > 0) || HasBacklog(listener) != (waiting > 0) {
			t.Errorf("%d connections wait, known %v, any %v; want %d", n, isKnown, HasBacklog(listener), waiting)
		}
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
}
