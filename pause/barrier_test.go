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
