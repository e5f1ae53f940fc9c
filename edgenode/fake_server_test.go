package edgenode

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/internal/http1"
)

// testLimits has the maximum sizes of the messages that tests read.
var testLimits = http1.Limits{MaxLineBytes: 4096, MaxHeaderFields: 50, MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20}

// serverTime is the time that a fake server takes to process a request.
const serverTime = 20 * time.Millisecond

// fakeServer is a fake server of the platform. Its respond function returns the response to a
// request, and whether the server then closes the connection.
type fakeServer struct {
	mu                sync.Mutex
	requests          []string // id, key, method, target, body of each request
	connections       int
	respond           func(n int, id string) (out string, end bool)
	observe           func(s audit.AttemptRecord, out string) // gets each request and the response to it; may be nil
	resetsConnections bool                                    // the server closes connections with a reset
}

func newFakeServer(respond func(n int, id string) (string, bool)) *fakeServer {
	return &fakeServer{respond: respond}
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// requestCount returns the number of requests received.
func (s *fakeServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// connectionCount returns the number of connections accepted.
func (s *fakeServer) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// serve accepts connections until the listener is closed.
func (s *fakeServer) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.mu.Unlock()
		go s.serveConnection(nc)
	}
}

func (s *fakeServer) serveConnection(nc net.Conn) {
	defer closeIgnoringError(nc)
	r := http1.NewReader(nc, testLimits)
	for s.serveRequest(nc, r) {
	}
}

// serveRequest answers one request and reports whether the connection stays open.
func (s *fakeServer) serveRequest(nc net.Conn, r *http1.Reader) bool {
	req, err := r.Request()
	if err != nil {
		return false
	}
	body, err := r.Body(req.Framing, req.Length)
	if err != nil {
		return false
	}
	id, key := req.Header.Get("X-Correlation-Id"), req.Header.Get("Idempotency-Key")
	n := s.record(strings.Join([]string{id, key, req.Method, req.Target, string(body)}, " "))
	seen := audit.AttemptRecord{Trace: id, Class: "lookup", Key: key, ArrivedAt: time.Now()}
	// Await returns when the node closes the connection or, after the response, sends the next request.
	next := make(chan time.Time, 1)
	go func() {
		_ = r.Await() // the end of the connection counts like the next byte
		next <- time.Now()
	}()
	time.Sleep(serverTime)
	out, end := s.respond(n, id)
	seen.EndedAt = time.Now()
	nodeClosed := false
	select {
	case seen.EndedAt = <-next:
		nodeClosed = true
	default:
	}
	_, err = nc.Write([]byte(out))
	if s.observe != nil {
		s.observe(seen, out)
	}
	if err != nil || end {
		s.prepareReset(nc)
		return false
	}
	if !nodeClosed {
		<-next
	}
	return true
}

// record adds a request to those received, and returns their number.
func (s *fakeServer) record(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	return len(s.requests)
}

// prepareReset makes the next close of the connection send a reset, if the server is to do that.
func (s *fakeServer) prepareReset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok && s.resetsConnections {
		if err := tc.SetLinger(0); err != nil {
			panic(err) // the connection would end without the reset that the test needs
		}
	}
}

// closeIgnoringError closes a connection that the other side may have closed already.
func closeIgnoringError(c io.Closer) { _ = c.Close() }

// mustClose closes c, which must still be open.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// mustWrite writes to a connection, which the node must keep open.
func mustWrite(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := nc.Write([]byte(text)); err != nil {
		t.Errorf("write: %v", err)
	}
}

// mustSetDeadline sets the deadline of all further I/O on a connection.
func mustSetDeadline(t *testing.T, nc net.Conn, at time.Time) {
	t.Helper()
	if err := nc.SetDeadline(at); err != nil {
		t.Errorf("deadline: %v", err)
	}
}
