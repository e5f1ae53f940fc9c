package policy

import (
	"testing"
)

// A server that rejects one plan stays in use for the others.
func TestServerRejectionAppliesToOnePlan(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(2))
	for range 200 {
		w.finishAttempt(w.startAttempt("safe", "free"), 0, OK)
		w.advance(200 * ms)
	}
	first := 0
	for range 20 {
		s := w.startAttempt("safe", "free")
		if s.Server == 1 {
			first++
			next := actionsOf[StartAttempt](w.finishAttempt(s, 0, Rejected))
			w.finishAttempt(next[0], 1, OK)
		} else {
			w.finishAttempt(s, 0, OK)
		}
		w.advance(20 * ms)
	}
	others := 0
	for range 20 {
		acts := w.request("safe", "rate", "d", 0)
		for _, s := range actionsOf[StartAttempt](acts) {
			if s.Server == 1 {
				others++
			}
			w.finishAttempt(s, 0, OK)
		}
	}
	if first != 1 || others < 3 {
		t.Fatalf("%d to the server that rejects the plan, %d of another plan", first, others)
	}
}
