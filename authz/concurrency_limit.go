package authz

import "time"

const (
	// minConcurrency is what failures and slow results reduce a limit to at most, so that an
	// address can still show that it has recovered; less where MaxInFlight is lower.
	minConcurrency = 4.0
	// initialConcurrency is the limit of a new address, where MaxInFlight is not lower.
	initialConcurrency = 16.0

	// A result is slow, which shows a queue at the service, when it took slowFactor times the
	// baseline and slowMargin more than it.
	slowFactor = 3.0
	slowMargin = 5 * time.Millisecond
	// slowDecrease and failureDecrease multiply the limit after a slow result and after none.
	slowDecrease    = 0.95
	failureDecrease = 0.7
	// growUsage is the share of the limit that must be in use for it to grow.
	growUsage = 0.5
	// baselineDrift moves the baseline towards each latency, so that the lowest ones of long ago
	// lose their effect.
	baselineDrift = 0.01
)

// concurrencyLimit adapts how many checks may be in flight at an address: additive increase while
// results are quick and the limit is in use, multiplicative decrease when they are slow or missing.
type concurrencyLimit struct {
	limit           float64
	minLimit        float64
	maxLimit        float64
	baselineSeconds float64 // latency without a queue; 0: not known
}

func newConcurrencyLimit(maxInFlight int) concurrencyLimit {
	maxLimit := float64(max(1, maxInFlight))
	return concurrencyLimit{
		limit:    min(initialConcurrency, maxLimit),
		minLimit: min(minConcurrency, maxLimit),
		maxLimit: maxLimit,
	}
}

// allows reports whether one more may be in flight.
func (l *concurrencyLimit) allows(inFlight int) bool { return float64(inFlight) < max(1, l.limit) }

// recordFailure records a check without a result.
func (l *concurrencyLimit) recordFailure() { l.limit = max(l.minLimit, l.limit*failureDecrease) }

// recordResult records the latency of a result, and how many other checks are in flight.
func (l *concurrencyLimit) recordResult(latencySeconds float64, inFlight int) {
	if l.baselineSeconds == 0 || latencySeconds < l.baselineSeconds {
		l.baselineSeconds = latencySeconds
	}
	l.baselineSeconds += baselineDrift * (latencySeconds - l.baselineSeconds)
	slowSeconds := max(slowFactor*l.baselineSeconds, l.baselineSeconds+slowMargin.Seconds())
	switch {
	case latencySeconds > slowSeconds:
		l.limit = max(l.minLimit, l.limit*slowDecrease)
	case float64(inFlight) >= l.limit*growUsage:
		l.limit = min(l.maxLimit, l.limit+1/l.limit)
	}
}

// reset starts again from the lowest limit, so that an address that has recovered is not flooded.
func (l *concurrencyLimit) reset() { l.limit = l.minLimit }
