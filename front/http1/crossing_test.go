package http1

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy/connections"
)

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
		"timeout":     {func(o *Options) { o.FirstRequestTimeout = time.Nanosecond }, func(*testing.T, *fixture) {}, 408},
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

// The counters tell why a connection has ended, also where its time was over or its client violated the protocol.
func TestEndsAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Options)
		sent   string
		cause  connlimit.Cause
	}{
		"first request too late": {func(o *Options) { o.FirstRequestTimeout = time.Nanosecond }, "", connlimit.Cause{Action: connections.Reject, Reason: connections.Timeout}},
		"malformed":              {func(*Options) {}, "no request\r\n", connlimit.Cause{Action: connections.Reject, Reason: connections.Malformed}},
	} {
		t.Run(name, func(t *testing.T) {
			withConnection(t, c.change, func(s *fixture) {
				s.send(c.sent)
				s.removeGate()
				if _, err := s.reader.Response("GET"); err != nil {
					t.Fatal(err)
				}
				if ended := s.server.connections.Counts().Ended; len(ended) != 1 || ended[c.cause] != 1 {
					t.Errorf("ended: %v, want one by %v", ended, c.cause)
				}
			})
		})
	}
}
