package http1

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

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
					if err := s.conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
						t.Error(err)
					}
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
		if _, err := s.reader.Body(head.Framing, head.Length); err != nil {
			t.Error(err)
		}
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
			if err := s.client.Close(); err != nil {
				t.Error(err)
			}
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
		go func() { _, _ = s.client.Write([]byte(strings.Repeat(request("/ahead", ""), 3000))) }() // the client may leave before
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
		_, _ = serverSide.Close(), clientSide.Close() // net.Pipe: can't fail
	}
}
