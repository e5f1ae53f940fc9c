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
	h2Window    = 1 << 20 // bytes a server may send on a stream, and on a connection, before it is told to go on
	h2Initial   = 65535
	h2Streams   = 100 // on one connection until its server says another bound
	h2WriteTime = 5 * time.Second
)

// errLate ends a request that is too late to be sent.
var errLate = errors.New("too late to send")

// h2conn is one connection to a server.
type h2conn struct {
	p       *Pool
	address string
	nc      net.Conn
	fr      *http2.Framer

	wmu  h2.Lock // over writes
	hbuf bytes.Buffer
	henc *hpack.Encoder

	mu         sync.Mutex
	cond       *sync.Cond
	streams    map[uint32]*h2stream
	next       uint32
	most       int   // streams open at once
	sendWindow int64 // on all streams
	peerWindow int64 // on a new one
	owed       int64
	heard      time.Time // when its server last sent a frame
	closed     bool      // takes no more streams
}

type h2stream struct {
	t    *attempt
	id   uint32
	send int64
	head *http1.Response
	body []byte
	over bool
	sent time.Time
}

// runHTTP2 makes an attempt over HTTP/2.
func (t *attempt) runHTTP2(ctx context.Context) {
	c, s, err := t.p.stream(ctx, t)
	if err != nil {
		code, detail := ended(notConnected, err)
		t.end(node.Result{Code: code, Detail: detail}, false)
		return
	}
	t.mu.Lock()
	over := t.over
	t.reset = func() { c.reset(s, http2.ErrCodeCancel) }
	t.mu.Unlock()
	if !over {
		err = c.request(s, &t.Request.HTTP)
	}
	switch {
	case over || errors.Is(err, errLate):
		c.remove(s) // not a byte of it was sent
		t.end(tooLate, false)
	case err != nil:
		c.fail(s, partSent, err)
	default:
		t.written()
	}
}

// stream opens a stream on a connection with room, or on a new connection.
func (p *Pool) stream(ctx context.Context, t *attempt) (*h2conn, *h2stream, error) {
	p.mu.Lock()
	for _, c := range p.h2[t.Address] {
		if s := c.open(t); s != nil {
			p.mu.Unlock()
			return c, s, nil
		}
	}
	p.mu.Unlock()
	nc, err := p.o.Network.Dial(ctx, t.Address)
	if err != nil {
		return nil, nil, err
	}
	c := &h2conn{p: p, address: t.Address, nc: nc, fr: http2.NewFramer(nc, nc), streams: map[uint32]*h2stream{}, next: 1,
		most: h2Streams, sendWindow: h2Initial, peerWindow: h2Initial}
	c.cond, c.wmu = sync.NewCond(&c.mu), h2.NewLock()
	c.henc = hpack.NewEncoder(&c.hbuf)
	c.fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.fr.MaxHeaderListSize = uint32(p.o.Limits.Header)
	err = c.write(func() error {
		if _, err := nc.Write([]byte(http2.ClientPreface)); err != nil {
			return err
		}
		if err := c.fr.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: h2Window}); err != nil {
			return err
		}
		return c.fr.WriteWindowUpdate(0, h2Window-h2Initial)
	})
	if err != nil {
		nc.Close()
		return nil, nil, err
	}
	s := c.open(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		nc.Close()
		return nil, nil, net.ErrClosed
	}
	p.h2[t.Address] = append(p.h2[t.Address], c)
	p.conns.Add(1)
	go c.read()
	return c, s, nil
}

// open takes a stream for an attempt; nil where there is no room.
func (c *h2conn) open(t *attempt) *h2stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.streams) >= c.most || c.next > 1<<31-3 {
		return nil
	}
	s := &h2stream{t: t, send: c.peerWindow}
	// Its number is drawn as it is sent; until then it holds a place by itself.
	c.streams[c.place()] = s
	return s
}

// place is a number for a stream that is not sent yet: even, so that no server
// can mean it.
func (c *h2conn) place() uint32 {
	for id := uint32(2); ; id += 2 {
		if c.streams[id] == nil {
			return id
		}
	}
}

func (c *h2conn) write(f func() error) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(h2WriteTime))
	err := f()
	if err != nil {
		c.nc.Close()
	}
	return err
}

// request sends a request; numbers of streams rise in the order they are sent.
func (c *h2conn) request(s *h2stream, call *node.HTTPRequest) error {
	late := false
	err := c.write(func() error {
		if late = s.t.late() || !s.t.begin(); late {
			return nil
		}
		c.mu.Lock()
		if c.closed || s.over {
			c.mu.Unlock()
			return nil // its end is told by who ended it
		}
		for id, other := range c.streams {
			if other == s {
				delete(c.streams, id)
			}
		}
		s.id, s.sent = c.next, time.Now()
		c.next += 2
		c.streams[s.id] = s
		c.mu.Unlock()
		c.hbuf.Reset()
		put := func(name, value string) { c.henc.WriteField(hpack.HeaderField{Name: name, Value: value}) }
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
		return h2.WriteHeaderBlock(c.fr, s.id, c.hbuf.Bytes(), len(call.Body) == 0)
	})
	if late {
		return errLate // the connection is as good as before
	}
	body := call.Body
	for err == nil && len(body) > 0 {
		c.mu.Lock()
		for !s.over && (s.send <= 0 || c.sendWindow <= 0) {
			c.cond.Wait()
		}
		n := int(min(int64(len(body)), s.send, c.sendWindow, h2.DefaultMaxFrameSize))
		if s.over {
			c.mu.Unlock()
			return nil
		}
		s.send, c.sendWindow = s.send-int64(n), c.sendWindow-int64(n)
		c.mu.Unlock()
		part := body[:n]
		body = body[n:]
		err = c.write(func() error { return c.fr.WriteData(s.id, len(body) == 0, part) })
	}
	return err
}

// remove takes a stream out; false where it was out already.
func (c *h2conn) remove(s *h2stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.over {
		return false
	}
	s.over = true
	for id, other := range c.streams {
		if other == s {
			delete(c.streams, id)
		}
	}
	c.cond.Broadcast()
	return true
}

// reset ends a stream's work at the server; the others go on. Where the server
// has sent nothing since, the connection may be dead: it takes no more streams,
// and is closed with its last one.
func (c *h2conn) reset(s *h2stream, code http2.ErrCode) {
	if !c.remove(s) || s.id == 0 {
		return
	}
	c.write(func() error { return c.fr.WriteRSTStream(s.id, code) })
	c.mu.Lock()
	c.closed = c.closed || c.heard.Before(s.sent)
	last := c.closed && len(c.streams) == 0
	c.mu.Unlock()
	if last {
		c.nc.Close()
	}
}

func (c *h2conn) fail(s *h2stream, p phase, err error) {
	if c.remove(s) {
		code, detail := ended(p, err)
		s.t.end(node.Result{Code: code, Detail: detail}, false)
	}
}

// read reads frames until the connection ends.
func (c *h2conn) read() {
	defer c.p.conns.Done()
	var err error
	for err == nil {
		var f http2.Frame
		if f, err = c.fr.ReadFrame(); err == nil {
			c.mu.Lock()
			c.heard = time.Now()
			c.mu.Unlock()
			err = c.frame(f)
		}
		var se http2.StreamError
		if errors.As(err, &se) {
			err = nil
			if s := c.find(se.StreamID); s != nil {
				c.write(func() error { return c.fr.WriteRSTStream(se.StreamID, se.Code) })
				c.fail(s, badResponse, se)
			}
		}
	}
	c.nc.Close()
	c.p.mu.Lock()
	list := c.p.h2[c.address]
	for i := range list {
		if list[i] == c {
			c.p.h2[c.address] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	c.p.mu.Unlock()
	c.mu.Lock()
	c.closed = true
	left := make([]*h2stream, 0, len(c.streams))
	for _, s := range c.streams {
		left = append(left, s)
	}
	c.mu.Unlock()
	for _, s := range left {
		if s.id == 0 {
			c.fail(s, nothingSent, err)
			continue
		}
		c.fail(s, noResponse, err)
	}
}

func (c *h2conn) find(id uint32) *h2stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[id]; s != nil && s.id == id {
		return s
	}
	return nil
}

func (c *h2conn) frame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.headers(f)
	case *http2.DataFrame:
		return c.data(f)
	case *http2.RSTStreamFrame:
		if s := c.find(f.StreamID); s != nil {
			if s.head != nil && f.ErrCode == http2.ErrCodeNo {
				return nil // the rest of the request's body is not wanted
			}
			p := noResponse
			if f.ErrCode == http2.ErrCodeRefusedStream {
				p = refusedStream
			}
			c.fail(s, p, fmt.Errorf("stream reset: %v", f.ErrCode))
		}
	case *http2.GoAwayFrame:
		c.mu.Lock()
		c.closed = true
		var above []*h2stream
		for id, s := range c.streams {
			if s.id == 0 || id > f.LastStreamID {
				above = append(above, s)
			}
		}
		empty := len(above) == len(c.streams)
		c.mu.Unlock()
		for _, s := range above {
			c.fail(s, refusedStream, fmt.Errorf("above the last stream of GOAWAY: %v", f.ErrCode))
		}
		if empty {
			return errors.New("GOAWAY")
		}
	case *http2.SettingsFrame:
		return c.settings(f)
	case *http2.PingFrame:
		if !f.IsAck() {
			return c.write(func() error { return c.fr.WritePing(true, f.Data) })
		}
	case *http2.WindowUpdateFrame:
		c.mu.Lock()
		defer c.mu.Unlock()
		if s := c.streams[f.StreamID]; s != nil && s.id == f.StreamID {
			s.send += int64(f.Increment)
		} else if f.StreamID == 0 {
			c.sendWindow += int64(f.Increment)
		}
		c.cond.Broadcast()
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	return nil
}

func (c *h2conn) settings(f *http2.SettingsFrame) error {
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
				st.send += int64(s.Val) - c.peerWindow
			}
			c.peerWindow = int64(s.Val)
			c.cond.Broadcast()
		case http2.SettingMaxConcurrentStreams:
			c.most = int(min(s.Val, 1000))
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

func (c *h2conn) headers(f *http2.MetaHeadersFrame) error {
	s := c.find(f.StreamID)
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
		c.done(s)
	}
	return nil
}

func (c *h2conn) data(f *http2.DataFrame) error {
	s := c.find(f.StreamID)
	c.owed += int64(f.Length)
	if s != nil && s.head == nil {
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	}
	if s != nil {
		if s.body = append(s.body, f.Data()...); int64(len(s.body)) > c.p.o.Limits.Body {
			c.write(func() error { return c.fr.WriteRSTStream(s.id, http2.ErrCodeCancel) })
			c.fail(s, badResponse, fmt.Errorf("body longer than %d bytes", c.p.o.Limits.Body))
			s = nil
		}
	}
	if s != nil && f.StreamEnded() {
		c.done(s)
		s = nil
	}
	owed := c.owed
	if owed >= h2Window/4 {
		c.owed = 0
	}
	if owed < h2Window/4 && (s == nil || f.Length == 0) {
		return nil
	}
	return c.write(func() error {
		if owed >= h2Window/4 {
			if err := c.fr.WriteWindowUpdate(0, uint32(owed)); err != nil {
				return err
			}
		}
		if s != nil && f.Length > 0 {
			return c.fr.WriteWindowUpdate(s.id, f.Length)
		}
		return nil
	})
}

// done hands over a whole response.
func (c *h2conn) done(s *h2stream) {
	if n, err := strconv.ParseInt(s.head.Header.Get("Content-Length"), 10, 64); err == nil && n != int64(len(s.body)) &&
		s.t.Request.HTTP.Method != "HEAD" && s.head.Status != 204 && s.head.Status != 304 {
		c.fail(s, badResponse, fmt.Errorf("body of %d bytes, %d announced", len(s.body), n))
		return
	}
	if !c.remove(s) {
		return
	}
	result := node.Result{Code: c.p.o.TurnedAway.code(s.head), Latency: s.t.took(c.nc), Response: &node.Response{Status: s.head.Status,
		Header: s.head.Header.EndToEnd(), Body: s.body}}
	if s.head.Status >= 500 {
		result.Detail = fmt.Sprintf("status %d", s.head.Status)
	}
	s.t.end(result, false)
}
