package authz

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// latencyWeight is the weight of one result in the moving average of an address's latency.
	latencyWeight = 0.2
	// minScoreSeconds is added to the latency in a score, so that the scores of addresses
	// without results still depend on their checks in flight.
	minScoreSeconds = 1e-4
	// scoreJitter is the relative random variation of scores in both directions, so that the
	// checks are distributed over equal addresses.
	scoreJitter = 0.1
)

// address is the state of one address of the authorization service.
type address struct {
	index          int
	inFlight       int
	latencySeconds float64 // moving average
	limit          concurrencyLimit
	breaker        circuitBreaker
}

func newAddress(index, maxInFlight int) *address {
	return &address{index: index, limit: newConcurrencyLimit(maxInFlight)}
}

// accepts reports whether another check may be sent now.
func (a *address) accepts(now time.Time) bool {
	return a.breaker.allows(now) && a.limit.allows(a.inFlight)
}

// checkSent counts a check that is being sent, and reports whether it is a probe.
func (a *address) checkSent() (isProbe bool) {
	a.inFlight++
	return a.breaker.checkSent()
}

func (a *address) checkCanceled(isProbe bool) {
	a.inFlight--
	if isProbe {
		a.breaker.probeEnded()
	}
}

// breakerChange is the effect of a check's end on the circuit breaker of its address.
type breakerChange int

const (
	breakerUnchanged breakerChange = iota
	breakerOpened
	breakerClosed
)

// checkEnded records the result of a check. A check that was sent before the breaker opened is
// not a probe and does not end the probe in flight.
func (a *address) checkEnded(now time.Time, isProbe bool, result CheckResult, timeout time.Duration, rng *rand.Rand) breakerChange {
	a.inFlight--
	if isProbe {
		a.breaker.probeEnded()
	}
	switch {
	case result.Outcome.hasResult():
		return a.recordResult(now, isProbe, result.Latency)
	case result.ProcessPaused:
		return breakerUnchanged
	default:
		return a.recordFailure(now, isProbe, timeout, rng)
	}
}

func (a *address) recordFailure(now time.Time, isProbe bool, timeout time.Duration, rng *rand.Rand) breakerChange {
	a.limit.recordFailure()
	if a.breaker.recordFailure(now, isProbe, timeout, rng) {
		return breakerOpened
	}
	return breakerUnchanged
}

func (a *address) recordResult(now time.Time, isProbe bool, latency time.Duration) breakerChange {
	a.latencySeconds += latencyWeight * (latency.Seconds() - a.latencySeconds)
	a.limit.recordResult(latency.Seconds(), a.inFlight)
	if !a.breaker.recordResult(now, isProbe) {
		return breakerUnchanged
	}
	a.limit.reset()
	return breakerClosed
}

// score estimates how long another check would take; lower is better.
func (a *address) score(rng *rand.Rand) float64 {
	score := a.latencySeconds + minScoreSeconds
	score *= float64(1 + a.inFlight)
	score *= 1 + float64(a.breaker.failures)
	score *= 1 - scoreJitter + 2*scoreJitter*rng.Float64()
	return score
}

// pickAddress returns the address with the lowest score among those that accept a check for a
// request, or nil. If there are several addresses, a retry uses another one than the last check.
func (d *Decider) pickAddress(r *pendingRequest) *address {
	var best *address
	lowest := 0.0
	for _, a := range d.addresses {
		wasTriedLast := a.index == r.lastAddress && len(d.addresses) > 1
		if wasTriedLast || !a.accepts(d.now) {
			continue
		}
		if score := a.score(d.rng); best == nil || score < lowest {
			best = a
			lowest = score
		}
	}
	return best
}

// allBreakersOpen reports whether the breakers of all addresses are open.
func (d *Decider) allBreakersOpen() bool {
	return !slices.ContainsFunc(d.addresses, func(a *address) bool { return !a.breaker.open(d.now) })
}

// hasOtherHealthyAddress reports whether an address other than excluded is healthy.
func (d *Decider) hasOtherHealthyAddress(excluded *address) bool {
	return slices.ContainsFunc(d.addresses, func(a *address) bool { return a != excluded && a.breaker.healthy(d.now) })
}
