package usage

import (
	"testing"
	"time"
)

// A restarted node learns from the counter how full a store is.
func TestRestartedNodeLearnsLevelFromCounter(t *testing.T) {
	withFleet(t, func(w *fleet) {
		w.forwardSteadily(10 * time.Second) // customer a at 10 a second, which is its rate
		w.forward(w.nodes[2], "a", 15)
		w.advance(time.Second)
		w.restart(w.nodes[0], false)
		got := -1.0
		m := w.nodes[0]
		for _, a := range m.tracker.RecordRequest(w.now, "a", "p", w.peers()) {
			if c, ok := a.(CounterCall); ok {
				for _, a := range m.tracker.HandleResponse(w.now, c.ID, w.copies[0].execute(c)) {
					if r, ok := a.(RestoreLevel); ok && r.Customer == "a" {
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
