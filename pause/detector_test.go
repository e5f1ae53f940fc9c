package pause

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// detectorAfter returns a Detector after observations at the given times, with equal clocks.
func detectorAfter(observed ...time.Duration) *Detector {
	d := NewDetector(DefaultSettings())
	for _, at := range observed {
		d.Observe(at, at)
	}
	return d
}

func TestDetectorFindsPauses(t *testing.T) {
	d := detectorAfter(0, 10*ms, 20*ms)
	if _, found := d.Observe(70*ms, 70*ms); found {
		t.Error("an observation after no more than MinPause ended a pause")
	}
	p, found := d.Observe(121*ms, 121*ms)
	if !found || p != (Pause{70 * ms, 121 * ms}) {
		t.Errorf("pause %v, found %v; want a pause from 70 ms to 121 ms", p, found)
	}
	if !d.PausedSince(120*ms) || d.PausedSince(121*ms) {
		t.Error("PausedSince does not compare with the end of the pause")
	}
	if active := d.ActiveTime(60*ms, 131*ms); active != 20*ms {
		t.Errorf("active for %v, want 20 ms", active)
	}
	if active := d.ActiveTime(80*ms, 90*ms); active != 0 {
		t.Errorf("active for %v during the pause, want 0", active)
	}
	d.MarkRunning(100 * time.Second)
	d.Observe(100*time.Second+51*ms, 100*time.Second+51*ms)
	if len(d.pauses) != 1 {
		t.Errorf("%d pauses kept, want 1", len(d.pauses))
	}
}
