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
	Network     network.Network
	Limits      http1.Limits  // of responses
	ConnectTime time.Duration // to connect to a server
	Idle        int           // idle connections kept to each server
	IdleTime    time.Duration // one idle for longer is closed, not used; 0: any time
	// MaxConnections bounds the connections over HTTP/1.1; 0: any number.
	MaxConnections int
	Held           int64  // bytes of long bodies being read, all together; 0: any number
	Patience       string // field that states an attempt's time-out in ms; "": none
	TurnedAway     TurnedAway
	HTTP2          bool // servers speak HTTP/2, by prior knowledge
	// PausedSince reports whether the process was paused after a time; nil: it never
	// is. What was decided before is not sent after.
	PausedSince func(since time.Time) bool
}

// Pool keeps connections to servers and makes attempts on them. It is a
// node.Upstream.
type Pool struct {
	o      Options
	mu     sync.Mutex
	idle   map[string][]*conn // by server; the last used goes first
	open   int                // connections over HTTP/1.1, those being made among them
	held   atomic.Int64       // bytes of long bodies being read
	swept  time.Time          // when idle ones were last looked through
	trust  trust
	base   time.Time // trust's time 0
	h2     map[string][]*h2conn
	closed bool
	conns  sync.WaitGroup
}

// New returns an empty Pool.
func New(o Options) *Pool {
	return &Pool{o: o, idle: map[string][]*conn{}, h2: map[string][]*h2conn{}, base: time.Now()}
}

// attempt is one attempt on its way.
type attempt struct {
	node.Attempt
	p    *Pool
	done func(node.Result)

	mu    sync.Mutex
	over  bool // it has ended, or was cancelled
	c     *conn
	dial  context.CancelFunc
	start time.Time
	reset func() // over HTTP/2: ends its stream
	begun bool   // its request is being written: from here on nobody knows how much has left
	wrote bool   // the whole request has left
	keep  bool   // it ended well before that
}

// Start makes an attempt; see node.Upstream.
func (p *Pool) Start(a node.Attempt, done func(node.Result)) node.OutgoingAttempt {
	ctx, stop := context.WithTimeout(context.Background(), p.o.ConnectTime)
	t := &attempt{Attempt: a, p: p, done: done, dial: stop, start: time.Now()}
	if p.o.HTTP2 {
		go t.runHTTP2(ctx)
	} else {
		go t.run(ctx)
	}
	return t
}

// Cancel ends the attempt's work: HTTP/1.1 has no other way than to close the
// connection, HTTP/2 resets the stream.
func (t *attempt) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.over {
		t.abandon()
	}
}

// Withdraw is Cancel where the request is not being written yet. A write under way may
// have given the network the last byte: that it did not run could not be told.
func (t *attempt) Withdraw() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over || t.begun {
		return false
	}
	t.abandon()
	return true
}

// begin notes that the request is written from now on; false where the attempt is over.
func (t *attempt) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun = !t.over
	return t.begun
}

// abandon is Cancel under t.mu.
func (t *attempt) abandon() {
	t.over = true
	t.dial()
	if t.c != nil {
		t.c.nc.Close()
	}
	if t.reset != nil {
		go t.reset() // it writes; the loop must not wait
	}
}

// end reports how the attempt ended, once. Its connection is kept only where
// the response was read whole and the request written whole.
func (t *attempt) end(res node.Result, reusable bool) {
	t.mu.Lock()
	if t.over {
		t.mu.Unlock()
		return
	}
	t.over = true
	c := t.c
	t.dial()
	switch {
	case c == nil:
	case reusable && t.wrote:
		t.p.keep(c)
	case reusable:
		// A server may answer before it has read the body. It must read on soon.
		t.keep = true
		c.nc.SetWriteDeadline(time.Now().Add(t.p.o.ConnectTime))
	default:
		c.nc.Close()
	}
	t.mu.Unlock()
	t.done(res)
}

func (t *attempt) run(ctx context.Context) {
	var buf []byte
	for {
		c, fresh, err := t.connect(ctx)
		if err == errNoConnection {
			t.end(noConnection, false)
			return
		}
		if err != nil {
			code, detail := ended(notConnected, err)
			t.end(node.Result{Code: code, Detail: detail}, false)
			return
		}
		t.mu.Lock()
		if t.over {
			t.mu.Unlock()
			t.p.keep(c) // nothing was sent on it
			return
		}
		t.c = c
		t.mu.Unlock()
		if t.late() {
			t.end(tooLate, true)
			t.written()
			return
		}
		buf = t.request(buf[:0])
		n, assigned := 0, c.assign(t)
		if err = net.ErrClosed; assigned && c.sends() {
			if !t.begin() {
				return // and the connection is closed
			}
			n, err = c.nc.Write(buf)
		}
		switch {
		case err == nil:
			t.written()
			return
		case n > 0:
			code, detail := ended(partSent, err)
			t.end(node.Result{Code: code, Detail: detail}, false)
			return
		case fresh:
			code, detail := ended(nothingSent, err)
			t.end(node.Result{Code: code, Detail: detail}, false)
			return
		}
		// A kept connection that the server closed in the meantime, and that took
		// no byte, says nothing of the server: the same attempt goes on another.
		if assigned && !c.unassign(t) {
			return // its reader reports the end
		}
		t.p.learn(c, true)
		c.nc.Close()
		t.mu.Lock()
		t.begun = false
		t.mu.Unlock()
	}
}

// request appends the attempt's bytes. The time that it states is what is left as it is
// written: a dial may have taken some of it.
func (t *attempt) request(b []byte) []byte {
	call := &t.Request.HTTP
	header := call.Header
	if t.p.o.Patience != "" {
		left := max(0, t.Timeout-time.Since(t.start))
		header = append(header[:len(header):len(header)], http1.Field{Name: t.p.o.Patience, Value: strconv.FormatInt(left.Milliseconds(), 10)})
	}
	return http1.AppendRequest(b, call.Method, call.Target, call.Host, header, call.Body)
}

// tooLate is how an attempt ends that is not sent because too much time has passed,
// or the process stood still, since it was decided: its client may have left, and
// its server drain.
var tooLate = node.Result{Code: policy.TooLate, Detail: "too late to send"}

// noConnection is how an attempt ends for want of a connection of this node's own; it says
// nothing of the server.
var noConnection = node.Result{Code: policy.NoConnection, Detail: "no connection to spare"}

var errNoConnection = errors.New("upstream: all connections are in use")

func (t *attempt) late() bool {
	return t.Timeout > 0 && time.Since(t.start) >= t.Timeout || t.p.o.PausedSince != nil && t.p.o.PausedSince(t.DecidedAt)
}

// took is how long a response was on its way that a connection has just given.
func (t *attempt) took(nc net.Conn) time.Duration {
	at := pauseclock.ArrivalTime(nc)
	if at.IsZero() || t.DecidedAt.IsZero() {
		return 0 // the node's to measure
	}
	return max(1, at.Sub(t.DecidedAt))
}

// key names the server that the attempt's connections belong to.
func (t *attempt) key() string { return cmp.Or(t.ConnectionKey, t.Address) }

// connect takes a kept connection or makes one.
func (t *attempt) connect(ctx context.Context) (c *conn, fresh bool, err error) {
	if c := t.p.take(t.key()); c != nil {
		return c, false, nil
	}
	if !t.p.room() {
		return nil, true, errNoConnection
	}
	nc, err := t.p.o.Network.Dial(ctx, t.Address)
	if err != nil {
		t.p.unroom()
		return nil, true, err
	}
	if c = t.p.connection(t.key(), nc); c == nil {
		nc.Close()
		t.p.unroom()
		return nil, true, net.ErrClosed
	}
	return c, true, nil
}

// written notes that the whole request has left. Where the response was quicker
// the connection is kept only now.
func (t *attempt) written() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrote = true
	if t.keep {
		t.p.keep(t.c)
	}
}

// take takes an idle connection to a server, or nil: the one used last that has been
// quiet since. What has lain idle for too long, or holds what nobody asked for, is closed
// instead.
func (p *Pool) take(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for {
		list := p.idle[key]
		i := len(list) - 1
		for i >= 0 && now.Sub(list[i].since) < quiet {
			i--
		}
		if i < 0 {
			return nil
		}
		c := list[i]
		p.idle[key] = slices.Delete(list, i, i+1)
		r, ok := c.nc.(interface{ Readable() bool })
		if p.stale(c, now) || ok && r.Readable() {
			c.nc.Close()
			continue
		}
		c.idle = now.Sub(c.since)
		return c
	}
}

// learn notes whether a connection broke at the use that has just ended.
func (p *Pool) learn(c *conn, broke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trust.ended(time.Since(p.base), c.idle, broke)
}

func (p *Pool) stale(c *conn, now time.Time) bool {
	idle := now.Sub(c.since)
	return p.o.IdleTime > 0 && idle >= p.o.IdleTime || p.trust.limit > 0 && idle >= p.trust.limit
}

// room counts one more connection; where there are too many the longest idle one
// goes. It is false where none is idle.
func (p *Pool) room() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.o.MaxConnections > 0 && p.open >= p.o.MaxConnections {
		oldest := ""
		for key, list := range p.idle {
			if len(list) > 0 && (oldest == "" || list[0].since.Before(p.idle[oldest][0].since)) {
				oldest = key
			}
		}
		if oldest == "" {
			return false
		}
		p.idle[oldest][0].nc.Close()
		p.idle[oldest] = p.idle[oldest][1:]
	}
	p.open++
	return true
}

// unroom takes back what room counted.
func (p *Pool) unroom() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// keep puts a connection back, or closes it. Once in a while it looks for others
// that have been idle for too long.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if c.since = now; now.Sub(p.swept) >= time.Second {
		p.swept = now
		for key, list := range p.idle {
			n := 0
			for n < len(list) && p.stale(list[n], now) {
				list[n].nc.Close()
				n++
			}
			p.idle[key] = list[n:]
		}
	}
	if p.closed || len(p.idle[c.key]) >= p.o.Idle {
		c.nc.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Leave closes the idle connections to a server that is gone.
func (p *Pool) Leave(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		c.nc.Close()
	}
	delete(p.idle, key)
}

func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
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
	for _, list := range p.h2 {
		for _, c := range list {
			c.nc.Close()
		}
	}
	for _, list := range p.idle {
		for _, c := range list {
			c.nc.Close()
		}
	}
	p.mu.Unlock()
	p.conns.Wait()
}

// conn is one connection, with a goroutine that reads from it, idle or not: a
// server that closes it is noticed before a request is lost on it.
type conn struct {
	p     *Pool
	key   string // of its server
	nc    net.Conn
	r     *http1.Reader
	since time.Time     // when it was last used; under the pool's lock
	idle  time.Duration // it was idle before the use under way
	stall time.Duration // a read that brings nothing for so long fails; 0: none does. The reader's alone

	mu   sync.Mutex
	t    *attempt // whose response is awaited
	sent bool     // its request is being written: what comes now may answer it
	bad  bool     // it has ended
}

// connection takes in a connection that has come up. It returns nil where the pool was closed meanwhile:
// Close waits for the readers of those alone that it knows.
func (p *Pool) connection(key string, nc net.Conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	c := &conn{p: p, key: key, nc: nc}
	c.r = http1.NewReader(c, p.o.Limits)
	p.conns.Add(1)
	go c.read()
	return c
}

// Read reads for the connection's http1.Reader.
func (c *conn) Read(b []byte) (int, error) {
	if c.stall > 0 {
		c.nc.SetReadDeadline(time.Now().Add(c.stall))
	}
	return c.nc.Read(b)
}

// assign gives the connection an attempt to carry; false where it has ended.
func (c *conn) assign(t *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bad {
		return false // the server ended it, or spoke unasked
	}
	c.t, c.sent = t, false
	return true
}

// sends notes that the request is written from now on; false where something came
// before, which can't be the answer to it.
func (c *conn) sends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = true
	return !c.bad
}

// unassign takes an attempt back; false where its end was seen already.
func (c *conn) unassign(t *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.t != t {
		return false
	}
	c.t = nil
	return true
}

func (c *conn) read() {
	defer c.p.conns.Done()
	for {
		err := c.r.Await()
		c.mu.Lock()
		if !c.sent {
			// Nobody asked yet: an attempt that was just given the connection goes on
			// another, which it learns from sends.
			c.bad = true
			c.mu.Unlock()
			break
		}
		t := c.t
		c.t, c.sent = nil, false
		c.bad = err != nil || t == nil
		c.mu.Unlock()
		if t == nil {
			break
		}
		if !errors.Is(err, net.ErrClosed) { // it was not closed here
			c.p.learn(c, err != nil)
		}
		if err != nil {
			code, detail := ended(noResponse, err)
			t.end(node.Result{Code: code, Detail: detail}, false)
			break
		}
		c.stall = stalled(t.Timeout)
		again := c.response(t)
		if c.stall = 0; !again {
			break
		}
		c.nc.SetReadDeadline(time.Time{})
	}
	c.p.drop(c)
	c.nc.Close()
}

// response reads the response to an attempt. It tells whether the connection
// may be used further.
func (c *conn) response(t *attempt) bool {
	head, err := c.r.Response(t.Request.HTTP.Method)
	if err != nil {
		code, detail := ended(badResponse, err)
		t.end(node.Result{Code: code, Detail: detail}, false)
		return false
	}
	long := c.p.long(head)
	if !c.p.hold(long) {
		t.end(tooMuch, false)
		return false
	}
	body, err := c.r.Body(head.Framing, head.Length)
	c.p.held.Add(-long)
	if err != nil {
		code, detail := ended(badResponse, err)
		t.end(node.Result{Code: code, Detail: detail}, false)
		return false
	}
	res := &node.Response{Status: head.Status, Header: head.Header.EndToEnd(), Body: body}
	result := node.Result{Code: c.p.o.TurnedAway.code(head), Response: res, Latency: t.took(c.nc)}
	if result.Code != policy.OK {
		result.Detail = fmt.Sprintf("status %d", head.Status)
	}
	t.end(result, head.KeepAlive() && c.r.Buffered() == 0)
	return head.KeepAlive()
}

// tooMuch is how an attempt ends whose response has no place here.
var tooMuch = node.Result{Code: policy.Reset, Detail: "response too long for what is held already"}

const longBody = 64 << 10 // bytes; shorter bodies are not counted

// long is what a body may come to hold, where it is long.
func (p *Pool) long(head *http1.Response) int64 {
	switch {
	case head.Framing == http1.Length && head.Length <= longBody || head.Framing == http1.NoBody:
		return 0
	case head.Framing == http1.Length:
		return head.Length
	}
	return p.o.Limits.MaxBodyBytes
}

// hold counts a long body; false where there is no place for it.
func (p *Pool) hold(long int64) bool {
	if p.held.Add(long) > p.o.Held && p.o.Held > 0 && long > 0 {
		p.held.Add(-long)
		return false
	}
	return true
}
