package authz

import "testing"

func TestConcurrencyLimitGrowsOnlyWhenInUse(t *testing.T) {
	l := newConcurrencyLimit(100)
	l.recordResult(0.010, 0)
	if l.limit != initialConcurrency {
		t.Errorf("limit %v after a result without others in flight", l.limit)
	}
	l.recordResult(0.010, initialConcurrency/2)
	if want := initialConcurrency + 1/initialConcurrency; l.limit != want {
		t.Errorf("limit %v, want %v", l.limit, want)
	}
}

func TestConcurrencyLimitStaysWithinBounds(t *testing.T) {
	l := newConcurrencyLimit(17)
	for range 100 {
		l.recordResult(0.010, 17)
	}
	if l.limit != 17 || !l.allows(16) || l.allows(17) {
		t.Errorf("limit %v, want 17", l.limit)
	}
	for range 100 {
		l.recordFailure()
	}
	if l.limit != minConcurrency || !l.allows(3) || l.allows(4) {
		t.Errorf("limit %v after failures, want %v", l.limit, minConcurrency)
	}
}

func TestConcurrencyLimitShrinksWhenResultsAreSlow(t *testing.T) {
	l := newConcurrencyLimit(100)
	l.recordResult(0.010, 0)
	l.recordResult(0.029, 0)
	if l.limit != initialConcurrency {
		t.Errorf("limit %v after a result below slowFactor times the baseline", l.limit)
	}
	l.recordResult(0.100, 0)
	if want := initialConcurrency * slowDecrease; l.limit != want {
		t.Errorf("limit %v, want %v", l.limit, want)
	}
}

// A configured limit below minConcurrency is never exceeded nor reduced, whatever the results are.
func TestConcurrencyLimitBelowDefaultMinimumIsKept(t *testing.T) {
	for maxInFlight := 1; maxInFlight < minConcurrency; maxInFlight++ {
		for name, record := range map[string]func(*concurrencyLimit){
			"failures":     (*concurrencyLimit).recordFailure,
			"slow results": func(l *concurrencyLimit) { l.recordResult(0.001, 0); l.recordResult(1, 0) },
			"results":      func(l *concurrencyLimit) { l.recordResult(0.001, 4) },
			"recovery":     (*concurrencyLimit).reset,
		} {
			l := newConcurrencyLimit(maxInFlight)
			for range 20 {
				record(&l)
			}
			if l.allows(maxInFlight) || !l.allows(maxInFlight-1) {
				t.Errorf("limit %v after %s, want %d", l.limit, name, maxInFlight)
			}
		}
	}
}
