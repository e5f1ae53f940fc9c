package node

import (
	"context"
	"time"

	"yardcleat.example/yardcleat/pause"
)

// maxIdleWait is how long the loop sleeps if no timer is set.
const maxIdleWait = time.Hour

// Run handles events and timers until the context ends, then fails the requests that have
// no final response. It must be called only once; its goroutine owns loopState.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(maxIdleWait)
	defer timer.Stop()
	var batch []event
	for {
		n.refreshTime()
		n.detectPause()
		batch = n.takeQueue(batch)
		if n.barrier.Raised() {
			n.deferred = append(n.deferred, batch...)
			recheck := n.observeBarrier()
			if !n.barrier.Raised() {
				n.handleDeferred()
				continue
			}
			if !sleep(ctx, timer, recheck, nil) {
				break
			}
			continue
		}
		n.expireTimers()
		n.handleEvents(batch)
		if len(batch) > 0 {
			continue
		}
		if !sleep(ctx, timer, n.untilNextTimer(), n.wake) {
			break
		}
	}
	n.failRemaining()
}

// sleep waits until the duration has passed or wake is signaled. It returns false if the
// context ended first. A nil wake is never signaled.
func sleep(ctx context.Context, timer *time.Timer, duration time.Duration, wake <-chan struct{}) bool {
	timer.Reset(duration)
	select {
	case <-wake:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeQueue returns the queued events. The storage of handled, the previous batch, is
// reused for the new, empty queue.
func (n *Node) takeQueue(handled []event) []event {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := n.queue
	n.queue = handled[:0]
	return batch
}

// refreshTime updates the loop's time after the loop slept. A sleeping loop does not read
// the clock; without this update detectPause would take that gap for a pause.
func (n *Node) refreshTime() { n.now = max(n.now, n.options.Clock.Now()) }

// untilNextTimer returns how long the loop may sleep.
func (n *Node) untilNextTimer() time.Duration {
	next, ok := n.timerWheel.Next()
	if !ok {
		next = n.now + maxIdleWait
	}
	return next - time.Since(n.timeOrigin)
}

// detectPause reads the clock and raises the barrier if the process was paused, or if the
// loop itself has not read the clock for longer than MinPause.
func (n *Node) detectPause() {
	now := n.options.Clock.Now()
	pauses := n.options.Clock.Pauses()
	sinceLastReading := now - n.now
	if pauses != n.pausesHandled || sinceLastReading > n.options.Pause.MinPause {
		n.options.Log.Warn("process was paused; reading sockets before handling requests",
			"duration", max(sinceLastReading, n.pausedTimeSince(n.pauseCheckedAt, now)))
		n.pausesHandled = pauses
		n.barrier.Raise(now)
	}
	n.pauseCheckedAt = now
	n.now = max(n.now, now)
}

// observeBarrier lifts the barrier if it has done its work, or returns after which time to look at it again.
func (n *Node) observeBarrier() (recheckAfter time.Duration) {
	unread := n.options.Clock.UnreadSockets()
	recheckAfter = n.barrier.Observe(n.now, unread)
	if !n.barrier.Raised() && unread > 0 {
		n.options.Log.Warn("sockets not read in time after a pause; handling requests", "unread_sockets", unread, "waiting_events", len(n.deferred))
	}
	return recheckAfter
}

// pausedTimeSince returns how long the process was paused between two times.
func (n *Node) pausedTimeSince(from, to time.Duration) time.Duration {
	return to - from - n.options.Clock.ActiveTime(from, to)
}

// expireTimers fires the timers that are due. In each iteration of the loop it runs before
// the events are handled, so that no work is done for requests whose deadline has passed.
func (n *Node) expireTimers() {
	n.timerWheel.Advance(n.now)
	n.runPolicy()
}

// handleEvents handles events in order. If it detects a pause of the process, it defers
// the remaining events until the barrier is lifted.
func (n *Node) handleEvents(batch []event) {
	for i, e := range batch {
		n.detectPause()
		if n.barrier.Raised() {
			n.deferred = append(n.deferred, batch[i:]...)
			break
		}
		n.handle(e)
		n.runPolicy()
	}
	clear(batch)
}

// handleDeferred handles the events that waited behind the barrier, in the order defined by
// package pause: external events, then the timers that expired meanwhile, then new requests.
func (n *Node) handleDeferred() {
	deferred := n.deferred
	n.deferred = nil
	beforeTimers := pause.SortBacklog(deferred, event.pauseKind)
	n.handleEvents(deferred[:beforeTimers])
	if n.barrier.Raised() {
		n.deferred = append(n.deferred, deferred[beforeTimers:]...)
		return
	}
	n.expireTimers()
	n.handleEvents(deferred[beforeTimers:])
}

// failRemaining handles the remaining events and fails every request without a final
// response. No event is handled afterwards.
func (n *Node) failRemaining() {
	n.mu.Lock()
	n.closing = true
	batch := append(n.deferred, n.queue...)
	n.deferred, n.queue = nil, nil
	n.mu.Unlock()
	for _, e := range batch {
		n.handle(e)
	}
	n.failAll(ReasonDraining, detailStopped)
}
