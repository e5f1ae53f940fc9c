package authz

import "time"

const (
	// overQuotaFactor multiplies the rate of a plan: above the product, a customer is over quota
	// here. The factor is above 1 because the policy enforces the exact quota after the check;
	// here only customers that would waste much of the service's capacity lose priority.
	overQuotaFactor = 2.0
	// bucketIdleTime is how long a customer's bucket is kept after its last request.
	bucketIdleTime = time.Minute
)

// tokenBucket is a customer's token bucket, in units.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// quotaEstimator detects customers that request far more units than their plans allow.
type quotaEstimator struct {
	plans   map[string]Plan
	buckets map[string]*tokenBucket // by customer
}

func newQuotaEstimator(plans map[string]Plan) *quotaEstimator {
	return &quotaEstimator{plans: plans, buckets: map[string]*tokenBucket{}}
}

// take counts a request of the given units, and reports whether its customer is over quota.
func (e *quotaEstimator) take(now time.Time, customer, planName string, units float64) (overQuota bool) {
	plan := e.plans[planName]
	if plan.Rate <= 0 {
		return false
	}
	capacity := max(1, plan.Burst)
	b := e.buckets[customer]
	if b == nil {
		b = &tokenBucket{tokens: capacity, updatedAt: now}
		e.buckets[customer] = b
	}
	elapsed := now.Sub(b.updatedAt).Seconds()
	b.tokens = min(capacity, b.tokens+overQuotaFactor*plan.Rate*elapsed)
	b.updatedAt = now
	if b.tokens < units {
		return true
	}
	b.tokens -= units
	return false
}

// removeIdle removes the buckets of customers without a request for bucketIdleTime.
func (e *quotaEstimator) removeIdle(now time.Time) {
	for customer, b := range e.buckets {
		if now.Sub(b.updatedAt) > bucketIdleTime {
			delete(e.buckets, customer)
		}
	}
}
