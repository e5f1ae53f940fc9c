// Package http1 serves clients over HTTP/1.1 (RFC 9112).
package http1

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
)

// Handler handles requests; a *node.Node implements it. The caller of Submit calls
// disconnected if the client disconnects before the reply.
type Handler interface {
	Submit(request *node.Request, reply func(node.FinalResponse)) (disconnected func())
}

// Mapper maps HTTP requests to requests of the node, and final responses to HTTP responses;
// an *intake.Mapper implements it. If Admit returns a final response, the request is answered with it.
type Mapper interface {
	Admit(call node.HTTPRequest, trace string) (*node.Request, *node.FinalResponse)
	Render(request *node.Request, final node.FinalResponse) *node.Response
}

// Options configures a Server.
type Options struct {
	Node        Handler
	Mapper      Mapper
	Log         *slog.Logger
	TracePrefix string // begins the trace IDs of requests that carry none
	Limits      http1.Limits

	FirstRequestTimeout     time.Duration // from accepting a connection to its first complete request; 0: only the timeouts of every request apply
	HeaderTimeout           time.Duration // from a request's first byte to the end of its header
	BodyTimeout             time.Duration // from the end of a request's header to the end of its body
	IdleTimeout             time.Duration // after which a connection without a request is closed
	WriteTimeout            time.Duration // for a client to receive a response
	MaxConnections          int
	MaxIdleConnections      int           // idle between requests; beyond it the longest idle one is evicted; 0: any number
	MaxLingeringConnections int           // evicted and still lingering; beyond it the oldest is closed; 0: any number
	MinIdleBeforeEviction   time.Duration // at MaxConnections, a connection idle for this long is evicted for a new one; 0: none is evicted
}

// Server serves connections.
type Server struct {
	options          Options
	mu               sync.Mutex
	conns            map[*conn]bool
	evictor          connectionEvictor
	evictedLingering []*conn // evicted connections that linger, oldest first
	draining         bool    // connections close after the response in flight
	acceptStopped    bool    // no new connections are accepted
	rejectPartial    bool    // requests that are not read completely are rejected
	serving          sync.WaitGroup
	traceCounter     atomic.Uint64
}

// New returns a Server.
func New(o Options) *Server {
	return &Server{options: o, conns: map[*conn]bool{}, evictor: connectionEvictor{maxConnections: o.MaxConnections, minIdleTime: o.MinIdleBeforeEviction, maxIdle: o.MaxIdleConnections, hasUnreadData: hasUnreadData}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return network.AcceptLoop(l, s.options.Log, s.ServeConn)
}

// ServeConn serves one connection until it is closed.
func (s *Server) ServeConn(nc net.Conn) {
	c := &conn{server: s, netConn: nc, reader: http1.NewReader(nc, s.options.Limits), finalResponses: make(chan node.FinalResponse, 1)}
	c.evictionEntry.conn = c
	s.mu.Lock()
	ok := false
	if !s.acceptStopped {
		var victim *conn
		if ok, victim = s.evictor.admit(time.Now()); victim != nil {
			victim.evict()
		}
	}
	if ok {
		s.evictor.markAwaitingRequest(&c.evictionEntry, time.Now())
		s.conns[c] = true
		s.serving.Add(1)
	}
	s.mu.Unlock()
	if !ok {
		if s.isDraining() {
			c.linger()
		}
		nc.Close()
		return
	}
	c.serve()
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// StartDraining closes idle connections at once, and the others after the response in flight.
// New connections are still accepted, for one request each.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startDraining()
}

func (s *Server) startDraining() {
	s.draining = true
	for c := range s.conns {
		c.interruptRead()
	}
}

// StopAccepting does what StartDraining does, and accepts no new connections.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptStopped = true
	s.startDraining()
}

// RejectPartialRequests does what StartDraining does, and rejects requests that are still
// being read.
func (s *Server) RejectPartialRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectPartial = true
	s.startDraining()
}

// Drain does what StopAccepting does, and returns when all connections are closed. When the
// context ends it closes them at once.
func (s *Server) Drain(ctx context.Context) {
	s.StopAccepting()
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.netConn.Close()
		}
	})
	defer stop()
	s.serving.Wait()
}

// connState is the state of a connection.
type connState int

const (
	stateIdle      connState = iota // no request has begun
	stateReading                    // a request is being read
	stateInFlight                   // a complete request is in flight
	stateLingering                  // the server has closed its sending side
)

type conn struct {
	server               *Server
	netConn              net.Conn
	reader               *http1.Reader
	evictionEntry        evictionEntry // guarded by the server's lock, as are the next three fields
	state                connState
	evicted              bool      // closes in favor of another connection
	hasSentRequest       bool      // a complete request was read
	arrived              time.Time // when the first byte of the current request arrived
	nextArrived          time.Time // when the first byte arrived that was sent ahead of the response; zero: none was
	firstRequestDeadline time.Time // by when the first request must be complete; zero: it is, or there is no limit
	pipelineTooLong      bool      // the client pipelined more than the reader buffers
	disconnected         bool      // the client has closed the connection, or a write failed
	buf                  []byte
	finalResponses       chan node.FinalResponse
}

// becomeIdle records that no request is being read or in flight. It returns false if the
// connection is to be closed.
func (c *conn) becomeIdle() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state = stateIdle; c.evicted {
		return false
	}
	if c.hasSentRequest {
		if victim := s.evictor.markIdle(&c.evictionEntry, time.Now()); victim != nil {
			victim.evict()
		}
	}
	return !s.draining || c.awaitsFirstRequest()
}

// beginReading records that a request has begun to arrive. It returns false if the connection
// is evicted.
func (c *conn) beginReading() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state = stateReading; c.evicted {
		return false
	}
	c.server.evictor.markAwaitingRequest(&c.evictionEntry, time.Now())
	return true
}

// awaitsFirstRequest reports whether the connection may still receive its first request while
// the server is draining. The caller holds the server's lock.
func (c *conn) awaitsFirstRequest() bool { return !c.hasSentRequest && !c.server.acceptStopped }

// interruptRead interrupts the connection's pending read if the request that it waits for is
// no longer accepted. The caller holds the server's lock.
func (c *conn) interruptRead() {
	if c.state == stateIdle && !c.awaitsFirstRequest() || c.state == stateReading && c.server.rejectPartial {
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// evict has a connection without a request in flight closed. The caller holds the server's
// lock.
func (c *conn) evict() {
	if c.evicted = true; c.state != stateLingering {
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginRequest records that a complete request was read. It is answered even if the connection
// was to be evicted.
func (c *conn) beginRequest() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.hasSentRequest, c.state = true, stateInFlight; c.evicted {
		c.evicted = false
		c.server.evictor.readmit()
	}
	c.server.evictor.dequeue(&c.evictionEntry)
}

// hasUnreadData reports whether a connection has received bytes that were not read.
func hasUnreadData(c *conn) bool {
	r, ok := c.netConn.(interface{ Readable() bool })
	return ok && r.Readable()
}

// setReadTimeout sets the time limit of all reads from now on.
func (c *conn) setReadTimeout(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	if !c.firstRequestDeadline.IsZero() && c.firstRequestDeadline.Before(deadline) {
		deadline = c.firstRequestDeadline
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.rejectPartial || c.evicted {
		deadline = time.Unix(1, 0) // the read was interrupted before it began
	}
	c.netConn.SetReadDeadline(deadline)
}

func (c *conn) serve() {
	defer func() {
		if !c.disconnected {
			c.linger()
		}
		c.netConn.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		if !c.evicted {
			c.server.evictor.remove(&c.evictionEntry)
		}
		c.server.mu.Unlock()
		c.server.serving.Done()
	}()
	if c.server.options.FirstRequestTimeout > 0 {
		c.firstRequestDeadline = time.Now().Add(c.server.options.FirstRequestTimeout)
	}
	for {
		c.setReadTimeout(c.server.options.IdleTimeout)
		if !c.becomeIdle() && c.reader.Buffered() == 0 {
			return
		}
		if c.reader.Buffered() == 0 {
			if err := c.reader.Await(); err != nil {
				c.disconnected = !errors.Is(err, os.ErrDeadlineExceeded)
				return
			}
		}
		c.arrived, c.nextArrived = c.nextArrived, time.Time{}
		if c.arrived.IsZero() {
			c.arrived = pauseclock.ArrivalTime(c.netConn)
		}
		if !c.beginReading() || !c.serveRequest() {
			return
		}
		c.firstRequestDeadline = time.Time{}
	}
}

// serveRequest serves one request. It returns false if the connection is to be closed.
func (c *conn) serveRequest() bool {
	c.setReadTimeout(c.server.options.HeaderTimeout)
	head, err := c.reader.Request()
	if err != nil {
		return c.reject(head, err)
	}
	call := node.HTTPRequest{Method: head.Method, Target: head.Target, Host: head.Host, Header: head.Header.EndToEnd()}
	call.Header.Del("Host") // it is call.Host
	if expect := call.Header.Get("Expect"); expect != "" {
		if expect != "100-continue" {
			return c.reject(head, &http1.Error{Status: 417, Text: "expectation other than 100-continue"})
		}
		call.Header.Del("Expect")
		if head.Framing != http1.NoBody && c.reader.Buffered() == 0 && !c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
			return false
		}
	}
	if head.Framing != http1.NoBody {
		c.setReadTimeout(c.server.options.BodyTimeout)
		if call.Body, err = c.reader.Body(head.Framing, head.Length); err != nil {
			return c.reject(head, err)
		}
	}
	c.beginRequest()
	return c.respond(head, call)
}

// respond submits a complete request to the node and writes the response. It returns false if
// the connection is to be closed.
func (c *conn) respond(head *http1.Request, call node.HTTPRequest) bool {
	request, early := c.server.options.Mapper.Admit(call, c.server.options.TracePrefix+"-"+strconv.FormatUint(c.server.traceCounter.Add(1), 36))
	var final node.FinalResponse
	if early != nil {
		final = *early
		c.server.options.Log.Info("answer", "answer", final.Kind.String(), "trace", request.Trace, "class", request.Class, "customer", request.Customer,
			"reason", string(final.Reason), "detail", final.Detail)
	} else {
		request.ClientAddress, request.LocalAddress = c.netConn.RemoteAddr().String(), c.netConn.LocalAddr().String()
		if final = c.submit(request); c.disconnected {
			return false
		}
	}
	response := c.server.options.Mapper.Render(request, final)
	closing := !head.KeepAlive() || c.pipelineTooLong || c.server.isDraining()
	if len(response.Body) > maxCopiedBody && head.Method != "HEAD" {
		c.buf = http1.AppendResponseHead(c.buf[:0], head.Method, response.Status, response.Header, len(response.Body), closing)
		return c.write(c.buf, response.Body) && !closing
	}
	c.buf = http1.AppendResponse(c.buf[:0], head.Method, response.Status, response.Header, response.Body, closing)
	return c.write(c.buf) && !closing
}

// submit submits a request to the node and waits for its final response, or for the client to
// disconnect. A client that closes its sending side counts as disconnected.
func (c *conn) submit(request *node.Request) (final node.FinalResponse) {
	c.netConn.SetReadDeadline(time.Time{})
	request.Arrived = c.arrived
	request.Client = c
	disconnected := c.server.options.Node.Submit(request, func(final node.FinalResponse) { c.finalResponses <- final })
	watched := make(chan error, 1)
	go func() { watched <- c.watchForDisconnect() }()
	var err error
	select {
	case final = <-c.finalResponses:
		c.netConn.SetReadDeadline(time.Unix(1, 0)) // ends watchForDisconnect
		err = <-watched
	case err = <-watched:
		pauseclock.SuspendReading(c.netConn)
		disconnected()
		final = <-c.finalResponses // the node replies in any case
		if errors.Is(err, http1.ErrPipelineTooLong) {
			// It could no longer be detected whether this client disconnects.
			final = node.FinalResponse{Kind: node.Failed, Reason: node.ReasonTooLarge, Detail: "requests sent ahead"}
		}
	}
	c.pipelineTooLong = errors.Is(err, http1.ErrPipelineTooLong)
	ended := !c.pipelineTooLong && !errors.Is(err, os.ErrDeadlineExceeded)
	c.disconnected = ended || final.Reason == node.ReasonClientDisconnected
	return final
}

// AwaitReceived returns at once, because Disconnected needs none of what the client has sent.
func (c *conn) AwaitReceived() {}

// Disconnected reports whether the client has closed the connection or its sending side.
func (c *conn) Disconnected() bool { return pauseclock.PeerClosed(c.netConn) }

// watchForDisconnect returns when the client disconnects. Bytes that arrive in the meantime
// belong to pipelined requests, which stay buffered until the current one is answered.
func (c *conn) watchForDisconnect() error {
	for {
		if err := c.reader.Await(); err != nil {
			return err
		}
		if c.nextArrived.IsZero() {
			c.nextArrived = pauseclock.ArrivalTime(c.netConn)
		}
	}
}

// reject responds to a request that could not be read, unless the client has disconnected. It
// returns false: the connection is to be closed.
func (c *conn) reject(head *http1.Request, err error) bool {
	var protocolError *http1.Error
	status := 408 // the header or the body did not arrive within its timeout
	switch {
	case errors.As(err, &protocolError):
		status = protocolError.Status
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.disconnected = true // the connection ended in the middle of the request, or before its first byte
		return false
	}
	reason := node.ReasonBadRequest
	if status == 413 {
		reason = node.ReasonTooLarge
	}
	c.server.options.Log.Info("answer", "answer", node.Rejected.String(), "reason", string(reason), "detail", err.Error(),
		"client", c.netConn.RemoteAddr().String())
	response := c.server.options.Mapper.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: reason, Detail: err.Error()})
	method := ""
	if head != nil {
		method = head.Method
	}
	c.buf = http1.AppendResponse(c.buf[:0], method, status, response.Header, response.Body, true)
	c.write(c.buf)
	return false
}

// linger closes the connection's sending side, and reads and discards what still arrives.
// Closing a connection with unread bytes would reset it, and the client could lose the
// response before reading it.
func (c *conn) linger() {
	s := c.server
	s.mu.Lock()
	c.state = stateLingering
	s.evictor.dequeue(&c.evictionEntry)
	if c.evicted && s.options.MaxLingeringConnections > 0 {
		s.evictedLingering = append(s.evictedLingering, c)
		if len(s.evictedLingering) > s.options.MaxLingeringConnections {
			s.evictedLingering[0].netConn.SetReadDeadline(time.Unix(1, 0))
			s.evictedLingering = slices.Delete(s.evictedLingering, 0, 1)
		}
	}
	c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	s.mu.Unlock()
	if w, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		w.CloseWrite()
	}
	io.CopyN(io.Discard, c.netConn, maxLingerBytes)
	s.mu.Lock()
	if i := slices.Index(s.evictedLingering, c); i >= 0 {
		s.evictedLingering = slices.Delete(s.evictedLingering, i, i+1)
	}
	s.mu.Unlock()
}

// maxCopiedBody is the longest body, in bytes, that is copied into the connection's buffer
// behind its header. Longer ones are written separately, so that the buffer stays small.
const maxCopiedBody = 16 << 10

// write writes the parts of a response within WriteTimeout. It returns false on failure.
func (c *conn) write(parts ...[]byte) bool {
	pauseclock.SuspendReading(c.netConn)
	c.netConn.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	for _, part := range parts {
		if _, err := c.netConn.Write(part); err != nil {
			c.disconnected = true
			return false
		}
	}
	return true
}
