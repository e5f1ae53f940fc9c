package pause

import (
	"slices"
	"time"
)

// Pause is a time in which the process may not have run: between two observations of the
// clock that lie too far apart.
type Pause struct{ Start, End time.Duration }

// overlaps reports whether the pause has a part after from and before to.
func (p Pause) overlaps(from, to time.Duration) bool { return p.End > from && p.Start < to }

// Detector finds pauses and keeps the recent ones.
type Detector struct {
	settings     Settings
	observed     bool // Observe was called
	lastObserved time.Duration
	pauses       []Pause // in order

	// Offsets of the wall clock from the monotonic one: the latest, and the one before the
	// wall clock was last set.
	wallOffset         time.Duration
	previousWallOffset time.Duration
}

// NewDetector returns a Detector that has found no pause.
func NewDetector(s Settings) *Detector { return &Detector{settings: s} }

// Observe records both clocks' times since the origin, monotonic and wall. It returns the
// pause that this observation ends, if it ends one. Times before the last observation end
// none.
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

// observeWallOffset notes when the wall clock was set.
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

// dropPausesBefore drops the pauses that ended before a time.
func (d *Detector) dropPausesBefore(t time.Duration) {
	recent := slices.IndexFunc(d.pauses, func(p Pause) bool { return p.End >= t })
	if recent < 0 {
		recent = len(d.pauses)
	}
	d.pauses = d.pauses[recent:]
}

// MarkRunning notes that the process ran at a time, without looking for a pause before it.
func (d *Detector) MarkRunning(now time.Duration) { d.lastObserved = max(d.lastObserved, now) }

// PausedSince reports whether a pause ended after a time.
func (d *Detector) PausedSince(t time.Duration) bool {
	return len(d.pauses) > 0 && d.pauses[len(d.pauses)-1].End > t
}

// ActiveTime returns how long the process ran between two times, as far as pauses are
// known; never negative.
func (d *Detector) ActiveTime(from, to time.Duration) time.Duration {
	active := to - from
	for _, p := range d.pauses {
		if paused := min(p.End, to) - max(p.Start, from); paused > 0 {
			active -= paused
		}
	}
	return max(0, active)
}
