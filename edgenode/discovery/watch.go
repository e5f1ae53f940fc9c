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

// Options configures a watch. All fields are needed.
type Options struct {
	Network network.Network
	Address string       // host:port of discovery
	Logger  *slog.Logger // gets one warning for each run of failed calls
	Deliver func(List)   // called from the goroutine of Watch, which waits for it
}

// The platform's HTTP interface of discovery.
const (
	listPath       = "/discovery/hosts"
	afterParameter = "?after="   // the index of the list that is held
	waitParameter  = "&wait_ms=" // how long to wait for a change of it
)

// responseLimits bounds one response of discovery.
var responseLimits = http1.Limits{MaxLineBytes: 4 << 10, MaxHeaderFields: 64, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20}

// The errors of a call that discovery answered.
var (
	errNoSnapshot       = errors.New("changes without a whole list")
	errConnectionClosed = errors.New("connection closed")
)

// statusError is the error of a call that was answered with a status other than 200.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// noIndex is the index before the first list. With it, or any other below 0, a watch asks
// for a snapshot.
const noIndex = -1

// Watch polls discovery until ctx ends: first for a snapshot, then for what changes. A
// response that can't be read changes nothing and is asked for again, after a backoff.
// Watch returns when its connection is closed; nothing is delivered after that.
func Watch(ctx context.Context, o Options) {
	w := watcher{Options: o, index: noIndex, backoff: newBackoff()}
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if !w.failing {
			w.Logger.Warn("discovery poll failed; retrying with backoff", "address", w.Address, "error", err)
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
	index   int64 // of the list that is held
	backoff backoff
	failing bool // the last call failed, and that was logged
}

func (w *watcher) hasList() bool { return w.index >= 0 }

// poll makes calls over one connection until one fails or ctx ends. Its error is never nil.
func (w *watcher) poll(ctx context.Context) error {
	connection, err := w.dial(ctx)
	if err != nil {
		return err
	}
	defer closeQuietly(connection)
	stop := context.AfterFunc(ctx, func() { interrupt(connection) })
	defer stop()
	reader := http1.NewReader(connection, responseLimits)
	for {
		list, keepAlive, err := w.call(ctx, connection, reader)
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

// call makes one call, and tells whether the connection can be used for another.
func (w *watcher) call(ctx context.Context, connection net.Conn, reader *http1.Reader) (list List, keepAlive bool, err error) {
	target, wait := w.target()
	if err := connection.SetDeadline(time.Now().Add(wait + responseGrace)); err != nil {
		return List{}, false, err
	}
	if ctx.Err() != nil { // the deadline above may have undone interrupt
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

// target is the target of the next call, and for how long discovery may hold it.
func (w *watcher) target() (target string, wait time.Duration) {
	if !w.hasList() {
		return listPath, 0
	}
	index := strconv.FormatInt(w.index, 10)
	milliseconds := strconv.FormatInt(longPollTime.Milliseconds(), 10)
	return listPath + afterParameter + index + waitParameter + milliseconds, longPollTime
}

// interrupt ends a call in flight. It fails only where the connection is closed, and then
// there is no call.
func interrupt(connection net.Conn) {
	_ = connection.SetDeadline(time.Unix(1, 0))
}

// closeQuietly closes a connection that nothing more is read from or written to: the error
// that ended its use is the one that counts.
func closeQuietly(connection net.Conn) {
	_ = connection.Close()
}
