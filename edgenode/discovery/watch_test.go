package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
)

const (
	snapshotWithSecond    = `{"index":%d,"snapshot":true,"endpoints":[{"name":"s-1","address":"a:1","status":"ready"},{"name":"s-2","address":"b:1","status":"ready"}]}`
	deltaSecondDraining   = `{"index":%d,"snapshot":false,"endpoints":[{"name":"s-2","address":"b:1","status":"draining"}]}`
	snapshotWithoutSecond = `{"index":%d,"snapshot":true,"endpoints":[{"name":"s-1","address":"a:1","status":"ready"}]}`
)

// fakeDiscovery is a fake discovery service on loopback. The test supplies the answers to its polls.
type fakeDiscovery struct {
	t        *testing.T
	listener net.Listener
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Errorf("close: %v", err)
		}
	})
	return &fakeDiscovery{t, l}
}

// answerPolls passes the polls of each connection to f, in order, and closes the connection when
// f returns false. after is the index in the poll, or -1 if it has none.
func (d *fakeDiscovery) answerPolls(f func(nc *net.TCPConn, after int64) bool) {
	for {
		nc, err := d.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer closeQuietly(nc)
			r := http1.NewReader(nc, http1.Limits{MaxLineBytes: 4096, MaxHeaderFields: 50, MaxHeaderBytes: 8192})
			for {
				req, err := r.Request()
				if err != nil || !f(nc.(*net.TCPConn), indexOf(req.Target)) {
					return
				}
			}
		}()
	}
}

// indexOf returns the index in the target of a poll, or -1 if it has none.
func indexOf(target string) int64 {
	_, query, _ := strings.Cut(target, "after=")
	text, _, _ := strings.Cut(query, "&")
	index, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1
	}
	return index
}

// send writes to a watch and ignores errors: the watch may have closed the connection.
func send(nc net.Conn, text string) { _, _ = nc.Write([]byte(text)) }

func response(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startWatch starts a watch and returns the lists that it delivers.
func startWatch(t *testing.T, n network.Network, address string) chan List {
	t.Helper()
	got := make(chan List, 100)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		deliver := func(l List) {
			select {
			case got <- l:
			case <-ctx.Done(): // the test has ended and no longer receives
			}
		}
		Watch(ctx, Options{Network: n, Address: address, Log: slog.New(slog.DiscardHandler), Deliver: deliver})
	}()
	t.Cleanup(func() { cancel(); <-done })
	return got
}

// secondUnavailable reports whether a list marks s-2 as not ready, or is a snapshot without it.
func secondUnavailable(l List) bool {
	for _, h := range l.Endpoints {
		if h.Name == "s-2" {
			return h.Status != "ready"
		}
	}
	return l.Snapshot
}

// pollFailure makes a poll fail in some way. It reports whether the connection stays open.
type pollFailure func(nc *net.TCPConn) bool

// neverRespond leaves a poll without a response until the test program ends.
func neverRespond(*net.TCPConn) bool { select {} }

func resetConnection(nc *net.TCPConn) bool {
	if err := nc.SetLinger(0); err != nil {
		panic(err) // the watch would see the end of the connection, not a reset
	}
	return false
}

func closeConnection(*net.TCPConn) bool { return false }

func truncatedResponse(nc *net.TCPConn) bool {
	send(nc, response(deltaSecondDraining)[:30])
	return false
}

func stalledResponse(nc *net.TCPConn) bool {
	truncatedResponse(nc)
	select {}
}

func badStatus(nc *net.TCPConn) bool {
	send(nc, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	return true
}

func badList(nc *net.TCPConn) bool {
	send(nc, response(`{"index":"x"}`))
	return true
}

// A change must be delivered within the time that the platform allows, even if polls fail in
// succession. The failures of each case begin after the first snapshot; discovery has the change
// from the first of them on.
func TestChangesAreDeliveredWhilePollsFail(t *testing.T) {
	for name, c := range map[string]struct {
		failures []pollFailure
		change   string
	}{
		"no response twice":      {[]pollFailure{neverRespond, neverRespond}, deltaSecondDraining},
		"no response once":       {[]pollFailure{neverRespond}, snapshotWithoutSecond},
		"reset twice":            {[]pollFailure{resetConnection, resetConnection}, deltaSecondDraining},
		"connection closed":      {[]pollFailure{closeConnection, closeConnection, closeConnection}, snapshotWithoutSecond},
		"truncated response":     {[]pollFailure{truncatedResponse, truncatedResponse}, deltaSecondDraining},
		"stalled, reset, silent": {[]pollFailure{stalledResponse, resetConnection, neverRespond}, deltaSecondDraining},
		"error responses":        {[]pollFailure{badStatus, badStatus, badStatus, badList}, snapshotWithoutSecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newFakeDiscovery(t)
			firstFailure := d.failThenAnswer(c.failures, c.change)
			got := startWatch(t, network.OS{}, d.listener.Addr().String())
			if l := <-got; !l.Snapshot || secondUnavailable(l) {
				t.Fatalf("first list %+v, want a snapshot with s-2 ready", l)
			}
			select {
			case l := <-got:
				if !secondUnavailable(l) {
					t.Errorf("second list %+v, want s-2 unavailable", l)
				}
				if took := time.Since(<-firstFailure); took > 5*time.Second {
					t.Errorf("the change was delivered after %v; the platform allows 6 s", took)
				}
			case <-time.After(10 * time.Second):
				t.Error("the change was not delivered")
			}
		})
	}
}

// failThenAnswer answers polls without an index with a snapshot. Of the other polls, the first
// ones get the failures, and the rest get the change. The channel receives the time of the first
// poll with an index.
func (d *fakeDiscovery) failThenAnswer(failures []pollFailure, change string) (firstFailure chan time.Time) {
	pending := make(chan pollFailure, len(failures))
	for _, f := range failures {
		pending <- f
	}
	firstFailure = make(chan time.Time, 1)
	go d.answerPolls(func(nc *net.TCPConn, after int64) bool {
		if after < 0 {
			send(nc, response(fmt.Sprintf(snapshotWithSecond, 41)))
			return true
		}
		select {
		case firstFailure <- time.Now():
		default:
		}
		select {
		case fail := <-pending:
			return fail(nc)
		default:
			send(nc, response(fmt.Sprintf(change, 43)))
			return true
		}
	})
	return firstFailure
}

// observedConn sends the number of bytes of each read to a channel.
type observedConn struct {
	net.Conn
	read chan int
}

func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read <- n
	return n, err
}

type observedNetwork struct {
	network.OS
	read chan int
}

func (n observedNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := n.OS.Dial(ctx, addr)
	return &observedConn{nc, n.read}, err
}

// A response may arrive in any number of reads. Each response is sent in two pieces, split at each
// of its bytes in turn; the second piece is sent after the first has been read. The responses have
// a Content-Length or are chunked, and their JSON is compact or indented.
func TestResponsesInPieces(t *testing.T) {
	indented := strings.NewReplacer("[", "[\n  ", "},", "},\r\n\t", ":", " : ").Replace(strings.Replace(snapshotWithoutSecond, "a:1", "a1", 1))
	chunked := func(b string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n",
			len(b)/2, b[:len(b)/2], len(b)-len(b)/2, b[len(b)/2:])
	}
	for _, text := range []string{response(fmt.Sprintf(snapshotWithoutSecond, 7)), chunked(fmt.Sprintf(snapshotWithoutSecond, 7)), chunked(fmt.Sprintf(indented, 7))} {
		d := newFakeDiscovery(t)
		cut, read := 0, make(chan int)
		go d.answerPolls(func(nc *net.TCPConn, _ int64) bool {
			if cut++; cut >= len(text) {
				select {}
			}
			send(nc, text[:cut])
			for n := 0; n < cut; {
				n += <-read
			}
			send(nc, text[cut:])
			for n := cut; n < len(text); {
				n += <-read
			}
			return true
		})
		ctx, cancel := context.WithCancel(context.Background())
		got, done := make(chan List, 1), make(chan struct{})
		go func() {
			defer close(done)
			Watch(ctx, Options{Network: observedNetwork{read: read}, Address: d.listener.Addr().String(), Log: slog.New(slog.DiscardHandler), Deliver: func(l List) { got <- l }})
		}()
		for i := 1; i < len(text); i++ {
			select {
			case l := <-got:
				if !l.Snapshot || l.Index != 7 || len(l.Endpoints) != 1 {
					t.Fatalf("cut at byte %d of %q: %+v", i, text, l)
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("cut at byte %d of %q: no list was delivered", i, text)
			}
		}
		cancel()
		go func() {
			for range read {
			}
		}()
		<-done
		close(read)
	}
}

// When discovery moves to another address, the old watch may have a poll in flight. A response to
// that poll after the watch has ended must not be delivered.
func TestNothingIsDeliveredAfterTheWatchEnded(t *testing.T) {
	d := newFakeDiscovery(t)
	pollReceived, watchEnded := make(chan struct{}), make(chan struct{})
	answered := make(chan struct{})
	go d.answerPolls(func(nc *net.TCPConn, after int64) bool {
		if after < 0 {
			send(nc, response(fmt.Sprintf(snapshotWithSecond, 41)))
			return true
		}
		close(pollReceived)
		<-watchEnded
		send(nc, response(fmt.Sprintf(snapshotWithoutSecond, 43)))
		close(answered)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var got []List
	go func() {
		defer close(done)
		Watch(ctx, Options{Network: network.OS{}, Address: d.listener.Addr().String(), Log: slog.New(slog.DiscardHandler), Deliver: func(l List) { got = append(got, l) }})
	}()
	<-pollReceived
	cancel()
	<-done
	close(watchEnded)
	<-answered
	if len(got) != 1 || secondUnavailable(got[0]) {
		t.Errorf("delivered %+v, want only the snapshot with s-2 ready", got)
	}
}

// Guards against a watch that misses servers after discovery began anew: it answers a poll for changes with an index
// before the one in the poll, and its whole list has to be asked for.
func TestWholeListIsRequestedIfDiscoveryBeganAnew(t *testing.T) {
	d := newFakeDiscovery(t)
	var anew atomic.Bool
	go d.answerPolls(func(nc *net.TCPConn, after int64) bool {
		switch {
		case after < 0 && !anew.Load():
			send(nc, response(fmt.Sprintf(snapshotWithSecond, 41)))
		case after < 0:
			send(nc, response(fmt.Sprintf(snapshotWithoutSecond, 3)))
		case after > 3:
			anew.Store(true)
			send(nc, response(`{"index":3,"snapshot":false,"endpoints":[]}`))
		default:
			neverRespond(nc)
		}
		return true
	})
	got := startWatch(t, network.OS{}, d.listener.Addr().String())
	for {
		select {
		case l := <-got:
			if l.Snapshot && secondUnavailable(l) {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the whole list was not requested")
		}
	}
}
