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

// Attempts over HTTP/2 (RFC 9113) with prior knowledge share connections, and each can be canceled
// alone. This file works on frames, since the HTTP/2 client of golang.org/x/net retries requests
// by itself, and here only the policy may decide on retries.

const (
	receiveWindow     = 1 << 20 // flow-control window in bytes, of each stream and of each connection
	initialWindow     = 65535   // flow-control window before SETTINGS (RFC 9113, 6.9.2)
	defaultMaxStreams = 100     // per connection, until the server states its own limit
	h2WriteTimeout    = 5 * time.Second
)

// notSentError is the error of a request that must not be sent any more; see attempt.reasonNotToSend.
type notSentError struct{ result node.Result }

func (e *notSentError) Error() string { return e.result.Detail }

// h2Conn is one HTTP/2 connection to a server.
type h2Conn struct {
	pool    *Pool
	address string
	netConn net.Conn
	framer  *http2.Framer

	writeLock     h2.Lock // serializes writes; also protects headerBuffer and headerEncoder
	headerBuffer  bytes.Buffer
	headerEncoder *hpack.Encoder

	mu                sync.Mutex
	changed           *sync.Cond           // a send window, or the state of a stream, has changed
	streams           map[uint32]*h2Stream // by stream ID, or by placeholder ID until the request is sent
	nextStreamID      uint32
	maxStreams        int       // maximum number of concurrent streams
	sendWindow        int64     // of the connection
	initialSendWindow int64     // of a new stream
	unreturnedWindow  int64     // bytes received since the last WINDOW_UPDATE of the connection; used only by readLoop
	lastFrameAt       time.Time // when the server last sent a frame
	noNewStreams      bool
}

// h2Stream is the stream of one attempt. Its id is 0 until the request is sent.
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
		t.finish(t.connectFailure(err), false)
		return
	}
	t.mu.Lock()
	over := t.ended
	t.resetStream = func() { c.resetStream(s, http2.ErrCodeCancel) }
	t.mu.Unlock()
	if !over {
		if client := t.Request.Client; client != nil {
			client.AwaitReceived()
		}
		err = c.sendRequest(s, &t.Request.HTTP)
	}
	var notSent *notSentError
	switch {
	case over:
		c.removeStream(s)
	case errors.As(err, &notSent):
		c.removeStream(s)
		t.finish(notSent.result, false)
	case err != nil:
		c.failStream(s, duringWrite, err)
	default:
		t.markRequestSent()
	}
}

// openStream reserves a stream on a connection that has not reached its limit, or on a new one.
func (p *Pool) openStream(ctx context.Context, t *attempt) (*h2Conn, *h2Stream, error) {
	p.mu.Lock()
	for _, c := range p.h2Conns[t.Address] {
		if s := c.reserveStream(t); s != nil {
			p.mu.Unlock()
			return c, s, nil
		}
	}
	p.mu.Unlock()
	netConn, err := p.options.Network.Dial(ctx, t.Address)
	if err != nil {
		return nil, nil, err
	}
	c := &h2Conn{pool: p, address: t.Address, netConn: netConn, framer: http2.NewFramer(netConn, netConn), streams: map[uint32]*h2Stream{}, nextStreamID: 1,
		maxStreams: defaultMaxStreams, sendWindow: initialWindow, initialSendWindow: initialWindow}
	c.changed, c.writeLock = sync.NewCond(&c.mu), h2.NewLock()
	c.headerEncoder = hpack.NewEncoder(&c.headerBuffer)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.framer.MaxHeaderListSize = uint32(p.options.Limits.MaxHeaderBytes)
	err = c.write(func() error {
		if _, err := netConn.Write([]byte(http2.ClientPreface)); err != nil {
			return err
		}
		if err := c.framer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: receiveWindow}); err != nil {
			return err
		}
		return c.framer.WriteWindowUpdate(0, receiveWindow-initialWindow)
	})
	if err != nil {
		netConn.Close()
		return nil, nil, err
	}
	s := c.reserveStream(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		netConn.Close()
		return nil, nil, net.ErrClosed
	}
	p.h2Conns[t.Address] = append(p.h2Conns[t.Address], c)
	p.readers.Add(1)
	go c.readLoop()
	return c, s, nil
}

// reserveStream reserves a stream for an attempt. It returns nil if the connection takes no more.
func (c *h2Conn) reserveStream(t *attempt) *h2Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noNewStreams || len(c.streams) >= c.maxStreams || c.nextStreamID > 1<<31-3 {
		return nil
	}
	s := &h2Stream{attempt: t, sendWindow: c.initialSendWindow}
	// The stream gets its ID when the request is sent. Until then a placeholder ID counts it
	// towards the limit.
	c.streams[c.placeholderID()] = s
	return s
}

// placeholderID returns an unused ID for a stream whose request is not sent yet. It is even: the
// IDs of a client's streams are odd.
func (c *h2Conn) placeholderID() uint32 {
	for id := uint32(2); ; id += 2 {
		if c.streams[id] == nil {
			return id
		}
	}
}

// write calls a function that writes to the connection under the write lock and a timeout. It
// closes the connection if the function fails.
func (c *h2Conn) write(f func() error) error { return c.writeBefore(time.Time{}, f) }

// writeBefore does what write does. If limit is not zero and comes before the timeout, it is the time by which the
// function must have written.
func (c *h2Conn) writeBefore(limit time.Time, f func() error) error {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	deadline := time.Now().Add(h2WriteTimeout)
	if !limit.IsZero() && limit.Before(deadline) {
		deadline = limit
	}
	c.netConn.SetWriteDeadline(deadline)
	err := f()
	if err != nil {
		c.netConn.Close()
	}
	return err
}

// sendRequest sends the request of a stream. It assigns the stream ID under the write lock, since
// IDs must increase in the order in which streams are opened.
func (c *h2Conn) sendRequest(s *h2Stream, call *node.HTTPRequest) error {
	var notSent *node.Result
	err := c.writeBefore(s.attempt.SendBy, func() error {
		if notSent = s.attempt.reasonNotToSend(); notSent == nil && !s.attempt.startWrite() {
			notSent = &resultTooLate // the attempt has ended, so that the result is not reported
		}
		if notSent != nil {
			return nil
		}
		c.mu.Lock()
		if c.noNewStreams || s.ended {
			c.mu.Unlock()
			return nil // the goroutine that ended the stream reports the result
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
		c.headerBuffer.Reset()
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
		return h2.WriteHeaderBlock(c.framer, s.id, c.headerBuffer.Bytes(), len(call.Body) == 0)
	})
	if notSent != nil {
		return &notSentError{*notSent} // nothing was written, so the connection can still be used
	}
	body := call.Body
	if sendBy := s.attempt.SendBy; !sendBy.IsZero() && len(body) > 0 {
		timer := time.AfterFunc(time.Until(sendBy), func() { c.failUnsent(s) })
		defer timer.Stop()
	}
	for err == nil && len(body) > 0 {
		c.mu.Lock()
		for !s.ended && (s.sendWindow <= 0 || c.sendWindow <= 0) {
			c.changed.Wait()
		}
		n := int(min(int64(len(body)), s.sendWindow, c.sendWindow, h2.DefaultMaxFrameSize))
		if s.ended {
			c.mu.Unlock()
			return nil
		}
		s.sendWindow, c.sendWindow = s.sendWindow-int64(n), c.sendWindow-int64(n)
		c.mu.Unlock()
		part := body[:n]
		body = body[n:]
		err = c.writeBefore(s.attempt.SendBy, func() error { return c.framer.WriteData(s.id, len(body) == 0, part) })
	}
	return err
}

// errSendTimeOver is the error of a request of which only a part was sent by Attempt.SendBy.
var errSendTimeOver = errors.New("too late to send the rest")

// failUnsent resets a stream whose request could not be sent completely in time.
func (c *h2Conn) failUnsent(s *h2Stream) {
	if c.resetStream(s, http2.ErrCodeCancel) {
		code, detail := attemptOutcome(duringWrite, errSendTimeOver)
		s.attempt.finish(node.Result{Code: code, Detail: detail}, false)
	}
}

// removeStream removes a stream from the connection. It returns false if it was removed already.
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
	c.changed.Broadcast()
	return true
}

// resetStream resets a stream; the other streams of the connection continue. If the server has sent
// no frame since the request of the stream, the connection may be dead: it takes no more streams,
// and is closed when none is left. It returns false if the stream was removed already.
func (c *h2Conn) resetStream(s *h2Stream, code http2.ErrCode) bool {
	if !c.removeStream(s) {
		return false
	}
	if s.id == 0 {
		return true
	}
	c.write(func() error { return c.framer.WriteRSTStream(s.id, code) })
	c.mu.Lock()
	c.noNewStreams = c.noNewStreams || c.lastFrameAt.Before(s.sentAt)
	last := c.noNewStreams && len(c.streams) == 0
	c.mu.Unlock()
	if last {
		c.netConn.Close()
	}
	return true
}

// failStream removes a stream and reports the failure of its attempt.
func (c *h2Conn) failStream(s *h2Stream, phase failurePhase, err error) {
	if c.removeStream(s) {
		code, detail := attemptOutcome(phase, err)
		s.attempt.finish(node.Result{Code: code, Detail: detail}, false)
	}
}

// readLoop reads frames until the connection ends, then fails the remaining streams.
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
		var streamError http2.StreamError
		if errors.As(err, &streamError) {
			err = nil
			if s := c.activeStream(streamError.StreamID); s != nil {
				c.write(func() error { return c.framer.WriteRSTStream(streamError.StreamID, streamError.Code) })
				c.failStream(s, duringResponse, streamError)
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
	remaining := make([]*h2Stream, 0, len(c.streams))
	for _, s := range c.streams {
		remaining = append(remaining, s)
	}
	c.mu.Unlock()
	for _, s := range remaining {
		if s.id == 0 {
			c.failStream(s, beforeWrite, err)
			continue
		}
		c.failStream(s, beforeResponse, err)
	}
}

// activeStream returns the stream with an ID, or nil. It does not return streams whose request is
// not sent yet.
func (c *h2Conn) activeStream(id uint32) *h2Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[id]; s != nil && s.id == id {
		return s
	}
	return nil
}

// handleFrame processes a frame. An error other than a stream error ends the connection.
func (c *h2Conn) handleFrame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.RSTStreamFrame:
		if s := c.activeStream(f.StreamID); s != nil {
			if s.head != nil && f.ErrCode == http2.ErrCodeNo {
				return nil // the server does not need the rest of the request body (RFC 9113, section 8.1)
			}
			phase := beforeResponse
			if f.ErrCode == http2.ErrCodeRefusedStream {
				phase = streamRefused
			}
			c.failStream(s, phase, fmt.Errorf("stream reset: %v", f.ErrCode))
		}
	case *http2.GoAwayFrame:
		c.mu.Lock()
		c.noNewStreams = true
		var refused []*h2Stream
		for id, s := range c.streams {
			if s.id == 0 || id > f.LastStreamID {
				refused = append(refused, s)
			}
		}
		empty := len(refused) == len(c.streams)
		c.mu.Unlock()
		for _, s := range refused {
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
		c.changed.Broadcast()
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	return nil
}

// handleSettings applies and acknowledges the settings of the server.
func (c *h2Conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	err := f.ForeachSetting(func(setting http2.Setting) error {
		if err := setting.Valid(); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		switch setting.ID {
		case http2.SettingInitialWindowSize:
			for _, stream := range c.streams {
				stream.sendWindow += int64(setting.Val) - c.initialSendWindow
			}
			c.initialSendWindow = int64(setting.Val)
			c.changed.Broadcast()
		case http2.SettingMaxConcurrentStreams:
			c.maxStreams = int(min(setting.Val, 1000))
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.write(func() error {
		if size, ok := f.Value(http2.SettingHeaderTableSize); ok {
			c.headerEncoder.SetMaxDynamicTableSize(min(size, 4096))
		}
		return c.framer.WriteSettingsAck()
	})
}

// handleHeaders processes a response head, an informational response or trailers.
func (c *h2Conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	s := c.activeStream(f.StreamID)
	if s == nil {
		return nil // the stream was reset in the meantime
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

// handleData processes a part of a response body and returns flow-control window to the server.
func (c *h2Conn) handleData(f *http2.DataFrame) error {
	s := c.activeStream(f.StreamID)
	c.unreturnedWindow += int64(f.Length)
	if s != nil && s.head == nil {
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	}
	if s != nil {
		if s.body = append(s.body, f.Data()...); int64(len(s.body)) > c.pool.options.Limits.MaxBodyBytes {
			c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeCancel) })
			c.failStream(s, duringResponse, fmt.Errorf("body longer than %d bytes", c.pool.options.Limits.MaxBodyBytes))
			s = nil
		}
	}
	if s != nil && f.StreamEnded() {
		c.finishStream(s)
		s = nil
	}
	unreturned := c.unreturnedWindow
	if unreturned >= receiveWindow/4 {
		c.unreturnedWindow = 0
	}
	if unreturned < receiveWindow/4 && (s == nil || f.Length == 0) {
		return nil
	}
	return c.write(func() error {
		if unreturned >= receiveWindow/4 {
			if err := c.framer.WriteWindowUpdate(0, uint32(unreturned)); err != nil {
				return err
			}
		}
		if s != nil && f.Length > 0 {
			return c.framer.WriteWindowUpdate(s.id, f.Length)
		}
		return nil
	})
}

// finishStream removes a stream whose response is complete and reports the result of its attempt.
func (c *h2Conn) finishStream(s *h2Stream) {
	if length, err := strconv.ParseInt(s.head.Header.Get("Content-Length"), 10, 64); err == nil && length != int64(len(s.body)) &&
		s.attempt.Request.HTTP.Method != "HEAD" && s.head.Status != 204 && s.head.Status != 304 {
		c.failStream(s, duringResponse, fmt.Errorf("body of %d bytes, %d announced", len(s.body), length))
		return
	}
	if !c.removeStream(s) {
		return
	}
	s.attempt.finish(s.attempt.responseResult(s.head, s.body, c.netConn), false)
}
