package pause

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestArrivalTime(t *testing.T) {
	afterPause := []time.Duration{0, 10 * ms, 2010 * ms} // paused from 10 ms to 2,010 ms
	for _, c := range []struct {
		name     string
		observed []time.Duration
		r        SocketRead
		want     time.Duration
	}{
		{"no pause, no timestamp", []time.Duration{0, 10 * ms}, SocketRead{LastEmpty: 0, ReadAt: 11 * ms}, 11 * ms},
		{"no pause, late reader, with a timestamp", []time.Duration{0, 10 * ms}, SocketRead{LastEmpty: 0, ReadAt: 400 * ms, KernelTimestamp: 20 * ms, HasKernelTimestamp: true}, 20 * ms},
		{"read after a pause, no timestamp", afterPause, SocketRead{LastEmpty: 5 * ms, ReadAt: 2011 * ms}, 10 * ms},
		{"empty during the pause", afterPause, SocketRead{LastEmpty: 700 * ms, ReadAt: 2011 * ms}, 700 * ms},
		{"empty after the pause", afterPause, SocketRead{LastEmpty: 2011 * ms, ReadAt: 2020 * ms}, 2020 * ms},
		{"read after a pause, with a timestamp", afterPause, SocketRead{LastEmpty: 5 * ms, ReadAt: 2011 * ms, KernelTimestamp: 1500 * ms, HasKernelTimestamp: true}, 1500 * ms},
		{"timestamp after the read", afterPause, SocketRead{LastEmpty: 5 * ms, ReadAt: 2011 * ms, KernelTimestamp: 9000 * ms, HasKernelTimestamp: true}, 2011 * ms},
		{"timestamp before the socket was empty", afterPause, SocketRead{LastEmpty: 5 * ms, ReadAt: 2011 * ms, KernelTimestamp: -9000 * ms, HasKernelTimestamp: true}, 5 * ms},
	} {
		if got := detectorAfter(c.observed...).ArrivalTime(c.r); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against wrong arrival times when the wall clock is set forward or back by an hour. A kernel
// timestamp then has two possible conversions to the monotonic clock, and the result must be within
// the bounds of the read. After a pause it must not be later than the true arrival.
func TestArrivalTimeWhenWallClockIsSet(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		d := detectorAfter(0, 10*ms)
		d.Observe(20*ms, 20*ms+jump)
		// The kernel took the timestamp before the clock was set; the read was afterwards.
		if got := d.ArrivalTime(SocketRead{LastEmpty: 0, ReadAt: 21 * ms, KernelTimestamp: 15 * ms, HasKernelTimestamp: true}); got < 15*ms || got > 21*ms {
			t.Errorf("clock set by %v after the arrival: arrived at %v", jump, got)
		}
		// The kernel took the timestamp after the clock was set.
		if got := d.ArrivalTime(SocketRead{LastEmpty: 18 * ms, ReadAt: 30 * ms, KernelTimestamp: 25*ms + jump, HasKernelTimestamp: true}); got < 18*ms || got > 30*ms {
			t.Errorf("clock set by %v before the arrival: arrived at %v", jump, got)
		}
		d.Observe(2020*ms, 2020*ms+2*jump) // set again while the process was paused
		got := d.ArrivalTime(SocketRead{LastEmpty: 18 * ms, ReadAt: 2021 * ms, KernelTimestamp: 500*ms + jump, HasKernelTimestamp: true})
		if got < 18*ms || got > 500*ms {
			t.Errorf("clock set by %v, read after a pause: arrived at %v", jump, got)
		}
	}
}

// Guards against results out of bounds for random observations and reads: an arrival time must be
// between LastEmpty and ReadAt, and an active time must be between zero and the elapsed time.
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
				t.Fatalf("%+v: arrived at %v", r, at)
			}
			if active := d.ActiveTime(empty, now); active < 0 || active > now-empty {
				t.Fatalf("active for %v of %v", active, now-empty)
			}
		}
	}
}
