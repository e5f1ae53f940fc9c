package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
)

// Paths and parameters of the platform's discovery interface.
const (
	listPath       = "/discovery/hosts"
	afterParameter = "?after="   // index of the last list received
	waitParameter  = "&wait_ms=" // how long discovery may wait for a change of that list
)

// maxListBytes is the size of the longest list: the platform has 3,200 servers at most, and an entry with long names,
// indented, takes some 500 bytes.
const maxListBytes = 4 << 20

// responseLimits has the maximum sizes of one response of discovery.
var responseLimits = http1.Limits{MaxLineBytes: 4 << 10, MaxHeaderFields: 64, MaxHeaderBytes: 16 << 10, MaxBodyBytes: maxListBytes}

// noIndex is the index before the first list is received. A call with it requests a snapshot.
const noIndex = -1

// Errors of a call that discovery answered.
var (
	errNoSnapshot       = errors.New("delta update before the first snapshot")
	errConnectionClosed = errors.New("connection closed after the response")
)

// statusError is the error of a call that was answered with a status other than 200.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("unexpected status %d", int(s)) }

// connection is a connection to discovery.
type connection struct {
	net.Conn
	reader *http1.Reader
}

// call is one call of discovery: a request for a snapshot, or a long poll for changes.
type call struct {
	source  source
	after   int64 // index of the last list received from the source, or noIndex
	abandon context.CancelFunc
}

// source is an address of discovery from the time at which the watch was moved to it. Indexes of different sources
// are not comparable.
type source struct {
	address string
	number  int // counts the moves
}

// callResult is the result of a call.
type callResult struct {
	call       *call
	list       List
	connection *connection // for the next call; nil if it was closed
	err        error
}

// wait returns how long discovery may hold the call until the list changes.
func (c *call) wait() time.Duration {
	if c.after < 0 {
		return 0
	}
	return longPollTime
}

// target returns the request target.
func (c *call) target() string {
	if c.after < 0 {
		return listPath
	}
	index := strconv.FormatInt(c.after, 10)
	milliseconds := strconv.FormatInt(c.wait().Milliseconds(), 10)
	return listPath + afterParameter + index + waitParameter + milliseconds
}

// run makes the call on a connection until it is answered or has failed, or ctx ends.
func (c *call) run(ctx context.Context, conn *connection) callResult {
	netConn := conn.Conn
	stop := context.AfterFunc(ctx, func() { interrupt(netConn) })
	list, keepAlive, err := c.exchange(ctx, conn)
	interrupted := !stop()
	if err != nil || !keepAlive || interrupted {
		closeQuietly(conn)
		conn = nil
	}
	return callResult{call: c, list: list, connection: conn, err: err}
}

// exchange sends the request and reads the response. keepAlive reports whether the connection can be reused.
func (c *call) exchange(ctx context.Context, conn *connection) (list List, keepAlive bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return List{}, false, err
	}
	if ctx.Err() != nil { // the deadline set above may have overridden that of interrupt
		return List{}, false, ctx.Err()
	}
	request := http1.AppendRequest(nil, "GET", c.target(), c.source.address, nil, nil)
	if _, err := conn.Write(request); err != nil {
		return List{}, false, err
	}
	head, err := conn.reader.Response("GET")
	if err != nil {
		return List{}, false, err
	}
	body, err := conn.reader.Body(head.Framing, head.Length)
	if err != nil {
		return List{}, false, err
	}
	if head.Status != 200 {
		return List{}, false, statusError(head.Status)
	}
	if list, err = Parse(body); err != nil {
		return List{}, false, err
	}
	if !list.Snapshot && c.after < 0 {
		return List{}, false, errNoSnapshot
	}
	return list, head.KeepAlive(), nil
}

func dial(ctx context.Context, n network.Network, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	nc, err := n.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: nc, reader: http1.NewReader(nc, responseLimits)}, nil
}

// interrupt aborts a call in flight. Setting the deadline fails only if the connection is closed,
// and then no call is in flight on it.
func interrupt(c net.Conn) {
	_ = c.SetDeadline(time.Unix(1, 0))
}

// closeQuietly closes a connection and ignores the error: the connection is no longer used, and
// the error that ended its use has been reported.
func closeQuietly(c net.Conn) {
	_ = c.Close()
}
