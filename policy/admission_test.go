package policy

import (
	"testing"
	"time"
)

// Requests beyond the in-flight cap are queued, and the oldest one is released first.
func TestQueuesBeyondInFlightCapInOrder(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(8))
	var attempts []StartAttempt
	for range 4 {
		actions := h.request("safe", "open", "c", 1)
		attempts = append(attempts, actionsOf[StartAttempt](actions)...)
		h.now += ms
	}
	h.receiveReport(1, 1)
	attempts = append(attempts, actionsOf[StartAttempt](h.advance(60*ms))...)
	if len(attempts) != 2 {
		t.Fatalf("%d attempts in flight under a cap of 2", len(attempts))
	}
	h.receiveReport(1, 2)
	next := actionsOf[StartAttempt](h.finishAttempt(attempts[0], 0, OK))
	if len(next) != 1 || next[0].ID != 3 {
		t.Fatalf("the oldest queued request was not released: %v", next)
	}
}

// A client retry is rejected, with advice to retry later, while the servers are saturated.
func TestClientRetriesAreShedDuringServerShortage(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(1))
	for range 50 {
		h.request("safe", "free", "c", 1)
	}
	h.lastID++
	actions := h.handle(Request{ID: h.lastID, Customer: "c", Plan: "free", Class: "safe", Units: 1,
		Remaining: 2 * time.Second, GatewaySpread: 2, ClientRetry: true})
	if r := actionsOf[Reject](actions); len(r) != 1 || r[0].RetryAfter != 500*ms {
		t.Fatalf("want a rejection with a Retry-After of 500 ms, got %v", actions)
	}
}

// Client retries are rejected when the bucket is low, so that its tokens are left to first attempts.
func TestClientRetriesAreShedWhenTokensAreLow(t *testing.T) {
	for spent, want := range map[int]int{0: 1, 8: 0} {
		h := newHarness(t, baseSettings(), testServers(8))
		h.receiveReport(1, 1)
		h.admitUnits(spent, "rate")
		h.lastID++
		actions := h.handle(Request{ID: h.lastID, Customer: "c", Plan: "rate", Class: "safe", Units: 1,
			Remaining: 2 * time.Second, GatewaySpread: 2, ClientRetry: true})
		if n := len(actionsOf[StartAttempt](actions)); n != want {
			t.Errorf("%d client retries admitted after %d of 10 units were used, want %d", n, spent, want)
		}
	}
}

// A request whose deadline has come is rejected at once, since it cannot wait for a lease.
func TestRequestWithoutTimeIsRejected(t *testing.T) {
	fleet := newGatewayFleet(t, 100, testServers(10))
	for i := range 20 {
		fleet.handle(i, Request{ID: RequestID(i + 1), Customer: "k", Plan: "rate", Class: "safe", Units: 1, GatewaySpread: 100})
	}
	if fleet.rejected != 20 || len(fleet.attempts) > 0 {
		t.Errorf("%d requests rejected, want 20; %d attempts, want none", fleet.rejected, len(fleet.attempts))
	}
}
