package policy

import (
	"testing"
)

// A server that rejects a request of one plan gets no more of that plan for a while, but still those of others.
func TestServerRejectionAppliesToOnePlan(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(2))
	for range 200 {
		h.finishAttempt(h.startAttempt("safe", "free"), 0, OK)
		h.advance(200 * ms)
	}
	rejectedPlan := 0
	for range 20 {
		s := h.startAttempt("safe", "free")
		if s.Server == 1 {
			rejectedPlan++
			next := actionsOf[StartAttempt](h.finishAttempt(s, 0, Rejected))
			h.finishAttempt(next[0], 1, OK)
		} else {
			h.finishAttempt(s, 0, OK)
		}
		h.advance(20 * ms)
	}
	otherPlan := 0
	for range 20 {
		actions := h.request("safe", "rate", "d", 0)
		for _, s := range actionsOf[StartAttempt](actions) {
			if s.Server == 1 {
				otherPlan++
			}
			h.finishAttempt(s, 0, OK)
		}
	}
	if rejectedPlan != 1 || otherPlan < 3 {
		t.Fatalf("at the server that rejects a plan: %d attempts of the plan, want 1; %d of another plan, want at least 3", rejectedPlan, otherPlan)
	}
}
