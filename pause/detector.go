// Package pause decides what a process may believe after it did not run: stopped,
// suspended, or kept off its cores. It has no I/O: it is told when someone looked
// at the clock, when a socket was read and found empty, and says where the gaps
// were, when what was read can have arrived, how long the loop must wait for its
// sockets to be read to the end, and in which order what they held counts.
//
// Times are of one process's monotonic clock, from any base, unless said
// otherwise.
package pause

import (
	"cmp"
	"slices"
	"time"
)

// Settings bounds what counts as a gap, and what is waited for after one.
type Settings struct {
	HeartbeatInterval time.Duration // someone looks at the clock at least so often while the process runs
	MinPause          time.Duration // a look later than this after the last one ends a gap
	SettleTime        time.Duration // sockets must stay read to the end for so long
	MaxBarrier        time.Duration // the loop waits no longer for them
	Retention         time.Duration // gaps that ended longer ago are forgotten

	// IgnoreArrivalTimes counts what was read as just arrived; for experiments.
	IgnoreArrivalTimes bool
}

// DefaultSettings fits processes that answer in tens of milliseconds.
func DefaultSettings() Settings {
	return Settings{HeartbeatInterval: 10 * time.Millisecond, MinPause: 50 * time.Millisecond, SettleTime: 3 * time.Millisecond,
		MaxBarrier: 200 * time.Millisecond, Retention: time.Minute}
}

// Pause is a time in which the process may not have run.
type Pause struct{ Start, End time.Duration }

// Detector keeps the gaps that were found.
type Detector struct {
	settings     Settings
	lastObserved time.Duration // when someone last looked
	// What the wall clock is ahead of the monotonic one, at the last two looks
	// that differed: it is set while the process runs, too.
	wallOffset, previousWallOffset time.Duration
	observed                       bool
	pauses                         []Pause // in order
}

// NewDetector returns a Watch that has found nothing.
func NewDetector(s Settings) *Detector { return &Detector{settings: s} }

// Observe tells of a look at both clocks; wall is the time since the same base by
// the wall clock. A gap that it ends is returned.
func (w *Detector) Observe(now, wall time.Duration) (g Pause, found bool) {
	if ahead := wall - now; !w.observed || (ahead-w.wallOffset).Abs() > w.settings.SettleTime {
		w.previousWallOffset, w.wallOffset = w.wallOffset, ahead
		if !w.observed {
			w.previousWallOffset = ahead
		}
	}
	if w.observed && now-w.lastObserved > w.settings.MinPause {
		g, found = Pause{w.lastObserved, now}, true
		old := slices.IndexFunc(w.pauses, func(g Pause) bool { return now-g.End <= w.settings.Retention })
		if old < 0 {
			old = len(w.pauses)
		}
		w.pauses = append(w.pauses[old:], g)
	}
	w.lastObserved, w.observed = max(w.lastObserved, now), true
	return g, found
}

// MarkRunning tells that someone looked at the clock at a time, and no more.
func (w *Detector) MarkRunning(now time.Duration) { w.lastObserved = max(w.lastObserved, now) }

// PausedSince tells whether a gap ended after a time.
func (w *Detector) PausedSince(at time.Duration) bool {
	return len(w.pauses) > 0 && w.pauses[len(w.pauses)-1].End > at
}

// ActiveTime is how much of a time the process ran, as far as is known; never negative.
func (w *Detector) ActiveTime(from, to time.Duration) time.Duration {
	ran := to - from
	for _, g := range w.pauses {
		if over := min(g.End, to) - max(g.Start, from); over > 0 {
			ran -= over
		}
	}
	return max(0, ran)
}

// SocketRead is what is known of bytes that a socket gave.
type SocketRead struct {
	LastEmpty          time.Duration // when the socket was last seen empty before it
	ReadAt             time.Duration // when it was read
	KernelTimestamp    time.Duration // when the kernel took the bytes in, by the wall clock since the base
	HasKernelTimestamp bool          // Stamp is known
}

// ArrivalTime is when bytes arrived: by the kernel's word, as far as the clocks bear
// it out; else as early as they may have, which is when they were read but where
// a gap lay between. It is never after the read.
//
// A wall clock that was set in between makes two readings of one stamp: in a gap
// the earlier counts, as the safe one, and else the later.
func (w *Detector) ArrivalTime(r SocketRead) time.Duration {
	if w.settings.IgnoreArrivalTimes {
		return r.ReadAt
	}
	first := slices.IndexFunc(w.pauses, func(g Pause) bool { return g.End > r.LastEmpty && g.Start < r.ReadAt })
	if !r.HasKernelTimestamp {
		if first < 0 {
			return r.ReadAt
		}
		return max(r.LastEmpty, w.pauses[first].Start)
	}
	one, two := r.KernelTimestamp-w.wallOffset, r.KernelTimestamp-w.previousWallOffset
	at := max(one, two)
	switch {
	case at > r.ReadAt:
		at = min(one, two)
	case first >= 0:
		at = min(one, two)
		if at < r.LastEmpty {
			at = max(one, two)
		}
	}
	return min(max(at, r.LastEmpty), r.ReadAt)
}

// Barrier holds a loop up after a gap until what lay in the sockets has been
// read.
type Barrier struct {
	settings     Settings
	raised       bool
	raisedAt     time.Duration // when it was raised
	drainedSince time.Duration // since when nothing was unread; -1: something is
}

// NewBarrier returns one that is not raised.
func NewBarrier(s Settings) Barrier { return Barrier{settings: s} }

// Raise raises it, also where it is raised already.
func (b *Barrier) Raise(now time.Duration) { b.raised, b.raisedAt, b.drainedSince = true, now, -1 }

// Raised tells whether the loop is held up.
func (b *Barrier) Raised() bool { return b.raised }

// Observe is told how many sockets hold something unread. It lifts the barrier where
// it need not, or may not, hold any longer; else it says when to look again.
func (b *Barrier) Observe(now time.Duration, unread int) (again time.Duration) {
	switch {
	case unread > 0:
		b.drainedSince = -1
	case b.drainedSince < 0:
		b.drainedSince = now
	}
	if b.drainedSince >= 0 && now-b.drainedSince >= b.settings.SettleTime || now-b.raisedAt >= b.settings.MaxBarrier {
		b.raised = false
		return 0
	}
	return max(time.Millisecond, b.settings.SettleTime/3)
}

// EventKind is a kind of thing that waits for the loop.
type EventKind int

// The kinds, in the order in which they count after a gap: what the world says
// goes before what the process meant to do. Timers run out between Ended and
// Asked: what had ended in time did so before they ran out.
const (
	EndpointsUpdated   EventKind = iota // the server list changed
	PeerMessage                         // a message of a peer, or of the counter
	ClientDisconnected                  // a client left
	CallFinished                        // a server or the authoriser answered
	OtherEvent
	RequestArrived // a client asks
)

// SortBacklog sorts what waited, keeping the order within a kind, and returns how many
// go before the timers that ran out.
func SortBacklog[T any](waiting []T, kind func(T) EventKind) (before int) {
	slices.SortStableFunc(waiting, func(a, b T) int { return cmp.Compare(kind(a), kind(b)) })
	n := slices.IndexFunc(waiting, func(t T) bool { return kind(t) > CallFinished })
	if n < 0 {
		return len(waiting)
	}
	return n
}
