package upstream

import (
	"bytes"
	"context"
	"errors"
	"net"
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
	reserved   bodyReservation
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
	netConn, err := p.dial(ctx, t.Address)
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
