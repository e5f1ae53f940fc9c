package pause

import "time"

// notDrained is the value of drainedSince while a socket has unread bytes.
const notDrained = -1

// minRecheckInterval is the minimum time until a raised Barrier must be observed again.
const minRecheckInterval = time.Millisecond

// Barrier delays an event loop after a pause until the bytes in the sockets have been read.
type Barrier struct {
	settings     Settings
	raised       bool
	raisedAt     time.Duration
	drainedSince time.Duration // since when no socket has unread bytes, or notDrained
}

// NewBarrier returns a Barrier that is not raised.
func NewBarrier(s Settings) Barrier { return Barrier{settings: s} }

// Raise raises the barrier, or restarts its times if it is already raised.
func (b *Barrier) Raise(now time.Duration) {
	b.raised = true
	b.raisedAt = now
	b.drainedSince = notDrained
}

// Raised reports whether the event loop is delayed.
func (b *Barrier) Raised() bool { return b.raised }

// Observe records how many sockets have unread bytes while the barrier is raised. If all sockets
// have been drained for SettleTime, or the barrier has been raised for MaxBarrier, Observe lifts
// the barrier and returns 0. Otherwise it returns the time after which to call it again.
func (b *Barrier) Observe(now time.Duration, unreadSockets int) (recheckAfter time.Duration) {
	if unreadSockets > 0 {
		b.drainedSince = notDrained
	} else if b.drainedSince < 0 {
		b.drainedSince = now
	}
	settled := b.drainedSince >= 0 && now-b.drainedSince >= b.settings.SettleTime
	if settled || now-b.raisedAt >= b.settings.MaxBarrier {
		b.raised = false
		return 0
	}
	return max(minRecheckInterval, b.settings.SettleTime/3)
}
