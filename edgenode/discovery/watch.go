package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
)

// Options configures a watch. All fields are required.
type Options struct {
	Network network.Network
	Address string       // host:port of discovery
	Log     *slog.Logger // gets one warning for each series of failed polls
	Deliver func(List)   // called synchronously from the goroutine of Watch
}

// Paths and parameters of the platform's discovery interface.
const (
	listPath       = "/discovery/hosts"
	afterParameter = "?after="   // index of the last list received
	waitParameter  = "&wait_ms=" // how long discovery may wait for a change of that list
)

// responseLimits has the maximum sizes of one response of discovery.
var responseLimits = http1.Limits{MaxLineBytes: 4 << 10, MaxHeaderFields: 64, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20}

// Errors of a poll that discovery answered.
var (
	errNoSnapshot       = errors.New("delta update before the first snapshot")
	errConnectionClosed = errors.New("connection closed after the response")
)

// statusError is the error of a poll that was answered with a status other than 200.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("unexpected status %d", int(s)) }

// noIndex is the index before the first list is received. If the index is negative, a watch
// requests a snapshot.
const noIndex = -1

// Watch polls discovery until ctx ends, first for a snapshot, then for changes. An invalid
// response changes nothing; the poll is repeated after a backoff. Watch closes its connection
// before it returns, and delivers nothing after that.
func Watch(ctx context.Context, o Options) {
	w := watcher{Options: o, index: noIndex, backoff: newBackoff()}
	for ctx.Err() == nil {
		err := w.pollConnection(ctx)
		if ctx.Err() != nil {
			return
		}
		if !w.failing {
			w.Log.Warn("discovery poll failed; retrying with backoff", "address", w.Address, "error", err)
			w.failing = true
		}
		select {
		case <-time.After(w.backoff.next()):
		case <-ctx.Done():
		}
	}
}

// watcher is the state of a watch. Only the goroutine of Watch uses it.
type watcher struct {
	Options
	index   int64 // of the last list received
	backoff backoff
	failing bool // the last poll failed, and the failure was logged
}

func (w *watcher) hasList() bool { return w.index >= 0 }

// pollConnection polls over one connection until a poll fails or ctx ends. Its error is never nil.
func (w *watcher) pollConnection(ctx context.Context) error {
	connection, err := w.dial(ctx)
	if err != nil {
		return err
	}
	defer closeQuietly(connection)
	stop := context.AfterFunc(ctx, func() { interrupt(connection) })
	defer stop()
	reader := http1.NewReader(connection, responseLimits)
	for {
		list, keepAlive, err := w.poll(ctx, connection, reader)
		if err != nil {
			return err
		}
		if !list.Snapshot && !w.hasList() {
			return errNoSnapshot
		}
		w.index = list.Index
		w.backoff.reset()
		w.failing = false
		w.Deliver(list)
		if !keepAlive {
			return errConnectionClosed
		}
	}
}

func (w *watcher) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return w.Network.Dial(ctx, w.Address)
}

// poll sends one poll and reads its response. keepAlive reports whether the connection can be
// reused.
func (w *watcher) poll(ctx context.Context, connection net.Conn, reader *http1.Reader) (list List, keepAlive bool, err error) {
	target, wait := w.target()
	if err := connection.SetDeadline(time.Now().Add(wait + responseGrace)); err != nil {
		return List{}, false, err
	}
	if ctx.Err() != nil { // the deadline set above may have overridden that of interrupt
		return List{}, false, ctx.Err()
	}
	request := http1.AppendRequest(nil, "GET", target, w.Address, nil, nil)
	if _, err := connection.Write(request); err != nil {
		return List{}, false, err
	}
	head, err := reader.Response("GET")
	if err != nil {
		return List{}, false, err
	}
	body, err := reader.Body(head.Framing, head.Length)
	if err != nil {
		return List{}, false, err
	}
	if head.Status != 200 {
		return List{}, false, statusError(head.Status)
	}
	list, err = Parse(body)
	return list, head.KeepAlive(), err
}

// target returns the request target of the next poll, and how long discovery may hold the poll.
func (w *watcher) target() (target string, wait time.Duration) {
	if !w.hasList() {
		return listPath, 0
	}
	index := strconv.FormatInt(w.index, 10)
	milliseconds := strconv.FormatInt(longPollTime.Milliseconds(), 10)
	return listPath + afterParameter + index + waitParameter + milliseconds, longPollTime
}

// interrupt aborts a poll in flight. Setting the deadline fails only if the connection is closed,
// and then no poll is in flight.
func interrupt(connection net.Conn) {
	_ = connection.SetDeadline(time.Unix(1, 0))
}

// closeQuietly closes a connection and ignores the error: the connection is no longer used, and
// the error that ended its use has been reported.
func closeQuietly(connection net.Conn) {
	_ = connection.Close()
}
