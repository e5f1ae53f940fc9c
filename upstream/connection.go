package upstream

import (
	"errors"
	"net"
	"sync"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

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
	reservation := bodyReservation{account: t.Request.Memory}
	body, err := c.readBody(head, &reservation)
	if err != nil {
		reservation.release()
	}
	if errors.Is(err, errBufferFull) {
		t.finish(resultBufferFull, false)
		return false
	}
	if err != nil {
		code, detail := attemptOutcome(duringResponse, err)
		t.finish(node.Result{Code: code, Detail: detail}, false)
		return false
	}
	t.finish(t.responseResult(head, body, c.netConn), head.KeepAlive() && c.reader.Buffered() == 0)
	return head.KeepAlive()
}

// readBody reads the body of a response, for as long as there is room for it.
func (c *conn) readBody(head *http1.Response, reservation *bodyReservation) ([]byte, error) {
	if head.Framing == http1.Length {
		if err := reservation.announce(head.Length); err != nil {
			return nil, err
		}
	}
	return c.reader.BodyWithin(head.Framing, head.Length, reservation.add)
}

// resultBufferFull is the result of an attempt whose response finds no room.
var resultBufferFull = node.Result{Code: policy.Reset, Detail: "response too long for what is held already"}
