package edgenode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/pause"
)

// testbed is an edge node with two fake servers and a fake discovery service, in virtual time or on
// loopback.
type testbed struct {
	t                 *testing.T
	network           *network.Memory
	host              *network.Host // of the node, in virtual time
	edge              *Edge
	servers           [2]*fakeServer
	listeners         []net.Listener
	cfg               *Config
	lastRequestNumber int  // of the last request text
	drained           bool // the test has drained the node

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

// serveDiscovery answers each poll with the result of list; "" is no response.
func (s *testbed) serveDiscovery(addr string, list func(target string) string) {
	go answerPolls(s.listen("discovery", addr), list)
}

// answerPolls answers polls of discovery until the listener is closed.
func answerPolls(l net.Listener, list func(target string) string) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer closeIgnoringError(nc)
			r := http1.NewReader(nc, testLimits)
			for answerPoll(nc, r, list) {
			}
		}()
	}
}

// answerPoll answers one poll and reports whether the connection stays open.
func answerPoll(nc net.Conn, r *http1.Reader, list func(target string) string) bool {
	req, err := r.Request()
	if err != nil {
		return false
	}
	out := list(req.Target)
	if out == "" {
		_, _ = io.Copy(io.Discard, nc) // until the node closes the connection
		return false
	}
	if strings.Contains(req.Target, "after=") {
		time.Sleep(pollDelay)
	}
	_, err = nc.Write([]byte(okResponse(out)))
	return err == nil
}

// pollDelay is how long fake discovery holds a poll that waits for changes.
const pollDelay = 300 * time.Millisecond

const twoEndpoints = `{"index":7,"snapshot":true,"endpoints":[
 {"name":"s-1","address":"10.0.1.1:80","zone":"a","group":1,"status":"ready","weight":1,"since_ms":0},
 {"name":"s-2","address":"10.0.1.2:80","zone":"a","group":1,"status":"ready","weight":1,"since_ms":0}]}`

// answerByID returns a response whose body identifies the request.
func answerByID(_ int, id string) (out string, end bool) { return okResponse("for " + id), false }

// simulate runs f with a testbed in virtual time. Afterwards the node must drain and leave no
// request open.
func simulate(t *testing.T, f func(s *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testbed{t: t, network: network.NewMemory(time.Millisecond, 1)}
		for i := range s.servers {
			s.servers[i] = &fakeServer{respond: answerByID}
			go s.servers[i].serve(s.listen(fmt.Sprint("s", i), fmt.Sprintf("10.0.1.%d:80", i+1)))
		}
		s.serveDiscovery("10.0.3.1:80", func(string) string { return twoEndpoints })
		var err error
		if s.cfg, err = Parse([]byte(configJSON)); err != nil {
			t.Fatal(err)
		}
		s.host = s.network.Host("node")
		s.edge, err = Start(context.Background(), s.cfg, s.host, slog.New(slog.DiscardHandler))
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
			t.Errorf("requests are still open: %v", s.edge.open.ids.inProgress)
		}
		s.closeListeners()
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

// requestText returns the text of a valid request of a class. If id is "" it has a new ID.
func (s *testbed) requestText(class, id string) string {
	if s.lastRequestNumber++; id == "" {
		id = fmt.Sprintf("%016x", s.lastRequestNumber)
	}
	method, extra, body := "GET", "", ""
	if class == "loan-change" {
		method, extra, body = "POST", "Idempotency-Key: key-"+id+"\r\nContent-Length: 4\r\n", "body"
	}
	return method + " /api?q=1 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + class +
		"\r\nX-Plan: basic\r\nCookie: key=00000000b4d65521\r\nX-Time-Left-Ms: 1500\r\nX-Quota: units=1,spread=2,first=0\r\n" + extra + "\r\n" + body
}

// exchange sends bytes on a new connection and reads one response. Status 0 means that the
// connection ended without one.
func (s *testbed) exchange(bytes string) (status int, body string, took time.Duration) {
	s.t.Helper()
	nc := s.dial()
	defer mustClose(s.t, nc)
	// The write may fail, because the node need not read all of a request that it rejects.
	go func() { _, _ = nc.Write([]byte(bytes)) }()
	start := time.Now()
	status, body = readResponse(nc)
	return status, body, time.Since(start)
}

// readResponse reads one response. Status 0 means that the connection ended without one.
func readResponse(nc net.Conn) (status int, body string) {
	r := http1.NewReader(nc, testLimits)
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

// receivedRequests returns the requests that either server has received.
func (s *testbed) receivedRequests() (all []string) {
	for _, server := range s.servers {
		server.mu.Lock()
		all = append(all, server.requests...)
		server.mu.Unlock()
	}
	return all
}

// dialHook is the network of the operating system with a hook for dials.
type dialHook struct {
	network.OS
	dial     func(ctx context.Context, addr string) (net.Conn, error)
	listener net.Listener // of the node; opened in advance
}

// Listen returns the listener that was opened in advance, so that no other test can take the port
// between its choice and the start of the node.
func (d dialHook) Listen(addr string) (net.Listener, error) {
	if addr != d.listener.Addr().String() {
		return nil, fmt.Errorf("the node listens at %s, not at %s", addr, d.listener.Addr())
	}
	return d.listener, nil
}

func (d dialHook) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if d.dial == nil {
		return d.OS.Dial(ctx, addr)
	}
	return d.dial(ctx, addr)
}

// withoutPauseDetection returns settings with which no pause of the process is detected. On a busy
// machine the test process is sometimes paused for longer than MinPause. An attempt that was started
// before such a pause and not yet written is then correctly rejected with no-time, which would fail
// tests on loopback that check something else.
func withoutPauseDetection() pause.Settings {
	settings := pause.DefaultSettings()
	settings.MinPause = time.Hour
	return settings
}

// runOnLoopback runs f with a testbed on real connections. Its servers close connections with a
// reset.
func runOnLoopback(t *testing.T, settings *strings.Replacer, d dialHook, respond func(n int, id string) (string, bool), f func(s *testbed)) {
	t.Helper()
	d.listener = listenOnLoopback(t)
	s := &testbed{t: t, address: d.listener.Addr().String()}
	list := s.startServers(respond)
	s.endpointList.Store(&list)
	discovery := listenOnLoopback(t)
	s.listeners = append(s.listeners, discovery)
	go answerPolls(discovery, func(string) string { return *s.endpointList.Load() })
	src := loopbackConfig(s.address, discovery.Addr().String())
	if settings != nil {
		src = settings.Replace(src)
	}
	var err error
	if s.cfg, err = Parse([]byte(src)); err != nil {
		t.Fatal(err)
	}
	s.edge, err = startWithPauseSettings(context.Background(), s.cfg, d, slog.New(slog.DiscardHandler), withoutPauseDetection())
	if err != nil {
		t.Fatal(err)
	}
	s.waitFor("readiness", func() bool { return s.edge.ready() })
	f(s)
	if !s.drained {
		if err := s.edge.Drain(context.Background()); err != nil {
			t.Errorf("drain: %v", err)
		}
	}
	s.closeListeners()
}

// startServers starts the fake servers on loopback and returns their endpoint list.
func (s *testbed) startServers(respond func(n int, id string) (string, bool)) string {
	s.t.Helper()
	list := `{"index":7,"snapshot":true,"endpoints":[`
	for i := range s.servers {
		s.servers[i] = newFakeServer(respond)
		s.servers[i].resetsConnections = true
		l := listenOnLoopback(s.t)
		s.listeners = append(s.listeners, l)
		go s.servers[i].serve(l)
		list += strings.Repeat(",", i) + fmt.Sprintf(`{"name":"s-%d","address":"%s","zone":"a","group":1,"status":"ready","weight":1,"since_ms":0}`, i, l.Addr())
	}
	return list + "]}"
}

// loopbackConfig returns a configuration with the given addresses and without peers.
func loopbackConfig(address, discovery string) string {
	return strings.NewReplacer("10.0.0.1:80", address, "10.0.3.1:80", discovery, `"peers":true`, `"peers":false`).Replace(configJSON)
}

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (s *testbed) closeListeners() {
	s.t.Helper()
	for _, l := range s.listeners {
		mustClose(s.t, l)
	}
}

// waitFor polls until f returns true, and fails the test after 20 s.
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
	s.t.Cleanup(func() { closeIgnoringError(nc) })
	mustSetDeadline(s.t, nc, time.Now().Add(20*time.Second))
	return nc
}
