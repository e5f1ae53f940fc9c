package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/internal/processtest"
	"yardcleat.example/yardcleat/pause"
)

// childVariable is the environment variable that makes the test binary run as the program itself.
const childVariable = "YARDCLEAT_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// longestDeadline is the deadline of all classes, unless a test sets another.
const longestDeadline = 3 * time.Second

// Names of the classes, by their idempotency.
const (
	classIdempotent        = "lookup"
	classIdempotentWithKey = "loan-change"
	classNonIdempotent     = "order"
)

// nodeProcess is a node that runs in a process of its own.
type nodeProcess struct {
	t       *testing.T
	edge    bool // runs yardcleat edge, else yardcleat serve
	number  uint64
	address string
	cmd     *exec.Cmd
	log     *processtest.Log
	err     error // of the process; may be read only after exited is closed
	exited  chan struct{}
}

// lastNodeNumber is the number of the last node that this process has started.
var lastNodeNumber atomic.Uint64

// requestID returns the ID of the node's request with a number. No node of this or another running test process
// is sent the same ID.
func (p *nodeProcess) requestID(number uint64) string {
	const nodeBits, requestBits = 18, 24
	return fmt.Sprintf("%016x", uint64(os.Getpid())<<(nodeBits+requestBits)|p.number<<requestBits|number)
}

// readinessNumber is the number of the request with which startNode waits until a node is ready.
const readinessNumber = 0

// resources is what an edge node may use.
type resources struct{ memoryMB, sockets int }

// usualResources is the resources of edge nodes in tests that are not about them.
var usualResources = resources{memoryMB: 64, sockets: 256}

// startNode starts a node and waits until it is ready.
func startNode(t *testing.T, edge bool, servers *serverGroup, discovery string) *nodeProcess {
	t.Helper()
	if edge {
		return startEdgeNode(t, usualResources, servers, discovery)
	}
	return startProcess(t, edge, serveConfig(processtest.AnyPort, servers, longestDeadline), servers)
}

// startEdgeNode starts an edge node with the given resources and waits until it is ready.
func startEdgeNode(t *testing.T, r resources, servers *serverGroup, discovery string) *nodeProcess {
	t.Helper()
	return startProcess(t, true, edgeConfig(processtest.AnyPort, discovery, r, longestDeadline), servers)
}

// startProcess starts a node with the given configuration and waits until it is ready.
func startProcess(t *testing.T, edge bool, config string, servers *serverGroup) *nodeProcess {
	t.Helper()
	p := &nodeProcess{t: t, edge: edge, number: lastNodeNumber.Add(1), log: processtest.NewLog(), exited: make(chan struct{})}
	path := filepath.Join(t.TempDir(), "config")
	arguments := []string{"serve", "-c", path}
	if edge {
		arguments = []string{"edge"}
	}
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0], arguments...)
	p.cmd.Env = append(os.Environ(), childVariable+"=1", "NODE_CONFIG="+path)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if the process has exited, as it should have
		<-p.exited
	})
	select {
	case <-p.log.Listened():
		p.address = p.log.Address()
	case <-p.exited:
		t.Fatalf("the node did not start: %v: %s", p.err, p.log)
	}
	p.waitUntilReady(servers)
	return p
}

// waitUntilReady waits until the node responds to a request with the response of one of the servers.
func (p *nodeProcess) waitUntilReady(servers *serverGroup) {
	p.t.Helper()
	id := p.requestID(readinessNumber)
	probe := requestText(p.edge, classIdempotent, id, longestDeadline)
	for range 500 {
		if conn, err := net.Dial("tcp", p.address); err == nil {
			client := newClientConn(conn)
			_, err := io.WriteString(conn, probe)
			response, readErr := client.read(time.Now().Add(time.Second))
			_ = conn.Close()
			if err == nil && readErr == nil && response.status == http.StatusOK && strings.HasPrefix(response.body, "for "+id) {
				if !servers.hasReceived(id) {
					p.t.Fatal("the node's servers are not those of this test")
				}
				return
			}
		}
		select {
		case <-p.exited:
			p.t.Fatalf("the node exited before it was ready: %v: %s", p.err, p.log)
		case <-time.After(20 * time.Millisecond):
		}
	}
	p.t.Fatal("the node did not become ready")
}

// signal sends a signal. It has no effect after the process has exited.
func (p *nodeProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// hasExited reports whether the process has exited.
func (p *nodeProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func serveConfig(address string, servers *serverGroup, deadline time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, `
node { number = 0 }
listener "http" "clients" { address = %[1]q }
class "lookup" {
  effect = "safe"
  aim = %[3]q
  deadline = %[2]q
  route {
    method = "GET"
    path = "/records/{id}"
  }
}
class "loan-change" {
  effect = "keyed"
  window = "2s"
  aim = %[3]q
  deadline = %[2]q
  route {
    method = "POST"
    path = "/loans/{id}"
  }
}
class "order" {
  effect = "unsafe"
  aim = %[3]q
  deadline = %[2]q
  route {
    method = "POST"
    path = "/orders/{id}"
  }
}
plan "basic" {
  rate = 100000
  burst = 100000
}
customer "c" {
  plan = "basic"
  keys = ["k"]
}
limits { connections = 300 }
log { level = "info" }
servers {
`, address, deadline.String(), min(600*time.Millisecond, deadline/2).String())
	for i, s := range servers.servers {
		fmt.Fprintf(&b, "  server \"s-%d\" { address = %q }\n", i, s.address)
	}
	return b.String() + "}\n"
}

func edgeConfig(address, discovery string, r resources, deadline time.Duration) string {
	class := func(name, semantics string) string {
		return fmt.Sprintf(`{"name":%q,"semantics":%q,"group":"all","aim_ms":%d,"hard_limit_ms":%d,"window_ms":2000,"stream":false}`,
			name, semantics, min(800, deadline.Milliseconds()/2), deadline.Milliseconds())
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"peer_listen":"","peers":[],"peers_all":"",
 "known":{"index":1,"snapshot":true,"endpoints":[]},
 "settings":{"me":0,"balancers":1,"zone":"a","zones":["a"],"tick_ms":2,
 "caps":{"cancel":true,"peers":false,"retry_after":true,"max_retry_after_ms":500,"max_attempts":6,"conn_idle_ms":10000,"dial_timeout_ms":250},
 "family_info":{"largest":4,"mail_per_s":60},"discovery":"push","report":{"via":"probe","names":["active","waiting"]},
 "rules":{"answer_slack_ms":8,"fall_multiple":3,"fall_ms":1000,"cold_share":0.3,"warm_within_ms":8000},
 "classes":[%s,%s,%s],
 "plans":[{"name":"basic","rate":100000,"store_size":100000,"parallel":0}]}}`,
		address, discovery, r.memoryMB, r.sockets, class(classIdempotent, "repeatable"), class(classIdempotentWithKey, "by_key"), class(classNonIdempotent, "once"))
}

// requestText returns an HTTP/1.1 request in the form that yardcleat edge or serve expects.
func requestText(edge bool, class, id string, timeout time.Duration) string {
	method, target, body, fields := "GET", "/records/", "", ""
	if class != classIdempotent {
		method, body = "POST", "body"
		target = map[string]string{classIdempotentWithKey: "/loans/", classNonIdempotent: "/orders/"}[class]
		fields = "Content-Length: 4\r\n"
	}
	if class == classIdempotentWithKey {
		fields += "Idempotency-Key: key-" + id + "\r\n"
	}
	ms := timeout.Milliseconds()
	if edge {
		fields += fmt.Sprintf("X-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Plan: basic\r\nCookie: key=00000000b4d65521\r\n"+
			"X-Time-Left-Ms: %d\r\nX-Quota: units=1,spread=1,first=0\r\n", id, class, ms)
	} else {
		fields += fmt.Sprintf("X-Request-Id: %s\r\nX-Api-Key: k\r\nX-Envoy-Expected-Rq-Timeout-Ms: %d\r\n", id, ms)
	}
	return method + " " + target + id + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body
}

// receivedRequest is a request that servers have received.
type receivedRequest struct {
	class      string
	receivedAt []time.Time // when it arrived at a server's socket, once per attempt
}

// serverGroup is the servers behind a node and the requests that they have received. It also serves
// their endpoint list as discovery does.
type serverGroup struct {
	servers   []*fakeServer
	listIndex atomic.Int64 // number of changes of the endpoint list

	mu       sync.Mutex
	requests map[string]*receivedRequest // by id
}

// fakeServer is one server of a group.
type fakeServer struct {
	group        *serverGroup
	address      string
	latency      time.Duration
	paddingBytes int                                                          // additional length of response bodies
	respond      func(w http.ResponseWriter, r *http.Request, id string) bool // if it returns true, it has responded; nil: never
	hangs        atomic.Bool                                                  // sends no more responses
	isDraining   atomic.Bool                                                  // discovery lists its endpoint as draining
}

func newServerGroup(t *testing.T, count int) *serverGroup {
	t.Helper()
	f := &serverGroup{requests: map[string]*receivedRequest{}}
	for range count {
		s := &fakeServer{group: f}
		s.address = serveHTTP(t, s)
		f.servers = append(f.servers, s)
	}
	return f
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// serveHTTP serves a handler on loopback until the test ends.
func serveHTTP(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	settings := pause.DefaultSettings()
	settings.MinPause = time.Hour // a read without a kernel timestamp counts as arriving when it is read
	clock := pauseclock.New(time.Now(), network.OS{}, settings)
	l, err := clock.WatchNetwork(network.OS{}).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Close() // connections of a killed node may be broken, so errors are expected
		<-served
		clock.Close()
	})
	return l.Addr().String()
}

// arrivalTime returns when a request arrived at its server's socket. On a busy machine its handler may run much
// later.
func arrivalTime(r *http.Request) time.Time {
	return pauseclock.ArrivalTime(r.Context().Value(connectionKey{}).(net.Conn))
}

// ServeHTTP records a request and responds to it.
func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id") + r.Header.Get("X-Request-Id")
	s.group.record(id, r)
	if s.hangs.Load() {
		<-r.Context().Done()
		return
	}
	if s.respond != nil && s.respond(w, r, id) {
		return
	}
	time.Sleep(s.latency)
	_, _ = io.WriteString(w, "for "+id+strings.Repeat(".", s.paddingBytes)) // the node may have closed the connection
}

// hasReceived reports whether a server has received the request with an ID.
func (f *serverGroup) hasReceived(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[id] != nil
}

func (f *serverGroup) record(id string, r *http.Request) {
	class := classIdempotent
	switch {
	case r.Header.Get("Idempotency-Key") != "":
		class = classIdempotentWithKey
	case r.Method == "POST":
		class = classNonIdempotent
	}
	arrivedAt := arrivalTime(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests[id] == nil {
		f.requests[id] = &receivedRequest{class: class}
	}
	f.requests[id].receivedAt = append(f.requests[id].receivedAt, arrivedAt)
}

// endpointList returns the current endpoint list as JSON.
func (f *serverGroup) endpointList() string {
	type endpoint struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Group   int    `json:"group"`
		Status  string `json:"status"`
		Weight  int    `json:"weight"`
		SinceMS int    `json:"since_ms"`
	}
	list := struct {
		Index     int64      `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []endpoint `json:"endpoints"`
	}{Index: 7 + f.listIndex.Load(), Snapshot: true}
	for i, s := range f.servers {
		status := "ready"
		if s.isDraining.Load() {
			status = "draining"
		}
		list.Endpoints = append(list.Endpoints, endpoint{Name: fmt.Sprint("s-", i), Address: s.address, Zone: "a", Group: 1, Status: status, Weight: 1})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // not reached: the types above can be marshalled
	}
	return string(text)
}

// drain marks a server as draining in the endpoint list.
func (f *serverGroup) drain(s *fakeServer) {
	s.isDraining.Store(true)
	f.listIndex.Add(1)
}

// longPollTime is how long discovery holds a request that waits for changes.
const longPollTime = 200 * time.Millisecond

// ServeHTTP serves the endpoint list; a request for later changes is held for longPollTime.
func (f *serverGroup) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.RequestURI, "after=") {
		time.Sleep(longPollTime)
	}
	_, _ = io.WriteString(w, f.endpointList()) // the node may have closed the connection
}
