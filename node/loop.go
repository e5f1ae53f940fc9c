package node

import (
	"context"
	"time"

	"yardcleat.example/yardcleat/pause"
)

// maxIdleWait is how long the loop sleeps where no timer is set.
const maxIdleWait = time.Hour

// Run is the loop: it handles events and timers until the context ends. Requests
// that have no final response by then are failed. Run is called once; its goroutine owns
// loopState.
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
			recheck := n.barrier.Observe(n.now, n.options.Clock.UnreadSockets())
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

// sleep waits until the time has passed or wake is signaled. It reports false where
// the context ended first. A nil wake is never signaled.
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

// takeQueue returns the events that wait, and leaves the storage of the batch before
// as the empty queue.
func (n *Node) takeQueue(handled []event) []event {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := n.queue
	n.queue = handled[:0]
	return batch
}

// refreshTime reads the clock after the loop slept: an idle loop reads no clock, which does
// not mean that the process was paused.
func (n *Node) refreshTime() { n.now = max(n.now, n.options.Clock.Now()) }

// untilNextTimer is how long the loop may sleep.
func (n *Node) untilNextTimer() time.Duration {
	next, ok := n.timerWheel.Next()
	if !ok {
		next = n.now + maxIdleWait
	}
	return next - time.Since(n.timeOrigin)
}

// detectPause reads the clock and raises the barrier where the process was paused, or
// where the loop alone did not read the clock for too long.
func (n *Node) detectPause() {
	now := n.options.Clock.Now()
	pauses := n.options.Clock.Pauses()
	sinceLastLook := now - n.now
	if pauses != n.pausesSeen || sinceLastLook > n.options.Pause.MinPause {
		n.options.Logger.Warn("process was paused; reading sockets before handling requests",
			"duration", max(sinceLastLook, n.pausedTimeSince(n.pauseCheckedAt, now)))
		n.pausesSeen = pauses
		n.barrier.Raise(now)
	}
	n.pauseCheckedAt = now
	n.now = max(n.now, now)
}

// pausedTimeSince is how long the process was paused between two times.
func (n *Node) pausedTimeSince(from, to time.Duration) time.Duration {
	return to - from - n.options.Clock.ActiveTime(from, to)
}

// expireTimers fires the timers that are due. They go before the events of a turn, so
// that no work is done for requests that are too late.
func (n *Node) expireTimers() {
	n.timerWheel.Advance(n.now)
	n.runPolicy()
}

// handleEvents handles events in order, as long as the process runs. Those after a
// pause are deferred until the barrier is lifted.
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

// handleDeferred handles the events that waited behind the barrier, in the order that
// package pause gives them: external events go before the timers that
// expired meanwhile, and these before new requests.
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

// failRemaining handles the events that still wait and fails every request without a
// final response. No event is handled after it.
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
