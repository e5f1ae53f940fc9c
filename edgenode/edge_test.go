package edgenode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
)

// fakeServer is a scripted app server: it answers every request by a function, which may
// say that the connection ends.
type fakeServer struct {
	mu                sync.Mutex
	seen              []string // id, key, patience, method, target, body of each request
	connections       int
	respond           func(n int, id string) (out string, end bool)
	observe           func(s audit.Seen, out string) // what came of a request; nil: nobody is told
	resetsConnections bool                           // ends are resets
}

func newFakeServer(answer func(n int, id string) (string, bool)) *fakeServer {
	return &fakeServer{respond: answer}
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// requestCount is the number of requests seen.
func (b *fakeServer) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

func (b *fakeServer) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.connections++
		b.mu.Unlock()
		go func() {
			defer nc.Close()
			r := http1.NewReader(nc, http1.Limits{Line: 4096, Fields: 50, Header: 8192, Body: 1 << 20})
			for {
				req, err := r.Request()
				if err != nil {
					return
				}
				body, err := r.Body(req.Framing, req.Length)
				if err != nil {
					return
				}
				id := req.Header.Get("X-Correlation-Id")
				b.mu.Lock()
				b.seen = append(b.seen, strings.Join([]string{id, req.Header.Get("Idempotency-Key"), req.Method, req.Target, string(body)}, " "))
				n := len(b.seen)
				b.mu.Unlock()
				// The node speaks next where it closes, or where it was answered.
				at, next := time.Now(), make(chan time.Time, 1)
				go func() {
					r.Await()
					next <- time.Now()
				}()
				time.Sleep(20 * time.Millisecond)
				out, end := b.respond(n, id)
				seen := audit.Seen{Trace: id, Class: "lookup", Key: req.Header.Get("Idempotency-Key"), At: at, End: time.Now()}
				left := false
				select {
				case seen.End = <-next:
					left = true
				default:
				}
				_, err = nc.Write([]byte(out))
				if b.observe != nil {
					b.observe(seen, out)
				}
				if err != nil || end {
					if tc, ok := nc.(*net.TCPConn); ok && b.resetsConnections {
						tc.SetLinger(0)
					}
					return
				}
				if !left {
					<-next
				}
			}
		}()
	}
}

// testbed is an edge node in virtual time with two servers and discovery.
type testbed struct {
	t         *testing.T
	network   *network.Memory
	edge      *Edge
	servers   [2]*fakeServer
	listeners []net.Listener
	cfg       *Config
	lastID    int  // given
	drained   bool // the test drained the node

	address      string // of the node, on loopback
	endpointList atomic.Pointer[string]
}

func (s *testbed) listen(host, addr string) net.Listener {
	l, err := s.network.Host(host).Listen(addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.listeners = append(s.listeners, l)
	return l
}

// serveDiscovery answers every call with what list gives; "" is silence.
func (s *testbed) serveDiscovery(addr string, list func(target string) string) {
	go s.answerPolls(s.listen("discovery", addr), list)
}

func (s *testbed) answerPolls(l net.Listener, list func(target string) string) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			r := http1.NewReader(nc, http1.Limits{Line: 4096, Fields: 50, Header: 8192})
			for {
				req, err := r.Request()
				if err != nil {
					return
				}
				out := list(req.Target)
				if out == "" {
					io.Copy(io.Discard, nc)
					return
				}
				if strings.Contains(req.Target, "after=") {
					time.Sleep(pollDelay)
				}
				nc.Write([]byte(okResponse(out)))
			}
		}()
	}
}

const pollDelay = 300 * time.Millisecond // discovery's answers to watches come so late

const twoEndpoints = `{"index":7,"snapshot":true,"endpoints":[
 {"name":"s-1","address":"10.0.1.1:80","zone":"a","group":1,"status":"ready","weight":1,"since_ms":0},
 {"name":"s-2","address":"10.0.1.2:80","zone":"a","group":1,"status":"ready","weight":1,"since_ms":0}]}`

func simulate(t *testing.T, f func(s *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testbed{t: t, network: network.NewMemory(time.Millisecond, 1)}
		for i := range s.servers {
			s.servers[i] = &fakeServer{respond: func(_ int, id string) (string, bool) { return okResponse("for " + id), false }}
			go s.servers[i].serve(s.listen(fmt.Sprint("s", i), fmt.Sprintf("10.0.1.%d:80", i+1)))
		}
		s.serveDiscovery("10.0.3.1:80", func(string) string { return twoEndpoints })
		var err error
		if s.cfg, err = Parse([]byte(configJSON)); err != nil {
			t.Fatal(err)
		}
		s.edge, err = Start(context.Background(), s.cfg, s.network.Host("node"), slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		f(s)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if !s.drained {
			if err := s.edge.Drain(ctx); err != nil {
				t.Error(err)
			}
		}
		if s.edge.open.count() > 0 {
			t.Errorf("ids are still open: %v", s.edge.open.ids)
		}
		for _, l := range s.listeners {
			l.Close()
		}
		time.Sleep(time.Minute)
	})
}

func (s *testbed) dial() net.Conn {
	s.t.Helper()
	nc, err := s.network.Host("client").Dial(context.Background(), "10.0.0.1:80")
	if err != nil {
		s.t.Fatal(err)
	}
	return nc
}

// requestText is a good request of a class as bytes; id "" draws a new one.
func (s *testbed) requestText(class, id string) string {
	if s.lastID++; id == "" {
		id = fmt.Sprintf("%016x", s.lastID)
	}
	method, extra, body := "GET", "", ""
	if class == "loan-change" {
		method, extra, body = "POST", "Idempotency-Key: key-"+id+"\r\nContent-Length: 4\r\n", "body"
	}
	return method + " /api?q=1 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + class +
		"\r\nX-Plan: basic\r\nCookie: key=00000000b4d65521\r\nX-Time-Left-Ms: 1500\r\nX-Quota: units=1,spread=2,first=0\r\n" + extra + "\r\n" + body
}

// exchange sends bytes on a connection of its own and reads one answer; status 0 is a
// close without one.
func (s *testbed) exchange(bytes string) (status int, body string, took time.Duration) {
	s.t.Helper()
	nc := s.dial()
	defer nc.Close()
	go nc.Write([]byte(bytes))
	start := time.Now()
	status, body = readResponse(nc)
	return status, body, time.Since(start)
}

func readResponse(nc net.Conn) (status int, body string) {
	r := http1.NewReader(nc, http1.Limits{Line: 4096, Fields: 50, Header: 8192, Body: 1 << 20})
	head, err := r.Response("GET")
	if err != nil {
		return 0, ""
	}
	b, err := r.Body(head.Framing, head.Length)
	if err != nil {
		return 0, ""
	}
	return head.Status, string(b)
}

func (s *testbed) requestsSeen() (all []string) {
	for _, b := range s.servers {
		b.mu.Lock()
		all = append(all, b.seen...)
		b.mu.Unlock()
	}
	return all
}

func TestServesEachClass(t *testing.T) {
	simulate(t, func(s *testbed) {
		if status, _, _ := s.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
			t.Errorf("/up: %d", status)
		}
		for _, class := range []string{"lookup", "loan-change"} {
			status, body, took := s.exchange(s.requestText(class, "id-"+class))
			if status != 200 || body != "for id-"+class || took > 100*time.Millisecond {
				t.Errorf("%s: %d %q in %v", class, status, body, took)
			}
		}
		if got := strings.Join(s.requestsSeen(), "|"); !strings.Contains(got, "id-lookup  GET /api?q=1 ") ||
			!strings.Contains(got, "id-loan-change key-id-loan-change POST /api?q=1 body") {
			t.Errorf("servers saw %q", got)
		}
	})
}

// What a server says with X-Unprocessed never ran: the other one gets it. What an
// answer spoils is a failed attempt, whose connection is not used again.
func TestServerResponses(t *testing.T) {
	const turned = "HTTP/1.1 %d Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, out string
		class     string
		end       bool
		status    int // of the client's answer
		attempts  int
		served    bool // what the client gets is the answer made for it
	}{
		{"turned away", fmt.Sprintf(turned, 503), "loan-change", false, 200, 2, true},
		{"turned away late", fmt.Sprintf(turned, 504), "loan-change", false, 200, 2, true},
		{"an error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "lookup", false, 200, 2, true},
		{"another status", "HTTP/1.1 204 None\r\n\r\n", "lookup", false, 200, 2, true},
		{"noise", "\x00\x01 noise\r\n\r\n", "lookup", false, 200, 2, true},
		{"a head without end", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 1<<18), "lookup", false, 200, 2, true},
		{"fields without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5000), "lookup", false, 200, 2, true},
		{"a length too long", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", "lookup", true, 200, 2, true},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<18), "lookup", false, 200, 2, true},
		{"lengths that differ", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "lookup", false, 200, 2, true},
		{"an answer that stops short", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", "loan-change", false, 200, 2, true},
		{"a head that stops short", "HTTP/1.1 200 OK\r\nContent-Le", "lookup", false, 200, 2, true},
		{"a long answer", okResponse(strings.Repeat("x", 400<<10)), "loan-change", false, 200, 1, true},
		{"an end", "", "lookup", true, 200, 2, true},
		{"1xx in front", "HTTP/1.1 102 On\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + okResponse("good"), "lookup", false, 200, 1, false},
		{"noise behind", okResponse("good") + "noise", "lookup", false, 200, 1, false},
		{"a second copy", okResponse("good") + okResponse("good"), "lookup", false, 200, 1, false},
		{"a report that can't be read", "HTTP/1.1 200 OK\r\nX-Backend-Load: {{\r\nContent-Length: 4\r\n\r\ngood", "lookup", false, 200, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(s *testbed) {
				var mu sync.Mutex
				first := true
				for _, b := range s.servers {
					b.respond = func(_ int, id string) (string, bool) {
						mu.Lock()
						defer mu.Unlock()
						if first {
							first = false
							return c.out, c.end
						}
						return okResponse("for " + id), false
					}
				}
				status, body, took := s.exchange(s.requestText(c.class, "one"))
				if took > 500*time.Millisecond {
					t.Errorf("it took %v", took)
				}
				want := "good"
				if c.served {
					want = "for one"
				}
				if c.name == "a long answer" {
					want = strings.Repeat("x", 400<<10)
				}
				if status != c.status || body != want || len(s.requestsSeen()) != c.attempts {
					t.Errorf("%d %.100q after %d attempts", status, body, len(s.requestsSeen()))
				}
				// Whatever comes next gets its own answer.
				for i := range 8 {
					id := fmt.Sprint("next-", i)
					if status, body, _ := s.exchange(s.requestText("lookup", id)); status != 200 || body != "for "+id {
						t.Errorf("%s: %d %q", id, status, body)
					}
				}
			})
		})
	}
}

// Clients that can't be understood get an error or a close soon, and nothing of
// them reaches a server.
func TestBadClients(t *testing.T) {
	simulate(t, func(s *testbed) {
		good := s.requestText("loan-change", "bad")
		for name, in := range map[string]string{
			"noise":              "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
			"a line without end": "GET /" + strings.Repeat("a", 1<<17),
			"a head without end": "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 20000),
			"both framings":      strings.Replace(good, "Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked", 1),
			"a negative length":  strings.Replace(good, "Content-Length: 4", "Content-Length: -4", 1),
			"a huge length":      strings.Replace(good, "Content-Length: 4", "Content-Length: 99999999999999999999", 1),
			"60 MB":              strings.Replace(good, "Content-Length: 4", "Content-Length: 60000000", 1) + strings.Repeat("x", 1<<18),
			"half a head":        good[:60],
			"half a body":        good[:len(good)-2],
			"nothing":            "",
			"no id":              strings.Replace(good, "X-Correlation-Id: bad\r\n", "", 1),
			"no class":           strings.Replace(good, "loan-change", "other", 1),
			"a set too wide":     strings.Replace(good, "spread=2", "spread=9", 1),
		} {
			status, _, took := s.exchange(in)
			if status == 200 || took > 3*time.Second {
				t.Errorf("%s: status %d after %v", name, status, took)
			}
		}
		if got := s.requestsSeen(); len(got) > 0 {
			t.Errorf("servers saw %q", got)
		}
		if status, body, _ := s.exchange(s.requestText("lookup", "after")); status != 200 || body != "for after" {
			t.Errorf("a good request after them: %d %q", status, body)
		}
	})
}

// The id of another request that is open is an error; once that is answered the id
// is free again.
func TestRequestIDIsOpenOnce(t *testing.T) {
	simulate(t, func(s *testbed) {
		done := make(chan int)
		same := s.requestText("lookup", "same")
		go func() {
			status, _, _ := s.exchange(same)
			done <- status
		}()
		time.Sleep(10 * time.Millisecond)
		if status, _, _ := s.exchange(same); status != 400 {
			t.Errorf("the second: %d", status)
		}
		if status := <-done; status != 200 {
			t.Errorf("the first: %d", status)
		}
		time.Sleep(10 * time.Millisecond)
		if status, _, _ := s.exchange(s.requestText("lookup", "same")); status != 200 || len(s.requestsSeen()) != 2 {
			t.Errorf("a later one: %d, servers saw %d", status, len(s.requestsSeen()))
		}
	})
}

// Connections by the hundreds that say nothing leave room for those that ask.
func TestSilentConnectionsLeaveRoom(t *testing.T) {
	simulate(t, func(s *testbed) {
		var silent []net.Conn
		for range 400 {
			silent = append(silent, s.dial())
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 20 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Fatalf("request %d among silent connections: %d", i, status)
			}
		}
		start := time.Now()
		for _, nc := range silent {
			nc.SetReadDeadline(start.Add(3 * time.Second))
			if _, err := nc.Read(make([]byte, 1)); err == nil {
				t.Error("a silent connection was told something")
			} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Fatal("a silent connection was left open")
			}
			nc.Close()
		}
	})
}

// A server that takes the address of one that has gone gets connections of its own,
// and a draining one nothing new.
func TestReusedAddressGetsNewConnections(t *testing.T) {
	simulate(t, func(s *testbed) {
		for range 4 {
			s.exchange(s.requestText("lookup", ""))
		}
		var mu sync.Mutex
		list := twoEndpoints
		s.serveDiscovery("10.0.3.2:80", func(string) string {
			mu.Lock()
			defer mu.Unlock()
			return list
		})
		set := func(l string) {
			mu.Lock()
			list = l
			mu.Unlock()
		}
		set(strings.Replace(strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1), `"index":7`, `"index":8`, 1))
		s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.2:80"})
		time.Sleep(time.Second)
		before := s.servers[0].requestCount()
		for range 10 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if got := s.servers[0].requestCount(); got != before {
			t.Errorf("the draining server got %d requests", got-before)
		}
		s.servers[1].mu.Lock()
		conns := s.servers[1].connections
		s.servers[1].mu.Unlock()
		set(strings.Replace(strings.ReplaceAll(twoEndpoints, "s-2", "s-3"), `"index":7`, `"index":9`, 1))
		time.Sleep(time.Second)
		for range 10 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		s.servers[1].mu.Lock()
		if s.servers[1].connections == conns {
			t.Error("the new server at an old address was sent to on its predecessor's connections")
		}
		s.servers[1].mu.Unlock()
	})
}

// A module made anew after a panic knows the list as it stands, not as it was last
// told whole: what has gone since gets nothing.
func TestEndpointChangesOutliveAPanic(t *testing.T) {
	simulate(t, func(s *testbed) {
		s.serveDiscovery("10.0.3.2:80", func(target string) string {
			if !strings.Contains(target, "after=") {
				return twoEndpoints
			}
			return `{"index":8,"snapshot":false,"endpoints":[{"name":"s-1","address":"10.0.1.1:80","zone":"a","group":1,"status":"gone","weight":1,"since_ms":0}]}`
		})
		s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.2:80"})
		time.Sleep(time.Second)
		s.edge.node.BreakPolicy()
		for range 10 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if n := s.servers[0].requestCount(); n > 0 {
			t.Errorf("the server that has gone got %d requests", n)
		}
	})
}

// A watch that falls silent with news at hand is given up soon enough: a drain is
// known within 4 s, also where two calls in a row are silent.
func TestDrainIsKnownDespiteSilentPolls(t *testing.T) {
	simulate(t, func(s *testbed) {
		var calls atomic.Int64
		s.serveDiscovery("10.0.3.2:80", func(string) string {
			switch calls.Add(1) {
			case 1:
				return twoEndpoints
			case 2, 3:
				return ""
			}
			return strings.Replace(strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1), `"index":7`, `"index":8`, 1)
		})
		s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.2:80"})
		time.Sleep(4 * time.Second)
		for range 10 {
			s.exchange(s.requestText("lookup", ""))
		}
		if n := s.servers[0].requestCount(); n > 0 || calls.Load() < 4 {
			t.Errorf("the draining server got %d requests; discovery was asked %d times", n, calls.Load())
		}
	})
}

// Discovery that says what can't be read, or nothing, changes nothing; a new address
// is asked at once.
func TestDiscoveryFailureKeepsTheList(t *testing.T) {
	for name, says := range map[string]string{"noise": "{]", "changes without a list": `{"index":1,"endpoints":[]}`, "silence": ""} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(s *testbed) {
				var calls atomic.Int64
				s.serveDiscovery("10.0.3.9:80", func(string) string { calls.Add(1); return says })
				s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.9:80"})
				time.Sleep(10 * time.Second)
				if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
					t.Errorf("with the old list: %d", status)
				}
				if n := calls.Load(); n < 2 || n > 60 {
					t.Errorf("asked %d times in 10 s", n)
				}
				s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.1:80"})
				time.Sleep(time.Second)
				if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
					t.Errorf("back at the old address: %d", status)
				}
			})
		})
	}
}

// On its way out a node still takes what comes in for the time that clients need to
// hear, one request for each connection, and answers all.
func TestDrainServesNewConnections(t *testing.T) {
	simulate(t, func(s *testbed) {
		kept := s.dial()
		kept.Write([]byte(s.requestText("lookup", "")))
		readResponse(kept)
		open := s.dial()
		open.Write([]byte(s.requestText("lookup", "open")))
		time.Sleep(5 * time.Millisecond)
		done := make(chan error)
		s.drained = true
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			done <- s.edge.Drain(ctx)
		}()
		if status, body := readResponse(open); status != 200 || body != "for open" {
			t.Errorf("an open request: %d %q", status, body)
		}
		if _, err := kept.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("an idle connection: %v", err)
		}
		time.Sleep(300 * time.Millisecond)
		if status, _, _ := s.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); status != 503 {
			t.Errorf("/up: %d", status)
		}
		if status, _, _ := s.exchange(s.requestText("lookup", "late")); status != 200 {
			t.Errorf("a request on a new connection: %d", status)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		kept.Close()
		open.Close()
	})
}

// A rough day: servers that fail in many ways, one of them drained and back. The five rules are checked from what servers and clients saw.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	simulate(t, func(s *testbed) {
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(3, 3))
		rec := &audit.Record{Grace: 250 * time.Millisecond, Slop: 10 * time.Millisecond,
			Classes: map[string]audit.Class{"lookup": {Effect: "safe"}, "loan-change": {Effect: "keyed", Window: 2 * time.Second}}}
		statuses := map[int]int{}
		ran := map[string]time.Time{} // by key: the rack drops repeats
		const good = "HTTP/1.1 200"
		for i, b := range s.servers {
			b.observe = func(seen audit.Seen, out string) {
				mu.Lock()
				defer mu.Unlock()
				if seen.Server, seen.Rack = fmt.Sprint("s-", i+1), "1"; seen.Class == "loan-change" {
					at, before := ran[seen.Key]
					seen.Dropped = before && seen.At.Sub(at) < 2*time.Second
				}
				seen.Away = strings.Contains(out, "X-Unprocessed")
				seen.Ran, seen.Answered = !seen.Away && !seen.Dropped, strings.HasPrefix(out, good)
				if seen.Ran && seen.Key != "" {
					ran[seen.Key] = seen.At
				}
				rec.Seen = append(rec.Seen, seen)
			}
			b.respond = func(_ int, id string) (string, bool) {
				mu.Lock()
				kind, slow := rng.IntN(60), rng.Float64()
				mu.Unlock()
				switch kind {
				case 0:
					return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false
				case 1:
					return "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false
				case 2, 3:
					return "", true
				case 4:
					return "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nshort", true
				case 5:
					return "\x00noise\r\n\r\n", false
				case 6:
					time.Sleep(time.Duration(slow * float64(4*time.Second)))
				case 7:
					return okResponse("for "+id) + okResponse("for another"), false
				}
				return okResponse("for " + id), false
			}
		}
		start := time.Now()
		down := func() bool { at := time.Since(start); return at > 4*time.Second && at < 7*time.Second }
		told := map[bool]bool{}
		s.serveDiscovery("10.0.3.2:80", func(target string) string {
			at := time.Now()
			if strings.Contains(target, "after=") {
				at = at.Add(pollDelay)
			}
			d := down()
			mu.Lock()
			defer mu.Unlock()
			if !told[d] {
				told[d], told[!d] = true, false
				rec.Told = append(rec.Told, audit.Told{Server: "s-1", At: at, Down: d})
			}
			if d {
				return strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1)
			}
			return twoEndpoints
		})
		s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.2:80"})
		var clients sync.WaitGroup
		for i := range 500 {
			class, id := "lookup", fmt.Sprint("rough-", i)
			if i%3 == 0 {
				class = "loan-change"
			}
			request := strings.Replace(s.requestText(class, id), "b4d65521", fmt.Sprintf("b4d6%04x", i%40), 1)
			clients.Go(func() {
				tried := audit.Tried{Trace: id, Front: "http", Customer: "c", Plan: "basic", Class: class, Units: 1, Sent: time.Now()}
				tried.GiveUp = tried.Sent.Add(1500 * time.Millisecond)
				nc := s.dial()
				defer nc.Close()
				nc.Write([]byte(request))
				nc.SetReadDeadline(tried.GiveUp)
				status, body := readResponse(nc)
				tried.Status = status
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				switch {
				case status == 200:
					tried.Answer, tried.Foreign = "served", body != "for "+id
				case status == 429 || status == 503:
					tried.Answer = "refused"
				case status != 0:
					tried.Answer = "failed"
				}
				if tried.Answer != "" {
					tried.Answered = time.Now()
				}
				mu.Lock()
				defer mu.Unlock()
				rec.Tried = append(rec.Tried, tried)
			})
			time.Sleep(20 * time.Millisecond)
		}
		clients.Wait()
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		served := 0
		for _, t := range rec.Tried {
			if t.Answer == "served" {
				served++
			}
		}
		if served < 200 || len(rec.Seen) < 250 || len(rec.Told) != 3 {
			t.Errorf("%d served, %d attempts, %d words of discovery: not the day that was meant; %v", served, len(rec.Seen), len(rec.Told), statuses)
		}
		for _, f := range audit.Check(rec) {
			t.Logf("rule %d, %s: %d cases", f.Rule, f.Name, f.Checked)
			for _, b := range f.Broken {
				t.Errorf("rule %d broken: %s", f.Rule, b)
			}
		}
	})
}
