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

// heldConn is a real connection whose reads wait at a barrier: what arrives meanwhile lies
// in the socket, unread.
type heldConn struct {
	*net.TCPConn
	entered chan struct{} // a read waits at the barrier
	pass    chan struct{} // lets one read go on
}

func (c *heldConn) Read(b []byte) (int, error) {
	select {
	case c.entered <- struct{}{}:
	default: // the barrier is open, and nobody counts
	}
	<-c.pass
	return c.TCPConn.Read(b)
}

// one answers every request that is passed on with its own id, once it may.
type one struct {
	taken chan string
	reply chan struct{}
	gone  chan string
}

func (o *one) Submit(t *node.Request, reply func(node.FinalResponse)) func() {
	done := make(chan struct{})
	go func() {
		o.taken <- t.Trace
		select {
		case <-o.reply:
			reply(node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200, Body: []byte(t.Trace)}})
		case <-done:
			reply(node.FinalResponse{Kind: node.Failed, Reason: node.ReasonClientDisconnected})
		}
	}()
	return func() {
		o.gone <- t.Trace
		close(done)
	}
}

type plainIntake struct{}

func (plainIntake) Admit(c node.HTTPRequest, _ string) (*node.Request, *node.FinalResponse) {
	return &node.Request{Trace: c.Target, HTTP: c}, nil
}

func (plainIntake) Render(_ *node.Request, a node.FinalResponse) *node.Response {
	if a.Response != nil {
		return a.Response
	}
	return &node.Response{Status: 503, Body: []byte(a.Reason)}
}

const get = "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n"

func request(id, fields string) string {
	return strings.Replace(strings.Replace(get, "%s", id, 1), "%s", fields, 1)
}

type scene struct {
	t      *testing.T
	srv    *Server
	o      *one
	client net.Conn
	r      *http1.Reader
	held   *heldConn
	opened bool
}

// open takes the barrier away.
func (s *scene) open() {
	if !s.opened {
		s.opened = true
		close(s.held.pass)
	}
}

// onReal serves one real connection that is held at each read.
func onReal(t *testing.T, change func(*Options), f func(s *scene)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &scene{t: t, o: &one{taken: make(chan string, 100), reply: make(chan struct{}, 100), gone: make(chan string, 100)}}
	lim := http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 4000, MaxBodyBytes: 32 << 10}
	o := Options{Node: s.o, Mapper: plainIntake{}, Log: slog.New(slog.DiscardHandler), Limits: lim, HeaderTimeout: time.Minute,
		BodyTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute, MaxConnections: 10}
	if change != nil {
		change(&o)
	}
	s.srv = New(o)
	if s.client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	defer s.client.Close()
	s.client.SetDeadline(time.Now().Add(20 * time.Second))
	s.r = http1.NewReader(s.client, lim)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s.held = &heldConn{TCPConn: nc.(*net.TCPConn), entered: make(chan struct{}, 100), pass: make(chan struct{}, 100)}
	served := make(chan struct{})
	go func() {
		s.srv.ServeConn(s.held)
		close(served)
	}()
	f(s)
	s.client.Close()
	s.open()
	select {
	case <-served:
	case <-time.After(20 * time.Second):
		t.Error("the connection is still served")
	}
}

func (s *scene) send(text string) {
	s.t.Helper()
	if _, err := s.client.Write([]byte(text)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scene) answered(id string) {
	s.t.Helper()
	head, err := s.r.Response("GET")
	if err != nil {
		s.t.Fatalf("no answer to %s: %v", id, err)
	}
	if body, err := s.r.Body(head.Framing, head.Length); err != nil || string(body) != id {
		s.t.Fatalf("%q for %s, %v", body, id, err)
	}
}

// ended wants a clean end: a reset would take answers with it that were not read yet.
func (s *scene) ended() {
	s.t.Helper()
	if err := s.r.Await(); !errors.Is(err, io.EOF) {
		s.t.Errorf("the connection ended with %v (a reset: %v)", err, errors.Is(err, syscall.ECONNRESET))
	}
	select {
	case id := <-s.o.taken:
		s.t.Errorf("%s was taken after the connection was shut", id)
	default:
	}
}

// first plays one request and leaves the node waiting for the next at the barrier.
func (s *scene) first() {
	s.send(request("/first", ""))
	<-s.held.entered
	s.held.pass <- struct{}{}
	s.o.reply <- struct{}{}
	<-s.o.taken
	<-s.held.entered // the watch for its leaving
	s.held.pass <- struct{}{}
	s.answered("/first")
	<-s.held.entered // the next request
}

// A request crosses the end of its resting connection: it lies unread in the socket as the
// connection is closed, by a shutdown, because it was idle for too long, or to make room.
// The client must find a clean end, and nothing is done with the request.
func TestCloseCrossesARequest(t *testing.T) {
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
				s.room.leave(&c.seat)
				c.leave()
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			idle := time.Minute
			onReal(t, func(o *Options) {
				if c.change != nil {
					c.change(o)
					idle, o.IdleTimeout = o.IdleTimeout, time.Minute
				}
			}, func(s *scene) {
				s.first()
				if s.srv.o.IdleTimeout != idle {
					s.held.SetReadDeadline(time.Now().Add(idle))
				}
				c.shut(s.srv)
				s.send(request("/crossing", ""))
				s.held.pass <- struct{}{}
				<-s.held.entered // what it reads for nothing
				s.held.pass <- struct{}{}
				s.ended()
			})
		})
	}
}

// What lies unread behind an answer that closes the connection is not acted on, and does
// not cost the client that answer.
func TestAnswerThatClosesCrossesARequest(t *testing.T) {
	onReal(t, nil, func(s *scene) {
		s.send(request("/last", "Connection: close\r\n"))
		<-s.held.entered
		s.held.pass <- struct{}{}
		<-s.o.taken
		<-s.held.entered // the watch
		s.send(request("/behind", ""))
		s.o.reply <- struct{}{}
		s.held.pass <- struct{}{}
		<-s.held.entered
		s.held.pass <- struct{}{}
		s.answered("/last")
		s.ended()
	})
}

// A shutdown that crosses a request under way lets it have its answer, and says that it is
// the connection's last.
func TestShutdownCrossesAnAnswer(t *testing.T) {
	onReal(t, nil, func(s *scene) {
		s.open()
		s.send(request("/open", ""))
		<-s.o.taken
		s.srv.StartDraining()
		s.srv.StopAccepting()
		s.srv.RejectPartialRequests()
		s.o.reply <- struct{}{}
		s.answered("/open")
		s.ended()
	})
}

// A request that has begun to come as requests stop being read is refused, and the client
// can read so.
func TestLateCrossesHalfARequest(t *testing.T) {
	onReal(t, nil, func(s *scene) {
		s.send("GET /half HTTP/1.1\r\nHo")
		<-s.held.entered
		s.held.pass <- struct{}{}
		<-s.held.entered
		s.srv.RejectPartialRequests()
		s.send("st: h\r\n\r\n")
		s.open()
		head, err := s.r.Response("GET")
		if err != nil || head.Status < 400 || head.KeepAlive() {
			t.Fatalf("%+v, %v", head, err)
		}
		s.r.Body(head.Framing, head.Length)
		s.ended()
	})
}

// A client that leaves behind requests it sent ahead is heard to leave, also where those
// fill the buffer that the request under way was read with; one that sends more than a node
// holds gets an error.
func TestLeavingBehindRequestsSentAhead(t *testing.T) {
	for _, size := range []int{1, 3 << 10, 20 << 10} {
		onReal(t, nil, func(s *scene) {
			s.open()
			s.send(request("/open", ""))
			<-s.o.taken
			s.send(strings.Repeat(request("/ahead", ""), 1+size/30))
			s.client.Close()
			select {
			case <-s.o.gone:
			case <-time.After(20 * time.Second):
				t.Errorf("%d bytes ahead: nobody heard that the client left", size)
				s.o.reply <- struct{}{}
			}
		})
	}
	onReal(t, nil, func(s *scene) {
		s.open()
		s.send(request("/open", ""))
		<-s.o.taken
		go s.client.Write([]byte(strings.Repeat(request("/ahead", ""), 3000)))
		if head, err := s.r.Response("GET"); err != nil || head.Status != 503 {
			t.Errorf("%+v, %v", head, err)
		}
		<-s.o.gone
	})
}

// A connection is to make room just as its next request begins to come: it is woken before
// it sets its own time for that, which must not put the waking off.
func TestRoomCrossesABeginning(t *testing.T) {
	for _, late := range []bool{false, true} {
		near, far := net.Pipe()
		s := New(Options{MaxConnections: 1})
		c := &conn{s: s, nc: near, phase: reading}
		s.conns[c] = true
		if late {
			s.RejectPartialRequests()
		} else {
			s.mu.Lock()
			c.leave()
			s.mu.Unlock()
		}
		c.within(time.Hour)
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
