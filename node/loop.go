package node

import (
	"context"
	"time"

	"yardcleat.example/yardcleat/pause"
)

// Run runs the loop until the context ends. What is not answered by then is
// failed.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []item
	for {
		// Nobody looked while the loop waited: only the clock knows of gaps.
		n.now = max(n.now, n.options.Clock.Now())
		n.detectPause()
		n.mu.Lock()
		batch, n.queue = n.queue, batch[:0]
		n.mu.Unlock()
		var next time.Duration
		if n.barrier.On() {
			n.deferred = append(n.deferred, batch...)
			if next = n.barrier.Look(n.now, n.options.Clock.UnreadSockets()); n.barrier.On() {
				timer.Reset(next)
				select {
				case <-timer.C:
					continue
				case <-ctx.Done():
					n.failRemaining()
					return
				}
			}
			n.handleDeferred()
			continue
		}
		// What ran out goes first: nothing is done for requests that are too late.
		n.timerWheel.Advance(n.now)
		n.runPolicy()
		n.handleEvents(batch)
		if len(batch) > 0 {
			continue
		}
		next, ok := n.timerWheel.Next()
		if !ok {
			next = n.now + time.Hour
		}
		timer.Reset(next - time.Since(n.timeOrigin))
		select {
		case <-n.wake:
		case <-timer.C:
		case <-ctx.Done():
			n.failRemaining()
			return
		}
	}
}

// failRemaining fails what is not answered.
func (n *Node) failRemaining() {
	n.mu.Lock()
	n.closing = true
	batch := append(n.deferred, n.queue...)
	n.deferred, n.queue = nil, nil
	n.mu.Unlock()
	for _, f := range batch {
		f.do()
	}
	n.failAll("stopped")
}

// detectPause takes the time, and raises the barrier after a gap: of the process, or of
// the loop alone, which has not looked for too long.
func (n *Node) detectPause() {
	now := n.options.Clock.Now()
	gaps := n.options.Clock.Pauses()
	if gaps != n.pausesSeen || now-n.now > n.options.Pause.Least {
		n.options.Logger.Warn("the process did not run: what came in meanwhile is read first", "since", now-n.now)
		n.pausesSeen = gaps
		n.barrier.Raise(now)
	}
	n.now = max(n.now, now)
}

// handleEvents does what waited, as long as the process runs; what a gap comes before
// waits behind the barrier.
func (n *Node) handleEvents(batch []item) {
	for i, f := range batch {
		if n.detectPause(); n.barrier.On() {
			n.deferred = append(n.deferred, batch[i:]...)
			break
		}
		f.do()
		n.runPolicy()
	}
	clear(batch)
}

// handleDeferred does what waited behind the barrier, in the order that package stall
// gives it.
func (n *Node) handleDeferred() {
	held := n.deferred
	n.deferred = nil
	before := pause.Order(held, func(f item) pause.Kind { return f.kind })
	n.handleEvents(held[:before])
	if n.barrier.On() {
		n.deferred = append(n.deferred, held[before:]...)
		return
	}
	n.timerWheel.Advance(n.now)
	n.runPolicy()
	n.handleEvents(held[before:])
}
