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

// testLimits bounds the messages that tests read.
var testLimits = http1.Limits{MaxLineBytes: 4096, MaxHeaderFields: 50, MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20}

// serverTime is how long a fake server takes for a request.
const serverTime = 20 * time.Millisecond

// fakeServer is a scripted app server: it answers every request by a function, which may
// say that the connection ends.
type fakeServer struct {
	mu                sync.Mutex
	seen              []string // id, key, method, target, body of each request
	connections       int
	respond           func(n int, id string) (out string, end bool)
	observe           func(s audit.Seen, out string) // what came of a request; may be nil
	resetsConnections bool                           // connections end by a reset
}

func newFakeServer(respond func(n int, id string) (string, bool)) *fakeServer {
	return &fakeServer{respond: respond}
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// requestCount is the number of requests seen.
func (s *fakeServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// connectionCount is the number of connections accepted.
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
	defer closeFake(nc)
	r := http1.NewReader(nc, testLimits)
	for s.serveRequest(nc, r) {
	}
}

// serveRequest answers one request and tells whether the connection goes on.
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
	seen := audit.Seen{Trace: id, Class: "lookup", Key: key, At: time.Now()}
	// The node speaks next where it closes, or where it was answered.
	next := make(chan time.Time, 1)
	go func() {
		_ = r.Await() // an end of the connection counts like its next byte
		next <- time.Now()
	}()
	time.Sleep(serverTime)
	out, end := s.respond(n, id)
	seen.End = time.Now()
	left := false
	select {
	case seen.End = <-next:
		left = true
	default:
	}
	_, err = nc.Write([]byte(out))
	if s.observe != nil {
		s.observe(seen, out)
	}
	if err != nil || end {
		s.prepareEnd(nc)
		return false
	}
	if !left {
		<-next
	}
	return true
}

// record adds a request to those seen, and returns their number.
func (s *fakeServer) record(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, request)
	return len(s.seen)
}

// prepareEnd makes the close that follows a reset where the server ends so.
func (s *fakeServer) prepareEnd(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok && s.resetsConnections {
		if err := tc.SetLinger(0); err != nil {
			panic(err) // the test would not see the reset it is about
		}
	}
}

// closeFake closes the connection of a fake, whose peer may have closed it before.
func closeFake(c io.Closer) { _ = c.Close() }

// mustClose closes what is open until then.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// mustWrite writes to a connection that the node holds open.
func mustWrite(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := nc.Write([]byte(text)); err != nil {
		t.Errorf("write: %v", err)
	}
}

// mustSetDeadline bounds everything that is done on a connection from now on.
func mustSetDeadline(t *testing.T, nc net.Conn, at time.Time) {
	t.Helper()
	if err := nc.SetDeadline(at); err != nil {
		t.Errorf("deadline: %v", err)
	}
}
