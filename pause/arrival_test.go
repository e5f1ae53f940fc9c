package pause

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestArrivalTime(t *testing.T) {
	afterPause := []time.Duration{0, 10 * ms, 2010 * ms} // from 10 ms to 2,010
	for _, c := range []struct {
		what     string
		observed []time.Duration
		r        SocketRead
		want     time.Duration
	}{
		{"no pause, no timestamp", []time.Duration{0, 10 * ms}, SocketRead{LastEmpty: 0, ReadAt: 11 * ms}, 11 * ms},
		{"no pause: its reader alone was late", []time.Duration{0, 10 * ms}, SocketRead{LastEmpty: 0, ReadAt: 400 * ms, KernelTimestamp: 20 * ms, HasKernelTimestamp: true}, 20 * ms},
		{"through a pause, no timestamp", afterPause, SocketRead{LastEmpty: 5 * ms, ReadAt: 2011 * ms}, 10 * ms},
		{"seen empty in the pause", afterPause, SocketRead{LastEmpty: 700 * ms, ReadAt: 2011 * ms}, 700 * ms},
		{"seen empty after it", afterPause, SocketRead{LastEmpty: 2011 * ms, ReadAt: 2020 * ms}, 2020 * ms},
		{"through a pause, with a timestamp", afterPause, SocketRead{LastEmpty: 5 * ms, ReadAt: 2011 * ms, KernelTimestamp: 1500 * ms, HasKernelTimestamp: true}, 1500 * ms},
		{"a timestamp in the future", afterPause, SocketRead{LastEmpty: 5 * ms, ReadAt: 2011 * ms, KernelTimestamp: 9000 * ms, HasKernelTimestamp: true}, 2011 * ms},
		{"a timestamp before it was seen empty", afterPause, SocketRead{LastEmpty: 5 * ms, ReadAt: 2011 * ms, KernelTimestamp: -9000 * ms, HasKernelTimestamp: true}, 5 * ms},
	} {
		if got := detectorAfter(c.observed...).ArrivalTime(c.r); got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// The wall clock is set an hour forward, or back: after a pause a timestamp counts as the
// earlier reading that is possible, and otherwise as the later.
func TestArrivalTimeWhenWallClockIsSet(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		d := detectorAfter(0, 10*ms)
		d.Observe(20*ms, 20*ms+jump)
		// The timestamp was taken before the clock was set, and read after.
		if got := d.ArrivalTime(SocketRead{LastEmpty: 0, ReadAt: 21 * ms, KernelTimestamp: 15 * ms, HasKernelTimestamp: true}); got < 15*ms || got > 21*ms {
			t.Errorf("%v: %v", jump, got)
		}
		// The timestamp was taken and read after.
		if got := d.ArrivalTime(SocketRead{LastEmpty: 18 * ms, ReadAt: 30 * ms, KernelTimestamp: 25*ms + jump, HasKernelTimestamp: true}); got < 18*ms || got > 30*ms {
			t.Errorf("%v: %v", jump, got)
		}
		d.Observe(2020*ms, 2020*ms+2*jump) // set again while the process was paused
		got := d.ArrivalTime(SocketRead{LastEmpty: 18 * ms, ReadAt: 2021 * ms, KernelTimestamp: 500*ms + jump, HasKernelTimestamp: true})
		if got < 18*ms || got > 500*ms {
			t.Errorf("%v, after a pause: %v", jump, got)
		}
	}
}

// Whatever is read and observed, an arrival is never after its read, nor before the socket
// was seen empty, and an active time is never negative.
func TestArrivalTimeStaysWithinBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		d := NewDetector(DefaultSettings())
		now, wall := time.Duration(0), time.Duration(0)
		for range 30 {
			step := time.Duration(rng.Int64N(int64(20 * ms)))
			if rng.IntN(10) == 0 {
				step = time.Duration(rng.Int64N(int64(5 * time.Second)))
			}
			now, wall = now+step, wall+step
			if rng.IntN(10) == 0 {
				wall += time.Duration(rng.Int64N(int64(2*time.Hour))) - time.Hour
			}
			d.Observe(now, wall)
			empty := time.Duration(rng.Int64N(int64(now) + 1))
			r := SocketRead{LastEmpty: empty, ReadAt: now, KernelTimestamp: wall - time.Duration(rng.Int64N(int64(10*time.Second))), HasKernelTimestamp: rng.IntN(2) == 0}
			if at := d.ArrivalTime(r); at > r.ReadAt || at < r.LastEmpty {
				t.Fatalf("%+v: %v", r, at)
			}
			if ran := d.ActiveTime(empty, now); ran < 0 || ran > now-empty {
				t.Fatalf("ran %v of %v", ran, now-empty)
			}
		}
	}
}
