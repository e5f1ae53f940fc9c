package authz

import (
	"math/rand/v2"
	"testing"
	"time"
)

const breakerTestTimeout = 200 * time.Millisecond

func failCheck(b *circuitBreaker, now time.Time, rng *rand.Rand) (opened bool) {
	isProbe := b.checkSent()
	b.probeEnded()
	return b.recordFailure(now, isProbe, breakerTestTimeout, rng)
}

func passCheck(b *circuitBreaker, now time.Time) (closed bool) {
	isProbe := b.checkSent()
	b.probeEnded()
	return b.recordResult(now, isProbe)
}

func TestBreakerOpensAfterFailuresWithoutResults(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := &circuitBreaker{}
	now := testStart
	passCheck(b, now)
	for range 2 * openAfterFailures {
		if failCheck(b, now.Add(breakerTestTimeout), rng) {
			t.Fatal("opened although there was a recent result")
		}
	}
	now = now.Add(openAfterTimeouts*breakerTestTimeout + 1)
	if !failCheck(b, now, rng) || !b.open(now) || b.allows(now) {
		t.Errorf("not open: %+v", b)
	}
}

func TestBreakerOpensForLongerAfterEachFailedProbe(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := &circuitBreaker{}
	now := testStart
	for range openAfterFailures {
		failCheck(b, now, rng)
	}
	for want := minOpenTime; want <= 4*maxOpenTime; want *= 2 {
		expected := min(want, maxOpenTime)
		got := b.openUntil.Sub(now)
		if got < time.Duration(0.8*float64(expected)) || got > time.Duration(1.2*float64(expected)) {
			t.Errorf("open for %v, want %v ± 20%%", got, expected)
		}
		now = b.openUntil
		if failCheck(b, now, rng) {
			t.Error("a failed probe was reported as opening a closed breaker")
		}
	}
}

func TestBreakerClosesAfterSuccessfulProbes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := &circuitBreaker{}
	for range openAfterFailures {
		failCheck(b, testStart, rng)
	}
	now := b.openUntil
	b.checkSent()
	if b.allows(now) {
		t.Error("a second probe is allowed while one is in flight")
	}
	b.probeEnded()
	for probe := 1; probe <= closeAfterProbes; probe++ {
		if closed := passCheck(b, now); closed != (probe == closeAfterProbes) {
			t.Errorf("after %d probes: closed is %v", probe, closed)
		}
	}
	if !b.healthy(now) || !b.allows(now) {
		t.Errorf("not closed: %+v", b)
	}
}

// A check that was sent before the breaker opened neither ends the probe in flight nor counts as a failed probe.
func TestEarlierCheckDoesNotEndTheProbe(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for name, end := range map[string]func(a *address, now time.Time, isProbe bool){
		"failed": func(a *address, now time.Time, isProbe bool) {
			a.checkEnded(now, isProbe, CheckResult{Outcome: TimedOut}, breakerTestTimeout, rng)
		},
		"canceled": func(a *address, _ time.Time, isProbe bool) { a.checkCanceled(isProbe) },
	} {
		a := newAddress(0, 100)
		earlier := a.checkSent()
		for range openAfterFailures {
			a.checkEnded(testStart, a.checkSent(), CheckResult{Outcome: TimedOut}, breakerTestTimeout, rng)
		}
		now := a.breaker.openUntil
		a.checkSent() // the probe
		openTime := a.breaker.openTime
		end(a, now, earlier)
		if a.accepts(now) || a.breaker.openTime != openTime {
			t.Errorf("%s: accepts a second probe: %v; open for %v after %v", name, a.accepts(now), a.breaker.openTime, openTime)
		}
	}
}

// Results of checks that were sent before the breaker opened must not close it. Otherwise an authorization service
// that is down would get the full load back at once.
func TestEarlierResultsDoNotCloseTheBreaker(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	a := newAddress(0, 2*openAfterFailures)
	var sent []bool
	for range openAfterFailures + closeAfterProbes {
		sent = append(sent, a.checkSent())
	}
	now := testStart
	for _, isProbe := range sent[:openAfterFailures] {
		a.checkEnded(now, isProbe, CheckResult{Outcome: TimedOut}, breakerTestTimeout, rng)
	}
	if !a.breaker.open(now) {
		t.Fatal("the breaker is not open")
	}
	now = a.breaker.openUntil
	for _, isProbe := range sent[openAfterFailures:] {
		if change := a.checkEnded(now, isProbe, CheckResult{Outcome: Allowed}, breakerTestTimeout, rng); change != breakerUnchanged {
			t.Errorf("an earlier result changed the breaker: %v", change)
		}
	}
	for probe := range closeAfterProbes {
		isProbe := a.checkSent()
		if !isProbe || a.accepts(now) {
			t.Errorf("check %d after the open time: probe %v, another check is accepted: %v", probe, isProbe, a.accepts(now))
		}
		change := a.checkEnded(now, isProbe, CheckResult{Outcome: Allowed}, breakerTestTimeout, rng)
		if want := map[bool]breakerChange{true: breakerClosed, false: breakerUnchanged}[probe == closeAfterProbes-1]; change != want {
			t.Errorf("probe %d: change %v, want %v", probe, change, want)
		}
	}
}
