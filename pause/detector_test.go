package pause

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// detectorAfter returns a Detector that observed both clocks at these times.
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
		t.Error("an observation in time ends a pause")
	}
	p, found := d.Observe(121*ms, 121*ms)
	if !found || p != (Pause{70 * ms, 121 * ms}) {
		t.Errorf("%v %v", p, found)
	}
	if !d.PausedSince(120*ms) || d.PausedSince(121*ms) {
		t.Error("PausedSince is wrong")
	}
	if ran := d.ActiveTime(60*ms, 131*ms); ran != 20*ms {
		t.Errorf("ran %v", ran)
	}
	if ran := d.ActiveTime(80*ms, 90*ms); ran != 0 {
		t.Errorf("ran %v inside the pause", ran)
	}
	d.MarkRunning(100 * time.Second)
	d.Observe(100*time.Second+51*ms, 100*time.Second+51*ms)
	if len(d.pauses) != 1 {
		t.Errorf("%d pauses kept", len(d.pauses))
	}
}
