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
		n.now = max(n.now, n.o.Clock.Now())
		n.look()
		n.mu.Lock()
		batch, n.queue = n.queue, batch[:0]
		n.mu.Unlock()
		var next time.Duration
		if n.barrier.On() {
			n.held = append(n.held, batch...)
			if next = n.barrier.Look(n.now, n.o.Clock.UnreadSockets()); n.barrier.On() {
				timer.Reset(next)
				select {
				case <-timer.C:
					continue
				case <-ctx.Done():
					n.end()
					return
				}
			}
			n.after()
			continue
		}
		// What ran out goes first: nothing is done for requests that are too late.
		n.wheel.Advance(n.now)
		n.settle()
		n.carry(batch)
		if len(batch) > 0 {
			continue
		}
		next, ok := n.wheel.Next()
		if !ok {
			next = n.now + time.Hour
		}
		timer.Reset(next - time.Since(n.base))
		select {
		case <-n.wake:
		case <-timer.C:
		case <-ctx.Done():
			n.end()
			return
		}
	}
}

// end fails what is not answered.
func (n *Node) end() {
	n.mu.Lock()
	n.closing = true
	batch := append(n.held, n.queue...)
	n.held, n.queue = nil, nil
	n.mu.Unlock()
	for _, f := range batch {
		f.do()
	}
	n.failAll("stopped")
}

// look takes the time, and raises the barrier after a gap: of the process, or of
// the loop alone, which has not looked for too long.
func (n *Node) look() {
	now := n.o.Clock.Now()
	gaps := n.o.Clock.Pauses()
	if gaps != n.gaps || now-n.now > n.o.Pause.Least {
		n.o.Logger.Warn("the process did not run: what came in meanwhile is read first", "since", now-n.now)
		n.gaps = gaps
		n.barrier.Raise(now)
	}
	n.now = max(n.now, now)
}

// carry does what waited, as long as the process runs; what a gap comes before
// waits behind the barrier.
func (n *Node) carry(batch []item) {
	for i, f := range batch {
		if n.look(); n.barrier.On() {
			n.held = append(n.held, batch[i:]...)
			break
		}
		f.do()
		n.settle()
	}
	clear(batch)
}

// after does what waited behind the barrier, in the order that package stall
// gives it.
func (n *Node) after() {
	held := n.held
	n.held = nil
	before := pause.Order(held, func(f item) pause.Kind { return f.kind })
	n.carry(held[:before])
	if n.barrier.On() {
		n.held = append(n.held, held[before:]...)
		return
	}
	n.wheel.Advance(n.now)
	n.settle()
	n.carry(held[before:])
}
