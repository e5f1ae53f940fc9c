package http1

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy/connections"
)

// gatedConn is a TCP connection whose reads wait at a gate. What arrives in the meantime stays
// unread in the socket.
type gatedConn struct {
	*net.TCPConn
	readWaiting chan struct{} // receives a value when a read waits at the gate
	allowRead   chan struct{} // each value lets one read proceed; closed: reads no longer wait
	isPolled    bool          // Readable asks the operating system
}

// Readable reports whether bytes are unread in the socket, if the connection is polled.
func (c *gatedConn) Readable() bool {
	raw, err := c.SyscallConn()
	if !c.isPolled || err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds[:], 0)
		readable = err == nil && n > 0
	})
	return err == nil && readable
}

func (c *gatedConn) Read(b []byte) (int, error) {
	select {
	case c.readWaiting <- struct{}{}:
	default: // the gate is removed, and the test no longer receives
	}
	<-c.allowRead
	return c.TCPConn.Read(b)
}

// fakeNode answers each submitted request with its trace ID when the test allows it.
type fakeNode struct {
	submitted    chan string   // trace IDs of submitted requests
	allowReply   chan struct{} // each value lets one request be answered
	disconnected chan string   // trace IDs of requests whose client has disconnected
}

func (n *fakeNode) Submit(request *node.Request, reply func(node.FinalResponse)) func() {
	done := make(chan struct{})
	go func() {
		n.submitted <- request.Trace
		select {
		case <-n.allowReply:
			reply(node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200, Body: []byte(request.Trace)}})
		case <-done:
			reply(node.FinalResponse{Kind: node.Failed, Reason: node.ReasonClientDisconnected})
		}
	}()
	return func() {
		n.disconnected <- request.Trace
		close(done)
	}
}

// limiter returns a limiter that ends a connection beyond maxActive as soon as there is another.
func limiter(maxActive int) *connlimit.Limiter {
	limits := connections.Limits{MaxOpen: 10, MaxActive: maxActive, MinIdleTime: time.Nanosecond}
	return connlimit.New(limits, slog.New(slog.DiscardHandler))
}

// accept accepts another connection, for which one may be ended, and serves it until the test ends.
func accept(t *testing.T, s *Server) {
	t.Helper()
	serverSide, clientSide := net.Pipe()
	served := make(chan struct{})
	c := s.newConn(serverSide)
	c.entry = s.connections.Accept(c)
	go func() {
		c.serve()
		close(served)
	}()
	t.Cleanup(func() {
		_ = clientSide.Close()
		<-served
	})
}

// fakeMapper uses the target of a request as its trace ID.
type fakeMapper struct{}

func (fakeMapper) Admit(call node.HTTPRequest, _ string) (*node.Request, *node.FinalResponse) {
	return &node.Request{Trace: call.Target, HTTP: call}, nil
}

func (fakeMapper) Render(_ *node.Request, final node.FinalResponse) *node.Response {
	if final.Response != nil {
		return final.Response
	}
	return &node.Response{Status: 503, Body: []byte(final.Reason)}
}

const requestFormat = "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n"

func request(id, fields string) string {
	return strings.Replace(strings.Replace(requestFormat, "%s", id, 1), "%s", fields, 1)
}

// fixture is a server that serves one gated connection.
type fixture struct {
	t           *testing.T
	server      *Server
	node        *fakeNode
	client      net.Conn
	reader      *http1.Reader
	conn        *gatedConn
	gateRemoved bool
}

// removeGate lets all reads proceed from now on.
func (s *fixture) removeGate() {
	if !s.gateRemoved {
		s.gateRemoved = true
		close(s.conn.allowRead)
	}
}

// withConnection serves one TCP connection on which each read waits at the gate, and calls f.
func withConnection(t *testing.T, change func(*Options), f func(s *fixture)) {
	t.Helper()
	withGatedConnection(t, false, change, f)
}

// withPolledConnection is withConnection for a connection that the server can ask whether bytes are unread.
func withPolledConnection(t *testing.T, f func(s *fixture)) {
	t.Helper()
	withGatedConnection(t, true, nil, f)
}

func withGatedConnection(t *testing.T, isPolled bool, change func(*Options), f func(s *fixture)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	s := &fixture{t: t, node: &fakeNode{submitted: make(chan string, 100), allowReply: make(chan struct{}, 100), disconnected: make(chan string, 100)}}
	limits := http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 4000, MaxBodyBytes: 32 << 10}
	options := Options{Node: s.node, Mapper: fakeMapper{}, Log: slog.New(slog.DiscardHandler), Limits: limits, HeaderTimeout: time.Minute,
		BodyTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute, Connections: limiter(10)}
	if change != nil {
		change(&options)
	}
	s.server = New(options)
	if s.client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.client.Close() }()
	if err := s.client.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	s.reader = http1.NewReader(s.client, limits)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s.conn = &gatedConn{TCPConn: nc.(*net.TCPConn), readWaiting: make(chan struct{}, 100), allowRead: make(chan struct{}, 100), isPolled: isPolled}
	served := make(chan struct{})
	go func() {
		s.server.ServeConn(s.conn)
		close(served)
	}()
	f(s)
	_ = s.client.Close() // the test may have closed it
	s.removeGate()
	select {
	case <-served:
	case <-time.After(20 * time.Second):
		t.Error("ServeConn has not returned 20 s after the client closed the connection")
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
		s.t.Fatalf("no response to %s: %v", id, err)
	}
	if body, err := s.reader.Body(head.Framing, head.Length); err != nil || string(body) != id {
		s.t.Fatalf("response body %q to %s, error %v", body, id, err)
	}
}

// expectCleanClose fails the test unless the connection ends with EOF and no further request was
// submitted. After a reset the client could lose responses that it has not read yet.
func (s *fixture) expectCleanClose() {
	s.t.Helper()
	if err := s.reader.Await(); !errors.Is(err, io.EOF) {
		s.t.Errorf("the connection ended with %v, want EOF (reset: %v)", err, errors.Is(err, syscall.ECONNRESET))
	}
	select {
	case id := <-s.node.submitted:
		s.t.Errorf("%s was submitted after the connection was closed", id)
	default:
	}
}

// completeFirstRequest sends one request, reads its response, and returns when the server waits
// for the next request at the gate.
func (s *fixture) completeFirstRequest() {
	s.send(request("/first", ""))
	<-s.conn.readWaiting
	s.conn.allowRead <- struct{}{}
	s.node.allowReply <- struct{}{}
	<-s.node.submitted
	<-s.conn.readWaiting // the server watches for the client to disconnect
	s.conn.allowRead <- struct{}{}
	s.expectResponse("/first")
	<-s.conn.readWaiting // the server waits for the next request
}
