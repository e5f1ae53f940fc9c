package http1

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
)

// gatedConn is a real connection whose reads wait at a barrier: what arrives meanwhile lies
// in the socket, unread.
type gatedConn struct {
	*net.TCPConn
	readWaiting chan struct{} // a read waits at the barrier
	allowRead   chan struct{} // lets one read go on
}

func (c *gatedConn) Read(b []byte) (int, error) {
	select {
	case c.readWaiting <- struct{}{}:
	default: // the barrier is open, and nobody counts
	}
	<-c.allowRead
	return c.TCPConn.Read(b)
}

// fakeNode answers every request that is passed on with its own id, once it may.
type fakeNode struct {
	submitted    chan string
	allowReply   chan struct{}
	disconnected chan string
}

func (o *fakeNode) Submit(t *node.Request, reply func(node.FinalResponse)) func() {
	done := make(chan struct{})
	go func() {
		o.submitted <- t.Trace
		select {
		case <-o.allowReply:
			reply(node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200, Body: []byte(t.Trace)}})
		case <-done:
			reply(node.FinalResponse{Kind: node.Failed, Reason: node.ReasonClientDisconnected})
		}
	}()
	return func() {
		o.disconnected <- t.Trace
		close(done)
	}
}

type fakeMapper struct{}

func (fakeMapper) Admit(c node.HTTPRequest, _ string) (*node.Request, *node.FinalResponse) {
	return &node.Request{Trace: c.Target, HTTP: c}, nil
}

func (fakeMapper) Render(_ *node.Request, a node.FinalResponse) *node.Response {
	if a.Response != nil {
		return a.Response
	}
	return &node.Response{Status: 503, Body: []byte(a.Reason)}
}

const requestFormat = "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n"

func request(id, fields string) string {
	return strings.Replace(strings.Replace(requestFormat, "%s", id, 1), "%s", fields, 1)
}

type fixture struct {
	t           *testing.T
	server      *Server
	node        *fakeNode
	client      net.Conn
	reader      *http1.Reader
	conn        *gatedConn
	gateRemoved bool
}

// removeGate takes the barrier away.
func (s *fixture) removeGate() {
	if !s.gateRemoved {
		s.gateRemoved = true
		close(s.conn.allowRead)
	}
}

// withConnection serves one real connection that is held at each read.
func withConnection(t *testing.T, change func(*Options), f func(s *fixture)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &fixture{t: t, node: &fakeNode{submitted: make(chan string, 100), allowReply: make(chan struct{}, 100), disconnected: make(chan string, 100)}}
	lim := http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 4000, MaxBodyBytes: 32 << 10}
	o := Options{Node: s.node, Mapper: fakeMapper{}, Log: slog.New(slog.DiscardHandler), Limits: lim, HeaderTimeout: time.Minute,
		BodyTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute, MaxConnections: 10}
	if change != nil {
		change(&o)
	}
	s.server = New(o)
	if s.client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	defer s.client.Close()
	s.client.SetDeadline(time.Now().Add(20 * time.Second))
	s.reader = http1.NewReader(s.client, lim)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s.conn = &gatedConn{TCPConn: nc.(*net.TCPConn), readWaiting: make(chan struct{}, 100), allowRead: make(chan struct{}, 100)}
	served := make(chan struct{})
	go func() {
		s.server.ServeConn(s.conn)
		close(served)
	}()
	f(s)
	s.client.Close()
	s.removeGate()
	select {
	case <-served:
	case <-time.After(20 * time.Second):
		t.Error("the connection is still served")
	}
}

func (s *fixture) send(text string) {
	s.t.Helper()
	if _, err := s.client.Write([]byte(text)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *fixture) expectResponse(id string) {
	s.t.Helper()
	head, err := s.reader.Response("GET")
	if err != nil {
		s.t.Fatalf("no answer to %s: %v", id, err)
	}
	if body, err := s.reader.Body(head.Framing, head.Length); err != nil || string(body) != id {
		s.t.Fatalf("%q for %s, %v", body, id, err)
	}
}

// expectCleanClose wants a clean end: a reset would take answers with it that were not read yet.
func (s *fixture) expectCleanClose() {
	s.t.Helper()
	if err := s.reader.Await(); !errors.Is(err, io.EOF) {
		s.t.Errorf("the connection ended with %v (a reset: %v)", err, errors.Is(err, syscall.ECONNRESET))
	}
	select {
	case id := <-s.node.submitted:
		s.t.Errorf("%s was taken after the connection was shut", id)
	default:
	}
}

// completeFirstRequest plays one request and leaves the node waiting for the next at the barrier.
func (s *fixture) completeFirstRequest() {
	s.send(request("/first", ""))
	<-s.conn.readWaiting
	s.conn.allowRead <- struct{}{}
	s.node.allowReply <- struct{}{}
	<-s.node.submitted
	<-s.conn.readWaiting // the watch for its leaving
	s.conn.allowRead <- struct{}{}
	s.expectResponse("/first")
	<-s.conn.readWaiting // the next request
}

// A request crosses the end of its resting connection: it lies unread in the socket as the
// connection is closed, by a shutdown, because it was idle for too long, or to make room.
// The client must find a clean end, and nothing is done with the request.
func TestCloseWithUnreadRequest(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Options)
		shut   func(*Server)
	}{
		"shutdown": {shut: func(s *Server) { s.StartDraining() }},
		"the end":  {shut: func(s *Server) { s.StopAccepting() }},
		"idle":     {change: func(o *Options) { o.IdleTimeout = time.Nanosecond }, shut: func(*Server) {}},
		"room": {shut: func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				s.evictor.remove(&c.evictionEntry)
				c.evict()
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			idle := time.Minute
			withConnection(t, func(o *Options) {
				if c.change != nil {
					c.change(o)
					idle, o.IdleTimeout = o.IdleTimeout, time.Minute
				}
			}, func(s *fixture) {
				s.completeFirstRequest()
				if s.server.options.IdleTimeout != idle {
					s.conn.SetReadDeadline(time.Now().Add(idle))
				}
				c.shut(s.server)
				s.send(request("/crossing", ""))
				s.conn.allowRead <- struct{}{}
				<-s.conn.readWaiting // what it reads for nothing
				s.conn.allowRead <- struct{}{}
				s.expectCleanClose()
			})
		})
	}
}

// What lies unread behind an answer that closes the connection is not acted on, and does
// not cost the client that answer.
func TestClosingResponseWithUnreadRequest(t *testing.T) {
	withConnection(t, nil, func(s *fixture) {
		s.send(request("/last", "Connection: close\r\n"))
		<-s.conn.readWaiting
		s.conn.allowRead <- struct{}{}
		<-s.node.submitted
		<-s.conn.readWaiting // the watch
		s.send(request("/behind", ""))
		s.node.allowReply <- struct{}{}
		s.conn.allowRead <- struct{}{}
		<-s.conn.readWaiting
		s.conn.allowRead <- struct{}{}
		s.expectResponse("/last")
		s.expectCleanClose()
	})
}

// A shutdown that crosses a request under way lets it have its answer, and says that it is
// the connection's last.
func TestShutdownDuringRequest(t *testing.T) {
	withConnection(t, nil, func(s *fixture) {
		s.removeGate()
		s.send(request("/open", ""))
		<-s.node.submitted
		s.server.StartDraining()
		s.server.StopAccepting()
		s.server.RejectPartialRequests()
		s.node.allowReply <- struct{}{}
		s.expectResponse("/open")
		s.expectCleanClose()
	})
}

// A request that has begun to come as requests stop being read is refused, and the client
// can read so.
func TestRejectPartialRequest(t *testing.T) {
	withConnection(t, nil, func(s *fixture) {
		s.send("GET /half HTTP/1.1\r\nHo")
		<-s.conn.readWaiting
		s.conn.allowRead <- struct{}{}
		<-s.conn.readWaiting
		s.server.RejectPartialRequests()
		s.send("st: h\r\n\r\n")
		s.removeGate()
		head, err := s.reader.Response("GET")
		if err != nil || head.Status < 400 || head.KeepAlive() {
			t.Fatalf("%+v, %v", head, err)
		}
		s.reader.Body(head.Framing, head.Length)
		s.expectCleanClose()
	})
}

// A client that leaves behind requests it sent ahead is heard to leave, also where those
// fill the buffer that the request under way was read with; one that sends more than a node
// holds gets an error.
func TestDisconnectWithPipelinedRequests(t *testing.T) {
	for _, size := range []int{1, 3 << 10, 20 << 10} {
		withConnection(t, nil, func(s *fixture) {
			s.removeGate()
			s.send(request("/open", ""))
			<-s.node.submitted
			s.send(strings.Repeat(request("/ahead", ""), 1+size/30))
			s.client.Close()
			select {
			case <-s.node.disconnected:
			case <-time.After(20 * time.Second):
				t.Errorf("%d bytes ahead: nobody heard that the client left", size)
				s.node.allowReply <- struct{}{}
			}
		})
	}
	withConnection(t, nil, func(s *fixture) {
		s.removeGate()
		s.send(request("/open", ""))
		<-s.node.submitted
		go s.client.Write([]byte(strings.Repeat(request("/ahead", ""), 3000)))
		if head, err := s.reader.Response("GET"); err != nil || head.Status != 503 {
			t.Errorf("%+v, %v", head, err)
		}
		<-s.node.disconnected
	})
}

// A connection is to make room just as its next request begins to come: it is woken before
// it sets its own time for that, which must not put the waking off.
func TestEvictionBeforeReadTimeoutIsSet(t *testing.T) {
	for _, late := range []bool{false, true} {
		near, far := net.Pipe()
		s := New(Options{MaxConnections: 1})
		c := &conn{server: s, netConn: near, state: stateReading}
		s.conns[c] = true
		if late {
			s.RejectPartialRequests()
		} else {
			s.mu.Lock()
			c.evict()
			s.mu.Unlock()
		}
		c.setReadTimeout(time.Hour)
		read := make(chan error, 1)
		go func() {
			_, err := near.Read(make([]byte, 1))
			read <- err
		}()
		select {
		case err := <-read:
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("late %v: it waits for the rest of the request", late)
		}
		near.Close()
		far.Close()
	}
}
