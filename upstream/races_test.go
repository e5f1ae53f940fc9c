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

// server is a TCP listener whose connections the test reads and writes itself.
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

// A surplus response arrives on a connection that is idle again, just as the next attempt starts.
// That attempt must not take it for its own response.
func TestSurplusResponseRacesWithTheNextAttempt(t *testing.T) {
	s := listen(t)
	p := New(Options{Network: network.OS{}, ConnectTimeout: 10 * time.Second, MaxIdlePerServer: 4, Limits: testLimits})
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
	type receivedRequest struct {
		nc  net.Conn
		err error
	}
	received := make(chan receivedRequest, 2)
	go func() {
		_, err := r.Request()
		received <- receivedRequest{nc, err}
	}()
	go func() {
		nc, err := s.l.Accept()
		if err == nil {
			_, err = http1.NewReader(nc, testLimits).Request()
		}
		received <- receivedRequest{nc, err}
	}()
	second := <-received
	if second.err != nil {
		t.Fatal(second.err)
	}
	nc.Write([]byte(one))
	second.nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"))
	if res := <-ended; res.Code != policy.OK || string(res.Response.Body) != "two" {
		t.Errorf("the second attempt ended with %v and %q", res.Code, res.Response.Body)
	}
	s.l.Close()
	second.nc.Close()
}

// Part of a status line arrives on an idle connection that was just assigned to an attempt, before
// the request is written. It can't be a response, and the attempt must use another connection.
func TestUnsolicitedDataRacesWithTheNextAttempt(t *testing.T) {
	s := listen(t)
	p := New(Options{Network: network.OS{}, ConnectTimeout: 10 * time.Second, MaxIdlePerServer: 4, Limits: testLimits})
	defer p.Close()
	dialed, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc, _ := s.accept()
	c := p.addConnection("key", dialed)
	assigned := &attempt{pool: p, Attempt: node.Attempt{Request: call("/")}, done: func(r node.Result) { t.Errorf("the attempt ended with %v", r.Code) }}
	if !c.assign(assigned) {
		t.Fatal("the connection has ended before any data arrived")
	}
	nc.Write([]byte("HTTP/1.1 2"))
	p.readers.Wait() // readLoop has received the data and returned
	if c.startWrite() {
		t.Error("the request would be written, and the partial line taken for its response")
	}
	if !c.unassign(assigned) {
		t.Error("the attempt can't use another connection")
	}
}

// slowDialNetwork delays dialing until release is closed.
type slowDialNetwork struct {
	network.OS
	once    sync.Once
	dialing chan struct{}
	release chan struct{}
}

func (d *slowDialNetwork) Dial(_ context.Context, addr string) (net.Conn, error) {
	d.once.Do(func() { close(d.dialing) })
	<-d.release
	return d.OS.Dial(context.Background(), addr)
}

// No byte of an attempt that was withdrawn or canceled during its dial is written to the connection.
// If dialing takes long, the timeout header states the time that is left afterwards.
func TestSlowDial(t *testing.T) {
	for _, end := range []string{"withdrawn", "canceled", "completed"} {
		s := listen(t)
		d := &slowDialNetwork{dialing: make(chan struct{}), release: make(chan struct{})}
		p := New(Options{Network: d, ConnectTimeout: 10 * time.Second, MaxIdlePerServer: 4, Limits: testLimits, TimeoutHeader: "X-Time-Left-Ms"})
		outgoing, ended := start(p, s, "/late", 10*time.Second)
		<-d.dialing
		switch end {
		case "withdrawn":
			if !outgoing.Withdraw() {
				t.Error("an attempt was not withdrawn during its dial")
			}
		case "canceled":
			outgoing.Cancel()
		default:
			time.Sleep(50 * time.Millisecond) // the duration of the dial
		}
		close(d.release)
		nc, r := s.accept()
		if end != "completed" {
			// The connection is returned to the pool without a write.
			for range 1000 {
				p.mu.Lock()
				idle := len(p.idle)
				p.mu.Unlock()
				if idle == 1 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			p.Close()
			if req, err := r.Request(); err != io.EOF {
				t.Errorf("%s: the server received %+v, %v", end, req, err)
			}
			s.l.Close()
			continue
		}
		req, err := r.Request()
		if err != nil {
			t.Fatal(err)
		}
		if left := req.Header.Get("X-Time-Left-Ms"); req.Target != "/late" || len(left) != 4 || left > "9950" {
			t.Errorf("target %s with %s ms left, of 10000 ms before the dial", req.Target, left)
		}
		nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		<-ended
		if outgoing.Withdraw() {
			t.Error("an attempt was withdrawn after it had ended")
		}
		s.l.Close()
		p.Close()
	}
}

// slowWriteNetwork delays the return of each write until release is closed.
type slowWriteNetwork struct {
	network.OS
	writing, release chan struct{}
}

type slowWriteConn struct {
	net.Conn
	network *slowWriteNetwork
}

func (d *slowWriteNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := d.OS.Dial(ctx, addr)
	return &slowWriteConn{nc, d}, err
}

func (c *slowWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.writing <- struct{}{}
	<-c.network.release
	return n, err
}

// An attempt can't be withdrawn when its request was sent but the write has not returned yet: the
// server may execute it, so a withdrawal would lead to a second execution elsewhere. The attempt ends
// with the response.
func TestWithdrawRacesWithTheWrite(t *testing.T) {
	s := listen(t)
	d := &slowWriteNetwork{writing: make(chan struct{}), release: make(chan struct{})}
	p := New(Options{Network: d, ConnectTimeout: 10 * time.Second, MaxIdlePerServer: 4, Limits: testLimits})
	outgoing, ended := start(p, s, "/left", 10*time.Second)
	nc, r := s.accept()
	<-d.writing
	if outgoing.Withdraw() {
		t.Error("withdrawn after its last byte was sent: it would be sent again elsewhere")
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
		t.Error("the attempt did not end")
	}
	p.Close()
}

// An attempt for which no connection is free because of MaxConnections ends with NoConnection, which
// counts neither as a timeout nor as a failure of the server.
func TestAttemptWithoutAFreeConnection(t *testing.T) {
	s := listen(t)
	p := New(Options{Network: network.OS{}, ConnectTimeout: 10 * time.Second, MaxIdlePerServer: 4, MaxConnections: 1, Limits: testLimits})
	outgoing, _ := start(p, s, "/first", 10*time.Second)
	s.accept()
	_, ended := start(p, s, "/second", 10*time.Second)
	if r := <-ended; r.Code != policy.NoConnection {
		t.Errorf("ended with %v: %s", r.Code, r.Detail)
	}
	outgoing.Cancel()
	p.Close()
}

// Guards against an attempt that is never sent and never ends, or that closes the connection of others: its
// connection stops taking streams, with others still in flight, after the attempt was assigned to it.
func TestAttemptEndsIfItsConnectionTakesNoMoreStreams(t *testing.T) {
	for _, body := range []string{"", "body"} {
		s := listen(t)
		p := New(Options{Network: network.OS{}, ConnectTimeout: 10 * time.Second, HTTP2: true, Limits: testLimits})
		first, _ := start(p, s, "/first", 10*time.Second)
		nc, _ := s.accept()
		received := make(chan struct{})
		go func() {
			_, _ = io.CopyN(io.Discard, nc, 1)
			close(received)
			_, _ = io.Copy(io.Discard, nc)
		}()
		<-received
		var c *h2Conn
		for c == nil {
			p.mu.Lock()
			if list := p.h2Conns[s.l.Addr().String()]; len(list) > 0 {
				c = list[0]
			}
			p.mu.Unlock()
		}
		c.writeLock.Lock()
		request := call("/second")
		request.HTTP.Body = []byte(body)
		ended := make(chan node.Result, 1)
		p.Start(node.Attempt{Address: s.l.Addr().String(), Timeout: 10 * time.Second, Request: request}, func(r node.Result) { ended <- r })
		for reserved := 0; reserved < 2; {
			c.mu.Lock()
			if reserved = len(c.streams); reserved == 2 {
				c.noNewStreams = true
			}
			c.mu.Unlock()
		}
		c.writeLock.Unlock()
		select {
		case r := <-ended:
			if !r.Code.NeverRan() {
				t.Errorf("body %q: ended with %v: %s", body, r.Code, r.Detail)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("body %q: the attempt has not ended", body)
		}
		if !first.Withdraw() {
			first.Cancel()
		}
		p.Close()
	}
}
