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
	TimeOrigin       time.Time
	waitUntilRunning func() // returns while the process runs; stands in for a stop, in memory

	lastObserved atomic.Int64 // of looks
	pauseCount   atomic.Int64 // found so far
	lastPauseEnd atomic.Int64 // of the last gap

	mu       sync.Mutex
	detector *pause.Detector
	sockets  map[*socketState]struct{}
	minPause int64

	closeOnce     sync.Once
	closing       chan struct{}
	heartbeatDone chan struct{}
}

// New starts a clock; Close ends it. A network that can pause is asked whether
// the process runs.
func New(base time.Time, n network.Network, s pause.Settings) *Clock {
	c := &Clock{TimeOrigin: base, waitUntilRunning: func() {}, detector: pause.NewDetector(s), sockets: map[*socketState]struct{}{}, minPause: int64(s.MinPause),
		closing: make(chan struct{}), heartbeatDone: make(chan struct{})}
	if h, ok := n.(interface{ Running() }); ok {
		c.waitUntilRunning = h.Running
	}
	now := c.elapsed()
	c.detector.Observe(now, now)
	c.lastObserved.Store(int64(now))
	go c.runHeartbeat(s.HeartbeatInterval)
	return c
}

func (c *Clock) runHeartbeat(every time.Duration) {
	defer close(c.heartbeatDone)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.waitUntilRunning()
			c.observe(time.Now()) // also where the wall clock was set
		case <-c.closing:
			return
		}
	}
}

// Close ends the clock's heartbeat.
func (c *Clock) Close() {
	c.closeOnce.Do(func() { close(c.closing) })
	<-c.heartbeatDone
}

func (c *Clock) elapsed() time.Duration { return time.Since(c.TimeOrigin) }

// Now is the time since the base. Whoever asks first after a gap finds it.
func (c *Clock) Now() time.Duration {
	c.waitUntilRunning()
	t := time.Now()
	now := t.Sub(c.TimeOrigin)
	last := c.lastObserved.Load()
	switch {
	case int64(now)-last > c.minPause:
		c.observe(t)
	case int64(now)-last > int64(time.Millisecond):
		c.lastObserved.CompareAndSwap(last, int64(now)) // else someone looked later
	}
	return now
}

func (c *Clock) observe(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The last look that anyone took goes before this one.
	last := time.Duration(c.lastObserved.Load())
	c.detector.MarkRunning(last)
	if g, found := c.detector.Observe(t.Sub(c.TimeOrigin), t.Round(0).Sub(c.TimeOrigin.Round(0))); found {
		c.lastPauseEnd.Store(int64(g.End))
		c.pauseCount.Add(1)
	}
	if int64(t.Sub(c.TimeOrigin)) > c.lastObserved.Load() {
		c.lastObserved.Store(int64(t.Sub(c.TimeOrigin)))
	}
}

// Pauses counts the gaps found.
func (c *Clock) Pauses() int64 { return c.pauseCount.Load() }

// PausedSince tells whether the process stood still after a time.
func (c *Clock) PausedSince(since time.Time) bool {
	c.Now()
	return c.lastPauseEnd.Load() > int64(since.Sub(c.TimeOrigin))
}

// ActiveTime is how much of a time the process ran.
func (c *Clock) ActiveTime(from, to time.Duration) time.Duration {
	if c.pauseCount.Load() == 0 {
		return max(0, to-from)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.ActiveTime(from, to)
}

// UnreadSockets counts the sockets that may hold what came before the last gap's end, or
// whose readers have not come back for more since.
func (c *Clock) UnreadSockets() int {
	since := c.lastPauseEnd.Load()
	c.mu.Lock()
	list := make([]*socketState, 0, len(c.sockets))
	for s := range c.sockets {
		if s.lastEmpty.Load() <= since && !s.finished.Load() {
			list = append(list, s)
		}
	}
	c.mu.Unlock()
	n := 0
	for _, s := range list {
		if !s.drainedSince(since) {
			n++
		}
	}
	return n
}

// arrivalTime is when what a socket gave arrived.
func (c *Clock) arrivalTime(r pause.SocketRead, wall time.Time) time.Time {
	if !r.HasKernelTimestamp && c.pauseCount.Load() == 0 {
		return c.TimeOrigin.Add(r.ReadAt)
	}
	r.KernelTimestamp = wall.Sub(c.TimeOrigin.Round(0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.TimeOrigin.Add(c.detector.ArrivalTime(r))
}
