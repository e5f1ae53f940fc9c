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
	Beat  time.Duration // someone looks at the clock at least so often while the process runs
	Least time.Duration // a look later than this after the last one ends a gap
	Calm  time.Duration // sockets must stay read to the end for so long
	Most  time.Duration // the loop waits no longer for them
	Keep  time.Duration // gaps that ended longer ago are forgotten

	// Ageless counts what was read as just arrived; for experiments.
	Ageless bool
}

// Default fits processes that answer in tens of milliseconds.
func Default() Settings {
	return Settings{Beat: 10 * time.Millisecond, Least: 50 * time.Millisecond, Calm: 3 * time.Millisecond,
		Most: 200 * time.Millisecond, Keep: time.Minute}
}

// Gap is a time in which the process may not have run.
type Gap struct{ From, To time.Duration }

// Watch keeps the gaps that were found.
type Watch struct {
	s    Settings
	last time.Duration // when someone last looked
	// What the wall clock is ahead of the monotonic one, at the last two looks
	// that differed: it is set while the process runs, too.
	ahead, before time.Duration
	looked        bool
	gaps          []Gap // in order
}

// NewWatch returns a Watch that has found nothing.
func NewWatch(s Settings) *Watch { return &Watch{s: s} }

// Look tells of a look at both clocks; wall is the time since the same base by
// the wall clock. A gap that it ends is returned.
func (w *Watch) Look(now, wall time.Duration) (g Gap, found bool) {
	if ahead := wall - now; !w.looked || (ahead-w.ahead).Abs() > w.s.Calm {
		w.before, w.ahead = w.ahead, ahead
		if !w.looked {
			w.before = ahead
		}
	}
	if w.looked && now-w.last > w.s.Least {
		g, found = Gap{w.last, now}, true
		old := slices.IndexFunc(w.gaps, func(g Gap) bool { return now-g.To <= w.s.Keep })
		if old < 0 {
			old = len(w.gaps)
		}
		w.gaps = append(w.gaps[old:], g)
	}
	w.last, w.looked = max(w.last, now), true
	return g, found
}

// Seen tells that someone looked at the clock at a time, and no more.
func (w *Watch) Seen(now time.Duration) { w.last = max(w.last, now) }

// Since tells whether a gap ended after a time.
func (w *Watch) Since(at time.Duration) bool {
	return len(w.gaps) > 0 && w.gaps[len(w.gaps)-1].To > at
}

// ActiveTime is how much of a time the process ran, as far as is known; never negative.
func (w *Watch) ActiveTime(from, to time.Duration) time.Duration {
	ran := to - from
	for _, g := range w.gaps {
		if over := min(g.To, to) - max(g.From, from); over > 0 {
			ran -= over
		}
	}
	return max(0, ran)
}

// Read is what is known of bytes that a socket gave.
type Read struct {
	Empty time.Duration // when the socket was last seen empty before it
	At    time.Duration // when it was read
	Stamp time.Duration // when the kernel took the bytes in, by the wall clock since the base
	Known bool          // Stamp is known
}

// Arrival is when bytes arrived: by the kernel's word, as far as the clocks bear
// it out; else as early as they may have, which is when they were read but where
// a gap lay between. It is never after the read.
//
// A wall clock that was set in between makes two readings of one stamp: in a gap
// the earlier counts, as the safe one, and else the later.
func (w *Watch) Arrival(r Read) time.Duration {
	if w.s.Ageless {
		return r.At
	}
	first := slices.IndexFunc(w.gaps, func(g Gap) bool { return g.To > r.Empty && g.From < r.At })
	if !r.Known {
		if first < 0 {
			return r.At
		}
		return max(r.Empty, w.gaps[first].From)
	}
	one, two := r.Stamp-w.ahead, r.Stamp-w.before
	at := max(one, two)
	switch {
	case at > r.At:
		at = min(one, two)
	case first >= 0:
		at = min(one, two)
		if at < r.Empty {
			at = max(one, two)
		}
	}
	return min(max(at, r.Empty), r.At)
}

// Barrier holds a loop up after a gap until what lay in the sockets has been
// read.
type Barrier struct {
	s     Settings
	on    bool
	since time.Duration // when it was raised
	calm  time.Duration // since when nothing was unread; -1: something is
}

// NewBarrier returns one that is not raised.
func NewBarrier(s Settings) Barrier { return Barrier{s: s} }

// Raise raises it, also where it is raised already.
func (b *Barrier) Raise(now time.Duration) { b.on, b.since, b.calm = true, now, -1 }

// On tells whether the loop is held up.
func (b *Barrier) On() bool { return b.on }

// Look is told how many sockets hold something unread. It lifts the barrier where
// it need not, or may not, hold any longer; else it says when to look again.
func (b *Barrier) Look(now time.Duration, unread int) (again time.Duration) {
	switch {
	case unread > 0:
		b.calm = -1
	case b.calm < 0:
		b.calm = now
	}
	if b.calm >= 0 && now-b.calm >= b.s.Calm || now-b.since >= b.s.Most {
		b.on = false
		return 0
	}
	return max(time.Millisecond, b.s.Calm/3)
}

// Kind is a kind of thing that waits for the loop.
type Kind int

// The kinds, in the order in which they count after a gap: what the world says
// goes before what the process meant to do. Timers run out between Ended and
// Asked: what had ended in time did so before they ran out.
const (
	Listed Kind = iota // the server list changed
	Heard              // a message of a peer, or of the counter
	Left               // a client left
	Ended              // a server or the authoriser answered
	Other
	Asked // a client asks
)

// Order sorts what waited, keeping the order within a kind, and returns how many
// go before the timers that ran out.
func Order[T any](waiting []T, kind func(T) Kind) (before int) {
	slices.SortStableFunc(waiting, func(a, b T) int { return cmp.Compare(kind(a), kind(b)) })
	n := slices.IndexFunc(waiting, func(t T) bool { return kind(t) > Ended })
	if n < 0 {
		return len(waiting)
	}
	return n
}
