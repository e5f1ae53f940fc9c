package authz

import (
	"testing"
	"time"
)

func TestQuotaEstimate(t *testing.T) {
	e := newQuotaEstimator(map[string]Plan{"p": {Rate: 5, Burst: 3}, "unlimited": {}})
	for i := range 4 {
		if over := e.take(testStart, "a", "p", 1); over != (i == 3) {
			t.Errorf("request %d of a burst of 3: over quota is %v", i+1, over)
		}
	}
	if e.take(testStart, "b", "p", 1) {
		t.Error("another customer of the plan is over quota")
	}
	for range 100 {
		if e.take(testStart, "c", "unlimited", 1) || e.take(testStart, "d", "unknown", 1) {
			t.Fatal("over quota without a rate")
		}
	}
	refilled := testStart.Add(100 * time.Millisecond) // one token at twice the rate of 5
	if e.take(refilled, "a", "p", 1) || !e.take(refilled, "a", "p", 1) {
		t.Error("the bucket was not refilled by exactly one token")
	}
	e.removeIdle(refilled.Add(bucketIdleTime))
	if len(e.buckets) != 1 {
		t.Errorf("%d buckets, want only the bucket of customer a", len(e.buckets))
	}
}

// A request takes as many tokens as it has units.
func TestQuotaEstimateCountsUnits(t *testing.T) {
	e := newQuotaEstimator(map[string]Plan{"p": {Rate: 5, Burst: 3}})
	for i := range 7 {
		if over := e.take(testStart, "small", "p", 0.5); over != (i == 6) {
			t.Errorf("request %d of half a unit, of a burst of 3: over quota is %v", i+1, over)
		}
	}
	if e.take(testStart, "large", "p", 2) || !e.take(testStart, "large", "p", 2) {
		t.Error("two requests of 2 units fit a burst of 3")
	}
}
