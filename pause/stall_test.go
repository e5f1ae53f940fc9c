package pause

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func watch(looks ...time.Duration) *Watch {
	w := NewWatch(Default())
	for _, at := range looks {
		w.Look(at, at)
	}
	return w
}

func TestGaps(t *testing.T) {
	w := watch(0, 10*ms, 20*ms)
	if _, found := w.Look(70*ms, 70*ms); found {
		t.Error("a look in time is taken for a gap")
	}
	g, found := w.Look(121*ms, 121*ms)
	if !found || g != (Gap{70 * ms, 121 * ms}) {
		t.Errorf("%v %v", g, found)
	}
	if !w.Since(120*ms) || w.Since(121*ms) {
		t.Error("Since is off")
	}
	if ran := w.ActiveTime(60*ms, 131*ms); ran != 20*ms {
		t.Errorf("ran %v", ran)
	}
	if ran := w.ActiveTime(80*ms, 90*ms); ran != 0 {
		t.Errorf("ran %v inside the gap", ran)
	}
	w.Seen(100 * time.Second)
	w.Look(100*time.Second+51*ms, 100*time.Second+51*ms)
	if len(w.gaps) != 1 {
		t.Errorf("%d gaps kept", len(w.gaps))
	}
}

func TestArrival(t *testing.T) {
	gap := []time.Duration{0, 10 * ms, 2010 * ms} // from 10 ms to 2,010
	for _, c := range []struct {
		what  string
		looks []time.Duration
		r     Read
		want  time.Duration
	}{
		{"no gap, no stamp", []time.Duration{0, 10 * ms}, Read{Empty: 0, At: 11 * ms}, 11 * ms},
		{"no gap: its reader alone was late", []time.Duration{0, 10 * ms}, Read{Empty: 0, At: 400 * ms, Stamp: 20 * ms, Known: true}, 20 * ms},
		{"through a gap, no stamp", gap, Read{Empty: 5 * ms, At: 2011 * ms}, 10 * ms},
		{"seen empty in the gap", gap, Read{Empty: 700 * ms, At: 2011 * ms}, 700 * ms},
		{"seen empty after it", gap, Read{Empty: 2011 * ms, At: 2020 * ms}, 2020 * ms},
		{"through a gap, with a stamp", gap, Read{Empty: 5 * ms, At: 2011 * ms, Stamp: 1500 * ms, Known: true}, 1500 * ms},
		{"a stamp of the time to come", gap, Read{Empty: 5 * ms, At: 2011 * ms, Stamp: 9000 * ms, Known: true}, 2011 * ms},
		{"a stamp from before it was seen empty", gap, Read{Empty: 5 * ms, At: 2011 * ms, Stamp: -9000 * ms, Known: true}, 5 * ms},
	} {
		if got := watch(c.looks...).Arrival(c.r); got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// The wall clock is set an hour forward, or back: in a gap a stamp counts as the
// earlier reading that can be, and without one as the later.
func TestClockSet(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		w := watch(0, 10*ms)
		w.Look(20*ms, 20*ms+jump)
		// Stamped before the clock was set, read after.
		if got := w.Arrival(Read{Empty: 0, At: 21 * ms, Stamp: 15 * ms, Known: true}); got < 15*ms || got > 21*ms {
			t.Errorf("%v: %v", jump, got)
		}
		// Stamped and read after.
		if got := w.Arrival(Read{Empty: 18 * ms, At: 30 * ms, Stamp: 25*ms + jump, Known: true}); got < 18*ms || got > 30*ms {
			t.Errorf("%v: %v", jump, got)
		}
		w.Look(2020*ms, 2020*ms+2*jump) // set again while the process stood still
		got := w.Arrival(Read{Empty: 18 * ms, At: 2021 * ms, Stamp: 500*ms + jump, Known: true})
		if got < 18*ms || got > 500*ms {
			t.Errorf("%v, in a gap: %v", jump, got)
		}
	}
}

// Whatever is read and looked at: an arrival is never after its read, nor before
// the socket was seen empty, nor a run time negative.
func TestArrivalBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		w := NewWatch(Default())
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
			w.Look(now, wall)
			empty := time.Duration(rng.Int64N(int64(now) + 1))
			r := Read{Empty: empty, At: now, Stamp: wall - time.Duration(rng.Int64N(int64(10*time.Second))), Known: rng.IntN(2) == 0}
			if at := w.Arrival(r); at > r.At || at < r.Empty {
				t.Fatalf("%+v: %v", r, at)
			}
			if ran := w.ActiveTime(empty, now); ran < 0 || ran > now-empty {
				t.Fatalf("ran %v of %v", ran, now-empty)
			}
		}
	}
}

func TestBarrier(t *testing.T) {
	s := Default()
	b := NewBarrier(s)
	if b.On() {
		t.Fatal("raised at first")
	}
	b.Raise(0)
	if again := b.Look(0, 2); !b.On() || again <= 0 {
		t.Error("lifted with sockets unread")
	}
	b.Look(10*ms, 0)
	if !b.On() {
		t.Error("lifted before it was calm for long enough")
	}
	b.Look(12*ms, 1)
	b.Look(13*ms, 0)
	if b.Look(15*ms, 0); !b.On() {
		t.Error("an unread socket in between was forgotten")
	}
	if b.Look(13*ms+s.Calm, 0); b.On() {
		t.Error("held for nothing")
	}
	b.Raise(time.Second)
	if b.Look(time.Second+s.Most, 7); b.On() {
		t.Error("held for longer than it may")
	}
}

func TestOrder(t *testing.T) {
	in := []Kind{Asked, Ended, Left, Other, Listed, Heard, Asked, Listed}
	got := Order(in, func(k Kind) Kind { return k })
	if got != 5 {
		t.Errorf("%d before the timers", got)
	}
	for i := 1; i < len(in); i++ {
		if in[i] < in[i-1] {
			t.Errorf("%v", in)
		}
	}
	if n := Order([]Kind{Left}, func(k Kind) Kind { return k }); n != 1 {
		t.Errorf("%d of 1", n)
	}
}
