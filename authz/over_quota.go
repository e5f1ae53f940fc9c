package authz

import "time"

const (
	// overQuotaFactor times its plan's rate is what a customer may request before it is over
	// quota here. It is above 1 because the policy counts exactly, after the check; here only
	// those that would waste much of the service's capacity wait behind others.
	overQuotaFactor = 2.0
	// bucketIdleTime after its last request a customer's bucket is dropped.
	bucketIdleTime = time.Minute
)

// tokenBucket counts the units that a customer may use now.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// quotaEstimator finds the customers that send far more requests than their plans allow.
type quotaEstimator struct {
	plans   map[string]Plan
	buckets map[string]*tokenBucket // by customer
}

func newQuotaEstimator(plans map[string]Plan) *quotaEstimator {
	return &quotaEstimator{plans: plans, buckets: map[string]*tokenBucket{}}
}

// take counts a request of so many units, and reports whether its customer is over quota.
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

// removeIdle drops the buckets of customers that have not been seen for a while.
func (e *quotaEstimator) removeIdle(now time.Time) {
	for customer, b := range e.buckets {
		if now.Sub(b.updatedAt) > bucketIdleTime {
			delete(e.buckets, customer)
		}
	}
}
