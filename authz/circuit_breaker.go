package authz

import (
	"math/rand/v2"
	"time"
)

const (
	// A breaker opens after openAfterFailures consecutive failures if there was no result for
	// openAfterTimeouts times the timeout of a check. A few failures among many results do not
	// open it.
	openAfterFailures = 5
	openAfterTimeouts = 2
	// minOpenTime is the initial open time of a breaker. The open time doubles with each failed
	// probe, up to maxOpenTime.
	minOpenTime = 250 * time.Millisecond
	maxOpenTime = 4 * time.Second
	// openJitter is the relative random variation of the open time in both directions, so that
	// the gateways do not probe at the same time.
	openJitter = 0.2
	// closeAfterProbes is the number of consecutive successful probes that close a breaker.
	closeAfterProbes = 3
)

// circuitBreaker blocks checks to an address that gives no results. While closed it allows all
// checks, while open it allows none. After the open time it is half-open and allows one check at
// a time as a probe: closeAfterProbes successful probes close it, a failed probe opens it for
// longer.
type circuitBreaker struct {
	failures       int // consecutive
	lastResultAt   time.Time
	tripped        bool // the breaker is open or half-open
	openUntil      time.Time
	openTime       time.Duration
	probeSuccesses int
	probeInFlight  bool
}

func (b *circuitBreaker) open(now time.Time) bool { return now.Before(b.openUntil) }

// allows reports whether a check may be sent now.
func (b *circuitBreaker) allows(now time.Time) bool { return !b.open(now) && !b.probeInFlight }

// healthy reports whether the breaker is closed and no check has failed since the last result.
func (b *circuitBreaker) healthy(now time.Time) bool {
	return !b.open(now) && b.failures == 0 && !b.tripped
}

// checkSent must be called for each check that is sent. It reports whether the check is a probe.
func (b *circuitBreaker) checkSent() (isProbe bool) {
	b.probeInFlight = b.tripped
	return b.probeInFlight
}

// probeEnded must be called for each probe that ended or was canceled.
func (b *circuitBreaker) probeEnded() { b.probeInFlight = false }

// recordFailure records a check without a result, and reports whether it opened a closed breaker.
func (b *circuitBreaker) recordFailure(now time.Time, isProbe bool, timeout time.Duration, rng *rand.Rand) (opened bool) {
	b.failures++
	noResults := now.Sub(b.lastResultAt) > openAfterTimeouts*timeout
	if !isProbe && (b.failures < openAfterFailures || !noResults) {
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

// recordResult records a check with a result, and reports whether it closed the breaker. Only probes close it: a check
// that was sent before it opened says nothing of the time since.
func (b *circuitBreaker) recordResult(now time.Time, isProbe bool) (closed bool) {
	b.failures = 0
	b.lastResultAt = now
	if !isProbe {
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
