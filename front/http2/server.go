// Package http2 serves clients over HTTP/2 (RFC 9113), in cleartext with prior knowledge or
// behind TLS. Requests are mapped and handled in the same way as those over HTTP/1.1.
package http2

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/internal/h2"
	"yardcleat.example/yardcleat/internal/memory"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy/connections"
)

// Handler handles requests; a *node.Node implements it. The caller of Submit calls
// disconnected if the client disconnects before the reply.
type Handler interface {
	Submit(request *node.Request, reply func(node.FinalResponse)) (disconnected func())
}

// Options configures a Server.
type Options struct {
	Node        Handler
	Mapper      *intake.Mapper
	Log         *slog.Logger
	TracePrefix string // begins the trace IDs of requests that have none

	MaxHeaderBytes       int   // of a header list, as counted by RFC 9113, 6.5.2
	MaxHeaderFields      int   // of a header list
	MaxRequestBody       int64 // bytes of a request body
	MaxBufferedBodyBytes int64 // of the request bodies of one connection
	MaxConcurrentStreams int   // on one connection
	// FrameBudget is how many costly frames a connection may send at once. A tenth of it returns
	// each second. See docs/frames.md.
	FrameBudget   int
	HeaderTimeout time.Duration      // for the client preface, and for a header block of several frames
	BodyTimeout   time.Duration      // from a stream's header to the end of its body
	IdleTimeout   time.Duration      // of a connection without streams
	WriteTimeout  time.Duration      // for a client to receive a response
	Connections   *connlimit.Limiter // keeps them within their limits; another server may share it

	Memory                *memory.Budget // for requests and their responses; nil: no limit
	FreeBytesOfConnection int64          // that are not charged to Memory
}

// Server serves HTTP/2 connections.
type Server struct {
	options      Options
	connections  *connlimit.Limiter
	traceCounter atomic.Uint64
}

// New returns a Server.
func New(o Options) *Server { return &Server{options: o, connections: o.Connections} }

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.connections.Serve(l, func(nc net.Conn) {
		c := s.newConn(nc)
		c.entry = s.connections.Accept(c)
		go c.serve()
	})
}

// ServeConn serves a connection until it ends, and closes it.
func (s *Server) ServeConn(nc net.Conn) {
	c := s.newConn(nc)
	c.entry = s.connections.Accept(c)
	c.serve()
}

// ServeAccepted serves a connection that the limiter knows already, until it ends, and closes it.
func (s *Server) ServeAccepted(nc net.Conn, entry *connections.Connection) {
	c := s.newConn(nc)
	c.entry = entry
	s.connections.SetOwner(entry, c)
	c.serve()
}

func (s *Server) newConn(nc net.Conn) *conn {
	c := &conn{server: s, netConn: nc, streams: map[uint32]*stream{},
		sendWindow: initialWindow, initialSendWindow: initialWindow, maxSendFrameSize: h2.DefaultMaxFrameSize,
		freeBytes: s.options.FreeBytesOfConnection, frameBudget: float64(s.options.FrameBudget), budgetUpdatedAt: time.Now()}
	c.changed, c.writeLock = sync.NewCond(&c.mu), h2.NewLock()
	return c
}

const (
	initialWindow = 65535    // flow-control window before SETTINGS (RFC 9113, 6.9.2)
	streamWindow  = 64 << 10 // flow-control window of each stream for its request body

	maxContinuations     = 16    // CONTINUATION frames of one header block
	smallDataBytes       = 256   // a DATA frame with fewer bytes is charged, unless it ends its stream
	smallDataCost        = 0.125 // part of the frame budget; an empty frame costs 1
	bytesPerWindowUpdate = 256   // body bytes sent for each WINDOW_UPDATE that is not charged
)

// conn is a client's connection.
type conn struct {
	server  *Server
	netConn net.Conn
	entry   *connections.Connection // the connection as its limiter knows it
	framer  *http2.Framer           // may be used by other goroutines than that of serve once settingsSent is set

	writeLock     h2.Lock // guards writes, headerBuffer and headerEncoder
	headerBuffer  bytes.Buffer
	headerEncoder *hpack.Encoder

	mu                 sync.Mutex // guards the fields below
	changed            *sync.Cond // a window, or the state of a stream, has changed
	streams            map[uint32]*stream
	lastStreamID       uint32  // highest ID of an accepted stream
	settingsSent       bool    // framer and headerEncoder are set, and the server's SETTINGS are sent
	goingAway          bool    // no stream above lastStreamID is accepted
	goAwaySent         bool    // the client has been told so
	lingering          bool    // the connection has drained; serve is to end it
	ended              bool    // no more frames are read, or a connection error was sent
	sendWindow         int64   // bytes that may be sent on all streams together
	initialSendWindow  int64   // bytes that may be sent on a new stream
	maxSendFrameSize   int     // payload bytes that may be sent in one frame
	bufferedBodyBytes  int64   // request body bytes in memory
	freeBytes          int64   // the part of FreeBytesOfConnection that no stream has
	unreturnedWindow   int64   // bytes received but not yet returned to the connection's window
	windowUpdateCredit int64   // body bytes sent, less those used up by WINDOW_UPDATE frames
	frameBudget        float64 // what was left at budgetUpdatedAt
	budgetUpdatedAt    time.Time
}

// HasUnreadData implements [connections.Owner].
func (c *conn) HasUnreadData() bool { return pauseclock.HasUnreadData(c.netConn) }

// Interrupt implements [connlimit.Owner]. A connection ends with GOAWAY, which tells which of its requests did not run.
func (c *conn) Interrupt(action connections.Action) {
	switch action {
	case connections.Finish, connections.End, connections.Reject:
		prefaceTimeout := drainPrefaceTimeout
		if _, reason := c.entry.Action(); reason == connections.OpenLimit {
			prefaceTimeout = 0
		}
		go c.sendGoAway(http2.ErrCodeNo, goAwayText, prefaceTimeout)
	case connections.Close:
		_ = c.netConn.SetReadDeadline(longAgo)
	case connections.None, connections.Cut, connections.Shed: // streams give up their memory themselves
	}
}

// Close implements [connlimit.Owner].
func (c *conn) Close() { _ = c.netConn.Close() }

// RemoteAddr implements [connlimit.Owner].
func (c *conn) RemoteAddr() net.Addr { return c.netConn.RemoteAddr() }

// serve serves the connection until it ends, and closes it.
func (c *conn) serve() {
	c.handleFrames()
	_ = c.netConn.Close()
	c.server.connections.Remove(c.entry)
}

// handleFrames handles the connection's frames until it ends, and waits for its streams to end.
func (c *conn) handleFrames() {
	err := c.handshake()
	if err != nil {
		return
	}
	for err == nil {
		var f http2.Frame
		if f, err = c.framer.ReadFrame(); err == nil {
			err = c.handleFrame(f)
		}
		var se http2.StreamError
		if errors.As(err, &se) {
			// The other streams are not affected, but the frame is charged, as the server had to
			// handle it.
			c.abortStream(se.StreamID)
			if err = c.chargeFrame(); err == nil {
				err = c.write(func() error { return c.framer.WriteRSTStream(se.StreamID, se.Code) })
			}
		}
	}
	c.endAfter(err)
}

// endAfter ends the connection after an error of reading, and waits for its streams to end.
func (c *conn) endAfter(err error) {
	if errors.Is(err, http2.ErrFrameTooLarge) {
		err = http2.ConnectionError(http2.ErrCodeFrameSize)
	}
	var connectionError http2.ConnectionError
	isFatal := errors.As(err, &connectionError)
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case isFatal:
		c.server.connections.RecordEnd(c.entry, connections.End, connections.Malformed)
		c.sendGoAway(http2.ErrCode(connectionError), "", drainPrefaceTimeout)
	case timedOut: // the requests in flight get their responses
		if !c.isGoingAway() {
			c.server.connections.RecordEnd(c.entry, connections.End, connections.Timeout)
		}
		c.sendGoAway(http2.ErrCodeNo, goAwayText, drainPrefaceTimeout)
	}
	c.mu.Lock()
	if !timedOut {
		c.abortAllLocked()
	}
	for len(c.streams) > 0 {
		c.changed.Wait() // the node always replies, so that each stream is removed
	}
	c.ended = true
	lingering := c.lingering
	c.mu.Unlock()
	if isFatal || lingering {
		c.linger()
	}
}

// abortAllLocked aborts all streams. c.mu must be held.
func (c *conn) abortAllLocked() {
	c.ended = true
	for _, st := range c.streams {
		c.abortLocked(st)
	}
}

// errNoPreface is the error of a connection that does not begin with the client preface.
var errNoPreface = errors.New("http2: no client preface")

// handshake reads the client preface and sends the server's SETTINGS. If the connection is going away by then, or the
// preface does not come in time, it sends GOAWAY, too.
func (c *conn) handshake() error {
	c.setPrefaceDeadline()
	preface := make([]byte, len(http2.ClientPreface))
	switch _, err := io.ReadFull(c.netConn, preface); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.markGoingAway() // GOAWAY tells the client that none of its requests ran
	case err != nil:
		return err
	case string(preface) != http2.ClientPreface:
		return errNoPreface
	}
	o := &c.server.options
	c.framer = http2.NewFramer(c.netConn, &frameInspector{reader: c.netConn, maxContinuations: maxContinuations,
		onHeaderBlock: c.setHeaderBlockDeadline})
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.framer.MaxHeaderListSize = uint32(o.MaxHeaderBytes)
	c.framer.SetMaxReadFrameSize(h2.DefaultMaxFrameSize)
	c.headerEncoder = hpack.NewEncoder(&c.headerBuffer)
	err := c.write(func() error {
		return c.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(o.MaxConcurrentStreams)},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(o.MaxHeaderBytes)},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow}, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
	})
	c.netConn.SetDeadline(time.Now().Add(o.IdleTimeout))
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.settingsSent = true
	goingAway := c.goingAway
	c.mu.Unlock()
	if goingAway {
		c.writeGoAway(http2.ErrCodeNo, goAwayText)
	}
	return nil
}

// isGoingAway reports whether no streams are accepted any more.
func (c *conn) isGoingAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goingAway
}

// markGoingAway records that no streams are accepted any more.
func (c *conn) markGoingAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goingAway = true
}

// setPrefaceDeadline sets the time until which the client preface must be read.
func (c *conn) setPrefaceDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.server.options.HeaderTimeout
	if c.goingAway {
		timeout = min(timeout, drainPrefaceTimeout)
	}
	c.netConn.SetDeadline(time.Now().Add(timeout))
}

// write calls f, which writes frames, with the write lock held and the write timeout set. If f
// fails it closes the connection.
func (c *conn) write(f func() error) error {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	c.netConn.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	err := f()
	if err != nil {
		c.netConn.Close()
	}
	return err
}

// setHeaderBlockDeadline sets the read deadline when a header block of several frames begins,
// and restores it when the block ends.
func (c *conn) setHeaderBlockDeadline(begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case begins:
		c.setReadDeadlineLocked(time.Now().Add(c.server.options.HeaderTimeout))
	case len(c.streams) > 0:
		c.setReadDeadlineLocked(time.Time{})
	default:
		c.setReadDeadlineLocked(time.Now().Add(c.server.options.IdleTimeout))
	}
}
