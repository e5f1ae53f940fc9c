package usage

import (
	"testing"
	"time"
)

// A restarted node learns from the counter how full a store is.
func TestRestore(t *testing.T) {
	fixed(t, func(w *world) {
		w.busy(10 * time.Second) // customer a at 10 a second, which is its rate
		w.pass(w.nodes[2], "a", 15)
		w.run(time.Second)
		w.restart(w.nodes[0], false)
		got := -1.0
		m := w.nodes[0]
		for _, a := range m.t.Seen(w.now, "a", "p", w.peers()) {
			if c, ok := a.(Call); ok {
				for _, a := range m.t.Answered(w.now, c.ID, w.side[0].do(c)) {
					if r, ok := a.(Restore); ok && r.Customer == "a" {
						got = r.Units
					}
				}
			}
		}
		if got < 10 || got > 20 { // 20 - 15 + 10 of the second since
			w.t.Fatalf("restored %v", got)
		}
	})
}
