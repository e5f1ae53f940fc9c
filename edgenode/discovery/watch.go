package discovery

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"yardcleat.example/yardcleat/internal/network"
)

// Options configures a watch. All fields but Moves are required.
type Options struct {
	Network network.Network
	Address string        // host:port of discovery
	Moves   <-chan string // addresses to which discovery moves while the watch runs; nil: it does not move
	Log     *slog.Logger  // gets one warning for each series of calls that failed or had no response in time
	Deliver func(List)    // called synchronously from the goroutine of Watch
}

// Watch calls discovery until ctx ends, first for a snapshot, then for changes. An invalid response changes nothing;
// the call is repeated after a backoff. A call without a response in time stays in flight beside the next one, also
// when discovery moves: the first response counts. Watch ends all calls before it returns, and delivers nothing
// after that.
func Watch(ctx context.Context, o Options) {
	w := watcher{
		Options:   o,
		source:    source{address: o.Address},
		index:     noIndex,
		backoff:   newBackoff(),
		connected: make(chan *call),
		results:   make(chan callResult),
		// The first call is made at once.
		nextCall: time.NewTimer(0),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer w.running.Wait()
	defer cancel()
	defer w.nextCall.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-o.Moves:
			w.moveTo(address)
			w.startCall(ctx, nil)
		case <-w.nextCall.C:
			w.warnOfUnanswered()
			w.startCall(ctx, nil)
		case c := <-w.connected:
			w.awaitResponse(c)
		case result := <-w.results:
			w.handleResult(ctx, result)
		}
	}
}

// watcher is the state of a watch. Only the goroutine of Watch uses it, but for the channels and running.
type watcher struct {
	Options
	source   source
	index    int64 // of the last list received from source, or noIndex
	inFlight callQueue
	nextCall *time.Timer // when the next call is due, whether or not the last one has been answered
	backoff  backoff
	failing  bool // a call failed or had no response in time, that was logged, and none had one in time since

	connected chan *call // calls for which a connection was made
	results   chan callResult
	running   sync.WaitGroup // the goroutines of the calls in flight
}

// moveTo makes an address the source of the next calls. Calls to the last source that are in flight may still be
// answered before it.
func (w *watcher) moveTo(address string) {
	w.source = source{address: address, number: w.source.number + 1}
	w.index = noIndex
	w.backoff.reset()
}

// startCall makes a call on an idle connection, or on a new one if it is nil.
func (w *watcher) startCall(ctx context.Context, conn *connection) {
	ctx, abandon := context.WithCancel(ctx)
	c := &call{source: w.source, after: w.index, abandon: abandon}
	if givenUp := w.inFlight.add(c); givenUp != nil {
		givenUp.abandon()
	}
	if conn != nil {
		w.awaitResponse(c)
	} else {
		w.nextCall.Reset(connectGrace)
	}
	w.running.Go(func() {
		result := w.runCall(ctx, c, conn)
		select {
		case w.results <- result:
		case <-ctx.Done():
			result.closeConnection()
		}
	})
}

// runCall makes a call on an idle connection, or on a new one if it is nil. It runs in a goroutine of its own.
func (w *watcher) runCall(ctx context.Context, c *call, conn *connection) callResult {
	if conn == nil {
		var err error
		if conn, err = dial(ctx, w.Network, c.source.address); err != nil {
			return callResult{call: c, err: err}
		}
		select {
		case w.connected <- c:
		case <-ctx.Done():
		}
	}
	return c.run(ctx, conn)
}

// awaitResponse has the next call made if a call that is sent now has no response in time, unless a later call is in
// flight already.
func (w *watcher) awaitResponse(c *call) {
	if w.inFlight.isLatest(c) {
		w.nextCall.Reset(c.wait() + responseGrace)
	}
}

// handleResult handles the result of a call, unless the call was given up.
func (w *watcher) handleResult(ctx context.Context, r callResult) {
	defer r.call.abandon() // releases the resources of the context
	if !w.inFlight.contains(r.call) {
		r.closeConnection()
		return
	}
	latest := w.inFlight.isLatest(r.call)
	if r.err != nil {
		w.inFlight.removeFailed(r.call)
		if latest {
			w.callAfterBackoff(r.err)
		}
		return
	}
	for _, older := range w.inFlight.removeAnswered(r.call) {
		older.abandon()
	}
	w.Deliver(r.list)
	if r.call.source != w.source {
		r.closeConnection() // the next call goes to the address to which discovery has moved
		return
	}
	w.index = r.list.Index
	if !r.list.Snapshot && r.list.Index < r.call.after {
		w.index = noIndex // discovery has begun anew: what it had before this index is not known
	}
	w.backoff.reset()
	w.failing = w.failing && !latest
	switch {
	case !latest: // the calls made after it are in flight
		r.closeConnection()
	case r.connection == nil:
		w.callAfterBackoff(errConnectionClosed)
	default:
		w.startCall(ctx, r.connection)
	}
}

// callAfterBackoff has the next call made after a backoff, because the last one has failed.
func (w *watcher) callAfterBackoff(err error) {
	if !w.failing {
		w.Log.Warn("discovery poll failed; retrying with backoff", "address", w.source.address, "error", err)
		w.failing = true
	}
	w.nextCall.Reset(w.backoff.next())
}

// warnOfUnanswered warns if the last call has no response in time.
func (w *watcher) warnOfUnanswered() {
	if !w.failing && len(w.inFlight.calls) > 0 {
		w.Log.Warn("discovery answers late; polling again beside the polls in flight", "address", w.source.address,
			"polls_in_flight", len(w.inFlight.calls))
		w.failing = true
	}
}

// closeConnection closes the connection of a result, if it has one.
func (r *callResult) closeConnection() {
	if r.connection != nil {
		closeQuietly(r.connection)
	}
}
