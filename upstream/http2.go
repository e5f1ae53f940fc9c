package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yardcleat.example/yardcleat/internal/h2"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
)

// Attempts over HTTP/2 (RFC 9113) by prior knowledge: many on one connection,
// each ended alone. x/net's own client repeats requests by itself, which is not
// its to decide here, so the frames are spoken directly.

const (
	receiveWindow     = 1 << 20 // bytes a server may send on a stream, and on a connection, before it is told to go on
	defaultWindow     = 65535
	defaultMaxStreams = 100 // on one connection until its server says another bound
	h2WriteTimeout    = 5 * time.Second
)

// errTooLate ends a request that is too late to be sent.
var errTooLate = errors.New("too late to send")

// h2Conn is one connection to a server.
type h2Conn struct {
	pool    *Pool
	address string
	netConn net.Conn
	framer  *http2.Framer

	writeLock     h2.Lock // over writes
	headerBlock   bytes.Buffer
	headerEncoder *hpack.Encoder

	mu                sync.Mutex
	cond              *sync.Cond
	streams           map[uint32]*h2Stream
	nextStreamID      uint32
	maxStreams        int   // streams open at once
	sendWindow        int64 // on all streams
	initialSendWindow int64 // on a new one
	unreturnedWindow  int64
	lastFrameAt       time.Time // when its server last sent a frame
	noNewStreams      bool      // takes no more streams
}

type h2Stream struct {
	attempt    *attempt
	id         uint32
	sendWindow int64
	head       *http1.Response
	body       []byte
	ended      bool
	sentAt     time.Time
}

// runHTTP2 makes an attempt over HTTP/2.
func (t *attempt) runHTTP2(ctx context.Context) {
	c, s, err := t.pool.openStream(ctx, t)
	if err != nil {
		code, detail := attemptOutcome(beforeConnect, err)
		t.finish(node.Result{Code: code, Detail: detail}, false)
		return
	}
	t.mu.Lock()
	over := t.ended
	t.resetStream = func() { c.resetStream(s, http2.ErrCodeCancel) }
	t.mu.Unlock()
	if !over {
		err = c.sendRequest(s, &t.Request.HTTP)
	}
	switch {
	case over || errors.Is(err, errTooLate):
		c.removeStream(s) // not a byte of it was sent
		t.finish(resultTooLate, false)
	case err != nil:
		c.failStream(s, duringWrite, err)
	default:
		t.markRequestSent()
	}
}

// openStream opens a openStream on a connection with room, or on a new connection.
func (p *Pool) openStream(ctx context.Context, t *attempt) (*h2Conn, *h2Stream, error) {
	p.mu.Lock()
	for _, c := range p.h2Conns[t.Address] {
		if s := c.reserveStream(t); s != nil {
			p.mu.Unlock()
			return c, s, nil
		}
	}
	p.mu.Unlock()
	nc, err := p.options.Network.Dial(ctx, t.Address)
	if err != nil {
		return nil, nil, err
	}
	c := &h2Conn{pool: p, address: t.Address, netConn: nc, framer: http2.NewFramer(nc, nc), streams: map[uint32]*h2Stream{}, nextStreamID: 1,
		maxStreams: defaultMaxStreams, sendWindow: defaultWindow, initialSendWindow: defaultWindow}
	c.cond, c.writeLock = sync.NewCond(&c.mu), h2.NewLock()
	c.headerEncoder = hpack.NewEncoder(&c.headerBlock)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.framer.MaxHeaderListSize = uint32(p.options.Limits.Header)
	err = c.write(func() error {
		if _, err := nc.Write([]byte(http2.ClientPreface)); err != nil {
			return err
		}
		if err := c.framer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: receiveWindow}); err != nil {
			return err
		}
		return c.framer.WriteWindowUpdate(0, receiveWindow-defaultWindow)
	})
	if err != nil {
		nc.Close()
		return nil, nil, err
	}
	s := c.reserveStream(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		nc.Close()
		return nil, nil, net.ErrClosed
	}
	p.h2Conns[t.Address] = append(p.h2Conns[t.Address], c)
	p.readers.Add(1)
	go c.readLoop()
	return c, s, nil
}

// reserveStream takes a stream for an attempt; nil where there is no room.
func (c *h2Conn) reserveStream(t *attempt) *h2Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noNewStreams || len(c.streams) >= c.maxStreams || c.nextStreamID > 1<<31-3 {
		return nil
	}
	s := &h2Stream{attempt: t, sendWindow: c.initialSendWindow}
	// Its number is drawn as it is sent; until then it holds a place by itself.
	c.streams[c.placeholderID()] = s
	return s
}

// placeholderID is a number for a stream that is not sent yet: even, so that no server
// can mean it.
func (c *h2Conn) placeholderID() uint32 {
	for id := uint32(2); ; id += 2 {
		if c.streams[id] == nil {
			return id
		}
	}
}

func (c *h2Conn) write(f func() error) error {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	c.netConn.SetWriteDeadline(time.Now().Add(h2WriteTimeout))
	err := f()
	if err != nil {
		c.netConn.Close()
	}
	return err
}

// sendRequest sends a sendRequest; numbers of streams rise in the order they are sent.
func (c *h2Conn) sendRequest(s *h2Stream, call *node.HTTPRequest) error {
	late := false
	err := c.write(func() error {
		if late = s.attempt.expired() || !s.attempt.startWrite(); late {
			return nil
		}
		c.mu.Lock()
		if c.noNewStreams || s.ended {
			c.mu.Unlock()
			return nil // its end is told by who ended it
		}
		for id, other := range c.streams {
			if other == s {
				delete(c.streams, id)
			}
		}
		s.id, s.sentAt = c.nextStreamID, time.Now()
		c.nextStreamID += 2
		c.streams[s.id] = s
		c.mu.Unlock()
		c.headerBlock.Reset()
		put := func(name, value string) { c.headerEncoder.WriteField(hpack.HeaderField{Name: name, Value: value}) }
		put(":method", call.Method)
		put(":scheme", "http")
		put(":path", call.Target)
		put(":authority", call.Host)
		for _, f := range call.Header {
			if f.Name != "Host" && f.Name != "Te" {
				put(strings.ToLower(f.Name), f.Value)
			}
		}
		if len(call.Body) > 0 {
			put("content-length", strconv.Itoa(len(call.Body)))
		}
		return h2.WriteBlock(c.framer, s.id, c.headerBlock.Bytes(), len(call.Body) == 0)
	})
	if late {
		return errTooLate // the connection is as good as before
	}
	body := call.Body
	for err == nil && len(body) > 0 {
		c.mu.Lock()
		for !s.ended && (s.sendWindow <= 0 || c.sendWindow <= 0) {
			c.cond.Wait()
		}
		n := int(min(int64(len(body)), s.sendWindow, c.sendWindow, h2.Frame))
		if s.ended {
			c.mu.Unlock()
			return nil
		}
		s.sendWindow, c.sendWindow = s.sendWindow-int64(n), c.sendWindow-int64(n)
		c.mu.Unlock()
		part := body[:n]
		body = body[n:]
		err = c.write(func() error { return c.framer.WriteData(s.id, len(body) == 0, part) })
	}
	return err
}

// removeStream takes a stream out; false where it was out already.
func (c *h2Conn) removeStream(s *h2Stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ended {
		return false
	}
	s.ended = true
	for id, other := range c.streams {
		if other == s {
			delete(c.streams, id)
		}
	}
	c.cond.Broadcast()
	return true
}

// resetStream ends a stream's work at the server; the others go on. Where the server
// has sent nothing since, the connection may be dead: it takes no more streams,
// and is closed with its last one.
func (c *h2Conn) resetStream(s *h2Stream, code http2.ErrCode) {
	if !c.removeStream(s) || s.id == 0 {
		return
	}
	c.write(func() error { return c.framer.WriteRSTStream(s.id, code) })
	c.mu.Lock()
	c.noNewStreams = c.noNewStreams || c.lastFrameAt.Before(s.sentAt)
	last := c.noNewStreams && len(c.streams) == 0
	c.mu.Unlock()
	if last {
		c.netConn.Close()
	}
}

func (c *h2Conn) failStream(s *h2Stream, p failurePhase, err error) {
	if c.removeStream(s) {
		code, detail := attemptOutcome(p, err)
		s.attempt.finish(node.Result{Code: code, Detail: detail}, false)
	}
}

// readLoop reads frames until the connection ends.
func (c *h2Conn) readLoop() {
	defer c.pool.readers.Done()
	var err error
	for err == nil {
		var f http2.Frame
		if f, err = c.framer.ReadFrame(); err == nil {
			c.mu.Lock()
			c.lastFrameAt = time.Now()
			c.mu.Unlock()
			err = c.handleFrame(f)
		}
		var se http2.StreamError
		if errors.As(err, &se) {
			err = nil
			if s := c.activeStream(se.StreamID); s != nil {
				c.write(func() error { return c.framer.WriteRSTStream(se.StreamID, se.Code) })
				c.failStream(s, duringResponse, se)
			}
		}
	}
	c.netConn.Close()
	c.pool.mu.Lock()
	list := c.pool.h2Conns[c.address]
	for i := range list {
		if list[i] == c {
			c.pool.h2Conns[c.address] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	c.pool.mu.Unlock()
	c.mu.Lock()
	c.noNewStreams = true
	left := make([]*h2Stream, 0, len(c.streams))
	for _, s := range c.streams {
		left = append(left, s)
	}
	c.mu.Unlock()
	for _, s := range left {
		if s.id == 0 {
			c.failStream(s, beforeWrite, err)
			continue
		}
		c.failStream(s, beforeResponse, err)
	}
}

func (c *h2Conn) activeStream(id uint32) *h2Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[id]; s != nil && s.id == id {
		return s
	}
	return nil
}

func (c *h2Conn) handleFrame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.RSTStreamFrame:
		if s := c.activeStream(f.StreamID); s != nil {
			if s.head != nil && f.ErrCode == http2.ErrCodeNo {
				return nil // the rest of the request's body is not wanted
			}
			p := beforeResponse
			if f.ErrCode == http2.ErrCodeRefusedStream {
				p = streamRefused
			}
			c.failStream(s, p, fmt.Errorf("stream reset: %v", f.ErrCode))
		}
	case *http2.GoAwayFrame:
		c.mu.Lock()
		c.noNewStreams = true
		var above []*h2Stream
		for id, s := range c.streams {
			if s.id == 0 || id > f.LastStreamID {
				above = append(above, s)
			}
		}
		empty := len(above) == len(c.streams)
		c.mu.Unlock()
		for _, s := range above {
			c.failStream(s, streamRefused, fmt.Errorf("above the last stream of GOAWAY: %v", f.ErrCode))
		}
		if empty {
			return errors.New("GOAWAY")
		}
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.PingFrame:
		if !f.IsAck() {
			return c.write(func() error { return c.framer.WritePing(true, f.Data) })
		}
	case *http2.WindowUpdateFrame:
		c.mu.Lock()
		defer c.mu.Unlock()
		if s := c.streams[f.StreamID]; s != nil && s.id == f.StreamID {
			s.sendWindow += int64(f.Increment)
		} else if f.StreamID == 0 {
			c.sendWindow += int64(f.Increment)
		}
		c.cond.Broadcast()
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	return nil
}

func (c *h2Conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		switch s.ID {
		case http2.SettingInitialWindowSize:
			for _, st := range c.streams {
				st.sendWindow += int64(s.Val) - c.initialSendWindow
			}
			c.initialSendWindow = int64(s.Val)
			c.cond.Broadcast()
		case http2.SettingMaxConcurrentStreams:
			c.maxStreams = int(min(s.Val, 1000))
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

func (c *h2Conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	s := c.activeStream(f.StreamID)
	if s == nil {
		return nil // reset in the meantime
	}
	if s.head == nil {
		status, err := strconv.Atoi(f.PseudoValue("status"))
		if err != nil || status < 100 || status > 599 || status == 101 || f.Truncated {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
		}
		if status < 200 {
			return nil
		}
		s.head = &http1.Response{Status: status, Minor: 1}
		for _, h := range f.RegularFields() {
			s.head.Header.Add(h.Name, h.Value)
		}
	}
	if f.StreamEnded() {
		c.finishStream(s)
	}
	return nil
}

func (c *h2Conn) handleData(f *http2.DataFrame) error {
	s := c.activeStream(f.StreamID)
	c.unreturnedWindow += int64(f.Length)
	if s != nil && s.head == nil {
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	}
	if s != nil {
		if s.body = append(s.body, f.Data()...); int64(len(s.body)) > c.pool.options.Limits.Body {
			c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeCancel) })
			c.failStream(s, duringResponse, fmt.Errorf("body longer than %d bytes", c.pool.options.Limits.Body))
			s = nil
		}
	}
	if s != nil && f.StreamEnded() {
		c.finishStream(s)
		s = nil
	}
	owed := c.unreturnedWindow
	if owed >= receiveWindow/4 {
		c.unreturnedWindow = 0
	}
	if owed < receiveWindow/4 && (s == nil || f.Length == 0) {
		return nil
	}
	return c.write(func() error {
		if owed >= receiveWindow/4 {
			if err := c.framer.WriteWindowUpdate(0, uint32(owed)); err != nil {
				return err
			}
		}
		if s != nil && f.Length > 0 {
			return c.framer.WriteWindowUpdate(s.id, f.Length)
		}
		return nil
	})
}

// finishStream hands over a whole response.
func (c *h2Conn) finishStream(s *h2Stream) {
	if n, err := strconv.ParseInt(s.head.Header.Get("Content-Length"), 10, 64); err == nil && n != int64(len(s.body)) &&
		s.attempt.Request.HTTP.Method != "HEAD" && s.head.Status != 204 && s.head.Status != 304 {
		c.failStream(s, duringResponse, fmt.Errorf("body of %d bytes, %d announced", len(s.body), n))
		return
	}
	if !c.removeStream(s) {
		return
	}
	result := node.Result{Code: c.pool.options.RejectionSignal.resultCode(s.head), Latency: s.attempt.latency(c.netConn), Response: &node.Response{Status: s.head.Status,
		Header: s.head.Header.EndToEnd(), Body: s.body}}
	if s.head.Status >= 500 {
		result.Detail = fmt.Sprintf("status %d", s.head.Status)
	}
	s.attempt.finish(result, false)
}
