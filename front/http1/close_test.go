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
func accept(t *testing.T, s *Server) net.Conn {
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
	return clientSide
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
	defer l.Close()
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
	defer s.client.Close()
	s.client.SetDeadline(time.Now().Add(20 * time.Second))
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
	s.client.Close()
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

// A request arrives just as the server closes its idle connection: it is unread in the socket
// when the server closes for a shutdown, for the idle timeout, or for an eviction. Closing with
// unread bytes would reset the connection; the client must get a clean close, and the request
// must not be submitted.
func TestCloseWithUnreadRequest(t *testing.T) {
	for name, c := range map[string]struct {
		change           func(*Options)
		closeConnections func(*Server)
	}{
		"shutdown":       {closeConnections: func(s *Server) { s.StartDraining() }},
		"stop accepting": {closeConnections: func(s *Server) { s.StopAccepting() }},
		"idle timeout":   {change: func(o *Options) { o.IdleTimeout = time.Nanosecond }, closeConnections: func(*Server) {}},
		"eviction":       {change: func(o *Options) { o.Connections = limiter(1) }, closeConnections: func(s *Server) { accept(t, s) }},
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
				c.closeConnections(s.server)
				s.send(request("/crossing", ""))
				s.conn.allowRead <- struct{}{}
				<-s.conn.readWaiting // the server lingers: it reads and discards
				s.conn.allowRead <- struct{}{}
				s.expectCleanClose()
			})
		})
	}
}

// A request that arrives behind one that asks to close the connection is not submitted. It must
// not cause a reset either, with which the client would lose the response to the first request.
func TestClosingResponseWithUnreadRequest(t *testing.T) {
	withConnection(t, nil, func(s *fixture) {
		s.send(request("/last", "Connection: close\r\n"))
		<-s.conn.readWaiting
		s.conn.allowRead <- struct{}{}
		<-s.node.submitted
		<-s.conn.readWaiting // the server watches for the client to disconnect
		s.send(request("/behind", ""))
		s.node.allowReply <- struct{}{}
		s.conn.allowRead <- struct{}{}
		<-s.conn.readWaiting
		s.conn.allowRead <- struct{}{}
		s.expectResponse("/last")
		s.expectCleanClose()
	})
}

// A request in flight when a shutdown begins still gets its response, and the connection closes
// cleanly after it.
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

// A request that is partly read when the server stops reading requests is rejected, and the
// client can read the rejection before the connection closes.
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

// The server detects that a client disconnects after it has pipelined requests, even if those
// fill the buffer that the current request was read with. A client that pipelines more than the
// server buffers gets an error, since its disconnection could no longer be detected.
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
				t.Errorf("%d bytes pipelined: the server did not detect that the client disconnected", size)
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

// A connection is to make room, or its partial request is to be rejected, just as the request begins to arrive:
// its reads are interrupted before it sets its own read timeout. The timeout must not replace the
// interruption, or the connection would wait for the rest of the request.
func TestEndBeforeReadTimeoutIsSet(t *testing.T) {
	for _, rejectPartial := range []bool{false, true} {
		serverSide, clientSide := net.Pipe()
		s := New(Options{Connections: limiter(1), Log: slog.New(slog.DiscardHandler), Mapper: fakeMapper{}, IdleTimeout: time.Minute})
		c := s.newConn(serverSide)
		c.entry = s.connections.Accept(c)
		s.connections.BeginReading(c.entry)
		if rejectPartial {
			s.RejectPartialRequests()
		} else {
			accept(t, s)
		}
		c.setReadTimeout(time.Hour)
		read := make(chan error, 1)
		go func() {
			_, err := serverSide.Read(make([]byte, 1))
			read <- err
		}()
		select {
		case err := <-read:
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("rejectPartial %v: the connection waits for the rest of the request", rejectPartial)
		}
		serverSide.Close()
		clientSide.Close()
	}
}

// afterReadConn is a gated connection whose reads also wait after they have returned bytes.
type afterReadConn struct {
	net.Conn
	hasRead   chan struct{} // receives a value when a read has returned bytes
	allowNext chan struct{} // each value lets one such read return
}

func (c *afterReadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.hasRead <- struct{}{}
		<-c.allowNext
	}
	return n, err
}

// CloseWrite closes the sending side.
func (c *afterReadConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// Guards against a request that was read and gets no response, because its connection was ended for another before it
// was recorded that a request has begun.
func TestRequestReadBeforeItsConnectionIsEndedIsAnswered(t *testing.T) {
	for _, requests := range []int{0, 1} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		n := &fakeNode{submitted: make(chan string, 10), allowReply: make(chan struct{}, 10), disconnected: make(chan string, 10)}
		limits := http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 4000, MaxBodyBytes: 1000}
		s := New(Options{Node: n, Mapper: fakeMapper{}, Log: slog.New(slog.DiscardHandler), Limits: limits, HeaderTimeout: time.Minute,
			BodyTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute, Connections: limiter(1)})
		conn := &afterReadConn{Conn: accepted, hasRead: make(chan struct{}), allowNext: make(chan struct{})}
		go s.ServeConn(conn)
		reader := http1.NewReader(client, limits)
		for i := range requests + 1 {
			if _, err := client.Write([]byte(request("/r", ""))); err != nil {
				t.Fatal(err)
			}
			<-conn.hasRead
			if i == requests {
				accept(t, s)
			}
			conn.allowNext <- struct{}{}
			n.allowReply <- struct{}{}
			response, err := reader.Response("GET")
			if err != nil || response.Status != 200 {
				t.Fatalf("request %d: %+v, %v", i, response, err)
			}
			if _, err := reader.Body(response.Framing, response.Length); err != nil {
				t.Fatal(err)
			}
		}
		_, _ = client.Close(), l.Close()
	}
}

// Guards against the first request of a connection that gets no response, because it crosses the end of the connection.
func TestFirstRequestThatCrossesTheEndIsRejected(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Options)
		end    func(*testing.T, *fixture)
		status int
	}{
		"for another": {func(o *Options) { o.Connections = limiter(1) }, func(t *testing.T, s *fixture) { t.Helper(); accept(t, s.server) }, 503},
		"shutdown":    {func(*Options) {}, func(_ *testing.T, s *fixture) { s.server.StopAccepting() }, 503},
		"timeout":     {func(o *Options) { o.FirstRequestTimeout = time.Millisecond }, func(*testing.T, *fixture) { time.Sleep(2 * time.Millisecond) }, 408},
	} {
		t.Run(name, func(t *testing.T) {
			withConnection(t, c.change, func(s *fixture) {
				<-s.conn.readWaiting
				c.end(t, s)
				s.send(request("/crossing", ""))
				s.removeGate()
				head, err := s.reader.Response("GET")
				if err != nil || head.Status != c.status || head.KeepAlive() {
					t.Fatalf("%+v, %v, want %d", head, err, c.status)
				}
				_, _ = s.reader.Body(head.Framing, head.Length)
				s.expectCleanClose()
			})
		})
	}
}

// lateConn is a connection of which one read ends with its time over, though bytes have arrived: the process did not run.
type lateConn struct {
	net.Conn
	lateRead int // number of that read
	reads    int
}

func (c *lateConn) Read(b []byte) (int, error) {
	if c.reads++; c.reads == c.lateRead {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

// Readable reports that bytes have arrived.
func (c *lateConn) Readable() bool { return true }

// Guards against a request that is rejected because its connection's time was over before the process ran again, though
// all of the request had come in time.
func TestRequestThatCameBeforeTheTimeWasOverIsServed(t *testing.T) {
	for lateRead := 1; lateRead <= 3; lateRead++ {
		for _, firstRequestTimeout := range []time.Duration{0, time.Nanosecond} {
			serverSide, clientSide := net.Pipe()
			n := &fakeNode{submitted: make(chan string, 10), allowReply: make(chan struct{}, 10), disconnected: make(chan string, 10)}
			limits := http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 4000, MaxBodyBytes: 1000}
			s := New(Options{Node: n, Mapper: fakeMapper{}, Log: slog.New(slog.DiscardHandler), Limits: limits, HeaderTimeout: time.Minute, BodyTimeout: time.Minute,
				IdleTimeout: time.Minute, WriteTimeout: time.Minute, FirstRequestTimeout: firstRequestTimeout, Connections: limiter(10)})
			served := make(chan struct{})
			go func() {
				s.ServeConn(&lateConn{Conn: serverSide, lateRead: lateRead})
				close(served)
			}()
			go func() {
				for _, piece := range []string{"POST /r HTTP/1.1\r\n", "Host: h\r\nContent-Length: 4\r\n\r\n", "body"} {
					_, _ = clientSide.Write([]byte(piece))
				}
			}()
			n.allowReply <- struct{}{}
			reader := http1.NewReader(clientSide, limits)
			if response, err := reader.Response("GET"); err != nil || response.Status != 200 {
				t.Errorf("read %d is late: %+v, %v", lateRead, response, err)
			}
			go reader.Discard(1000)
			_ = clientSide.Close()
			<-served
		}
	}
}
