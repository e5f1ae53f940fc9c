// Package http1 is the first front: clients' requests over HTTP/1.1 (RFC 9112).
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

// Handler takes tries; a *node.Node is one.
type Handler interface {
	Submit(t *node.Request, reply func(node.FinalResponse)) (gone func())
}

// Mapper turns calls into Tries and Answers into responses; an *intake.Mapper is
// one. Admit may give the answer at once.
type Mapper interface {
	Admit(c node.HTTPRequest, trace string) (*node.Request, *node.FinalResponse)
	Render(t *node.Request, a node.FinalResponse) *node.Response
}

// Options is what a Server is made of.
type Options struct {
	Node        Handler
	Mapper      Mapper
	Log         *slog.Logger
	TracePrefix string // begins the traces of requests that bring none
	Limits      http1.Limits

	FirstRequestTimeout     time.Duration // from connecting to the first request, whole; 0: as for the others
	HeaderTimeout           time.Duration // from a request's first byte to its whole header
	BodyTimeout             time.Duration // and on to its whole body
	IdleTimeout             time.Duration // a connection without a request is closed after it
	WriteTimeout            time.Duration // for a client to take an answer
	MaxConnections          int
	MaxIdleConnections      int           // connections that may lie idle between requests; more are closed, longest idle first; 0: any number
	MaxLingeringConnections int           // connections that have made room and still linger; the oldest is cut beyond; 0: any number
	MinIdleBeforeEviction   time.Duration // with all Connections taken, one without a request for so long makes room for a new one; 0: none does
}

// Server serves connections.
type Server struct {
	options          Options
	mu               sync.Mutex
	conns            map[*conn]bool
	evictor          connectionEvictor
	evictedLingering []*conn // that linger and have made room, oldest first
	draining         bool    // connections close after the answer under way
	acceptStopped    bool    // and no new ones are taken
	rejectPartial    bool    // and no request is read any more
	serving          sync.WaitGroup
	traceCounter     atomic.Uint64
}

// New returns a Server.
func New(o Options) *Server {
	return &Server{options: o, conns: map[*conn]bool{}, evictor: connectionEvictor{maxConnections: o.MaxConnections, minIdleTime: o.MinIdleBeforeEviction, maxIdle: o.MaxIdleConnections, hasUnreadData: hasUnreadData}}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return network.AcceptLoop(l, s.options.Log, s.ServeConn)
}

// ServeConn serves one connection until it ends.
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

// StartDraining closes idle connections, and the others after the answer under way; new
// ones are taken for one request each.
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

// StopAccepting is Closing, and takes no new connections.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptStopped = true
	s.startDraining()
}

// RejectPartialRequests has what is still being read of requests refused.
func (s *Server) RejectPartialRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectPartial = true
	s.startDraining()
}

// Drain is Ending, and returns when all connections are closed; when the context ends
// they are cut.
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

// connState is what a connection is at.
type connState int

const (
	stateIdle      connState = iota // between requests
	stateReading                    // a request has begun to come
	stateInFlight                   // a whole request is under way
	stateLingering                  // it was closed here
)

type conn struct {
	server               *Server
	netConn              net.Conn
	reader               *http1.Reader
	evictionEntry        evictionEntry // under the server's lock, as are the next three
	state                connState
	evicted              bool      // it makes room for another
	hasSentRequest       bool      // it has sent a whole request
	arrived              time.Time // when the first byte of the request under way arrived
	nextArrived          time.Time // and of one that came while another was under way; zero: none did
	firstRequestDeadline time.Time // its first request must be whole by then; zero: it was, or need not
	pipelineTooLong      bool      // its client sent more ahead than is held
	disconnected         bool      // its client closed it, or can't be written to
	buf                  []byte
	finalResponses       chan node.FinalResponse
}

// becomeIdle notes that no request is under way; false where the connection is to be closed.
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

// beginReading notes that a request begins to come; false where the connection makes room.
func (c *conn) beginReading() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state = stateReading; c.evicted {
		return false
	}
	c.server.evictor.markAwaitingRequest(&c.evictionEntry, time.Now())
	return true
}

// awaitsFirstRequest tells whether the connection is still owed its first request; under the server's
// lock.
func (c *conn) awaitsFirstRequest() bool { return !c.hasSentRequest && !c.server.acceptStopped }

// interruptRead has the connection look up where it waits for what it will not be given any more;
// under the server's lock.
func (c *conn) interruptRead() {
	if c.state == stateIdle && !c.awaitsFirstRequest() || c.state == stateReading && c.server.rejectPartial {
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// evict has an idle connection end; under the server's lock.
func (c *conn) evict() {
	if c.evicted = true; c.state != stateLingering {
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginRequest notes that a whole request has come: it is answered, also where the
// connection was to make room.
func (c *conn) beginRequest() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.hasSentRequest, c.state = true, stateInFlight; c.evicted {
		c.evicted = false
		c.server.evictor.readmit()
	}
	c.server.evictor.dequeue(&c.evictionEntry)
}

// hasUnreadData tells whether a connection holds bytes that were not read.
func hasUnreadData(c *conn) bool {
	r, ok := c.netConn.(interface{ Readable() bool })
	return ok && r.Readable()
}

// setReadTimeout bounds what is read from now on.
func (c *conn) setReadTimeout(d time.Duration) {
	at := time.Now().Add(d)
	if !c.firstRequestDeadline.IsZero() && c.firstRequestDeadline.Before(at) {
		at = c.firstRequestDeadline
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.rejectPartial || c.evicted {
		at = time.Unix(1, 0) // it was woken before it came to wait
	}
	c.netConn.SetReadDeadline(at)
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

// serveRequest serves serveRequest request; false where the connection is to be closed.
func (c *conn) serveRequest() bool {
	c.setReadTimeout(c.server.options.HeaderTimeout)
	req, err := c.reader.Request()
	if err != nil {
		return c.reject(req, err)
	}
	call := node.HTTPRequest{Method: req.Method, Target: req.Target, Host: req.Host, Header: req.Header.EndToEnd()}
	call.Header.Del("Host") // it is call.Host
	if expect := call.Header.Get("Expect"); expect != "" {
		if expect != "100-continue" {
			return c.reject(req, &http1.Error{Status: 417, Text: "expectation other than 100-continue"})
		}
		call.Header.Del("Expect")
		if req.Framing != http1.NoBody && c.reader.Buffered() == 0 && !c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
			return false
		}
	}
	if req.Framing != http1.NoBody {
		c.setReadTimeout(c.server.options.BodyTimeout)
		if call.Body, err = c.reader.Body(req.Framing, req.Length); err != nil {
			return c.reject(req, err)
		}
	}
	c.beginRequest()
	return c.respond(req, call)
}

// respond puts a whole request to the node and writes the respond.
func (c *conn) respond(req *http1.Request, call node.HTTPRequest) bool {
	t, early := c.server.options.Mapper.Admit(call, c.server.options.TracePrefix+"-"+strconv.FormatUint(c.server.traceCounter.Add(1), 36))
	var a node.FinalResponse
	if early != nil {
		a = *early
		c.server.options.Log.Info("answer", "answer", a.Kind.String(), "trace", t.Trace, "class", t.Class, "customer", t.Customer,
			"reason", string(a.Reason), "detail", a.Detail)
	} else {
		t.ClientAddress, t.LocalAddress = c.netConn.RemoteAddr().String(), c.netConn.LocalAddr().String()
		if a = c.submit(t); c.disconnected {
			return false
		}
	}
	res := c.server.options.Mapper.Render(t, a)
	closing := !req.KeepAlive() || c.pipelineTooLong || c.server.isDraining()
	if len(res.Body) > maxCopiedBody && req.Method != "HEAD" {
		c.buf = http1.AppendResponseHead(c.buf[:0], req.Method, res.Status, res.Header, len(res.Body), closing)
		return c.write(c.buf, res.Body) && !closing
	}
	c.buf = http1.AppendResponse(c.buf[:0], req.Method, res.Status, res.Header, res.Body, closing)
	return c.write(c.buf) && !closing
}

// submit puts a try to the node and waits for its answer, or for the client to
// leave; one that closes its sending side is taken to have left.
func (c *conn) submit(t *node.Request) (a node.FinalResponse) {
	c.netConn.SetReadDeadline(time.Time{})
	t.Arrived = c.arrived
	gone := c.server.options.Node.Submit(t, func(a node.FinalResponse) { c.finalResponses <- a })
	watched := make(chan error, 1)
	go func() { watched <- c.watchForDisconnect() }()
	var err error
	select {
	case a = <-c.finalResponses:
		c.netConn.SetReadDeadline(time.Unix(1, 0)) // ends the watch
		err = <-watched
	case err = <-watched:
		gone()
		a = <-c.finalResponses // the node has its last word in any case
		if errors.Is(err, http1.ErrPipelineTooLong) {
			// Whether this client leaves could not be heard any more.
			a = node.FinalResponse{Kind: node.Failed, Reason: node.ReasonTooLarge, Detail: "requests sent ahead"}
		}
	}
	c.pipelineTooLong = errors.Is(err, http1.ErrPipelineTooLong)
	c.disconnected = !c.pipelineTooLong && !errors.Is(err, os.ErrDeadlineExceeded)
	return a
}

// watchForDisconnect waits for the client to leave. What comes meanwhile is the next request,
// pipelined, which waits for its turn.
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

// reject answers what could not be read, as far as there is someone to answer,
// and closes the connection.
func (c *conn) reject(req *http1.Request, err error) bool {
	var pe *http1.Error
	status := 408 // the time for the header or the body is over
	switch {
	case errors.As(err, &pe):
		status = pe.Status
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.disconnected = true // it ended in the middle, or before the first byte
		return false
	}
	why := node.ReasonBadRequest
	if status == 413 {
		why = node.ReasonTooLarge
	}
	c.server.options.Log.Info("answer", "answer", node.Rejected.String(), "reason", string(why), "detail", err.Error(),
		"client", c.netConn.RemoteAddr().String())
	res := c.server.options.Mapper.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: why, Detail: err.Error()})
	method := ""
	if req != nil {
		method = req.Method
	}
	c.buf = http1.AppendResponse(c.buf[:0], method, status, res.Header, res.Body, true)
	c.write(c.buf)
	return false
}

// linger half-closes the connection and reads on, for nothing: closing over unread bytes
// would reset it, and take the answer under way with it.
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

// maxCopiedBody is the length of bodies that are not copied behind their heads, so that
// a connection's buffer stays small.
const maxCopiedBody = 16 << 10

// write writes the parts of an answer, all within the time for one.
func (c *conn) write(parts ...[]byte) bool {
	c.netConn.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	for _, b := range parts {
		if _, err := c.netConn.Write(b); err != nil {
			c.disconnected = true
			return false
		}
	}
	return true
}
