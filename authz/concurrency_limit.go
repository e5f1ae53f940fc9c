package authz

import "time"

const (
	// minConcurrency is the lower bound of a limit, so that an address still gets enough checks
	// to detect its recovery. If MaxInFlight is lower, MaxInFlight is the lower bound.
	minConcurrency = 4.0
	// initialConcurrency is the initial limit of an address, unless MaxInFlight is lower.
	initialConcurrency = 16.0

	// A result is slow if its latency is above slowFactor times the baseline and more than
	// slowMargin above the baseline. A slow result indicates a queue at the service.
	slowFactor = 3.0
	slowMargin = 5 * time.Millisecond
	// slowDecrease multiplies the limit after a slow result, failureDecrease after a check
	// without a result.
	slowDecrease    = 0.95
	failureDecrease = 0.7
	// growUsage is the share of the limit that must be in use for it to grow.
	growUsage = 0.5
	// baselineDrift is the share by which the baseline moves towards each latency, so that the
	// lowest latencies of the past lose their effect over time.
	baselineDrift = 0.01
)

// concurrencyLimit is an adaptive limit of the checks in flight at an address: additive increase
// while results are fast and enough of the limit is in use, multiplicative decrease when results
// are slow or missing.
type concurrencyLimit struct {
	limit           float64
	minLimit        float64
	maxLimit        float64
	baselineSeconds float64 // estimated latency without a queue; 0 if unknown
}

func newConcurrencyLimit(maxInFlight int) concurrencyLimit {
	maxLimit := float64(max(1, maxInFlight))
	return concurrencyLimit{
		limit:    min(initialConcurrency, maxLimit),
		minLimit: min(minConcurrency, maxLimit),
		maxLimit: maxLimit,
	}
}

// allows reports whether another check may be sent while inFlight are in flight.
func (l *concurrencyLimit) allows(inFlight int) bool { return float64(inFlight) < max(1, l.limit) }

// recordFailure records a check without a result.
func (l *concurrencyLimit) recordFailure() { l.limit = max(l.minLimit, l.limit*failureDecrease) }

// recordResult records the latency of a result, and the number of other checks in flight.
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

// reset sets the limit to its lower bound, so that an address that has recovered is not overloaded.
func (l *concurrencyLimit) reset() { l.limit = l.minLimit }
