// Package http2 serves clients over HTTP/2 (RFC 9113), in cleartext with prior knowledge or
// behind TLS. Requests are mapped and handled in the same way as those over HTTP/1.1.
package http2

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/internal/h2"
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
	FrameBudget    int
	HeaderTimeout  time.Duration // for the client preface, and for a header block of several frames
	BodyTimeout    time.Duration // from a stream's header to the end of its body
	IdleTimeout    time.Duration // of a connection without streams
	WriteTimeout   time.Duration // for a client to receive a response
	MaxConnections int           // further connections are closed at once
}

// Server serves HTTP/2 connections.
type Server struct {
	options      Options
	mu           sync.Mutex
	conns        map[*conn]bool
	draining     bool
	serving      sync.WaitGroup
	traceCounter atomic.Uint64
}

// New returns a Server.
func New(o Options) *Server { return &Server{options: o, conns: map[*conn]bool{}} }

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return network.AcceptLoop(l, s.options.Log, s.ServeConn)
}

// ServeConn serves a connection until it ends, and closes it.
func (s *Server) ServeConn(nc net.Conn) {
	defer nc.Close()
	c := &conn{server: s, netConn: nc, streams: map[uint32]*stream{},
		sendWindow: initialWindow, initialSendWindow: initialWindow, maxSendFrameSize: h2.DefaultMaxFrameSize,
		frameBudget: float64(s.options.FrameBudget), budgetUpdatedAt: time.Now()}
	c.changed, c.writeLock = sync.NewCond(&c.mu), h2.NewLock()
	s.mu.Lock()
	c.goingAway = s.draining
	isServed := !s.draining && len(s.conns) < s.options.MaxConnections
	if isServed {
		s.conns[c] = true
		s.serving.Add(1)
	}
	s.mu.Unlock()
	if !isServed {
		if c.goingAway {
			c.serve() // sends GOAWAY
		}
		return
	}
	c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.serving.Done()
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
	framer  *http2.Framer // may be used by other goroutines than that of serve once settingsSent is set

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
	unreturnedWindow   int64   // bytes received but not yet returned to the connection's window
	windowUpdateCredit int64   // body bytes sent, less those used up by WINDOW_UPDATE frames
	frameBudget        float64 // what was left at budgetUpdatedAt
	budgetUpdatedAt    time.Time
}

// stream is one request.
type stream struct {
	conn          *conn
	id            uint32
	arrivedAt     time.Time // arrival time of its header
	request       node.HTTPRequest
	contentLength int64 // -1: none was announced
	body          []byte
	bodyComplete  bool          // the end of the request was received
	sendWindow    int64         // bytes that may be sent on the stream
	aborted       bool          // reset, timed out, or its connection has ended
	abortSignal   chan struct{} // closed when aborted is set
	bodyTimer     *time.Timer   // runs until the body is complete
	claimed       bool          // a goroutine responds to it, or it was aborted
}

// serve handles the connection's frames until it ends, and waits for its streams to end.
func (c *conn) serve() {
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
	if errors.Is(err, http2.ErrFrameTooLarge) {
		err = http2.ConnectionError(http2.ErrCodeFrameSize)
	}
	var ce http2.ConnectionError
	if errors.As(err, &ce) {
		c.sendGoAway(http2.ErrCode(ce), "")
	}
	c.mu.Lock()
	c.ended = true
	for _, st := range c.streams {
		c.abortLocked(st)
	}
	for len(c.streams) > 0 {
		c.changed.Wait() // the node always replies, so that each stream is removed
	}
	lingering := c.lingering
	c.mu.Unlock()
	if ce != 0 || lingering {
		c.linger()
	}
}

// errNoPreface is the error of a connection that does not begin with the client preface.
var errNoPreface = errors.New("http2: no client preface")

// handshake reads the client preface and sends the server's SETTINGS. If the connection is going away by then it
// sends GOAWAY, too.
func (c *conn) handshake() error {
	c.setPrefaceDeadline()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c.netConn, preface); err != nil {
		return err
	}
	if string(preface) != http2.ClientPreface {
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
		c.writeGoAway(http2.ErrCodeNo, drainingText)
	}
	return nil
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

// chargeFrame charges a frame that costs the client nothing but the server work. Some such
// frames are normal; a flood of them ends the connection.
func (c *conn) chargeFrame() error { return c.charge(1) }

// charge takes a cost from the frame budget. It returns a connection error if the budget does
// not suffice.
func (c *conn) charge(cost float64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chargeLocked(cost)
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

// chargeLocked is charge with c.mu held.
func (c *conn) chargeLocked(cost float64) error {
	capacity := float64(c.server.options.FrameBudget)
	now := time.Now()
	c.frameBudget = min(capacity, c.frameBudget+capacity/10*now.Sub(c.budgetUpdatedAt).Seconds())
	c.budgetUpdatedAt = now
	if c.frameBudget < cost {
		return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	c.frameBudget -= cost
	return nil
}

func (c *conn) handleFrame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		if c.isIdle(f.StreamID) {
			return http2.ConnectionError(http2.ErrCodeProtocol) // RFC 9113, 6.4
		}
		c.abortStream(f.StreamID)
		return c.chargeFrame()
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.PingFrame:
		if err := c.chargeFrame(); err != nil || f.IsAck() {
			return err // the server sends no PING, so an ACK needs no handling
		}
		return c.write(func() error { return c.framer.WritePing(true, f.Data) })
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	case *http2.GoAwayFrame:
		return c.chargeFrame() // open streams are still served
	}
	return c.chargeFrame() // PRIORITY, and frames of unknown types
}

func (c *conn) handleSettings(f *http2.SettingsFrame) error {
	if err := c.chargeFrame(); err != nil || f.IsAck() {
		return err
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		switch s.ID {
		case http2.SettingInitialWindowSize:
			delta := int64(s.Val) - c.initialSendWindow
			c.initialSendWindow = int64(s.Val)
			for _, st := range c.streams {
				if st.sendWindow += delta; st.sendWindow > 1<<31-1 {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
			}
			c.changed.Broadcast()
		case http2.SettingMaxFrameSize:
			c.maxSendFrameSize = min(int(s.Val), 64<<10)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.write(func() error {
		if v, ok := f.Value(http2.SettingHeaderTableSize); ok {
			c.headerEncoder.SetMaxDynamicTableSize(min(v, 4096))
		}
		return c.framer.WriteSettingsAck()
	})
}

func (c *conn) handleWindowUpdate(f *http2.WindowUpdateFrame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	if f.StreamID > c.lastStreamID || f.StreamID != 0 && f.StreamID%2 == 0 {
		return http2.ConnectionError(http2.ErrCodeProtocol) // the stream is idle (RFC 9113, 5.1)
	}
	// A WINDOW_UPDATE is charged only if too few body bytes were sent since the last ones.
	if c.windowUpdateCredit >= bytesPerWindowUpdate {
		c.windowUpdateCredit -= bytesPerWindowUpdate
	} else if err := c.chargeLocked(1); err != nil {
		return err
	}
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > 1<<31-1 {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
		return nil
	}
	if st := c.streams[f.StreamID]; st != nil {
		if st.sendWindow += int64(f.Increment); st.sendWindow > 1<<31-1 {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeFlowControl}
		}
	}
	return nil
}

// isIdle reports whether no stream with the ID was ever opened by the client.
func (c *conn) isIdle(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id > c.lastStreamID || id%2 == 0
}

// handleHeaders opens a stream or, if the frame holds trailers, ends a request body.
func (c *conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	id := f.StreamID
	c.mu.Lock()
	st, last, goingAway, full := c.streams[id], c.lastStreamID, c.goingAway, len(c.streams) >= c.server.options.MaxConcurrentStreams
	var opened *stream
	if st == nil && id > c.lastStreamID && id%2 == 1 && !goingAway {
		// From here on GOAWAY names the stream as accepted, so that the connection must not end without it.
		c.lastStreamID = id
		if !full {
			opened = c.openStreamLocked(id)
		}
	}
	c.mu.Unlock()
	switch {
	case st != nil: // trailers, which end the body
		if !f.StreamEnded() || len(f.PseudoFields()) > 0 {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		return c.finishBody(st)
	case id%2 == 0:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	case goingAway && id > last:
		return nil // not accepted, as GOAWAY has announced
	case id <= last:
		return http2.ConnectionError(http2.ErrCodeStreamClosed)
	case full:
		if err := c.chargeFrame(); err != nil {
			return err
		}
		return c.write(func() error { return c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
	}
	return c.beginRequest(opened, f)
}

// openStreamLocked adds a stream. c.mu must be held.
func (c *conn) openStreamLocked(id uint32) *stream {
	st := &stream{conn: c, id: id, contentLength: -1, abortSignal: make(chan struct{}), sendWindow: c.initialSendWindow,
		arrivedAt: pauseclock.ArrivalTime(c.netConn)}
	c.streams[id] = st
	c.setReadDeadlineLocked(time.Time{})
	return st
}

// beginRequest handles the header of a new stream.
func (c *conn) beginRequest(st *stream, f *http2.MetaHeadersFrame) error {
	status, detail := c.parseRequest(st, f)
	switch {
	case status < 0:
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	case status > 0:
		// The stream is claimed at once, so that the end of its body does not submit the request as well.
		if c.claim(st) {
			go c.reject(st, status, detail)
		}
		return nil
	case f.StreamEnded():
		return c.finishBody(st)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	st.bodyTimer = time.AfterFunc(c.server.options.BodyTimeout, func() {
		if c.claim(st) {
			c.reject(st, 408, "the time for the body is over")
		}
	})
	return nil
}

// parseRequest sets st.request and st.contentLength from the header fields. The status is 0 if
// the request is valid, -1 if it is malformed (RFC 9113, 8.1.1), and otherwise that of the
// response that rejects it.
func (c *conn) parseRequest(st *stream, f *http2.MetaHeadersFrame) (status int, detail string) {
	var scheme, path string
	for _, p := range f.PseudoFields() {
		switch p.Name {
		case ":method":
			st.request.Method = p.Value
		case ":path":
			path = p.Value
		case ":scheme":
			scheme = p.Value
		case ":authority":
			st.request.Host = p.Value
		default:
			return -1, ""
		}
	}
	if st.request.Method == "" || path == "" || scheme == "" || st.request.Method == "CONNECT" {
		return -1, ""
	}
	var cookies []string
	hosts := 0
	for _, h := range f.RegularFields() {
		switch h.Name {
		case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
			return -1, ""
		case "te":
			if h.Value != "trailers" {
				return -1, ""
			}
			continue
		case "host":
			if hosts++; hosts > 1 || st.request.Host != "" && st.request.Host != h.Value {
				return -1, ""
			}
			st.request.Host = h.Value
			continue
		case "content-length":
			n, err := strconv.ParseInt(h.Value, 10, 63)
			if err != nil || st.contentLength >= 0 && n != st.contentLength || strings.HasPrefix(h.Value, "+") || n > 0 && f.StreamEnded() {
				return -1, ""
			}
			st.contentLength = n
			continue
		case "cookie":
			cookies = append(cookies, h.Value)
			continue
		}
		field := http1.Field{Name: h.Name, Value: h.Value}
		if !field.Valid() {
			return -1, ""
		}
		st.request.Header.Add(h.Name, h.Value)
	}
	if len(cookies) > 0 {
		st.request.Header.Add("Cookie", strings.Join(cookies, "; "))
	}
	if st.request.Host == "" || strings.ContainsAny(st.request.Host, " \t,/@") {
		return -1, ""
	}
	for i := range len(path) {
		if ch := path[i]; ch <= ' ' || ch >= 0x7f || ch == '#' || ch == '\\' {
			return -1, ""
		}
	}
	st.request.Target = path
	switch {
	case f.Truncated || len(f.Fields) > c.server.options.MaxHeaderFields:
		return 431, "header larger than is taken"
	case path[0] != '/' && !(path == "*" && st.request.Method == "OPTIONS"):
		return -1, ""
	case st.contentLength > c.server.options.MaxRequestBody:
		return 413, "body longer than " + strconv.FormatInt(c.server.options.MaxRequestBody, 10) + " bytes"
	case strings.EqualFold(st.request.Header.Get("Expect"), "100-continue"):
		st.request.Header.Del("Expect")
	case st.request.Header.Has("Expect"):
		return 417, "expectation other than 100-continue"
	}
	return 0, ""
}

// claim reports whether the caller is to respond to a stream, and reserves the stream for it.
// The result is false if the stream was claimed before or was aborted.
func (c *conn) claim(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st.claimed || st.aborted {
		return false
	}
	st.claimed = true
	return true
}

// handleData adds the data to the request body. Data that is not needed any more is discarded.
func (c *conn) handleData(f *http2.DataFrame) error {
	n := int64(f.Length) // with the padding, which counts in flow control
	c.mu.Lock()
	c.unreturnedWindow += n
	st := c.streams[f.StreamID]
	isOpen := st != nil && !st.bodyComplete
	c.mu.Unlock()
	if c.isIdle(f.StreamID) {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	data := f.Data()
	if cost := 1.0; len(data) < smallDataBytes && !f.StreamEnded() {
		if len(data) > 0 {
			cost = smallDataCost
		}
		if err := c.charge(cost); err != nil {
			return err
		}
	}
	if !isOpen {
		c.returnWindow(0, 0)
		if st != nil {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeStreamClosed}
		}
		return nil // the stream has ended in the meantime
	}
	c.mu.Lock()
	tooLong := int64(len(st.body)+len(data)) > c.server.options.MaxRequestBody
	bufferFull := c.bufferedBodyBytes+int64(len(data)) > c.server.options.MaxBufferedBodyBytes
	discard := st.claimed || st.aborted
	if !tooLong && !bufferFull && !discard {
		st.body = append(st.body, data...)
		c.bufferedBodyBytes += int64(len(data))
	}
	c.mu.Unlock()
	switch {
	case discard:
	case st.contentLength >= 0 && int64(len(st.body)) > st.contentLength:
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	case tooLong:
		if c.claim(st) {
			go c.reject(st, 413, "body longer than "+strconv.FormatInt(c.server.options.MaxRequestBody, 10)+" bytes")
		}
	case bufferFull:
		// REFUSED_STREAM: the request was not handled, so the client may retry it.
		c.abortStream(st.id)
		c.returnWindow(0, 0)
		return c.write(func() error { return c.framer.WriteRSTStream(st.id, http2.ErrCodeRefusedStream) })
	}
	if f.StreamEnded() {
		c.returnWindow(0, 0)
		return c.finishBody(st)
	}
	return c.returnWindow(st.id, n)
}

// returnWindow returns n bytes to the window of a stream. It also returns the bytes received to
// the connection's window, once they are a quarter of it.
func (c *conn) returnWindow(id uint32, n int64) error {
	c.mu.Lock()
	connBytes := c.unreturnedWindow
	if connBytes < initialWindow/4 {
		connBytes = 0
	}
	c.unreturnedWindow -= connBytes
	c.mu.Unlock()
	if connBytes == 0 && n == 0 {
		return nil
	}
	return c.write(func() error {
		if connBytes > 0 {
			if err := c.framer.WriteWindowUpdate(0, uint32(connBytes)); err != nil {
				return err
			}
		}
		if n > 0 {
			return c.framer.WriteWindowUpdate(id, uint32(n))
		}
		return nil
	})
}

// finishBody is called at the end of a request. It starts the handling of the request, unless
// the stream was claimed before.
func (c *conn) finishBody(st *stream) error {
	if !c.markBodyComplete(st) {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeStreamClosed}
	}
	if st.contentLength >= 0 && int64(len(st.body)) != st.contentLength {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	if c.claim(st) {
		st.request.Body = st.body
		go c.handleRequest(st)
	}
	return nil
}

// markBodyComplete records that the end of a request was received. It returns false if that was recorded before.
func (c *conn) markBodyComplete(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st.bodyComplete {
		return false
	}
	st.bodyComplete = true
	if st.bodyTimer != nil {
		st.bodyTimer.Stop()
	}
	return true
}

// hasCompleteBody reports whether the end of a request was received.
func (c *conn) hasCompleteBody(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return st.bodyComplete
}

// abortStream aborts the stream with the ID, if there is one.
func (c *conn) abortStream(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[id]; st != nil {
		c.abortLocked(st)
	}
}

// abortLocked aborts a stream. If a goroutine responds to the stream, that goroutine removes it.
// c.mu must be held.
func (c *conn) abortLocked(st *stream) {
	if st.aborted {
		return
	}
	st.aborted = true
	close(st.abortSignal)
	if st.bodyTimer != nil {
		st.bodyTimer.Stop()
	}
	c.changed.Broadcast()
	if !st.claimed {
		st.claimed = true
		c.removeLocked(st)
	}
}

// removeLocked removes a stream. When the last one is removed, it starts the idle timeout or, if
// the connection has drained, ends it. c.mu must be held.
func (c *conn) removeLocked(st *stream) {
	if c.streams[st.id] != st {
		return
	}
	delete(c.streams, st.id)
	c.bufferedBodyBytes -= int64(len(st.body))
	if len(c.streams) == 0 {
		c.setReadDeadlineLocked(time.Now().Add(c.server.options.IdleTimeout))
		c.endIfDrainedLocked()
	}
	c.changed.Broadcast()
}

// handleRequest submits a request to the node and writes the final response.
func (c *conn) handleRequest(st *stream) {
	o := &c.server.options
	request, early := o.Mapper.Admit(st.request, o.TracePrefix+"-"+strconv.FormatUint(c.server.traceCounter.Add(1), 36))
	var final node.FinalResponse
	if early != nil {
		final = *early
		o.Log.Info("answer", "answer", final.Kind.String(), "trace", request.Trace, "class", request.Class, "customer", request.Customer,
			"reason", string(final.Reason), "detail", final.Detail)
	} else {
		request.ClientAddress, request.LocalAddress = c.netConn.RemoteAddr().String(), c.netConn.LocalAddr().String()
		request.Arrived = st.arrivedAt
		request.Client = st
		finalResponses := make(chan node.FinalResponse, 1)
		disconnected := o.Node.Submit(request, func(final node.FinalResponse) { finalResponses <- final })
		select {
		case final = <-finalResponses:
		case <-st.abortSignal:
			disconnected()
			final = <-finalResponses // the node always replies
		}
		if st.isAborted() || final.Reason == node.ReasonClientDisconnected {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.removeLocked(st)
			return
		}
	}
	c.respond(st, o.Mapper.Render(request, final))
}

// isAborted reports whether the stream is reset, timed out, or ended with its connection.
func (s *stream) isAborted() bool {
	select {
	case <-s.abortSignal:
		return true
	default:
		return false
	}
}

// maxReceiveWait is how long AwaitReceived waits at most. A connection on which more arrives than is handled would
// hold up its requests for this long.
const maxReceiveWait = 5 * time.Millisecond

// AwaitReceived waits until the frames that the client has sent by now are handled: one may reset the stream.
func (s *stream) AwaitReceived() { pauseclock.AwaitRead(s.conn.netConn, maxReceiveWait) }

// Disconnected reports whether the stream is aborted or the client has closed the connection.
func (s *stream) Disconnected() bool { return s.isAborted() || pauseclock.PeerClosed(s.conn.netConn) }

// reject responds to a request that is not submitted to the node. The caller has claimed the stream.
func (c *conn) reject(st *stream, status int, detail string) {
	reason := node.ReasonBadRequest
	if status == 413 {
		reason = node.ReasonTooLarge
	}
	c.server.options.Log.Info("answer", "answer", node.Rejected.String(), "reason", string(reason), "detail", detail,
		"client", c.netConn.RemoteAddr().String())
	res := c.server.options.Mapper.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: reason, Detail: detail})
	res.Status = status
	c.respond(st, res)
}

// respond writes a response, as the client's flow-control windows allow, within the write
// timeout. Then it removes the stream.
func (c *conn) respond(st *stream, res *node.Response) {
	body := res.Body
	if st.request.Method == "HEAD" || res.Status == 204 || res.Status == 304 {
		body = nil
	}
	err := c.write(func() error {
		c.mu.Lock()
		aborted := st.aborted
		c.mu.Unlock()
		if aborted {
			return nil
		}
		c.headerBuffer.Reset()
		c.headerEncoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(res.Status)})
		for _, f := range res.Header {
			c.headerEncoder.WriteField(hpack.HeaderField{Name: strings.ToLower(f.Name), Value: f.Value})
		}
		if res.Status != 204 && res.Status != 304 && st.request.Method != "HEAD" {
			c.headerEncoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(body))})
		}
		return h2.WriteHeaderBlock(c.framer, st.id, c.headerBuffer.Bytes(), len(body) == 0)
	})
	if err == nil && len(body) > 0 {
		timer := time.AfterFunc(c.server.options.WriteTimeout, func() {
			c.mu.Lock()
			timedOut := c.streams[st.id] == st && !st.aborted
			if timedOut {
				c.abortLocked(st)
			}
			c.mu.Unlock()
			if timedOut {
				c.write(func() error { return c.framer.WriteRSTStream(st.id, http2.ErrCodeCancel) })
			}
		})
		c.sendBody(st, body)
		timer.Stop()
	}
	if err == nil && !c.hasCompleteBody(st) {
		// The request was not received completely: with NO_ERROR after the response, the client
		// need not send the rest (RFC 9113, 8.1).
		c.write(func() error { return c.framer.WriteRSTStream(st.id, http2.ErrCodeNo) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(st)
}

// sendBody writes a response body, and waits for the windows where necessary. It stops if the
// stream is aborted or the connection ends.
func (c *conn) sendBody(st *stream, body []byte) {
	for len(body) > 0 {
		c.mu.Lock()
		for !st.aborted && !c.ended && (st.sendWindow <= 0 || c.sendWindow <= 0) {
			c.changed.Wait()
		}
		if st.aborted || c.ended {
			c.mu.Unlock()
			return
		}
		n := int(min(int64(len(body)), st.sendWindow, c.sendWindow, int64(c.maxSendFrameSize)))
		st.sendWindow, c.sendWindow = st.sendWindow-int64(n), c.sendWindow-int64(n)
		c.windowUpdateCredit += int64(n)
		c.mu.Unlock()
		part := body[:n]
		body = body[n:]
		if c.write(func() error { return c.framer.WriteData(st.id, len(body) == 0, part) }) != nil {
			return
		}
	}
}
