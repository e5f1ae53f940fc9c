package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

var testLimits = http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 1000, MaxBodyBytes: 1000}

func call(target string) *node.Request {
	return &node.Request{Trace: target, HTTP: node.HTTPRequest{Method: "GET", Target: target, Host: "h"}}
}

// server is a real listener whose connections a test plays by hand.
type server struct {
	t *testing.T
	l net.Listener
}

func listen(t *testing.T) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &server{t, l}
}

func (s *server) accept() (net.Conn, *http1.Reader) {
	s.t.Helper()
	nc, err := s.l.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return nc, http1.NewReader(nc, testLimits)
}

func start(p *Pool, s *server, target string, timeout time.Duration) (node.OutgoingAttempt, chan node.Result) {
	ended := make(chan node.Result, 1)
	return p.Start(node.Attempt{Address: s.l.Addr().String(), Timeout: timeout, Request: call(target)},
		func(r node.Result) { ended <- r }), ended
}

// A second answer comes late, on a connection that has been put back: right as the next
// attempt starts. That one must not take it for its own.
func TestSecondAnswerCrossesTheNextAttempt(t *testing.T) {
	s := listen(t)
	p := New(Options{Network: network.OS{}, ConnectTime: 10 * time.Second, Idle: 4, Limits: testLimits})
	defer p.Close()
	_, ended := start(p, s, "/one", 10*time.Second)
	nc, r := s.accept()
	if _, err := r.Request(); err != nil {
		t.Fatal(err)
	}
	const one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	nc.Write([]byte(one))
	if res := <-ended; res.Code != policy.OK {
		t.Fatalf("%+v", res)
	}
	_, ended = start(p, s, "/two", 10*time.Second)
	type asked struct {
		nc  net.Conn
		err error
	}
	first := make(chan asked, 2)
	go func() {
		_, err := r.Request()
		first <- asked{nc, err}
	}()
	go func() {
		nc, err := s.l.Accept()
		if err == nil {
			_, err = http1.NewReader(nc, testLimits).Request()
		}
		first <- asked{nc, err}
	}()
	a := <-first
	if a.err != nil {
		t.Fatal(a.err)
	}
	nc.Write([]byte(one))
	a.nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"))
	if res := <-ended; res.Code != policy.OK || string(res.Response.Body) != "two" {
		t.Errorf("the second attempt ended with %v and %q", res.Code, res.Response.Body)
	}
	s.l.Close()
	a.nc.Close()
}

// Half a line comes on a resting connection that an attempt has just been given, before
// its request is written: that is no answer, and the attempt goes on another connection.
func TestHalfALineCrossesTheNextAttempt(t *testing.T) {
	s := listen(t)
	p := New(Options{Network: network.OS{}, ConnectTime: 10 * time.Second, Idle: 4, Limits: testLimits})
	defer p.Close()
	dialled, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc, _ := s.accept()
	c := p.connection("key", dialled)
	given := &attempt{p: p, Attempt: node.Attempt{Request: call("/")}, done: func(r node.Result) { t.Errorf("it ended with %v", r.Code) }}
	if !c.assign(given) {
		t.Fatal("the connection ended by itself")
	}
	nc.Write([]byte("HTTP/1.1 2"))
	p.conns.Wait() // its reader has seen that, and ended
	if c.sends() {
		t.Error("the request would be written, and half a line taken for its answer")
	}
	if !c.unassign(given) {
		t.Error("the attempt can't go on another connection")
	}
}

// slowDial dials late: the connection comes up after the attempt was given up.
type slowDial struct {
	network.OS
	once    sync.Once
	dialing chan struct{}
	release chan struct{}
}

func (d *slowDial) Dial(_ context.Context, addr string) (net.Conn, error) {
	d.once.Do(func() { close(d.dialing) })
	<-d.release
	return d.OS.Dial(context.Background(), addr)
}

// A connection that comes up after its attempt was withdrawn, or cancelled, carries no
// byte of it; one that comes up late tells its server the time that is left then.
func TestDialThatComesUpLate(t *testing.T) {
	for _, end := range []string{"withdrawn", "cancelled", "in time"} {
		s := listen(t)
		d := &slowDial{dialing: make(chan struct{}), release: make(chan struct{})}
		p := New(Options{Network: d, ConnectTime: 10 * time.Second, Idle: 4, Limits: testLimits, Patience: "X-Time-Left-Ms"})
		sending, ended := start(p, s, "/late", 10*time.Second)
		<-d.dialing
		switch end {
		case "withdrawn":
			if !sending.Withdraw() {
				t.Error("an attempt in its dial was not withdrawn")
			}
		case "cancelled":
			sending.Cancel()
		default:
			time.Sleep(50 * time.Millisecond) // that is the time the dial takes
		}
		close(d.release)
		nc, r := s.accept()
		if end != "in time" {
			// The connection is put back with nothing written on it.
			for range 1000 {
				p.mu.Lock()
				back := len(p.idle)
				p.mu.Unlock()
				if back == 1 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			p.Close()
			if req, err := r.Request(); err != io.EOF {
				t.Errorf("%s: the server got %+v, %v", end, req, err)
			}
			s.l.Close()
			continue
		}
		req, err := r.Request()
		if err != nil {
			t.Fatal(err)
		}
		if left := req.Header.Get("X-Time-Left-Ms"); req.Target != "/late" || len(left) != 4 || left > "9950" {
			t.Errorf("%s with %s ms left, of 10000 when the dial began", req.Target, left)
		}
		nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		<-ended
		if sending.Withdraw() {
			t.Error("an attempt that has ended was withdrawn")
		}
		s.l.Close()
		p.Close()
	}
}

// slowWrite holds a write until it may go on.
type slowWrite struct {
	network.OS
	writing, release chan struct{}
}

type slowWriteConn struct {
	net.Conn
	d *slowWrite
}

func (d *slowWrite) Dial(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := d.OS.Dial(ctx, addr)
	return &slowWriteConn{nc, d}, err
}

func (c *slowWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.d.writing <- struct{}{}
	<-c.d.release
	return n, err
}

// An attempt is taken back just as its request has left, before its writer knows so: it
// can't be, and ends with what its server says.
func TestWithdrawCrossesTheWrite(t *testing.T) {
	s := listen(t)
	d := &slowWrite{writing: make(chan struct{}), release: make(chan struct{})}
	p := New(Options{Network: d, ConnectTime: 10 * time.Second, Idle: 4, Limits: testLimits})
	sending, ended := start(p, s, "/left", 10*time.Second)
	nc, r := s.accept()
	<-d.writing
	if sending.Withdraw() {
		t.Error("withdrawn after its last byte has left: it would be sent again elsewhere")
	}
	close(d.release)
	if _, err := r.Request(); err != nil {
		t.Fatal(err)
	}
	nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	select {
	case res := <-ended:
		if res.Code != policy.OK {
			t.Errorf("%+v", res)
		}
	case <-time.After(10 * time.Second):
		t.Error("no end")
	}
	p.Close()
}

// An attempt for which all connections of this node are in use ends as such: neither its time nor its server is to
// blame.
func TestAttemptWithoutASpareConnection(t *testing.T) {
	s := listen(t)
	p := New(Options{Network: network.OS{}, ConnectTime: 10 * time.Second, Idle: 4, MaxConnections: 1, Limits: testLimits})
	sending, _ := start(p, s, "/first", 10*time.Second)
	s.accept()
	_, ended := start(p, s, "/second", 10*time.Second)
	if r := <-ended; r.Code != policy.NoConnection {
		t.Errorf("ended with %v, %s", r.Code, r.Detail)
	}
	sending.Cancel()
	p.Close()
}
