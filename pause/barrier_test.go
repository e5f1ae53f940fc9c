package pause

import (
	"testing"
	"time"
)

func TestBarrierLiftsOnceSocketsAreDrained(t *testing.T) {
	s := DefaultSettings()
	b := NewBarrier(s)
	if b.Raised() {
		t.Fatal("raised at first")
	}
	b.Raise(0)
	if recheckAfter := b.Observe(0, 2); !b.Raised() || recheckAfter <= 0 {
		t.Error("lifted with sockets unread")
	}
	b.Observe(10*ms, 0)
	if !b.Raised() {
		t.Error("lifted before sockets were drained for long enough")
	}
	b.Observe(12*ms, 1)
	b.Observe(13*ms, 0)
	if b.Observe(15*ms, 0); !b.Raised() {
		t.Error("an unread socket in between was forgotten")
	}
	if b.Observe(13*ms+s.SettleTime, 0); b.Raised() {
		t.Error("held though sockets are drained")
	}
	b.Raise(time.Second)
	if b.Observe(time.Second+s.MaxBarrier, 7); b.Raised() {
		t.Error("held for longer than MaxBarrier")
	}
}
