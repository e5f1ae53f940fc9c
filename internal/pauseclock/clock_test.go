package pauseclock

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/pause"
)

// watchedPair returns a host with a clock that watches its network, the host's side of a
// connection, and the peer's side. Bytes take a millisecond.
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
	go func() { _, _ = listener.Accept() }() // the listener's reader is back in a read
	t.Cleanup(func() {
		_ = accepted.Close()
		_ = peer.Close()
	})
	return host, clock, accepted, peer
}

// A process is paused for 2 s; a peer sends in the middle of it.
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
			t.Error("paused since the end of the pause")
		}
		if active := clock.ActiveTime(from, to); active > 50*time.Millisecond {
			t.Errorf("active for %v of a pause", active)
		}
		if n := clock.UnreadSockets(); n != 1 {
			t.Errorf("%d unread sockets after the pause, want the connection", n)
		}
		if _, err := conn.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if arrived := ArrivalTime(conn); arrived.Sub(sent).Abs() > 5*time.Millisecond {
			t.Errorf("arrived %v after it was sent", arrived.Sub(sent))
		}
		if got, want := ArrivalTimeForAddr(conn.RemoteAddr()), ArrivalTime(conn); !got.Equal(want) {
			t.Errorf("by its address it arrived at %v, want %v", got, want)
		}
	})
}

// A socket counts as unread until its reader is back in a read, and has handled what it read.
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
		clock.Now() // the pause ends here
		time.Sleep(time.Millisecond)
		if _, err := conn.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if n := clock.UnreadSockets(); n != 1 {
			t.Errorf("%d unread sockets while the reader is at work, want 1", n)
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
			t.Errorf("%d sockets are watched, want the listener alone", n)
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
		t.Errorf("connection: %v", at)
	}
	if at := ArrivalTimeForAddr(a.RemoteAddr()); !at.IsZero() {
		t.Errorf("address: %v", at)
	}
}

func TestCloseMayBeRepeated(t *testing.T) {
	c := New(time.Now(), network.OS{}, pause.DefaultSettings())
	c.Close()
	c.Close()
	if c.Now() <= 0 {
		t.Error("a closed clock tells no time")
	}
}
