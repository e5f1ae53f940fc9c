package usage

import (
	"testing"
	"time"
)

// A restarted node learns from the counter how full a token bucket is.
func TestRestartedNodeLearnsLevelFromCounter(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.forwardSteadily(10 * time.Second) // customer a at 10 a second, which is its rate
		f.forward(f.nodes[2], "a", 15)
		f.advance(time.Second)
		f.restart(f.nodes[0], false)
		restarted := f.nodes[0]
		got := -1.0
		for _, action := range restarted.tracker.RecordRequest(f.now, "a", "p", f.peers()) {
			if call, ok := action.(CounterCall); ok {
				response := f.copies[0].execute(call)
				got = restoredLevel(restarted.tracker.HandleResponse(f.now, call.ID, response), "a", got)
			}
		}
		if got < 10 || got > 20 { // 20 - 15 + 10 of the second since
			f.t.Fatalf("restored %v", got)
		}
	})
}

// restoredLevel returns the level that actions restore for a customer, or the given one.
func restoredLevel(actions []Action, customer string, level float64) float64 {
	for _, action := range actions {
		if restore, ok := action.(RestoreLevel); ok && restore.Customer == customer {
			level = restore.Units
		}
	}
	return level
}
