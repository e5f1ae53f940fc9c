// Package upstream makes attempts at servers over HTTP/1.1 on kept connections.
package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// Options bounds what a Pool does.
type Options struct {
	Network          network.Network
	Limits           http1.Limits  // of responses
	ConnectTimeout   time.Duration // to connect to a server
	MaxIdlePerServer int           // idle connections kept to each server
	IdleTimeout      time.Duration // one idle for longer is closed, not used; 0: any time
	// MaxConnections bounds the connections over HTTP/1.1; 0: any number.
	MaxConnections       int
	MaxBufferedBodyBytes int64  // bytes of long bodies being read, all together; 0: any number
	TimeoutHeader        string // field that states an attempt's time-out in ms; "": none
	RejectionSignal      RejectionSignal
	HTTP2                bool // servers speak HTTP/2, by prior knowledge
	// PausedSince reports whether the process was paused after a time; nil: it never
	// is. What was decided before is not sent after.
	PausedSince func(since time.Time) bool
}

// Pool keeps connections to servers and makes attempts on them. It is a
// node.Upstream.
type Pool struct {
	options         Options
	mu              sync.Mutex
	idle            map[string][]*conn // by server; the last used goes first
	openConnections int                // connections over HTTP/1.1, those being made among them
	bufferedBytes   atomic.Int64       // bytes of long bodies being read
	sweptAt         time.Time          // when idle ones were last looked through
	idleLimit       idleLimitEstimator
	createdAt       time.Time // trust's time 0
	h2Conns         map[string][]*h2Conn
	closed          bool
	readers         sync.WaitGroup
}

// New returns an empty Pool.
func New(o Options) *Pool {
	return &Pool{options: o, idle: map[string][]*conn{}, h2Conns: map[string][]*h2Conn{}, createdAt: time.Now()}
}

// attempt is one attempt on its way.
type attempt struct {
	node.Attempt
	pool *Pool
	done func(node.Result)

	mu           sync.Mutex
	ended        bool // it has ended, or was cancelled
	conn         *conn
	cancelDial   context.CancelFunc
	startedAt    time.Time
	resetStream  func() // over HTTP/2: ends its stream
	writeStarted bool   // its request is being written: from here on nobody knows how much has left
	requestSent  bool   // the whole request has left
	keepWhenSent bool   // it ended well before that
}

// Start makes an attempt; see node.Upstream.
func (p *Pool) Start(a node.Attempt, done func(node.Result)) node.OutgoingAttempt {
	ctx, stop := context.WithTimeout(context.Background(), p.options.ConnectTimeout)
	t := &attempt{Attempt: a, pool: p, done: done, cancelDial: stop, startedAt: time.Now()}
	if p.options.HTTP2 {
		go t.runHTTP2(ctx)
	} else {
		go t.runHTTP1(ctx)
	}
	return t
}

// Cancel ends the attempt's work: HTTP/1.1 has no other way than to close the
// connection, HTTP/2 resets the stream.
func (t *attempt) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.cancelLocked()
	}
}

// Withdraw is Cancel where the request is not being written yet. A write under way may
// have given the network the last byte: that it did not run could not be told.
func (t *attempt) Withdraw() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.writeStarted {
		return false
	}
	t.cancelLocked()
	return true
}

// startWrite notes that the request is written from now on; false where the attempt is over.
func (t *attempt) startWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writeStarted = !t.ended
	return t.writeStarted
}

// cancelLocked is Cancel under t.mu.
func (t *attempt) cancelLocked() {
	t.ended = true
	t.cancelDial()
	if t.conn != nil {
		t.conn.netConn.Close()
	}
	if t.resetStream != nil {
		go t.resetStream() // it writes; the loop must not wait
	}
}

// finish reports how the attempt ended, once. Its connection is kept only where
// the response was read whole and the request written whole.
func (t *attempt) finish(res node.Result, reusable bool) {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return
	}
	t.ended = true
	c := t.conn
	t.cancelDial()
	switch {
	case c == nil:
	case reusable && t.requestSent:
		t.pool.putIdle(c)
	case reusable:
		// A server may answer before it has read the body. It must read on soon.
		t.keepWhenSent = true
		c.netConn.SetWriteDeadline(time.Now().Add(t.pool.options.ConnectTimeout))
	default:
		c.netConn.Close()
	}
	t.mu.Unlock()
	t.done(res)
}

func (t *attempt) runHTTP1(ctx context.Context) {
	var buf []byte
	for {
		c, fresh, err := t.connect(ctx)
		if err == errNoConnection {
			t.finish(resultNoConnection, false)
			return
		}
		if err != nil {
			code, detail := attemptOutcome(beforeConnect, err)
			t.finish(node.Result{Code: code, Detail: detail}, false)
			return
		}
		t.mu.Lock()
		if t.ended {
			t.mu.Unlock()
			t.pool.putIdle(c) // nothing was sent on it
			return
		}
		t.conn = c
		t.mu.Unlock()
		if t.expired() {
			t.finish(resultTooLate, true)
			t.markRequestSent()
			return
		}
		buf = t.appendRequest(buf[:0])
		n, assigned := 0, c.assign(t)
		if err = net.ErrClosed; assigned && c.startWrite() {
			if !t.startWrite() {
				return // and the connection is closed
			}
			n, err = c.netConn.Write(buf)
		}
		switch {
		case err == nil:
			t.markRequestSent()
			return
		case n > 0:
			code, detail := attemptOutcome(duringWrite, err)
			t.finish(node.Result{Code: code, Detail: detail}, false)
			return
		case fresh:
			code, detail := attemptOutcome(beforeWrite, err)
			t.finish(node.Result{Code: code, Detail: detail}, false)
			return
		}
		// A kept connection that the server closed in the meantime, and that took
		// no byte, says nothing of the server: the same attempt goes on another.
		if assigned && !c.unassign(t) {
			return // its reader reports the end
		}
		t.pool.recordUse(c, true)
		c.netConn.Close()
		t.mu.Lock()
		t.writeStarted = false
		t.mu.Unlock()
	}
}

// appendRequest appends the attempt's bytes. The time that it states is what is left as it is
// written: a dial may have taken some of it.
func (t *attempt) appendRequest(b []byte) []byte {
	call := &t.Request.HTTP
	header := call.Header
	if t.pool.options.TimeoutHeader != "" {
		left := max(0, t.Timeout-time.Since(t.startedAt))
		header = append(header[:len(header):len(header)], http1.Field{Name: t.pool.options.TimeoutHeader, Value: strconv.FormatInt(left.Milliseconds(), 10)})
	}
	return http1.AppendRequest(b, call.Method, call.Target, call.Host, header, call.Body)
}

// resultTooLate is how an attempt ends that is not sent because too much time has passed,
// or the process stood still, since it was decided: its client may have left, and
// its server drain.
var resultTooLate = node.Result{Code: policy.TooLate, Detail: "too late to send"}

// resultNoConnection is how an attempt ends for want of a connection of this node's own; it says
// nothing of the server.
var resultNoConnection = node.Result{Code: policy.NoConnection, Detail: "no connection to spare"}

var errNoConnection = errors.New("upstream: all connections are in use")

func (t *attempt) expired() bool {
	return t.Timeout > 0 && time.Since(t.startedAt) >= t.Timeout || t.pool.options.PausedSince != nil && t.pool.options.PausedSince(t.DecidedAt)
}

// latency is how long a response was on its way that a connection has just given.
func (t *attempt) latency(nc net.Conn) time.Duration {
	at := pauseclock.ArrivalTime(nc)
	if at.IsZero() || t.DecidedAt.IsZero() {
		return 0 // the node's to measure
	}
	return max(1, at.Sub(t.DecidedAt))
}

// connectionKey names the server that the attempt's connections belong to.
func (t *attempt) connectionKey() string { return cmp.Or(t.ConnectionKey, t.Address) }

// connect takes a kept connection or makes one.
func (t *attempt) connect(ctx context.Context) (c *conn, fresh bool, err error) {
	if c := t.pool.takeIdle(t.connectionKey()); c != nil {
		return c, false, nil
	}
	if !t.pool.reserveConnection() {
		return nil, true, errNoConnection
	}
	nc, err := t.pool.options.Network.Dial(ctx, t.Address)
	if err != nil {
		t.pool.releaseConnection()
		return nil, true, err
	}
	if c = t.pool.addConnection(t.connectionKey(), nc); c == nil {
		nc.Close()
		t.pool.releaseConnection()
		return nil, true, net.ErrClosed
	}
	return c, true, nil
}

// markRequestSent notes that the whole request has left. Where the response was quicker
// the connection is kept only now.
func (t *attempt) markRequestSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestSent = true
	if t.keepWhenSent {
		t.pool.putIdle(t.conn)
	}
}

// takeIdle takes an idle connection to a server, or nil: the one used last that has been
// quiet since. What has lain idle for too long, or holds what nobody asked for, is closed
// instead.
func (p *Pool) takeIdle(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for {
		list := p.idle[key]
		i := len(list) - 1
		for i >= 0 && now.Sub(list[i].lastUsedAt) < minIdleBeforeReuse {
			i--
		}
		if i < 0 {
			return nil
		}
		c := list[i]
		p.idle[key] = slices.Delete(list, i, i+1)
		r, ok := c.netConn.(interface{ Readable() bool })
		if p.idleTooLong(c, now) || ok && r.Readable() {
			c.netConn.Close()
			continue
		}
		c.idleTime = now.Sub(c.lastUsedAt)
		return c
	}
}

// recordUse notes whether a connection broke at the use that has just ended.
func (p *Pool) recordUse(c *conn, broke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit.record(time.Since(p.createdAt), c.idleTime, broke)
}

func (p *Pool) idleTooLong(c *conn, now time.Time) bool {
	idle := now.Sub(c.lastUsedAt)
	return p.options.IdleTimeout > 0 && idle >= p.options.IdleTimeout || p.idleLimit.limit > 0 && idle >= p.idleLimit.limit
}

// reserveConnection counts one more connection; where there are too many the longest idle one
// goes. It is false where none is idle.
func (p *Pool) reserveConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxConnections > 0 && p.openConnections >= p.options.MaxConnections {
		oldest := ""
		for key, list := range p.idle {
			if len(list) > 0 && (oldest == "" || list[0].lastUsedAt.Before(p.idle[oldest][0].lastUsedAt)) {
				oldest = key
			}
		}
		if oldest == "" {
			return false
		}
		p.idle[oldest][0].netConn.Close()
		p.idle[oldest] = p.idle[oldest][1:]
	}
	p.openConnections++
	return true
}

// releaseConnection takes back what room counted.
func (p *Pool) releaseConnection() {
	p.mu.Lock()
	p.openConnections--
	p.mu.Unlock()
}

// putIdle puts a connection back, or closes it. Once in a while it looks for others
// that have been idle for too long.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if c.lastUsedAt = now; now.Sub(p.sweptAt) >= time.Second {
		p.sweptAt = now
		for key, list := range p.idle {
			n := 0
			for n < len(list) && p.idleTooLong(list[n], now) {
				list[n].netConn.Close()
				n++
			}
			p.idle[key] = list[n:]
		}
	}
	if p.closed || len(p.idle[c.key]) >= p.options.MaxIdlePerServer {
		c.netConn.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// CloseIdle closes the idle connections to a server that is gone.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		c.netConn.Close()
	}
	delete(p.idle, key)
}

func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections--
	list := p.idle[c.key]
	for i := range list {
		if list[i] == c {
			p.idle[c.key] = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(p.idle[c.key]) == 0 {
		delete(p.idle, c.key)
	}
}

// Close closes the idle connections and waits until all have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, list := range p.h2Conns {
		for _, c := range list {
			c.netConn.Close()
		}
	}
	for _, list := range p.idle {
		for _, c := range list {
			c.netConn.Close()
		}
	}
	p.mu.Unlock()
	p.readers.Wait()
}

// conn is one connection, with a goroutine that reads from it, idle or not: a
// server that closes it is noticed before a request is lost on it.
type conn struct {
	pool         *Pool
	key          string // of its server
	netConn      net.Conn
	reader       *http1.Reader
	lastUsedAt   time.Time     // when it was last used; under the pool's lock
	idleTime     time.Duration // it was idle before the use under way
	stallTimeout time.Duration // a read that brings nothing for so long fails; 0: none does. The reader's alone

	mu           sync.Mutex
	attempt      *attempt // whose response is awaited
	writeStarted bool     // its request is being written: what comes now may answer it
	broken       bool     // it has ended
}

// addConnection takes in a addConnection that has come up. It returns nil where the pool was closed meanwhile:
// Close waits for the readers of those alone that it knows.
func (p *Pool) addConnection(key string, nc net.Conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	c := &conn{pool: p, key: key, netConn: nc}
	c.reader = http1.NewReader(c, p.options.Limits)
	p.readers.Add(1)
	go c.readLoop()
	return c
}

// Read reads for the connection's http1.Reader.
func (c *conn) Read(b []byte) (int, error) {
	if c.stallTimeout > 0 {
		c.netConn.SetReadDeadline(time.Now().Add(c.stallTimeout))
	}
	return c.netConn.Read(b)
}

// assign gives the connection an attempt to carry; false where it has ended.
func (c *conn) assign(t *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return false // the server ended it, or spoke unasked
	}
	c.attempt, c.writeStarted = t, false
	return true
}

// startWrite notes that the request is written from now on; false where something came
// before, which can't be the answer to it.
func (c *conn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = true
	return !c.broken
}

// unassign takes an attempt back; false where its end was seen already.
func (c *conn) unassign(t *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != t {
		return false
	}
	c.attempt = nil
	return true
}

func (c *conn) readLoop() {
	defer c.pool.readers.Done()
	for {
		err := c.reader.Await()
		c.mu.Lock()
		if !c.writeStarted {
			// Nobody asked yet: an attempt that was just given the connection goes on
			// another, which it learns from sends.
			c.broken = true
			c.mu.Unlock()
			break
		}
		t := c.attempt
		c.attempt, c.writeStarted = nil, false
		c.broken = err != nil || t == nil
		c.mu.Unlock()
		if t == nil {
			break
		}
		if !errors.Is(err, net.ErrClosed) { // it was not closed here
			c.pool.recordUse(c, err != nil)
		}
		if err != nil {
			code, detail := attemptOutcome(beforeResponse, err)
			t.finish(node.Result{Code: code, Detail: detail}, false)
			break
		}
		c.stallTimeout = responseStallTimeout(t.Timeout)
		again := c.readResponse(t)
		if c.stallTimeout = 0; !again {
			break
		}
		c.netConn.SetReadDeadline(time.Time{})
	}
	c.pool.remove(c)
	c.netConn.Close()
}

// readResponse reads the readResponse to an attempt. It tells whether the connection
// may be used further.
func (c *conn) readResponse(t *attempt) bool {
	head, err := c.reader.Response(t.Request.HTTP.Method)
	if err != nil {
		code, detail := attemptOutcome(duringResponse, err)
		t.finish(node.Result{Code: code, Detail: detail}, false)
		return false
	}
	long := c.pool.bodyBytesToReserve(head)
	if !c.pool.reserveBodyBytes(long) {
		t.finish(resultBufferFull, false)
		return false
	}
	body, err := c.reader.Body(head.Framing, head.Length)
	c.pool.bufferedBytes.Add(-long)
	if err != nil {
		code, detail := attemptOutcome(duringResponse, err)
		t.finish(node.Result{Code: code, Detail: detail}, false)
		return false
	}
	res := &node.Response{Status: head.Status, Header: head.Header.EndToEnd(), Body: body}
	result := node.Result{Code: c.pool.options.RejectionSignal.resultCode(head), Response: res, Latency: t.latency(c.netConn)}
	if result.Code != policy.OK {
		result.Detail = fmt.Sprintf("status %d", head.Status)
	}
	t.finish(result, head.KeepAlive() && c.reader.Buffered() == 0)
	return head.KeepAlive()
}

// resultBufferFull is how an attempt ends whose response has no place here.
var resultBufferFull = node.Result{Code: policy.Reset, Detail: "response too long for what is held already"}

const minCountedBodyBytes = 64 << 10 // bytes; shorter bodies are not counted

// bodyBytesToReserve is what a body may come to hold, where it is bodyBytesToReserve.
func (p *Pool) bodyBytesToReserve(head *http1.Response) int64 {
	switch {
	case head.Framing == http1.Length && head.Length <= minCountedBodyBytes || head.Framing == http1.NoBody:
		return 0
	case head.Framing == http1.Length:
		return head.Length
	}
	return p.options.Limits.Body
}

// reserveBodyBytes counts a long body; false where there is no place for it.
func (p *Pool) reserveBodyBytes(long int64) bool {
	if p.bufferedBytes.Add(long) > p.options.MaxBufferedBodyBytes && p.options.MaxBufferedBodyBytes > 0 && long > 0 {
		p.bufferedBytes.Add(-long)
		return false
	}
	return true
}
