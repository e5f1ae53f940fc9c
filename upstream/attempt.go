package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

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
	t := &attempt{Attempt: a, pool: p, done: done, startedAt: time.Now()}
	connectBy := t.startedAt.Add(p.options.ConnectTimeout)
	if !a.SendBy.IsZero() && a.SendBy.Before(connectBy) {
		connectBy = a.SendBy
	}
	ctx, cancel := context.WithDeadline(context.Background(), connectBy)
	t.cancelDial = cancel
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
		if err != nil {
			t.finish(t.connectFailure(err), false)
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
		c.netConn.SetWriteDeadline(t.SendBy)
		n, assigned := 0, c.assign(t)
		if err = net.ErrClosed; assigned && c.startWrite() {
			if !t.startWrite() {
				return // canceled, which has closed the connection
			}
			n, err = t.write(c.netConn, buf)
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

// maxCopiedBody is the length of the longest body, in bytes, that is copied behind its header. Longer ones are written
// separately.
const maxCopiedBody = 16 << 10

// write writes what appendRequest has returned, and a long body behind it.
func (t *attempt) write(netConn net.Conn, encoded []byte) (written int, err error) {
	written, err = netConn.Write(encoded)
	if body := t.Request.HTTP.Body; err == nil && len(body) > maxCopiedBody {
		_, err = netConn.Write(body)
	}
	return written, err
}

// appendRequest appends the encoded request to b, without a long body. The timeout that it states is the time left
// now, without the time that dialing has taken.
func (t *attempt) appendRequest(b []byte) []byte {
	call := &t.Request.HTTP
	header := call.Header
	if t.pool.options.TimeoutHeader != "" {
		left := max(0, t.Timeout-time.Since(t.startedAt))
		header = append(header[:len(header):len(header)], http1.Field{Name: t.pool.options.TimeoutHeader, Value: strconv.FormatInt(left.Milliseconds(), 10)})
	}
	if len(call.Body) > maxCopiedBody {
		return http1.AppendRequestHead(b, call.Method, call.Target, call.Host, header, len(call.Body))
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

// resultSentTooLate is the result of an attempt that is not sent because Attempt.SendBy has passed.
var resultSentTooLate = node.Result{Code: policy.TooLate, Detail: "too late for another attempt: the server may have forgotten the key"}

var errNoConnection = errors.New("upstream: all connections are in use")

// expired reports whether it is too late to send the attempt; see resultTooLate.
func (t *attempt) expired() bool {
	return t.Timeout > 0 && time.Since(t.startedAt) >= t.Timeout || t.pool.options.PausedSince != nil && t.pool.options.PausedSince(t.DecidedAt)
}

// sendTimeOver reports whether Attempt.SendBy has passed.
func (t *attempt) sendTimeOver() bool { return !t.SendBy.IsZero() && !time.Now().Before(t.SendBy) }

// connectFailure returns the result of an attempt that got no connection. That the time to send it was over says
// nothing about the server.
func (t *attempt) connectFailure(err error) node.Result {
	switch {
	case errors.Is(err, errNoConnection):
		return resultNoConnection
	case isShortage(err):
		return node.Result{Code: policy.NoConnection, Detail: err.Error()}
	case t.sendTimeOver():
		return resultSentTooLate
	}
	code, detail := attemptOutcome(beforeConnect, err)
	return node.Result{Code: code, Detail: detail}
}

// reasonNotToSend returns the result of an attempt that must not be sent any more, or nil. It is called right
// before the request is written.
func (t *attempt) reasonNotToSend() *node.Result {
	switch {
	case t.expired():
		return &resultTooLate
	case t.sendTimeOver():
		return &resultSentTooLate
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
	netConn, err := t.pool.dial(ctx, t.Address)
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
