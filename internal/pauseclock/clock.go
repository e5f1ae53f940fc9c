package pauseclock

import (
	"sync"
	"sync/atomic"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/pause"
)

// observationInterval is the minimum time between two updates of lastObserved by Now. It avoids
// a write to shared memory in each of many calls.
const observationInterval = time.Millisecond

// Clock is the clock of a process. It runs a heartbeat goroutine from New to Close. All methods
// may be called from any goroutine.
type Clock struct {
	// TimeOrigin is the time from which durations are measured. It has a monotonic reading, and
	// is not changed after New.
	TimeOrigin time.Time

	minPause         time.Duration
	waitUntilRunning func() // blocks while the network's host is paused, to simulate a stopped process

	lastObserved atomicDuration
	lastPauseEnd atomicDuration // 0 if no pause was detected
	pauseCount   atomic.Int64

	mu       sync.Mutex // guards detector and sockets
	detector *pause.Detector
	sockets  map[*socketState]struct{} // open sockets

	closeOnce     sync.Once
	closing       chan struct{} // closed by Close
	heartbeatDone chan struct{} // closed by the heartbeat
}

// New starts a clock that measures durations from origin, which must be a result of time.Now.
// If n can pause its host, as the in-memory network of tests does, the clock pauses with the
// host. The caller must call Close.
func New(origin time.Time, n network.Network, s pause.Settings) *Clock {
	c := &Clock{
		TimeOrigin:       origin,
		minPause:         s.MinPause,
		waitUntilRunning: func() {},
		detector:         pause.NewDetector(s),
		sockets:          map[*socketState]struct{}{},
		closing:          make(chan struct{}),
		heartbeatDone:    make(chan struct{}),
	}
	if host, ok := n.(interface{ WaitUntilRunning() }); ok {
		c.waitUntilRunning = host.WaitUntilRunning
	}
	now := time.Since(origin)
	c.detector.Observe(now, now)
	c.lastObserved.Store(now)
	go c.runHeartbeat(s.HeartbeatInterval)
	return c
}

// runHeartbeat observes the time periodically, also to detect that the wall clock was set.
func (c *Clock) runHeartbeat(interval time.Duration) {
	defer close(c.heartbeatDone)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.waitUntilRunning()
			c.observe(time.Now())
		case <-c.closing:
			return
		}
	}
}

// Close stops the heartbeat and waits until its goroutine has ended; it blocks while the
// network's host is paused. Now still works afterwards. Close may be called more than once.
func (c *Clock) Close() {
	c.closeOnce.Do(func() { close(c.closing) })
	<-c.heartbeatDone
}

// Now returns the time since the origin. It detects a pause that has just ended.
func (c *Clock) Now() time.Duration {
	c.waitUntilRunning()
	t := time.Now()
	now := t.Sub(c.TimeOrigin)
	last := c.lastObserved.Load()
	sinceLast := now - last
	if sinceLast > c.minPause {
		c.observe(t)
	} else if sinceLast > observationInterval {
		c.lastObserved.CompareAndSwap(last, now) // fails if another goroutine observed later
	}
	return now
}

// observe passes a time to the detector, and before it the last time at which a goroutine is
// known to have run.
func (c *Clock) observe(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := t.Sub(c.TimeOrigin)
	wall := t.Round(0).Sub(c.TimeOrigin.Round(0)) // Round strips the monotonic reading
	c.detector.MarkRunning(c.lastObserved.Load())
	if p, found := c.detector.Observe(now, wall); found {
		c.lastPauseEnd.Store(p.End)
		c.pauseCount.Add(1)
	}
	if now > c.lastObserved.Load() {
		c.lastObserved.Store(now)
	}
}

// Pauses returns the number of pauses detected since New.
func (c *Clock) Pauses() int64 { return c.pauseCount.Load() }

// PausedSince reports whether a pause ended after t, including a pause that this call detects.
func (c *Clock) PausedSince(t time.Time) bool {
	c.Now()
	return c.lastPauseEnd.Load() > t.Sub(c.TimeOrigin)
}

// ActiveTime returns how long the process ran between two times, which are durations since the
// origin. It is never negative.
func (c *Clock) ActiveTime(from, to time.Duration) time.Duration {
	if c.pauseCount.Load() == 0 {
		return max(0, to-from)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.ActiveTime(from, to)
}

// arrivalTime returns when the bytes of a read arrived. timestamp is the kernel's timestamp by
// the wall clock, if the read has one.
func (c *Clock) arrivalTime(r pause.SocketRead, timestamp time.Time) time.Duration {
	if !r.HasKernelTimestamp && c.pauseCount.Load() == 0 {
		return r.ReadAt
	}
	r.KernelTimestamp = timestamp.Sub(c.TimeOrigin.Round(0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.ArrivalTime(r)
}

// atomicDuration is a time.Duration for concurrent use.
type atomicDuration struct{ nanoseconds atomic.Int64 }

func (d *atomicDuration) Load() time.Duration       { return time.Duration(d.nanoseconds.Load()) }
func (d *atomicDuration) Store(value time.Duration) { d.nanoseconds.Store(int64(value)) }

func (d *atomicDuration) CompareAndSwap(old, value time.Duration) bool {
	return d.nanoseconds.CompareAndSwap(int64(old), int64(value))
}
