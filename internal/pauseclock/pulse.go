// Package pauseclock is a process's clock and the sockets it reads: it finds the gaps
// in which the process did not run, and tells which sockets still hold what came
// in them. What follows from that is decided by package stall.
package pauseclock

import (
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/pause"
)

// Clock is one process's clock. All methods may be called from any goroutine.
type Clock struct {
	Base time.Time
	wait func() // returns while the process runs; stands in for a stop, in memory

	last atomic.Int64 // of looks
	gaps atomic.Int64 // found so far
	end  atomic.Int64 // of the last gap

	mu      sync.Mutex
	w       *pause.Watch
	sockets map[*socket]struct{}
	least   int64

	once sync.Once
	stop chan struct{}
	done chan struct{}
}

// New starts a clock; Close ends it. A network that can pause is asked whether
// the process runs.
func New(base time.Time, n network.Network, s pause.Settings) *Clock {
	c := &Clock{Base: base, wait: func() {}, w: pause.NewWatch(s), sockets: map[*socket]struct{}{}, least: int64(s.Least),
		stop: make(chan struct{}), done: make(chan struct{})}
	if h, ok := n.(interface{ Running() }); ok {
		c.wait = h.Running
	}
	now := c.read()
	c.w.Look(now, now)
	c.last.Store(int64(now))
	go c.beat(s.Beat)
	return c
}

func (c *Clock) beat(every time.Duration) {
	defer close(c.done)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.wait()
			c.look(time.Now()) // also where the wall clock was set
		case <-c.stop:
			return
		}
	}
}

// Close ends the clock's heartbeat.
func (c *Clock) Close() {
	c.once.Do(func() { close(c.stop) })
	<-c.done
}

func (c *Clock) read() time.Duration { return time.Since(c.Base) }

// Now is the time since the base. Whoever asks first after a gap finds it.
func (c *Clock) Now() time.Duration {
	c.wait()
	t := time.Now()
	now := t.Sub(c.Base)
	last := c.last.Load()
	switch {
	case int64(now)-last > c.least:
		c.look(t)
	case int64(now)-last > int64(time.Millisecond):
		c.last.CompareAndSwap(last, int64(now)) // else someone looked later
	}
	return now
}

func (c *Clock) look(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The last look that anyone took goes before this one.
	last := time.Duration(c.last.Load())
	c.w.Seen(last)
	if g, found := c.w.Look(t.Sub(c.Base), t.Round(0).Sub(c.Base.Round(0))); found {
		c.end.Store(int64(g.To))
		c.gaps.Add(1)
	}
	if int64(t.Sub(c.Base)) > c.last.Load() {
		c.last.Store(int64(t.Sub(c.Base)))
	}
}

// Pauses counts the gaps found.
func (c *Clock) Pauses() int64 { return c.gaps.Load() }

// Stood tells whether the process stood still after a time.
func (c *Clock) Stood(since time.Time) bool {
	c.Now()
	return c.end.Load() > int64(since.Sub(c.Base))
}

// ActiveTime is how much of a time the process ran.
func (c *Clock) ActiveTime(from, to time.Duration) time.Duration {
	if c.gaps.Load() == 0 {
		return max(0, to-from)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.w.ActiveTime(from, to)
}

// UnreadSockets counts the sockets that may hold what came before the last gap's end, or
// whose readers have not come back for more since.
func (c *Clock) UnreadSockets() int {
	since := c.end.Load()
	c.mu.Lock()
	list := make([]*socket, 0, len(c.sockets))
	for s := range c.sockets {
		if s.empty.Load() <= since && !s.ended.Load() {
			list = append(list, s)
		}
	}
	c.mu.Unlock()
	n := 0
	for _, s := range list {
		if !s.clear(since) {
			n++
		}
	}
	return n
}

// arrival is when what a socket gave arrived.
func (c *Clock) arrival(r pause.Read, wall time.Time) time.Time {
	if !r.Known && c.gaps.Load() == 0 {
		return c.Base.Add(r.At)
	}
	r.Stamp = wall.Sub(c.Base.Round(0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Base.Add(c.w.Arrival(r))
}
