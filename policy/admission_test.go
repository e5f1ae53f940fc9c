package policy

import (
	"testing"
	"time"
)

func TestQueuesBeyondInFlightCapInOrder(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	var sent []StartAttempt
	for range 4 {
		acts := w.request("safe", "open", "c", 1)
		sent = append(sent, actionsOf[StartAttempt](acts)...)
		w.now += ms
	}
	w.receiveReport(1, 1)
	sent = append(sent, actionsOf[StartAttempt](w.advance(60*ms))...)
	if len(sent) != 2 {
		t.Fatalf("%d attempts in flight under a cap of 2", len(sent))
	}
	w.receiveReport(1, 2)
	next := actionsOf[StartAttempt](w.finishAttempt(sent[0], 0, OK))
	if len(next) != 1 || next[0].ID != 3 {
		t.Fatalf("the oldest queued request was not released: %v", next)
	}
}

func TestClientRetriesYieldDuringServerShortage(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(1))
	for range 50 {
		w.request("safe", "free", "c", 1)
	}
	w.lastID++
	acts := w.handle(Request{ID: w.lastID, Customer: "c", Plan: "free", Class: "safe", Units: 1,
		Remaining: 2 * time.Second, GatewaySpread: 2, ClientRetry: true})
	if r := actionsOf[Reject](acts); len(r) != 1 || r[0].RetryAfter != 500*ms {
		t.Fatalf("got %v", acts)
	}
}

// A bucket that is low is left to first attempts.
func TestClientRetriesYieldWhenTokensAreLow(t *testing.T) {
	for spent, want := range map[int]int{0: 1, 8: 0} {
		w := newHarness(t, baseSettings(), testServers(8))
		w.receiveReport(1, 1)
		w.admitUnits(spent, "rate")
		w.lastID++
		acts := w.handle(Request{ID: w.lastID, Customer: "c", Plan: "rate", Class: "safe", Units: 1,
			Remaining: 2 * time.Second, GatewaySpread: 2, ClientRetry: true})
		if n := len(actionsOf[StartAttempt](acts)); n != want {
			t.Errorf("%d retries admitted after %d of 10 units, want %d", n, spent, want)
		}
	}
}

// A request without time left is rejected at once: it cannot wait for its leader.
func TestRequestWithoutTimeIsRejected(t *testing.T) {
	w := newGatewayFleet(t, 100, testServers(10))
	for i := range 20 {
		w.handle(i, Request{ID: RequestID(i + 1), Customer: "k", Plan: "rate", Class: "safe", Units: 1, GatewaySpread: 100})
	}
	if w.rejected != 20 || len(w.sends) > 0 {
		t.Errorf("%d rejected, %d sent", w.rejected, len(w.sends))
	}
}
