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

// Intake turns calls into Tries and Answers into responses; an *intake.Intake is
// one. Admit may give the answer at once.
type Intake interface {
	Admit(c node.HTTPRequest, trace string) (*node.Request, *node.FinalResponse)
	Render(t *node.Request, a node.FinalResponse) *node.Response
}

// Options is what a Server is made of.
type Options struct {
	Node   Handler
	Intake Intake
	Log    *slog.Logger
	Name   string // begins the traces of requests that bring none
	Limits http1.Limits

	FirstTime   time.Duration // from connecting to the first request, whole; 0: as for the others
	HeaderTime  time.Duration // from a request's first byte to its whole header
	BodyTime    time.Duration // and on to its whole body
	IdleTime    time.Duration // a connection without a request is closed after it
	WriteTime   time.Duration // for a client to take an answer
	Connections int
	Spare       int           // connections that may lie idle between requests; more are closed, longest idle first; 0: any number
	Lingers     int           // connections that have made room and still linger; the oldest is cut beyond; 0: any number
	Yield       time.Duration // with all Connections taken, one without a request for so long makes room for a new one; 0: none does
}

// Server serves connections.
type Server struct {
	o       Options
	mu      sync.Mutex
	conns   map[*conn]bool
	room    room
	made    []*conn // that linger and have made room, oldest first
	closing bool    // connections close after the answer under way
	ended   bool    // and no new ones are taken
	late    bool    // and no request is read any more
	done    sync.WaitGroup
	traces  atomic.Uint64
}

// New returns a Server.
func New(o Options) *Server {
	return &Server{o: o, conns: map[*conn]bool{}, room: room{most: o.Connections, yield: o.Yield, spare: o.Spare, holding: holding}}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return network.AcceptLoop(l, s.o.Log, s.ServeConn)
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(nc net.Conn) {
	c := &conn{s: s, nc: nc, r: http1.NewReader(nc, s.o.Limits), answers: make(chan node.FinalResponse, 1)}
	c.seat.conn = c
	s.mu.Lock()
	ok := false
	if !s.ended {
		var victim *conn
		if ok, victim = s.room.enter(time.Now()); victim != nil {
			victim.leave()
		}
	}
	if ok {
		s.room.comes(&c.seat, time.Now())
		s.conns[c] = true
		s.done.Add(1)
	}
	s.mu.Unlock()
	if !ok {
		if s.draining() {
			c.linger()
		}
		nc.Close()
		return
	}
	c.serve()
}

func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Closing closes idle connections, and the others after the answer under way; new
// ones are taken for one request each.
func (s *Server) Closing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.close()
}

func (s *Server) close() {
	s.closing = true
	for c := range s.conns {
		c.wake()
	}
}

// Ending is Closing, and takes no new connections.
func (s *Server) Ending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.close()
}

// Late has what is still being read of requests refused.
func (s *Server) Late() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = true
	s.close()
}

// Drain is Ending, and returns when all connections are closed; when the context ends
// they are cut.
func (s *Server) Drain(ctx context.Context) {
	s.Ending()
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.nc.Close()
		}
	})
	defer stop()
	s.done.Wait()
}

// phase is what a connection is at.
type phase int

const (
	resting   phase = iota // between requests
	reading                // a request has begun to come
	open                   // a whole request is under way
	lingering              // it was closed here
)

type conn struct {
	s       *Server
	nc      net.Conn
	r       *http1.Reader
	seat    seat // under the server's lock, as are the next three
	phase   phase
	out     bool      // it makes room for another
	asked   bool      // it has sent a whole request
	began   time.Time // when the first byte of the request under way arrived
	next    time.Time // and of one that came while another was under way; zero: none did
	first   time.Time // its first request must be whole by then; zero: it was, or need not
	ahead   bool      // its client sent more ahead than is held
	gone    bool      // its client closed it, or can't be written to
	buf     []byte
	answers chan node.FinalResponse
}

// rests notes that no request is under way; false where the connection is to be closed.
func (c *conn) rests() bool {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase = resting; c.out {
		return false
	}
	if c.asked {
		if victim := s.room.idle(&c.seat, time.Now()); victim != nil {
			victim.leave()
		}
	}
	return !s.closing || c.fresh()
}

// reads notes that a request begins to come; false where the connection makes room.
func (c *conn) reads() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.phase = reading; c.out {
		return false
	}
	c.s.room.comes(&c.seat, time.Now())
	return true
}

// fresh tells whether the connection is still owed its first request; under the server's
// lock.
func (c *conn) fresh() bool { return !c.asked && !c.s.ended }

// wake has the connection look up where it waits for what it will not be given any more;
// under the server's lock.
func (c *conn) wake() {
	if c.phase == resting && !c.fresh() || c.phase == reading && c.s.late {
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// leave has an idle connection end; under the server's lock.
func (c *conn) leave() {
	if c.out = true; c.phase != lingering {
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// taken notes that a whole request has come: it is answered, also where the
// connection was to make room.
func (c *conn) taken() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.asked, c.phase = true, open; c.out {
		c.out = false
		c.s.room.stays()
	}
	c.s.room.open(&c.seat)
}

// holding tells whether a connection holds bytes that were not read.
func holding(c *conn) bool {
	r, ok := c.nc.(interface{ Readable() bool })
	return ok && r.Readable()
}

// within bounds what is read from now on.
func (c *conn) within(d time.Duration) {
	at := time.Now().Add(d)
	if !c.first.IsZero() && c.first.Before(at) {
		at = c.first
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.s.late || c.out {
		at = time.Unix(1, 0) // it was woken before it came to wait
	}
	c.nc.SetReadDeadline(at)
}

func (c *conn) serve() {
	defer func() {
		if !c.gone {
			c.linger()
		}
		c.nc.Close()
		c.s.mu.Lock()
		delete(c.s.conns, c)
		if !c.out {
			c.s.room.leave(&c.seat)
		}
		c.s.mu.Unlock()
		c.s.done.Done()
	}()
	if c.s.o.FirstTime > 0 {
		c.first = time.Now().Add(c.s.o.FirstTime)
	}
	for {
		c.within(c.s.o.IdleTime)
		if !c.rests() && c.r.Buffered() == 0 {
			return
		}
		if c.r.Buffered() == 0 {
			if err := c.r.Await(); err != nil {
				c.gone = !errors.Is(err, os.ErrDeadlineExceeded)
				return
			}
		}
		c.began, c.next = c.next, time.Time{}
		if c.began.IsZero() {
			c.began = pauseclock.ArrivalTime(c.nc)
		}
		if !c.reads() || !c.one() {
			return
		}
		c.first = time.Time{}
	}
}

// one serves one request; false where the connection is to be closed.
func (c *conn) one() bool {
	c.within(c.s.o.HeaderTime)
	req, err := c.r.Request()
	if err != nil {
		return c.refuse(req, err)
	}
	call := node.HTTPRequest{Method: req.Method, Target: req.Target, Host: req.Host, Header: req.Header.EndToEnd()}
	call.Header.Del("Host") // it is call.Host
	if expect := call.Header.Get("Expect"); expect != "" {
		if expect != "100-continue" {
			return c.refuse(req, &http1.Error{Status: 417, Text: "expectation other than 100-continue"})
		}
		call.Header.Del("Expect")
		if req.Framing != http1.NoBody && c.r.Buffered() == 0 && !c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
			return false
		}
	}
	if req.Framing != http1.NoBody {
		c.within(c.s.o.BodyTime)
		if call.Body, err = c.r.Body(req.Framing, req.Length); err != nil {
			return c.refuse(req, err)
		}
	}
	c.taken()
	return c.answer(req, call)
}

// answer puts a whole request to the node and writes the answer.
func (c *conn) answer(req *http1.Request, call node.HTTPRequest) bool {
	t, early := c.s.o.Intake.Admit(call, c.s.o.Name+"-"+strconv.FormatUint(c.s.traces.Add(1), 36))
	var a node.FinalResponse
	if early != nil {
		a = *early
		c.s.o.Log.Info("answer", "answer", a.Kind.String(), "trace", t.Trace, "class", t.Class, "customer", t.Customer,
			"reason", string(a.Reason), "detail", a.Detail)
	} else {
		t.ClientAddress, t.LocalAddress = c.nc.RemoteAddr().String(), c.nc.LocalAddr().String()
		if a = c.wait(t); c.gone {
			return false
		}
	}
	res := c.s.o.Intake.Render(t, a)
	closing := !req.KeepAlive() || c.ahead || c.s.draining()
	if len(res.Body) > longBody && req.Method != "HEAD" {
		c.buf = http1.AppendResponseHead(c.buf[:0], req.Method, res.Status, res.Header, len(res.Body), closing)
		return c.write(c.buf, res.Body) && !closing
	}
	c.buf = http1.AppendResponse(c.buf[:0], req.Method, res.Status, res.Header, res.Body, closing)
	return c.write(c.buf) && !closing
}

// wait puts a try to the node and waits for its answer, or for the client to
// leave; one that closes its sending side is taken to have left.
func (c *conn) wait(t *node.Request) (a node.FinalResponse) {
	c.nc.SetReadDeadline(time.Time{})
	t.Arrived = c.began
	gone := c.s.o.Node.Submit(t, func(a node.FinalResponse) { c.answers <- a })
	watched := make(chan error, 1)
	go func() { watched <- c.watch() }()
	var err error
	select {
	case a = <-c.answers:
		c.nc.SetReadDeadline(time.Unix(1, 0)) // ends the watch
		err = <-watched
	case err = <-watched:
		gone()
		a = <-c.answers // the node has its last word in any case
		if errors.Is(err, http1.ErrAhead) {
			// Whether this client leaves could not be heard any more.
			a = node.FinalResponse{Kind: node.Failed, Reason: node.ReasonTooLarge, Detail: "requests sent ahead"}
		}
	}
	c.ahead = errors.Is(err, http1.ErrAhead)
	c.gone = !c.ahead && !errors.Is(err, os.ErrDeadlineExceeded)
	return a
}

// watch waits for the client to leave. What comes meanwhile is the next request,
// pipelined, which waits for its turn.
func (c *conn) watch() error {
	for {
		if err := c.r.Await(); err != nil {
			return err
		}
		if c.next.IsZero() {
			c.next = pauseclock.ArrivalTime(c.nc)
		}
	}
}

// refuse answers what could not be read, as far as there is someone to answer,
// and closes the connection.
func (c *conn) refuse(req *http1.Request, err error) bool {
	var pe *http1.Error
	status := 408 // the time for the header or the body is over
	switch {
	case errors.As(err, &pe):
		status = pe.Status
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.gone = true // it ended in the middle, or before the first byte
		return false
	}
	why := node.ReasonBadRequest
	if status == 413 {
		why = node.ReasonTooLarge
	}
	c.s.o.Log.Info("answer", "answer", node.Rejected.String(), "reason", string(why), "detail", err.Error(),
		"client", c.nc.RemoteAddr().String())
	res := c.s.o.Intake.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: why, Detail: err.Error()})
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
	s := c.s
	s.mu.Lock()
	c.phase = lingering
	s.room.open(&c.seat)
	if c.out && s.o.Lingers > 0 {
		s.made = append(s.made, c)
		if len(s.made) > s.o.Lingers {
			s.made[0].nc.SetReadDeadline(time.Unix(1, 0))
			s.made = slices.Delete(s.made, 0, 1)
		}
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	s.mu.Unlock()
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok {
		w.CloseWrite()
	}
	io.CopyN(io.Discard, c.nc, lingerBytes)
	s.mu.Lock()
	if i := slices.Index(s.made, c); i >= 0 {
		s.made = slices.Delete(s.made, i, i+1)
	}
	s.mu.Unlock()
}

// longBody is the length of bodies that are not copied behind their heads, so that
// a connection's buffer stays small.
const longBody = 16 << 10

// write writes the parts of an answer, all within the time for one.
func (c *conn) write(parts ...[]byte) bool {
	c.nc.SetWriteDeadline(time.Now().Add(c.s.o.WriteTime))
	for _, b := range parts {
		if _, err := c.nc.Write(b); err != nil {
			c.gone = true
			return false
		}
	}
	return true
}
