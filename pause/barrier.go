package pause

import "time"

// notDrained is the value of drainedSince while a socket has unread bytes.
const notDrained = -1

// minRecheckInterval is the minimum time until a raised Barrier must be observed again.
const minRecheckInterval = time.Millisecond

// Barrier delays an event loop after a pause until the bytes in the sockets have been read.
//
// A pause that follows while the barrier is raised does not restart the limit of the delay: a process
// that gets only part of a core pauses again and again, and one socket that nobody reads would then
// keep the barrier raised for ever.
type Barrier struct {
	settings     Settings
	raised       bool
	delayedFrom  time.Duration // from when MaxBarrier counts
	observedAt   time.Duration // of the last call of Raise or Observe
	pauseEndedAt time.Duration // end of the last pause
	drainedSince time.Duration // since when no socket has unread bytes, or notDrained
}

// NewBarrier returns a Barrier that is not raised.
func NewBarrier(s Settings) Barrier { return Barrier{settings: s} }

// Raise raises the barrier at the end of a pause. If it is already raised, the sockets have to drain
// anew, and the time since the last observation counts towards MaxBarrier, up to half of MaxBarrier:
// after a long pause there is always time to read the sockets.
func (b *Barrier) Raise(now time.Duration) {
	if !b.raised {
		b.raised = true
		b.delayedFrom = now
	} else if uncounted := now - b.observedAt - b.settings.MaxBarrier/2; uncounted > 0 {
		b.delayedFrom += uncounted
	}
	b.observedAt = now
	b.pauseEndedAt = now
	b.drainedSince = notDrained
}

// Raised reports whether the event loop is delayed.
func (b *Barrier) Raised() bool { return b.raised }

// Observe records how many sockets have unread bytes while the barrier is raised. If all sockets
// have been drained for SettleTime, or the limit of the delay is reached, Observe lifts the barrier
// and returns 0. Otherwise it returns the time after which to call it again.
func (b *Barrier) Observe(now time.Duration, unreadSockets int) (recheckAfter time.Duration) {
	b.observedAt = now
	if unreadSockets > 0 {
		b.drainedSince = notDrained
	} else if b.drainedSince < 0 {
		b.drainedSince = now
	}
	settled := b.drainedSince >= 0 && now-b.drainedSince >= b.settings.SettleTime
	if settled || b.limitReached(now) {
		b.raised = false
		return 0
	}
	return max(minRecheckInterval, b.settings.SettleTime/3)
}

// limitReached reports whether the barrier has been raised for MaxBarrier, and since the last pause
// for SettleTime, so that what arrived in that pause can be read. If pauses follow each other faster
// than that, half of MaxBarrier more is the limit.
func (b *Barrier) limitReached(now time.Duration) bool {
	delay := now - b.delayedFrom
	limit := b.settings.MaxBarrier
	if now-b.pauseEndedAt < b.settings.SettleTime {
		limit += limit / 2
	}
	return delay >= limit
}
