// Package upstream sends attempts to servers over pooled HTTP/1.1 or HTTP/2 connections, and
// decides which ends of an attempt prove that its request was not executed.
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

// Options configures a Pool.
type Options struct {
	Network          network.Network
	Limits           http1.Limits  // of responses
	ConnectTimeout   time.Duration // to connect to a server
	MaxIdlePerServer int           // idle HTTP/1.1 connections kept to each server
	IdleTimeout      time.Duration // HTTP/1.1 connections idle for longer are closed instead of reused; 0: no limit
	// MaxConnections limits the number of HTTP/1.1 connections, to all servers together. 0: no limit.
	MaxConnections       int
	MaxBufferedBodyBytes int64  // of all HTTP/1.1 response bodies above minCountedBodyBytes being read; 0: no limit
	TimeoutHeader        string // HTTP/1.1 request header that states the remaining time of an attempt in ms; "": none
	RejectionSignal      RejectionSignal
	HTTP2                bool // use HTTP/2 with prior knowledge
	// PausedSince reports whether the process was paused after a time. nil: it never is. An
	// attempt that was decided before a pause is not sent after it.
	PausedSince func(since time.Time) bool
}

// Pool keeps connections to servers and makes attempts on them. It implements [node.Upstream].
type Pool struct {
	options         Options
	mu              sync.Mutex
	idle            map[string][]*conn // by server, in the order of last use; the most recent is reused first
	openConnections int                // over HTTP/1.1, including those being dialed
	bufferedBytes   atomic.Int64       // reserved for response bodies being read
	sweptAt         time.Time          // time of the last check for connections idle too long
	idleLimit       idleLimitEstimator
	createdAt       time.Time            // time 0 of idleLimit
	h2Conns         map[string][]*h2Conn // by address
	closed          bool
	readers         sync.WaitGroup // goroutines that read from connections
}

// New returns an empty Pool.
func New(o Options) *Pool {
	return &Pool{options: o, idle: map[string][]*conn{}, h2Conns: map[string][]*h2Conn{}, createdAt: time.Now()}
}

// attempt is one attempt in flight. It implements [node.OutgoingAttempt].
type attempt struct {
	node.Attempt
	pool *Pool
	done func(node.Result)

	mu           sync.Mutex
	ended        bool // its result was reported, or it was canceled
	conn         *conn
	cancelDial   context.CancelFunc
	startedAt    time.Time
	resetStream  func() // HTTP/2 only
	writeStarted bool   // writing has begun: it is unknown how much of the request was sent
	requestSent  bool   // the complete request was written
	keepWhenSent bool   // its response was complete first: keep the connection once the request is sent
}

// Start starts an attempt; see [node.Upstream].
func (p *Pool) Start(a node.Attempt, done func(node.Result)) node.OutgoingAttempt {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.ConnectTimeout)
	t := &attempt{Attempt: a, pool: p, done: done, cancelDial: cancel, startedAt: time.Now()}
	if p.options.HTTP2 {
		go t.runHTTP2(ctx)
	} else {
		go t.runHTTP1(ctx)
	}
	return t
}

// Cancel ends the attempt. Over HTTP/1.1 it closes the connection, since there is no other way;
// over HTTP/2 it resets the stream.
func (t *attempt) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.cancelLocked()
	}
}

// Withdraw cancels the attempt unless writing its request has begun. A write in progress may have
// sent the last byte already, so the request may be executed.
func (t *attempt) Withdraw() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.writeStarted {
		return false
	}
	t.cancelLocked()
	return true
}

// startWrite records that writing the request begins. It returns false if the attempt has ended.
func (t *attempt) startWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writeStarted = !t.ended
	return t.writeStarted
}

// cancelLocked ends the attempt without a result. t.mu must be held.
func (t *attempt) cancelLocked() {
	t.ended = true
	t.cancelDial()
	if t.conn != nil {
		t.conn.netConn.Close()
	}
	if t.resetStream != nil {
		go t.resetStream() // it writes to the connection, and the caller must not block
	}
}

// finish reports the result of the attempt unless it has ended already. The connection is kept if
// it is reusable, but not before the request was written completely.
func (t *attempt) finish(result node.Result, reusable bool) {
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
		// The server responded before it had read the body. It must read the rest in time.
		t.keepWhenSent = true
		c.netConn.SetWriteDeadline(time.Now().Add(t.pool.options.ConnectTimeout))
	default:
		c.netConn.Close()
	}
	t.mu.Unlock()
	t.done(result)
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
			t.pool.putIdle(c) // nothing was written to it
			return
		}
		t.conn = c
		t.mu.Unlock()
		if client := t.Request.Client; client != nil {
			client.AwaitReceived()
		}
		buf = t.appendRequest(buf[:0])
		if reason := t.reasonNotToSend(); reason != nil {
			t.finish(*reason, true)
			t.markRequestSent()
			return
		}
		n, assigned := 0, c.assign(t)
		if err = net.ErrClosed; assigned && c.startWrite() {
			if !t.startWrite() {
				return // canceled, which has closed the connection
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
		// The server closed the reused connection in the meantime and no byte was sent. That
		// does not mean that the server has failed: try again on another connection.
		if assigned && !c.unassign(t) {
			return // readLoop has seen the end of the connection and reports the result
		}
		t.pool.recordUse(c, true)
		c.netConn.Close()
		t.mu.Lock()
		t.writeStarted = false
		t.mu.Unlock()
	}
}

// appendRequest appends the encoded request to b. The timeout that it states is the time left now,
// without the time that dialing has taken.
func (t *attempt) appendRequest(b []byte) []byte {
	call := &t.Request.HTTP
	header := call.Header
	if t.pool.options.TimeoutHeader != "" {
		left := max(0, t.Timeout-time.Since(t.startedAt))
		header = append(header[:len(header):len(header)], http1.Field{Name: t.pool.options.TimeoutHeader, Value: strconv.FormatInt(left.Milliseconds(), 10)})
	}
	return http1.AppendRequest(b, call.Method, call.Target, call.Host, header, call.Body)
}

// resultTooLate is the result of an attempt that is not sent because its timeout has passed, or
// because the process was paused since the attempt was decided: meanwhile the client may have
// disconnected or the server may have begun to drain.
var resultTooLate = node.Result{Code: policy.TooLate, Detail: "too late to send"}

// resultNoConnection is the result of an attempt that is not sent because this node has reached
// MaxConnections. It is not a failure of the server.
var resultNoConnection = node.Result{Code: policy.NoConnection, Detail: "no connection to spare"}

var errNoConnection = errors.New("upstream: all connections are in use")

// expired reports whether it is too late to send the attempt; see resultTooLate.
func (t *attempt) expired() bool {
	return t.Timeout > 0 && time.Since(t.startedAt) >= t.Timeout || t.pool.options.PausedSince != nil && t.pool.options.PausedSince(t.DecidedAt)
}

// reasonNotToSend returns the result of an attempt that must not be sent any more, or nil. It is called right
// before the request is written.
func (t *attempt) reasonNotToSend() *node.Result {
	switch {
	case t.expired():
		return &resultTooLate
	case t.Request.Client != nil && t.Request.Client.Disconnected():
		return &node.ResultClientDisconnected
	}
	return nil
}

// latency returns the time from the decision on the attempt until the data last read from a
// connection arrived. 0: not known; the node measures it.
func (t *attempt) latency(netConn net.Conn) time.Duration {
	arrivedAt := pauseclock.ArrivalTime(netConn)
	if arrivedAt.IsZero() || t.DecidedAt.IsZero() {
		return 0
	}
	return max(1, arrivedAt.Sub(t.DecidedAt))
}

// connectionKey identifies the server in the pool: connections are reused by attempts with the
// same key.
func (t *attempt) connectionKey() string { return cmp.Or(t.ConnectionKey, t.Address) }

// connect returns an idle connection, or a fresh one if there is none.
func (t *attempt) connect(ctx context.Context) (c *conn, fresh bool, err error) {
	if c := t.pool.takeIdle(t.connectionKey()); c != nil {
		return c, false, nil
	}
	if !t.pool.reserveConnection() {
		return nil, true, errNoConnection
	}
	netConn, err := t.pool.options.Network.Dial(ctx, t.Address)
	if err != nil {
		t.pool.releaseConnection()
		return nil, true, err
	}
	if c = t.pool.addConnection(t.connectionKey(), netConn); c == nil {
		netConn.Close()
		t.pool.releaseConnection()
		return nil, true, net.ErrClosed
	}
	return c, true, nil
}

// markRequestSent records that the complete request was written. If the response was complete
// before, the connection is returned to the pool now.
func (t *attempt) markRequestSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestSent = true
	if t.keepWhenSent {
		t.pool.putIdle(t.conn)
	}
}

// takeIdle removes an idle connection to a server from the pool and returns it, or nil. It takes
// the most recently used one that has been idle for minIdleBeforeReuse. Connections that have been
// idle for too long, or on which the server has sent unsolicited data, are closed instead.
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

// recordUse records whether a connection broke before the response to its latest request began.
func (p *Pool) recordUse(c *conn, broke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit.record(time.Since(p.createdAt), c.idleTime, broke)
}

// idleTooLong reports whether a connection exceeds the configured or the estimated idle timeout.
func (p *Pool) idleTooLong(c *conn, now time.Time) bool {
	idle := now.Sub(c.lastUsedAt)
	return p.options.IdleTimeout > 0 && idle >= p.options.IdleTimeout || p.idleLimit.limit > 0 && idle >= p.idleLimit.limit
}

// reserveConnection counts a connection that is about to be dialed. At MaxConnections it first
// closes the connection that has been idle longest, and returns false if none is idle.
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

// releaseConnection undoes reserveConnection after dialing has failed.
func (p *Pool) releaseConnection() {
	p.mu.Lock()
	p.openConnections--
	p.mu.Unlock()
}

// putIdle returns a connection to the pool, or closes it if the pool has enough. Once per second
// it also closes the connections that have been idle for too long.
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

// CloseIdle closes the idle connections to a server, for example after it was removed from the
// endpoint list. key is its connection key.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		c.netConn.Close()
	}
	delete(p.idle, key)
}

// remove removes a connection that has ended.
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

// Close closes the idle HTTP/1.1 connections and all HTTP/2 connections, and waits until every
// connection has ended.
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

// conn is one HTTP/1.1 connection. A goroutine reads from it even while it is idle, so that a close
// by the server is detected before a request is written to the connection.
type conn struct {
	pool         *Pool
	key          string // of its server; see attempt.connectionKey
	netConn      net.Conn
	reader       *http1.Reader
	lastUsedAt   time.Time     // protected by the pool's lock
	idleTime     time.Duration // how long it was idle before its current use
	stallTimeout time.Duration // maximum duration of one read; 0: no limit. Used only by readLoop

	mu           sync.Mutex
	attempt      *attempt // the attempt that awaits a response; nil: none
	writeStarted bool     // its request is being written, so data received from now on may be the response
	broken       bool     // the connection has ended
}

// addConnection adds a connection that was just dialed and starts its reader. It returns nil if the pool
// was closed meanwhile, since Close does not wait for readers that start later.
func (p *Pool) addConnection(key string, netConn net.Conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	c := &conn{pool: p, key: key, netConn: netConn}
	c.reader = http1.NewReader(c, p.options.Limits)
	p.readers.Add(1)
	go c.readLoop()
	return c
}

// Read reads from the connection under the stall timeout. It is called by the http1.Reader.
func (c *conn) Read(b []byte) (int, error) {
	if c.stallTimeout > 0 {
		c.netConn.SetReadDeadline(time.Now().Add(c.stallTimeout))
	}
	return c.netConn.Read(b)
}

// assign sets the attempt that uses the connection next. It returns false if the connection has
// ended.
func (c *conn) assign(t *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return false // the server closed it, or sent unsolicited data
	}
	c.attempt, c.writeStarted = t, false
	return true
}

// startWrite records that writing the request begins. It returns false if data has arrived before,
// which can't be the response to it.
func (c *conn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = true
	return !c.broken
}

// unassign removes an attempt from the connection. It returns false if readLoop has already taken
// the attempt and reports its result.
func (c *conn) unassign(t *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != t {
		return false
	}
	c.attempt = nil
	return true
}

// readLoop reads responses until the connection ends.
func (c *conn) readLoop() {
	defer c.pool.readers.Done()
	for {
		err := c.reader.Await()
		c.mu.Lock()
		if !c.writeStarted {
			// The data is unsolicited, since no request was written, or the connection was
			// closed. For an attempt that was just assigned, startWrite returns false, and
			// the attempt uses another connection.
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
		if !errors.Is(err, net.ErrClosed) { // not closed by this process
			c.pool.recordUse(c, err != nil)
		}
		if err != nil {
			code, detail := attemptOutcome(beforeResponse, err)
			t.finish(node.Result{Code: code, Detail: detail}, false)
			break
		}
		c.stallTimeout = responseStallTimeout(t.Timeout)
		reusable := c.readResponse(t)
		if c.stallTimeout = 0; !reusable {
			break
		}
		c.netConn.SetReadDeadline(time.Time{})
	}
	c.pool.remove(c)
	c.netConn.Close()
}

// readResponse reads the response to an attempt and reports whether the connection can be used
// again.
func (c *conn) readResponse(t *attempt) bool {
	head, err := c.reader.Response(t.Request.HTTP.Method)
	if err != nil {
		code, detail := attemptOutcome(duringResponse, err)
		t.finish(node.Result{Code: code, Detail: detail}, false)
		return false
	}
	reserved := c.pool.bodyBytesToReserve(head)
	if !c.pool.reserveBodyBytes(reserved) {
		t.finish(resultBufferFull, false)
		return false
	}
	body, err := c.reader.Body(head.Framing, head.Length)
	c.pool.bufferedBytes.Add(-reserved)
	if err != nil {
		code, detail := attemptOutcome(duringResponse, err)
		t.finish(node.Result{Code: code, Detail: detail}, false)
		return false
	}
	t.finish(t.responseResult(head, body, c.netConn), head.KeepAlive() && c.reader.Buffered() == 0)
	return head.KeepAlive()
}

// responseResult returns the result of an attempt with a complete response.
func (t *attempt) responseResult(head *http1.Response, body []byte, netConn net.Conn) node.Result {
	result := node.Result{
		Code:     t.pool.options.RejectionSignal.resultCode(head),
		Response: &node.Response{Status: head.Status, Header: head.Header.EndToEnd(), Body: body},
		Latency:  t.latency(netConn),
	}
	if result.Code != policy.OK {
		result.Detail = fmt.Sprintf("status %d", head.Status)
	}
	return result
}

// resultBufferFull is the result of an attempt whose response would exceed MaxBufferedBodyBytes.
var resultBufferFull = node.Result{Code: policy.Reset, Detail: "response too long for what is held already"}

const minCountedBodyBytes = 64 << 10 // bodies up to this size do not count towards MaxBufferedBodyBytes

// bodyBytesToReserve returns the maximum size of the body of a response, or 0 if it is too small
// to count.
func (p *Pool) bodyBytesToReserve(head *http1.Response) int64 {
	switch {
	case head.Framing == http1.Length && head.Length <= minCountedBodyBytes || head.Framing == http1.NoBody:
		return 0
	case head.Framing == http1.Length:
		return head.Length
	}
	return p.options.Limits.MaxBodyBytes
}

// reserveBodyBytes reserves memory for a body. It returns false if MaxBufferedBodyBytes would be
// exceeded.
func (p *Pool) reserveBodyBytes(size int64) bool {
	if p.bufferedBytes.Add(size) > p.options.MaxBufferedBodyBytes && p.options.MaxBufferedBodyBytes > 0 && size > 0 {
		p.bufferedBytes.Add(-size)
		return false
	}
	return true
}
