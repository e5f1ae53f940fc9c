package pause

import (
	"math/rand/v2"
	"testing"
	"time"
)

const millisecond = time.Millisecond

func detectorAfter(looks ...time.Duration) *Detector {
	w := NewDetector(DefaultSettings())
	for _, at := range looks {
		w.Observe(at, at)
	}
	return w
}

func TestDetectorFindsPauses(t *testing.T) {
	w := detectorAfter(0, 10*millisecond, 20*millisecond)
	if _, found := w.Observe(70*millisecond, 70*millisecond); found {
		t.Error("a look in time is taken for a gap")
	}
	g, found := w.Observe(121*millisecond, 121*millisecond)
	if !found || g != (Pause{70 * millisecond, 121 * millisecond}) {
		t.Errorf("%v %v", g, found)
	}
	if !w.PausedSince(120*millisecond) || w.PausedSince(121*millisecond) {
		t.Error("Since is off")
	}
	if ran := w.ActiveTime(60*millisecond, 131*millisecond); ran != 20*millisecond {
		t.Errorf("ran %v", ran)
	}
	if ran := w.ActiveTime(80*millisecond, 90*millisecond); ran != 0 {
		t.Errorf("ran %v inside the gap", ran)
	}
	w.MarkRunning(100 * time.Second)
	w.Observe(100*time.Second+51*millisecond, 100*time.Second+51*millisecond)
	if len(w.pauses) != 1 {
		t.Errorf("%d gaps kept", len(w.pauses))
	}
}

func TestArrivalTime(t *testing.T) {
	gap := []time.Duration{0, 10 * millisecond, 2010 * millisecond} // from 10 ms to 2,010
	for _, c := range []struct {
		what  string
		looks []time.Duration
		r     SocketRead
		want  time.Duration
	}{
		{"no gap, no stamp", []time.Duration{0, 10 * millisecond}, SocketRead{LastEmpty: 0, ReadAt: 11 * millisecond}, 11 * millisecond},
		{"no gap: its reader alone was late", []time.Duration{0, 10 * millisecond}, SocketRead{LastEmpty: 0, ReadAt: 400 * millisecond, KernelTimestamp: 20 * millisecond, HasKernelTimestamp: true}, 20 * millisecond},
		{"through a gap, no stamp", gap, SocketRead{LastEmpty: 5 * millisecond, ReadAt: 2011 * millisecond}, 10 * millisecond},
		{"seen empty in the gap", gap, SocketRead{LastEmpty: 700 * millisecond, ReadAt: 2011 * millisecond}, 700 * millisecond},
		{"seen empty after it", gap, SocketRead{LastEmpty: 2011 * millisecond, ReadAt: 2020 * millisecond}, 2020 * millisecond},
		{"through a gap, with a stamp", gap, SocketRead{LastEmpty: 5 * millisecond, ReadAt: 2011 * millisecond, KernelTimestamp: 1500 * millisecond, HasKernelTimestamp: true}, 1500 * millisecond},
		{"a stamp of the time to come", gap, SocketRead{LastEmpty: 5 * millisecond, ReadAt: 2011 * millisecond, KernelTimestamp: 9000 * millisecond, HasKernelTimestamp: true}, 2011 * millisecond},
		{"a stamp from before it was seen empty", gap, SocketRead{LastEmpty: 5 * millisecond, ReadAt: 2011 * millisecond, KernelTimestamp: -9000 * millisecond, HasKernelTimestamp: true}, 5 * millisecond},
	} {
		if got := detectorAfter(c.looks...).ArrivalTime(c.r); got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// The wall clock is set an hour forward, or back: in a gap a stamp counts as the
// earlier reading that can be, and without one as the later.
func TestArrivalTimeWhenWallClockIsSet(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		w := detectorAfter(0, 10*millisecond)
		w.Observe(20*millisecond, 20*millisecond+jump)
		// Stamped before the clock was set, read after.
		if got := w.ArrivalTime(SocketRead{LastEmpty: 0, ReadAt: 21 * millisecond, KernelTimestamp: 15 * millisecond, HasKernelTimestamp: true}); got < 15*millisecond || got > 21*millisecond {
			t.Errorf("%v: %v", jump, got)
		}
		// Stamped and read after.
		if got := w.ArrivalTime(SocketRead{LastEmpty: 18 * millisecond, ReadAt: 30 * millisecond, KernelTimestamp: 25*millisecond + jump, HasKernelTimestamp: true}); got < 18*millisecond || got > 30*millisecond {
			t.Errorf("%v: %v", jump, got)
		}
		w.Observe(2020*millisecond, 2020*millisecond+2*jump) // set again while the process stood still
		got := w.ArrivalTime(SocketRead{LastEmpty: 18 * millisecond, ReadAt: 2021 * millisecond, KernelTimestamp: 500*millisecond + jump, HasKernelTimestamp: true})
		if got < 18*millisecond || got > 500*millisecond {
			t.Errorf("%v, in a gap: %v", jump, got)
		}
	}
}

// Whatever is read and looked at: an arrival is never after its read, nor before
// the socket was seen empty, nor a run time negative.
func TestArrivalTimeStaysWithinBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		w := NewDetector(DefaultSettings())
		now, wall := time.Duration(0), time.Duration(0)
		for range 30 {
			step := time.Duration(rng.Int64N(int64(20 * millisecond)))
			if rng.IntN(10) == 0 {
				step = time.Duration(rng.Int64N(int64(5 * time.Second)))
			}
			now, wall = now+step, wall+step
			if rng.IntN(10) == 0 {
				wall += time.Duration(rng.Int64N(int64(2*time.Hour))) - time.Hour
			}
			w.Observe(now, wall)
			empty := time.Duration(rng.Int64N(int64(now) + 1))
			r := SocketRead{LastEmpty: empty, ReadAt: now, KernelTimestamp: wall - time.Duration(rng.Int64N(int64(10*time.Second))), HasKernelTimestamp: rng.IntN(2) == 0}
			if at := w.ArrivalTime(r); at > r.ReadAt || at < r.LastEmpty {
				t.Fatalf("%+v: %v", r, at)
			}
			if ran := w.ActiveTime(empty, now); ran < 0 || ran > now-empty {
				t.Fatalf("ran %v of %v", ran, now-empty)
			}
		}
	}
}

func TestBarrierLiftsOnceSocketsAreDrained(t *testing.T) {
	s := DefaultSettings()
	b := NewBarrier(s)
	if b.Raised() {
		t.Fatal("raised at first")
	}
	b.Raise(0)
	if again := b.Observe(0, 2); !b.Raised() || again <= 0 {
		t.Error("lifted with sockets unread")
	}
	b.Observe(10*millisecond, 0)
	if !b.Raised() {
		t.Error("lifted before it was calm for long enough")
	}
	b.Observe(12*millisecond, 1)
	b.Observe(13*millisecond, 0)
	if b.Observe(15*millisecond, 0); !b.Raised() {
		t.Error("an unread socket in between was forgotten")
	}
	if b.Observe(13*millisecond+s.SettleTime, 0); b.Raised() {
		t.Error("held for nothing")
	}
	b.Raise(time.Second)
	if b.Observe(time.Second+s.MaxBarrier, 7); b.Raised() {
		t.Error("held for longer than it may")
	}
}

func TestSortBacklog(t *testing.T) {
	in := []EventKind{RequestArrived, CallFinished, ClientDisconnected, OtherEvent, EndpointsUpdated, PeerMessage, RequestArrived, EndpointsUpdated}
	got := SortBacklog(in, func(k EventKind) EventKind { return k })
	if got != 5 {
		t.Errorf("%d before the timers", got)
	}
	for i := 1; i < len(in); i++ {
		if in[i] < in[i-1] {
			t.Errorf("%v", in)
		}
	}
	if n := SortBacklog([]EventKind{ClientDisconnected}, func(k EventKind) EventKind { return k }); n != 1 {
		t.Errorf("%d of 1", n)
	}
}
