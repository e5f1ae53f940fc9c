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
	Mapper      *intake.Intake
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
	o       Options
	mu      sync.Mutex
	conns   map[*conn]bool
	closing bool
	done    sync.WaitGroup
	traces  atomic.Uint64
}

// New returns a Server.
func New(o Options) *Server { return &Server{o: o, conns: map[*conn]bool{}} }

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return network.AcceptLoop(l, s.o.Log, s.ServeConn)
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(nc net.Conn) {
	defer nc.Close()
	c := &conn{s: s, nc: nc, streams: map[uint32]*stream{}, sendWindow: initialWindow, peerWindow: initialWindow,
		peerFrame: h2.DefaultMaxFrameSize, abuse: float64(s.o.FrameBudget), abuseAt: time.Now()}
	c.cond, c.wmu = sync.NewCond(&c.mu), h2.NewLock()
	s.mu.Lock()
	full := s.closing || len(s.conns) >= s.o.MaxConnections
	if !full {
		s.conns[c] = true
		s.done.Add(1)
	}
	s.mu.Unlock()
	if full {
		return
	}
	c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.done.Done()
}

// Drain tells clients by GOAWAY which streams are taken, and waits until those
// are answered; when the context ends the connections are cut.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		go c.goAway(http2.ErrCodeNo, "draining")
	}
	s.mu.Unlock()
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

const (
	initialWindow = 65535 // before settings; RFC 9113, 6.9.2
	streamWindow  = 64 << 10

	continuations = 16  // frames of one header block after its first
	smallData     = 256 // bytes of a DATA frame below which it costs a part of the allowance
	smallCost     = 0.125
	windowFor     = 256 // bytes sent that pay for one WINDOW_UPDATE
)

type conn struct {
	s  *Server
	nc net.Conn
	fr *http2.Framer

	wmu  h2.Lock // over writes
	hbuf bytes.Buffer
	henc *hpack.Encoder

	mu         sync.Mutex
	cond       *sync.Cond
	streams    map[uint32]*stream
	last       uint32 // highest stream taken
	away       bool   // GOAWAY was sent: nothing above last is taken
	ended      bool
	sendWindow int64 // bytes that may be sent on all streams
	peerWindow int64 // and on a new one
	peerFrame  int   // bytes in one frame
	held       int64 // bytes of bodies held
	owed       int64 // of the connection's window, to be given back
	sent       int64 // bytes of bodies sent that no WINDOW_UPDATE has drawn on
	abuse      float64
	abuseAt    time.Time
}

// stream is one request.
type stream struct {
	id     uint32
	began  time.Time // when its header arrived
	call   node.HTTPRequest
	size   int64 // of the body as announced; -1: not
	body   []byte
	whole  bool
	send   int64 // bytes that may be sent on it
	dead   bool  // reset, or its connection ended
	gone   chan struct{}
	timer  *time.Timer // for the body
	opened bool        // put to the node
}

func (c *conn) serve() {
	o := &c.s.o
	c.nc.SetDeadline(time.Now().Add(o.HeaderTimeout))
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c.nc, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	c.fr = http2.NewFramer(c.nc, &meter{r: c.nc, most: continuations, block: c.blockTime})
	c.fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.fr.MaxHeaderListSize = uint32(o.MaxHeaderBytes)
	c.fr.SetMaxReadFrameSize(h2.DefaultMaxFrameSize)
	c.henc = hpack.NewEncoder(&c.hbuf)
	err := c.write(func() error {
		return c.fr.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(o.MaxConcurrentStreams)},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(o.MaxHeaderBytes)},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow}, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
	})
	c.nc.SetDeadline(time.Now().Add(o.IdleTimeout))
	for err == nil {
		var f http2.Frame
		if f, err = c.fr.ReadFrame(); err == nil {
			err = c.frame(f)
		}
		var se http2.StreamError
		if errors.As(err, &se) {
			// A malformed stream takes none with it, but it is not to be had for nothing.
			c.end(se.StreamID)
			if err = c.misuse(); err == nil {
				err = c.write(func() error { return c.fr.WriteRSTStream(se.StreamID, se.Code) })
			}
		}
	}
	if errors.Is(err, http2.ErrFrameTooLarge) {
		err = http2.ConnectionError(http2.ErrCodeFrameSize)
	}
	var ce http2.ConnectionError
	if errors.As(err, &ce) {
		c.goAway(http2.ErrCode(ce), "")
	}
	c.mu.Lock()
	c.ended = true
	for _, st := range c.streams {
		c.kill(st)
	}
	for len(c.streams) > 0 {
		c.cond.Wait() // the node has its last word in any case
	}
	c.mu.Unlock()
	if ce != 0 {
		c.linger()
	}
}

// write makes one write, one at a time, in its time.
func (c *conn) write(f func() error) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(c.s.o.WriteTimeout))
	err := f()
	if err != nil {
		c.nc.Close()
	}
	return err
}

// goAway says that no stream above the last taken one will be served, and closes
// the connection once those are.
func (c *conn) goAway(code http2.ErrCode, why string) {
	c.mu.Lock()
	first, last := !c.away, c.last
	c.away, c.ended = true, c.ended || code != http2.ErrCodeNo
	empty := len(c.streams) == 0
	ready := c.fr != nil
	c.mu.Unlock()
	if ready && first {
		c.write(func() error { return c.fr.WriteGoAway(last, code, []byte(why)) })
	}
	if empty && code == http2.ErrCodeNo {
		c.nc.Close()
	}
}

// linger lets the client read a GOAWAY: closing with unread bytes would reset the
// connection.
func (c *conn) linger() {
	const most = 1 << 20
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok {
		w.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	io.CopyN(io.Discard, c.nc, most)
}

// misuse counts what costs a client nothing and the server something: a little
// of it is normal, a flood ends the connection.
func (c *conn) misuse() error { return c.costs(1) }

// costs takes a part of the allowance.
func (c *conn) costs(much float64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draw(much)
}

// blockTime bounds the time of a header block that is more than one frame.
func (c *conn) blockTime(begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case begins:
		c.nc.SetReadDeadline(time.Now().Add(c.s.o.HeaderTimeout))
	case len(c.streams) > 0:
		c.nc.SetReadDeadline(time.Time{})
	default:
		c.nc.SetReadDeadline(time.Now().Add(c.s.o.IdleTimeout))
	}
}

// draw is costs under c.mu.
func (c *conn) draw(much float64) error {
	most := float64(c.s.o.FrameBudget)
	now := time.Now()
	c.abuse = min(most, c.abuse+most/10*now.Sub(c.abuseAt).Seconds())
	c.abuseAt = now
	if c.abuse < much {
		return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	c.abuse -= much
	return nil
}

func (c *conn) frame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.headers(f)
	case *http2.DataFrame:
		return c.data(f)
	case *http2.WindowUpdateFrame:
		return c.windowUpdate(f)
	case *http2.RSTStreamFrame:
		if c.idle(f.StreamID) {
			return http2.ConnectionError(http2.ErrCodeProtocol) // RFC 9113, 6.4
		}
		c.end(f.StreamID)
		return c.misuse()
	case *http2.SettingsFrame:
		return c.settings(f)
	case *http2.PingFrame:
		if err := c.misuse(); err != nil || f.IsAck() {
			return err // none was asked for
		}
		return c.write(func() error { return c.fr.WritePing(true, f.Data) })
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	case *http2.GoAwayFrame:
		return c.misuse() // the client opens no more; what is open is answered
	}
	return c.misuse() // priorities and unknown frames
}

func (c *conn) settings(f *http2.SettingsFrame) error {
	if err := c.misuse(); err != nil || f.IsAck() {
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
			d := int64(s.Val) - c.peerWindow
			c.peerWindow = int64(s.Val)
			for _, st := range c.streams {
				if st.send += d; st.send > 1<<31-1 {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
			}
			c.cond.Broadcast()
		case http2.SettingMaxFrameSize:
			c.peerFrame = min(int(s.Val), 64<<10)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.write(func() error {
		if v, ok := f.Value(http2.SettingHeaderTableSize); ok {
			c.henc.SetMaxDynamicTableSize(min(v, 4096))
		}
		return c.fr.WriteSettingsAck()
	})
}

func (c *conn) windowUpdate(f *http2.WindowUpdateFrame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.cond.Broadcast()
	if f.StreamID > c.last || f.StreamID != 0 && f.StreamID%2 == 0 {
		return http2.ConnectionError(http2.ErrCodeProtocol) // idle; RFC 9113, 5.1
	}
	// One follows from what was sent; others cost.
	if c.sent >= windowFor {
		c.sent -= windowFor
	} else if err := c.draw(1); err != nil {
		return err
	}
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > 1<<31-1 {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
		return nil
	}
	if st := c.streams[f.StreamID]; st != nil {
		if st.send += int64(f.Increment); st.send > 1<<31-1 {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeFlowControl}
		}
	}
	return nil
}

// idle tells whether no stream of a number was ever opened.
func (c *conn) idle(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id > c.last || id%2 == 0
}

// headers opens a stream.
func (c *conn) headers(f *http2.MetaHeadersFrame) error {
	id := f.StreamID
	c.mu.Lock()
	st, last, away, full := c.streams[id], c.last, c.away, len(c.streams) >= c.s.o.MaxConcurrentStreams
	if st == nil && id > c.last && id%2 == 1 && !away {
		c.last = id
	}
	c.mu.Unlock()
	switch {
	case st != nil: // trailers end a body
		if !f.StreamEnded() || len(f.PseudoFields()) > 0 {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		return c.bodyEnds(st)
	case id%2 == 0:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	case away && id > last:
		return nil // said not to be taken
	case id <= last:
		return http2.ConnectionError(http2.ErrCodeStreamClosed)
	case full:
		if err := c.misuse(); err != nil {
			return err
		}
		return c.write(func() error { return c.fr.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
	}
	st = &stream{id: id, size: -1, gone: make(chan struct{}), began: pauseclock.ArrivalTime(c.nc)}
	status, why := c.call(st, f)
	if status < 0 {
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
	}
	c.mu.Lock()
	st.send = c.peerWindow
	c.streams[id] = st
	c.nc.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if status > 0 {
		go c.refuse(st, status, why)
		return nil
	}
	if f.StreamEnded() {
		return c.bodyEnds(st)
	}
	st.timer = time.AfterFunc(c.s.o.BodyTimeout, func() {
		if c.claim(st) {
			c.refuse(st, 408, "the time for the body is over")
		}
	})
	return nil
}

// call reads a request's fields. The status is 0 where they are good, -1 where
// the stream is malformed (RFC 9113, 8.1.1), else what it is answered with.
func (c *conn) call(st *stream, f *http2.MetaHeadersFrame) (status int, why string) {
	var scheme, path string
	for _, p := range f.PseudoFields() {
		switch p.Name {
		case ":method":
			st.call.Method = p.Value
		case ":path":
			path = p.Value
		case ":scheme":
			scheme = p.Value
		case ":authority":
			st.call.Host = p.Value
		default:
			return -1, ""
		}
	}
	if st.call.Method == "" || path == "" || scheme == "" || st.call.Method == "CONNECT" {
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
			if hosts++; hosts > 1 || st.call.Host != "" && st.call.Host != h.Value {
				return -1, ""
			}
			st.call.Host = h.Value
			continue
		case "content-length":
			n, err := strconv.ParseInt(h.Value, 10, 63)
			if err != nil || st.size >= 0 && n != st.size || strings.HasPrefix(h.Value, "+") || n > 0 && f.StreamEnded() {
				return -1, ""
			}
			st.size = n
			continue
		case "cookie":
			cookies = append(cookies, h.Value)
			continue
		}
		field := http1.Field{Name: h.Name, Value: h.Value}
		if !field.Valid() {
			return -1, ""
		}
		st.call.Header.Add(h.Name, h.Value)
	}
	if len(cookies) > 0 {
		st.call.Header.Add("Cookie", strings.Join(cookies, "; "))
	}
	if st.call.Host == "" || strings.ContainsAny(st.call.Host, " \t,/@") {
		return -1, ""
	}
	for i := range len(path) {
		if ch := path[i]; ch <= ' ' || ch >= 0x7f || ch == '#' || ch == '\\' {
			return -1, ""
		}
	}
	st.call.Target = path
	switch {
	case f.Truncated || len(f.Fields) > c.s.o.MaxHeaderFields:
		return 431, "header larger than is taken"
	case path[0] != '/' && !(path == "*" && st.call.Method == "OPTIONS"):
		return -1, ""
	case st.size > c.s.o.MaxRequestBody:
		return 413, "body longer than " + strconv.FormatInt(c.s.o.MaxRequestBody, 10) + " bytes"
	case strings.EqualFold(st.call.Header.Get("Expect"), "100-continue"):
		st.call.Header.Del("Expect")
	case st.call.Header.Has("Expect"):
		return 417, "expectation other than 100-continue"
	}
	return 0, ""
}

// claim takes a stream for one that answers it; false where another has, or it
// is dead.
func (c *conn) claim(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st.opened || st.dead {
		return false
	}
	st.opened = true
	return true
}

func (c *conn) data(f *http2.DataFrame) error {
	n := int64(f.Length) // padding counts in flow control
	c.mu.Lock()
	c.owed += n
	st := c.streams[f.StreamID]
	c.mu.Unlock()
	if c.idle(f.StreamID) {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	data := f.Data()
	if cost := 1.0; len(data) < smallData && !f.StreamEnded() {
		if len(data) > 0 {
			cost = smallCost
		}
		if err := c.costs(cost); err != nil {
			return err
		}
	}
	if st == nil || st.whole {
		c.giveBack(0, 0)
		if st != nil {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeStreamClosed}
		}
		return nil // reset in the meantime
	}
	c.mu.Lock()
	over := int64(len(st.body)+len(data)) > c.s.o.MaxRequestBody
	full := c.held+int64(len(data)) > c.s.o.MaxBufferedBodyBytes
	taken := st.opened || st.dead
	if !over && !full && !taken {
		st.body = append(st.body, data...)
		c.held += int64(len(data))
	}
	c.mu.Unlock()
	switch {
	case taken:
	case st.size >= 0 && int64(len(st.body)) > st.size:
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	case over:
		if c.claim(st) {
			go c.refuse(st, 413, "body longer than "+strconv.FormatInt(c.s.o.MaxRequestBody, 10)+" bytes")
		}
	case full:
		// Nothing ran: the client may send it again.
		c.end(st.id)
		c.giveBack(0, 0)
		return c.write(func() error { return c.fr.WriteRSTStream(st.id, http2.ErrCodeRefusedStream) })
	}
	if f.StreamEnded() {
		c.giveBack(0, 0)
		return c.bodyEnds(st)
	}
	return c.giveBack(st.id, n)
}

// giveBack opens the windows again for what was taken in.
func (c *conn) giveBack(id uint32, n int64) error {
	c.mu.Lock()
	owed := c.owed
	if owed < initialWindow/4 {
		owed = 0
	}
	c.owed -= owed
	c.mu.Unlock()
	if owed == 0 && n == 0 {
		return nil
	}
	return c.write(func() error {
		if owed > 0 {
			if err := c.fr.WriteWindowUpdate(0, uint32(owed)); err != nil {
				return err
			}
		}
		if n > 0 {
			return c.fr.WriteWindowUpdate(id, uint32(n))
		}
		return nil
	})
}

// bodyEnds puts a whole request to the node.
func (c *conn) bodyEnds(st *stream) error {
	if st.whole {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeStreamClosed}
	}
	st.whole = true
	if st.timer != nil {
		st.timer.Stop()
	}
	if st.size >= 0 && int64(len(st.body)) != st.size {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	if c.claim(st) {
		st.call.Body = st.body
		go c.answer(st)
	}
	return nil
}

// end kills a stream that its client has reset, or that is malformed.
func (c *conn) end(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[id]; st != nil {
		c.kill(st)
	}
}

// kill marks a stream as dead; who answers it takes it out. Under c.mu.
func (c *conn) kill(st *stream) {
	if st.dead {
		return
	}
	st.dead = true
	close(st.gone)
	if st.timer != nil {
		st.timer.Stop()
	}
	c.cond.Broadcast()
	if !st.opened {
		st.opened = true
		c.remove(st)
	}
}

// remove takes a stream out. Under c.mu.
func (c *conn) remove(st *stream) {
	if c.streams[st.id] != st {
		return
	}
	delete(c.streams, st.id)
	c.held -= int64(len(st.body))
	if len(c.streams) == 0 {
		c.nc.SetReadDeadline(time.Now().Add(c.s.o.IdleTimeout))
		if c.away && !c.ended {
			c.nc.Close()
		}
	}
	c.cond.Broadcast()
}

// answer has a request decided on and writes its answer.
func (c *conn) answer(st *stream) {
	o := &c.s.o
	t, early := o.Mapper.Admit(st.call, o.TracePrefix+"-"+strconv.FormatUint(c.s.traces.Add(1), 36))
	var a node.FinalResponse
	if early != nil {
		a = *early
		o.Log.Info("answer", "answer", a.Kind.String(), "trace", t.Trace, "class", t.Class, "customer", t.Customer,
			"reason", string(a.Reason), "detail", a.Detail)
	} else {
		t.ClientAddress, t.LocalAddress = c.nc.RemoteAddr().String(), c.nc.LocalAddr().String()
		t.Arrived = st.began
		answers := make(chan node.FinalResponse, 1)
		gone := o.Node.Submit(t, func(a node.FinalResponse) { answers <- a })
		select {
		case a = <-answers:
		case <-st.gone:
			gone()
			<-answers // the node has its last word in any case
			c.mu.Lock()
			defer c.mu.Unlock()
			c.remove(st)
			return
		}
	}
	c.respond(st, o.Mapper.Render(t, a))
}

// refuse answers what the node is not asked about.
func (c *conn) refuse(st *stream, status int, why string) {
	c.claim(st)
	reason := node.ReasonBadRequest
	if status == 413 {
		reason = node.ReasonTooLarge
	}
	c.s.o.Log.Info("answer", "answer", node.Rejected.String(), "reason", string(reason), "detail", why,
		"client", c.nc.RemoteAddr().String())
	res := c.s.o.Mapper.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: reason, Detail: why})
	res.Status = status
	c.respond(st, res)
}

// respond writes a response, as the client's windows allow, in its time.
func (c *conn) respond(st *stream, res *node.Response) {
	body := res.Body
	if st.call.Method == "HEAD" || res.Status == 204 || res.Status == 304 {
		body = nil
	}
	err := c.write(func() error {
		c.mu.Lock()
		dead := st.dead
		c.mu.Unlock()
		if dead {
			return nil
		}
		c.hbuf.Reset()
		c.henc.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(res.Status)})
		for _, f := range res.Header {
			c.henc.WriteField(hpack.HeaderField{Name: strings.ToLower(f.Name), Value: f.Value})
		}
		if res.Status != 204 && res.Status != 304 && st.call.Method != "HEAD" {
			c.henc.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(body))})
		}
		return h2.WriteHeaderBlock(c.fr, st.id, c.hbuf.Bytes(), len(body) == 0)
	})
	if err == nil && len(body) > 0 {
		timer := time.AfterFunc(c.s.o.WriteTimeout, func() {
			c.mu.Lock()
			late := c.streams[st.id] == st && !st.dead
			if late {
				c.kill(st)
			}
			c.mu.Unlock()
			if late {
				c.write(func() error { return c.fr.WriteRSTStream(st.id, http2.ErrCodeCancel) })
			}
		})
		c.sendBody(st, body)
		timer.Stop()
	}
	if err == nil && !st.whole {
		// Answered before its body was read: the client need not send the rest.
		c.write(func() error { return c.fr.WriteRSTStream(st.id, http2.ErrCodeNo) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(st)
}

func (c *conn) sendBody(st *stream, body []byte) {
	for len(body) > 0 {
		c.mu.Lock()
		for !st.dead && !c.ended && (st.send <= 0 || c.sendWindow <= 0) {
			c.cond.Wait()
		}
		if st.dead || c.ended {
			c.mu.Unlock()
			return
		}
		n := int(min(int64(len(body)), st.send, c.sendWindow, int64(c.peerFrame)))
		st.send, c.sendWindow = st.send-int64(n), c.sendWindow-int64(n)
		c.sent += int64(n)
		c.mu.Unlock()
		part := body[:n]
		body = body[n:]
		if c.write(func() error { return c.fr.WriteData(st.id, len(body) == 0, part) }) != nil {
			return
		}
	}
}
