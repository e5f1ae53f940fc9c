package pause

import (
	"testing"
	"time"
)

func TestBarrierLiftsOnceSocketsAreDrained(t *testing.T) {
	s := DefaultSettings()
	b := NewBarrier(s)
	if b.Raised() {
		t.Fatal("a new barrier is raised")
	}
	b.Raise(0)
	if recheckAfter := b.Observe(0, 2); !b.Raised() || recheckAfter <= 0 {
		t.Error("lifted while sockets have unread bytes")
	}
	b.Observe(10*ms, 0)
	if !b.Raised() {
		t.Error("lifted before sockets were drained for SettleTime")
	}
	b.Observe(12*ms, 1)
	b.Observe(13*ms, 0)
	if b.Observe(15*ms, 0); !b.Raised() {
		t.Error("the settle time did not restart after a socket had unread bytes")
	}
	if b.Observe(13*ms+s.SettleTime, 0); b.Raised() {
		t.Error("not lifted though sockets were drained for SettleTime")
	}
	b.Raise(time.Second)
	if b.Observe(time.Second+s.MaxBarrier, 7); b.Raised() {
		t.Error("not lifted after MaxBarrier")
	}
}

// Guards against a barrier that stays raised for as long as the process is paused now and then, because each
// pause restarts the limit of the delay. With pauses of up to 0.15 s a request must be answered half a second
// after its time at the latest, so the barrier must be lifted before that.
func TestPausesInSeriesDoNotRestartTheLimit(t *testing.T) {
	const maxDelay = 500 * ms
	for _, c := range []struct{ pause, run time.Duration }{
		{60 * ms, 100 * ms}, {150 * ms, 100 * ms}, {150 * ms, 20 * ms}, {150 * ms, 2 * ms}, {51 * ms, ms}, {100 * ms, 199 * ms},
	} {
		b := NewBarrier(DefaultSettings())
		b.Raise(0)
		now, pauseDue := time.Duration(0), c.run
		for b.Raised() && now < time.Minute {
			if now >= pauseDue {
				now += c.pause
				pauseDue = now + c.run
				b.Raise(now)
			}
			now += max(b.Observe(now, 1), ms)
		}
		if now > maxDelay {
			t.Errorf("paused for %v every %v with an unread socket: raised for %v, want %v at most", c.pause, c.pause+c.run, now, maxDelay)
		}
	}
}

// Guards against a barrier that is lifted right after a long pause, before the sockets are read, because it was
// raised when the pause began.
func TestPauseWhileRaisedLeavesTimeToReadSockets(t *testing.T) {
	s := DefaultSettings()
	for _, pauseTime := range []time.Duration{s.MaxBarrier, 3 * time.Second} {
		b := NewBarrier(s)
		b.Raise(0)
		b.Observe(10*ms, 1)
		resumed := 10*ms + pauseTime
		b.Raise(resumed)
		if b.Observe(resumed, 5); !b.Raised() {
			t.Errorf("lifted at the end of a pause of %v", pauseTime)
		}
		if b.Observe(resumed+s.SettleTime, 5); !b.Raised() {
			t.Errorf("lifted %v after a pause of %v with unread sockets", s.SettleTime, pauseTime)
		}
		b.Observe(resumed+2*s.SettleTime, 0)
		if b.Observe(resumed+3*s.SettleTime, 0); b.Raised() {
			t.Errorf("not lifted once sockets were drained after a pause of %v", pauseTime)
		}
	}
}

// Guards against decisions on what was known before a pause: after each pause the sockets get SettleTime at least.
func TestLimitWaitsForSettleTimeAfterPause(t *testing.T) {
	s := DefaultSettings()
	b := NewBarrier(s)
	b.Raise(0)
	b.Observe(s.MaxBarrier-ms, 1)
	resumed := s.MaxBarrier + 60*ms
	b.Raise(resumed)
	if b.Observe(resumed, 1); !b.Raised() {
		t.Error("lifted at the end of a pause, before any socket was read")
	}
	if b.Observe(resumed+s.SettleTime, 1); b.Raised() {
		t.Error("not lifted though the limit has passed")
	}
}
