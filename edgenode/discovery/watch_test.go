package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
)

const (
	snapshotOfTwo = `{"index":%d,"snapshot":true,"endpoints":[{"name":"s-1","address":"a:1","status":"ready"},{"name":"s-2","address":"b:1","status":"ready"}]}`
	secondDrains  = `{"index":%d,"snapshot":false,"endpoints":[{"name":"s-2","address":"b:1","status":"draining"}]}`
	snapshotOfOne = `{"index":%d,"snapshot":true,"endpoints":[{"name":"s-1","address":"a:1","status":"ready"}]}`
)

// fakeDiscovery is a listener on loopback whose calls a test answers by hand.
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

// answerCalls gives the calls of each connection in turn to f until that is false: then the
// connection ends. after is the index that the call has, -1 without one.
func (d *fakeDiscovery) answerCalls(f func(nc *net.TCPConn, after int64) bool) {
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

// indexOf is the index in the target of a call, or -1.
func indexOf(target string) int64 {
	_, query, _ := strings.Cut(target, "after=")
	text, _, _ := strings.Cut(query, "&")
	index, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1
	}
	return index
}

// send writes to a watch, which may have given the connection up by then.
func send(nc net.Conn, text string) { _, _ = nc.Write([]byte(text)) }

func response(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startWatch runs a watch and gives what it delivers.
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
			case <-ctx.Done(): // the test has ended and reads no more
			}
		}
		Watch(ctx, Options{Network: n, Address: address, Logger: slog.New(slog.DiscardHandler), Deliver: deliver})
	}()
	t.Cleanup(func() { cancel(); <-done })
	return got
}

// lacksSecond tells whether what was delivered takes a server out of use.
func lacksSecond(l List) bool {
	for _, h := range l.Endpoints {
		if h.Name == "s-2" {
			return h.Status != "ready"
		}
	}
	return l.Snapshot
}

// failure is a way for a call to fail; it tells whether the connection goes on.
type failure func(nc *net.TCPConn) bool

// silence holds a call until the test program ends.
func silence(*net.TCPConn) bool { select {} }

func reset(nc *net.TCPConn) bool {
	if err := nc.SetLinger(0); err != nil {
		panic(err) // the watch would see an end, not a reset
	}
	return false
}

func end(*net.TCPConn) bool { return false }

func halfAResponse(nc *net.TCPConn) bool {
	send(nc, response(secondDrains)[:30])
	return false
}

func stuckResponse(nc *net.TCPConn) bool {
	halfAResponse(nc)
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

// A change that comes while calls fail is delivered in time, over orders of failures: each
// is played once the snapshot is held, and the change is there from its first call on.
func TestChangesArriveWhileCallsFail(t *testing.T) {
	for name, c := range map[string]struct {
		failures []failure
		change   string
	}{
		"silent twice":             {[]failure{silence, silence}, secondDrains},
		"silent, then the rest":    {[]failure{silence}, snapshotOfOne},
		"reset twice":              {[]failure{reset, reset}, secondDrains},
		"ended instead of telling": {[]failure{end, end, end}, snapshotOfOne},
		"half an answer":           {[]failure{halfAResponse, halfAResponse}, secondDrains},
		"stuck, reset, silent":     {[]failure{stuckResponse, reset, silence}, secondDrains},
		"refused calls":            {[]failure{badStatus, badStatus, badStatus, badList}, snapshotOfOne},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newFakeDiscovery(t)
			firstFailure := d.failThenAnswer(c.failures, c.change)
			got := startWatch(t, network.OS{}, d.listener.Addr().String())
			if l := <-got; !l.Snapshot || lacksSecond(l) {
				t.Fatalf("first %+v", l)
			}
			select {
			case l := <-got:
				if !lacksSecond(l) {
					t.Errorf("then %+v", l)
				}
				if took := time.Since(<-firstFailure); took > 5*time.Second {
					t.Errorf("told after %v; 6 s are allowed", took)
				}
			case <-time.After(10 * time.Second):
				t.Error("not told at all")
			}
		})
	}
}

// failThenAnswer answers calls without an index by a snapshot, and of the others the first
// ones by failures, the rest by a change. The channel has the time of the first failure.
func (d *fakeDiscovery) failThenAnswer(failures []failure, change string) (firstFailure chan time.Time) {
	pending := make(chan failure, len(failures))
	for _, f := range failures {
		pending <- f
	}
	firstFailure = make(chan time.Time, 1)
	go d.answerCalls(func(nc *net.TCPConn, after int64) bool {
		if after < 0 {
			send(nc, response(fmt.Sprintf(snapshotOfTwo, 41)))
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

// readConn tells of each read.
type readConn struct {
	net.Conn
	read chan int
}

func (c *readConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read <- n
	return n, err
}

type readNet struct {
	network.OS
	read chan int
}

func (n readNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := n.OS.Dial(ctx, addr)
	return &readConn{nc, n.read}, err
}

// An answer comes in two pieces, cut at each of its bytes, with a length or in chunks,
// indented or not: the second leaves once the first was read.
func TestResponsesInPieces(t *testing.T) {
	indented := strings.NewReplacer("[", "[\n  ", "},", "},\r\n\t", ":", " : ").Replace(strings.Replace(snapshotOfOne, "a:1", "a1", 1))
	chunked := func(b string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n",
			len(b)/2, b[:len(b)/2], len(b)-len(b)/2, b[len(b)/2:])
	}
	for _, text := range []string{response(fmt.Sprintf(snapshotOfOne, 7)), chunked(fmt.Sprintf(snapshotOfOne, 7)), chunked(fmt.Sprintf(indented, 7))} {
		a := newFakeDiscovery(t)
		at, read := 0, make(chan int)
		go a.answerCalls(func(nc *net.TCPConn, _ int64) bool {
			if at++; at >= len(text) {
				select {}
			}
			send(nc, text[:at])
			for n := 0; n < at; {
				n += <-read
			}
			send(nc, text[at:])
			for n := at; n < len(text); {
				n += <-read
			}
			return true
		})
		ctx, cancel := context.WithCancel(context.Background())
		got, done := make(chan List, 1), make(chan struct{})
		go func() {
			defer close(done)
			Watch(ctx, Options{Network: readNet{read: read}, Address: a.listener.Addr().String(), Logger: slog.New(slog.DiscardHandler), Deliver: func(l List) { got <- l }})
		}()
		for i := 1; i < len(text); i++ {
			select {
			case l := <-got:
				if !l.Snapshot || l.Index != 7 || len(l.Endpoints) != 1 {
					t.Fatalf("cut at %d of %q: %+v", i, text, l)
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("cut at %d of %q: nothing", i, text)
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

// The watch moves while a call is out: what the old agent answers after that is not heard.
func TestNothingIsDeliveredAfterTheWatchEnded(t *testing.T) {
	a := newFakeDiscovery(t)
	out, moved := make(chan struct{}), make(chan struct{})
	answered := make(chan struct{})
	go a.answerCalls(func(nc *net.TCPConn, after int64) bool {
		if after < 0 {
			send(nc, response(fmt.Sprintf(snapshotOfTwo, 41)))
			return true
		}
		close(out)
		<-moved
		send(nc, response(fmt.Sprintf(snapshotOfOne, 43)))
		close(answered)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var got []List
	go func() {
		defer close(done)
		Watch(ctx, Options{Network: network.OS{}, Address: a.listener.Addr().String(), Logger: slog.New(slog.DiscardHandler), Deliver: func(l List) { got = append(got, l) }})
	}()
	<-out
	cancel()
	<-done
	close(moved)
	<-answered
	if len(got) != 1 || lacksSecond(got[0]) {
		t.Errorf("heard %+v", got)
	}
}
