package edgenode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
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

// dialHook is the machine's network with a hook for dials.
type dialHook struct {
	network.OS
	dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (d dialHook) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if d.dial == nil {
		return d.OS.Dial(ctx, addr)
	}
	return d.dial(ctx, addr)
}

// runOnLoopback runs an edge node on real connections, with two servers and discovery.
func runOnLoopback(t *testing.T, settings *strings.Replacer, d dialHook, box func(n int, id string) (string, bool), f func(s *testbed)) {
	t.Helper()
	s := &testbed{t: t}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.listeners = append(s.listeners, l)
		return l
	}
	list := `{"index":7,"snapshot":true,"endpoints":[`
	for i := range s.servers {
		s.servers[i] = newFakeServer(box)
		s.servers[i].resetsConnections = true
		l := listen()
		go s.servers[i].serve(l)
		list += strings.Repeat(",", i) + fmt.Sprintf(`{"name":"s-%d","address":"%s","zone":"a","group":1,"status":"ready","weight":1,"since_ms":0}`, i, l.Addr())
	}
	list += "]}"
	s.endpointList.Store(&list)
	agent := listen()
	go s.answerPolls(agent, func(string) string { return *s.endpointList.Load() })
	free := listen()
	address := free.Addr().String()
	free.Close()
	src := strings.NewReplacer("10.0.0.1:80", address, "10.0.3.1:80", agent.Addr().String(), `"peers":true`, `"peers":false`).Replace(configJSON)
	if settings != nil {
		src = settings.Replace(src)
	}
	var err error
	if s.cfg, err = Parse([]byte(src)); err != nil {
		t.Fatal(err)
	}
	if s.edge, err = Start(context.Background(), s.cfg, d, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	s.address = address
	s.waitFor("ready", func() bool { return s.edge.ready() })
	f(s)
	if !s.drained {
		s.edge.Drain(context.Background())
	}
	for _, l := range s.listeners {
		l.Close()
	}
}

// waitFor waits for what is to come in any case.
func (s *testbed) waitFor(what string, f func() bool) {
	s.t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("%s did not happen", what)
}

// dialLoopback dials the node on loopback.
func (s *testbed) dialLoopback() net.Conn {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return nc
}
