package authz

import (
	"math/rand/v2"
	"time"
)

const (
	// openAfterFailures in a row open a breaker, when there was no result for openAfterTimeouts
	// times the timeout of a check: a few failures among many results do not.
	openAfterFailures = 5
	openAfterTimeouts = 2
	// minOpenTime is how long a breaker is open at first; it doubles with each failed probe up to
	// maxOpenTime.
	minOpenTime = 250 * time.Millisecond
	maxOpenTime = 4 * time.Second
	// openJitter spreads the open time by this share up and down, so that gateways do not probe
	// all at once.
	openJitter = 0.2
	// closeAfterProbes is how many consecutive successful probes close a breaker.
	closeAfterProbes = 3
)

// circuitBreaker keeps checks from an address that gives no results. Closed, it lets all pass.
// Open, it lets none pass. After the open time it is half-open and lets one check at a time pass
// as a probe: enough successful ones close it, a failed one opens it for longer.
type circuitBreaker struct {
	failures       int // in a row
	lastResultAt   time.Time
	tripped        bool // open or half-open
	openUntil      time.Time
	openTime       time.Duration
	probeSuccesses int
	probeInFlight  bool
}

func (b *circuitBreaker) open(now time.Time) bool { return now.Before(b.openUntil) }

// allows reports whether a check may be sent now.
func (b *circuitBreaker) allows(now time.Time) bool { return !b.open(now) && !b.probeInFlight }

// healthy reports whether the breaker is closed and the latest check had a result.
func (b *circuitBreaker) healthy(now time.Time) bool {
	return !b.open(now) && b.failures == 0 && !b.tripped
}

// checkSent must be called for each check, and reports whether it is a probe.
func (b *circuitBreaker) checkSent() (isProbe bool) {
	b.probeInFlight = b.tripped
	return b.probeInFlight
}

// checkEnded must be called for each probe that ended or was canceled; for another check it
// changes nothing, unless a probe is in flight. It reports whether there was one.
func (b *circuitBreaker) checkEnded() (probe bool) {
	probe = b.probeInFlight
	b.probeInFlight = false
	return probe
}

// recordFailure records a check without a result, and reports whether it opened a closed breaker.
func (b *circuitBreaker) recordFailure(now time.Time, probe bool, timeout time.Duration, rng *rand.Rand) (opened bool) {
	b.failures++
	noResults := now.Sub(b.lastResultAt) > openAfterTimeouts*timeout
	if !probe && (b.failures < openAfterFailures || !noResults) {
		return false
	}
	opened = !b.tripped
	b.openTime = min(maxOpenTime, max(minOpenTime, 2*b.openTime))
	spread := 1 - openJitter + 2*openJitter*rng.Float64()
	b.openUntil = now.Add(time.Duration(spread * float64(b.openTime)))
	b.tripped = true
	b.probeSuccesses = 0
	b.failures = 0
	return opened
}

// recordResult records a check with a result, and reports whether it closed the breaker.
func (b *circuitBreaker) recordResult(now time.Time) (closed bool) {
	b.failures = 0
	b.lastResultAt = now
	if !b.tripped {
		return false
	}
	b.probeSuccesses++
	if b.probeSuccesses < closeAfterProbes {
		return false
	}
	b.tripped = false
	b.openTime = 0
	return true
}
