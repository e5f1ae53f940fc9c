// Package http2 is the front for clients over HTTP/2 (RFC 9113), on cleartext by
// prior knowledge or behind TLS. It shares all but the protocol with HTTP/1.1.
package http2

import (
	"bytes"
	"context"
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

// Handler takes tries; a *node.Node is one.
type Handler interface {
	Submit(t *node.Request, reply func(node.FinalResponse)) (gone func())
}

// Options is what a Server is made of.
type Options struct {
	Node        Handler
	Mapper      *intake.Mapper
	Log         *slog.Logger
	TracePrefix string // begins the traces of requests that bring none

	MaxHeaderBytes       int           // of one header list, as RFC 9113 counts it
	MaxHeaderFields      int           // of one header list
	MaxRequestBody       int64         // bytes of a request's body
	MaxBufferedBodyBytes int64         // bytes of bodies held for one connection
	MaxConcurrentStreams int           // open at once on one connection
	FrameBudget          int           // frames that bring nothing: so many at once, a tenth of it a second; see docs/frames.md
	HeaderTimeout        time.Duration // for the preface
	BodyTimeout          time.Duration // from a stream's header to its whole body
	IdleTimeout          time.Duration // a connection without a stream is closed after it
	WriteTimeout         time.Duration // for a client to take an answer
	MaxConnections       int
}

// Server serves connections.
type Server struct {
	options    Options
	mu         sync.Mutex
	conns      map[*conn]bool
	draining   bool
	serving    sync.WaitGroup
	traceCount atomic.Uint64
}

// New returns a Server.
func New(o Options) *Server { return &Server{options: o, conns: map[*conn]bool{}} }

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return network.AcceptLoop(l, s.options.Log, s.ServeConn)
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(nc net.Conn) {
	defer nc.Close()
	c := &conn{server: s, netConn: nc, streams: map[uint32]*stream{}, sendWindow: initialWindow, peerInitialWindow: initialWindow,
		peerMaxFrameSize: h2.DefaultMaxFrameSize, frameBudget: float64(s.options.FrameBudget), budgetUpdatedAt: time.Now()}
	c.changed, c.writeLock = sync.NewCond(&c.mu), h2.NewLock()
	s.mu.Lock()
	full := s.draining || len(s.conns) >= s.options.MaxConnections
	if !full {
		s.conns[c] = true
		s.serving.Add(1)
	}
	s.mu.Unlock()
	if full {
		return
	}
	c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.serving.Done()
}

// Drain tells clients by GOAWAY which streams are taken, and waits until those
// are answered; when the context ends the connections are cut.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	for c := range s.conns {
		go c.sendGoAway(http2.ErrCodeNo, "draining")
	}
	s.mu.Unlock()
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

const (
	initialWindow = 65535 // before settings; RFC 9113, 6.9.2
	streamWindow  = 64 << 10

	maxContinuations     = 16  // frames of one header block after its first
	smallDataBytes       = 256 // bytes of a DATA frame below which it costs a part of the allowance
	smallDataCost        = 0.125
	bytesPerWindowUpdate = 256 // bytes sent that pay for one WINDOW_UPDATE
)

type conn struct {
	server  *Server
	netConn net.Conn
	framer  *http2.Framer

	writeLock     h2.Lock // over writes
	headerBuffer  bytes.Buffer
	headerEncoder *hpack.Encoder

	mu                 sync.Mutex
	changed            *sync.Cond
	streams            map[uint32]*stream
	lastStreamID       uint32 // highest stream taken
	goAwaySent         bool   // GOAWAY was sent: nothing above last is taken
	ended              bool
	sendWindow         int64 // bytes that may be sent on all streams
	peerInitialWindow  int64 // and on a new one
	peerMaxFrameSize   int   // bytes in one frame
	bufferedBodyBytes  int64 // bytes of bodies held
	unreturnedWindow   int64 // of the connection's window, to be given back
	windowUpdateCredit int64 // bytes of bodies sent that no WINDOW_UPDATE has drawn on
	frameBudget        float64
	budgetUpdatedAt    time.Time
}

// stream is one request.
type stream struct {
	id            uint32
	arrivedAt     time.Time // when its header arrived
	request       node.HTTPRequest
	contentLength int64 // of the body as announced; -1: not
	body          []byte
	bodyComplete  bool
	sendWindow    int64 // bytes that may be sent on it
	aborted       bool  // reset, or its connection ended
	abortSignal   chan struct{}
	bodyTimer     *time.Timer // for the body
	claimed       bool        // put to the node
}

func (c *conn) serve() {
	o := &c.server.options
	c.netConn.SetDeadline(time.Now().Add(o.HeaderTimeout))
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c.netConn, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	c.framer = http2.NewFramer(c.netConn, &frameInspector{reader: c.netConn, maxContinuations: maxContinuations, onHeaderBlock: c.setHeaderBlockDeadline})
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
	for err == nil {
		var f http2.Frame
		if f, err = c.framer.ReadFrame(); err == nil {
			err = c.handleFrame(f)
		}
		var se http2.StreamError
		if errors.As(err, &se) {
			// A malformed stream takes none with it, but it is not to be had for nothing.
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
		c.changed.Wait() // the node has its last word in any case
	}
	c.mu.Unlock()
	if ce != 0 {
		c.linger()
	}
}

// write makes one write, one at a time, in its time.
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

// sendGoAway says that no stream above the last taken one will be served, and closes
// the connection once those are.
func (c *conn) sendGoAway(code http2.ErrCode, why string) {
	c.mu.Lock()
	first, last := !c.goAwaySent, c.lastStreamID
	c.goAwaySent, c.ended = true, c.ended || code != http2.ErrCodeNo
	empty := len(c.streams) == 0
	ready := c.framer != nil
	c.mu.Unlock()
	if ready && first {
		c.write(func() error { return c.framer.WriteGoAway(last, code, []byte(why)) })
	}
	if empty && code == http2.ErrCodeNo {
		c.netConn.Close()
	}
}

// linger lets the client read a GOAWAY: closing with unread bytes would reset the
// connection.
func (c *conn) linger() {
	const most = 1 << 20
	if w, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		w.CloseWrite()
	}
	c.netConn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	io.CopyN(io.Discard, c.netConn, most)
}

// chargeFrame counts what costs a client nothing and the server something: a little
// of it is normal, a flood ends the connection.
func (c *conn) chargeFrame() error { return c.charge(1) }

// charge takes a part of the allowance.
func (c *conn) charge(much float64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chargeLocked(much)
}

// setHeaderBlockDeadline bounds the time of a header block that is more than one frame.
func (c *conn) setHeaderBlockDeadline(begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case begins:
		c.netConn.SetReadDeadline(time.Now().Add(c.server.options.HeaderTimeout))
	case len(c.streams) > 0:
		c.netConn.SetReadDeadline(time.Time{})
	default:
		c.netConn.SetReadDeadline(time.Now().Add(c.server.options.IdleTimeout))
	}
}

// chargeLocked is costs under c.mu.
func (c *conn) chargeLocked(much float64) error {
	most := float64(c.server.options.FrameBudget)
	now := time.Now()
	c.frameBudget = min(most, c.frameBudget+most/10*now.Sub(c.budgetUpdatedAt).Seconds())
	c.budgetUpdatedAt = now
	if c.frameBudget < much {
		return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	c.frameBudget -= much
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
			return err // none was asked for
		}
		return c.write(func() error { return c.framer.WritePing(true, f.Data) })
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	case *http2.GoAwayFrame:
		return c.chargeFrame() // the client opens no more; what is open is answered
	}
	return c.chargeFrame() // priorities and unknown frames
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
			d := int64(s.Val) - c.peerInitialWindow
			c.peerInitialWindow = int64(s.Val)
			for _, st := range c.streams {
				if st.sendWindow += d; st.sendWindow > 1<<31-1 {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
			}
			c.changed.Broadcast()
		case http2.SettingMaxFrameSize:
			c.peerMaxFrameSize = min(int(s.Val), 64<<10)
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
		return http2.ConnectionError(http2.ErrCodeProtocol) // idle; RFC 9113, 5.1
	}
	// One follows from what was sent; others cost.
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

// isIdle tells whether no stream of a number was ever opened.
func (c *conn) isIdle(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id > c.lastStreamID || id%2 == 0
}

// handleHeaders opens a stream.
func (c *conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	id := f.StreamID
	c.mu.Lock()
	st, last, away, full := c.streams[id], c.lastStreamID, c.goAwaySent, len(c.streams) >= c.server.options.MaxConcurrentStreams
	if st == nil && id > c.lastStreamID && id%2 == 1 && !away {
		c.lastStreamID = id
	}
	c.mu.Unlock()
	switch {
	case st != nil: // trailers end a body
		if !f.StreamEnded() || len(f.PseudoFields()) > 0 {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		return c.finishBody(st)
	case id%2 == 0:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	case away && id > last:
		return nil // said not to be taken
	case id <= last:
		return http2.ConnectionError(http2.ErrCodeStreamClosed)
	case full:
		if err := c.chargeFrame(); err != nil {
			return err
		}
		return c.write(func() error { return c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
	}
	st = &stream{id: id, contentLength: -1, abortSignal: make(chan struct{}), arrivedAt: pauseclock.ArrivalTime(c.netConn)}
	status, why := c.parseRequest(st, f)
	if status < 0 {
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
	}
	c.mu.Lock()
	st.sendWindow = c.peerInitialWindow
	c.streams[id] = st
	c.netConn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if status > 0 {
		go c.reject(st, status, why)
		return nil
	}
	if f.StreamEnded() {
		return c.finishBody(st)
	}
	st.bodyTimer = time.AfterFunc(c.server.options.BodyTimeout, func() {
		if c.claim(st) {
			c.reject(st, 408, "the time for the body is over")
		}
	})
	return nil
}

// parseRequest reads a request's fields. The status is 0 where they are good, -1 where
// the stream is malformed (RFC 9113, 8.1.1), else what it is answered with.
func (c *conn) parseRequest(st *stream, f *http2.MetaHeadersFrame) (status int, why string) {
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

// claim takes a stream for one that answers it; false where another has, or it
// is dead.
func (c *conn) claim(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st.claimed || st.aborted {
		return false
	}
	st.claimed = true
	return true
}

func (c *conn) handleData(f *http2.DataFrame) error {
	n := int64(f.Length) // padding counts in flow control
	c.mu.Lock()
	c.unreturnedWindow += n
	st := c.streams[f.StreamID]
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
	if st == nil || st.bodyComplete {
		c.returnWindow(0, 0)
		if st != nil {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeStreamClosed}
		}
		return nil // reset in the meantime
	}
	c.mu.Lock()
	over := int64(len(st.body)+len(data)) > c.server.options.MaxRequestBody
	full := c.bufferedBodyBytes+int64(len(data)) > c.server.options.MaxBufferedBodyBytes
	taken := st.claimed || st.aborted
	if !over && !full && !taken {
		st.body = append(st.body, data...)
		c.bufferedBodyBytes += int64(len(data))
	}
	c.mu.Unlock()
	switch {
	case taken:
	case st.contentLength >= 0 && int64(len(st.body)) > st.contentLength:
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	case over:
		if c.claim(st) {
			go c.reject(st, 413, "body longer than "+strconv.FormatInt(c.server.options.MaxRequestBody, 10)+" bytes")
		}
	case full:
		// Nothing ran: the client may send it again.
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

// returnWindow opens the windows again for what was taken in.
func (c *conn) returnWindow(id uint32, n int64) error {
	c.mu.Lock()
	owed := c.unreturnedWindow
	if owed < initialWindow/4 {
		owed = 0
	}
	c.unreturnedWindow -= owed
	c.mu.Unlock()
	if owed == 0 && n == 0 {
		return nil
	}
	return c.write(func() error {
		if owed > 0 {
			if err := c.framer.WriteWindowUpdate(0, uint32(owed)); err != nil {
				return err
			}
		}
		if n > 0 {
			return c.framer.WriteWindowUpdate(id, uint32(n))
		}
		return nil
	})
}

// finishBody puts a whole request to the node.
func (c *conn) finishBody(st *stream) error {
	if st.bodyComplete {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeStreamClosed}
	}
	st.bodyComplete = true
	if st.bodyTimer != nil {
		st.bodyTimer.Stop()
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

// abortStream kills a stream that its client has reset, or that is malformed.
func (c *conn) abortStream(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[id]; st != nil {
		c.abortLocked(st)
	}
}

// abortLocked marks a stream as dead; who answers it takes it out. Under c.mu.
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

// removeLocked takes a stream out. Under c.mu.
func (c *conn) removeLocked(st *stream) {
	if c.streams[st.id] != st {
		return
	}
	delete(c.streams, st.id)
	c.bufferedBodyBytes -= int64(len(st.body))
	if len(c.streams) == 0 {
		c.netConn.SetReadDeadline(time.Now().Add(c.server.options.IdleTimeout))
		if c.goAwaySent && !c.ended {
			c.netConn.Close()
		}
	}
	c.changed.Broadcast()
}

// handleRequest has a request decided on and writes its handleRequest.
func (c *conn) handleRequest(st *stream) {
	o := &c.server.options
	t, early := o.Mapper.Admit(st.request, o.TracePrefix+"-"+strconv.FormatUint(c.server.traceCount.Add(1), 36))
	var a node.FinalResponse
	if early != nil {
		a = *early
		o.Log.Info("answer", "answer", a.Kind.String(), "trace", t.Trace, "class", t.Class, "customer", t.Customer,
			"reason", string(a.Reason), "detail", a.Detail)
	} else {
		t.ClientAddress, t.LocalAddress = c.netConn.RemoteAddr().String(), c.netConn.LocalAddr().String()
		t.Arrived = st.arrivedAt
		answers := make(chan node.FinalResponse, 1)
		gone := o.Node.Submit(t, func(a node.FinalResponse) { answers <- a })
		select {
		case a = <-answers:
		case <-st.abortSignal:
			gone()
			<-answers // the node has its last word in any case
			c.mu.Lock()
			defer c.mu.Unlock()
			c.removeLocked(st)
			return
		}
	}
	c.respond(st, o.Mapper.Render(t, a))
}

// reject answers what the node is not asked about.
func (c *conn) reject(st *stream, status int, why string) {
	c.claim(st)
	reason := node.ReasonBadRequest
	if status == 413 {
		reason = node.ReasonTooLarge
	}
	c.server.options.Log.Info("answer", "answer", node.Rejected.String(), "reason", string(reason), "detail", why,
		"client", c.netConn.RemoteAddr().String())
	res := c.server.options.Mapper.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: reason, Detail: why})
	res.Status = status
	c.respond(st, res)
}

// respond writes a response, as the client's windows allow, in its time.
func (c *conn) respond(st *stream, res *node.Response) {
	body := res.Body
	if st.request.Method == "HEAD" || res.Status == 204 || res.Status == 304 {
		body = nil
	}
	err := c.write(func() error {
		c.mu.Lock()
		dead := st.aborted
		c.mu.Unlock()
		if dead {
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
			late := c.streams[st.id] == st && !st.aborted
			if late {
				c.abortLocked(st)
			}
			c.mu.Unlock()
			if late {
				c.write(func() error { return c.framer.WriteRSTStream(st.id, http2.ErrCodeCancel) })
			}
		})
		c.sendBody(st, body)
		timer.Stop()
	}
	if err == nil && !st.bodyComplete {
		// Answered before its body was read: the client need not send the rest.
		c.write(func() error { return c.framer.WriteRSTStream(st.id, http2.ErrCodeNo) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(st)
}

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
		n := int(min(int64(len(body)), st.sendWindow, c.sendWindow, int64(c.peerMaxFrameSize)))
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
