package edgekit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that an app server has received whole.
type Arrival struct {
	Server   string
	ID       string
	Key      string
	Class    string
	Method   string
	TimeLeft string
	Body     int
	At       time.Time
	Conn     net.Conn
}

// Answer is what an app server does with a request.
type Answer struct {
	Raw   string        // written as it stands; "": nothing is written
	After time.Duration // before it is written
	Close bool          // close the connection then
}

// OK returns a whole 200 answer with a body.
func OK(body string, after time.Duration) Answer {
	return Answer{Raw: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), After: after}
}

// AppServer is a stand-in of an app server.
type AppServer struct {
	Name     string
	Address  string
	Handle   func(Arrival) Answer
	mu       sync.Mutex
	arrivals []Arrival
	listener net.Listener
	conns    map[net.Conn]bool
}

// StartAppServer starts an app server at a free port.
func StartAppServer(name string, handle func(Arrival) Answer) (*AppServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &AppServer{Name: name, Address: l.Addr().String(), Handle: handle, listener: l, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

func (s *AppServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *AppServer) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for s.serveRequest(c, r) {
	}
}

func (s *AppServer) serveRequest(c net.Conn, r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return false
	}
	a := Arrival{Server: s.Name, ID: req.Header.Get("X-Correlation-Id"), Key: req.Header.Get("Idempotency-Key"),
		Method: req.Method, TimeLeft: req.Header.Get("X-Time-Left-Ms"), Body: int(n), At: time.Now(), Conn: c}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	out := s.Handle(a)
	time.Sleep(out.After)
	if out.Raw != "" {
		if _, err := io.WriteString(c, out.Raw); err != nil {
			return false
		}
	}
	return !out.Close
}

// Arrivals returns the requests received so far.
func (s *AppServer) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Close closes the listener and all connections.
func (s *AppServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
