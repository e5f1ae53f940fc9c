package usage

import (
	"testing"
	"time"
)

// Guards against a restarted node that assumes a full token bucket: it must get the level from the
// counter.
func TestRestartedNodeLearnsLevelFromCounter(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.forwardSteadily(10 * time.Second) // customer a uses 10 units per second, which is its rate
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
		if got < 10 || got > 20 { // 20 - 15 + 10 refilled in the second since then
			f.t.Fatalf("restored level is %v, want 10 to 20", got)
		}
	})
}

// restoredLevel returns the level that actions restore for a customer, or level if they restore
// none.
func restoredLevel(actions []Action, customer string, level float64) float64 {
	for _, action := range actions {
		if restore, ok := action.(RestoreLevel); ok && restore.Customer == customer {
			level = restore.Units
		}
	}
	return level
}
