package pause

import (
	"slices"
	"time"
)

// Pause is an interval in which the process may not have run: the time between two successive
// observations of the clock that are more than Settings.MinPause apart.
type Pause struct{ Start, End time.Duration }

// overlaps reports whether the pause overlaps the interval between from and to.
func (p Pause) overlaps(from, to time.Duration) bool { return p.End > from && p.Start < to }

// Detector detects pauses and keeps the recent ones.
type Detector struct {
	settings     Settings
	observed     bool // Observe has been called
	lastObserved time.Duration
	pauses       []Pause // in order

	// Offsets of the wall clock from the monotonic clock: the latest one, and the one before
	// the wall clock was last set.
	wallOffset         time.Duration
	previousWallOffset time.Duration
}

// NewDetector returns a Detector without observations.
func NewDetector(s Settings) *Detector { return &Detector{settings: s} }

// Observe records the times of the monotonic and the wall clock since the origin. If more than
// MinPause has passed since the last observation, it returns the pause that ends now. A time before
// the last observation ends no pause.
func (d *Detector) Observe(now, wall time.Duration) (p Pause, found bool) {
	d.observeWallOffset(wall - now)
	if d.observed && now-d.lastObserved > d.settings.MinPause {
		p = Pause{Start: d.lastObserved, End: now}
		found = true
		d.dropPausesBefore(now - d.settings.Retention)
		d.pauses = append(d.pauses, p)
	}
	d.MarkRunning(now)
	d.observed = true
	return p, found
}

// observeWallOffset detects that the wall clock was set, by a change of its offset.
func (d *Detector) observeWallOffset(offset time.Duration) {
	if !d.observed {
		d.wallOffset = offset
		d.previousWallOffset = offset
		return
	}
	if (offset - d.wallOffset).Abs() > d.settings.SettleTime {
		d.previousWallOffset = d.wallOffset
		d.wallOffset = offset
	}
}

// dropPausesBefore discards the pauses that ended before a time.
func (d *Detector) dropPausesBefore(t time.Duration) {
	recent := slices.IndexFunc(d.pauses, func(p Pause) bool { return p.End >= t })
	if recent < 0 {
		recent = len(d.pauses)
	}
	d.pauses = d.pauses[recent:]
}

// MarkRunning records that the process ran at a time, without detecting a pause before it.
func (d *Detector) MarkRunning(now time.Duration) { d.lastObserved = max(d.lastObserved, now) }

// PausedSince reports whether a pause ended after a time.
func (d *Detector) PausedSince(t time.Duration) bool {
	return len(d.pauses) > 0 && d.pauses[len(d.pauses)-1].End > t
}

// ActiveTime returns how long the process ran between two times: the elapsed time minus the known
// pauses. It is never negative.
func (d *Detector) ActiveTime(from, to time.Duration) time.Duration {
	active := to - from
	for _, p := range d.pauses {
		if paused := min(p.End, to) - max(p.Start, from); paused > 0 {
			active -= paused
		}
	}
	return max(0, active)
}
