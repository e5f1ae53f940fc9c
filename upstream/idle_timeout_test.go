package upstream

import (
	"math/rand/v2"
	"testing"
	"time"
)

// If connections break more often above some idle time, the estimated limit is near that time. There
// is no limit if breaks do not depend on the idle time, nor long after the fault has ended.
func TestEstimatedIdleLimit(t *testing.T) {
	var estimator idleLimitEstimator
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	use := func(step time.Duration, rateAbove, rateBelow float64) {
		now += 10 * time.Millisecond
		idle := time.Duration(rng.ExpFloat64() * float64(150*time.Millisecond))
		if estimator.limit > 0 && idle >= estimator.limit {
			idle = 0
		}
		p := rateBelow
		if step > 0 && idle >= step {
			p = rateAbove
		}
		estimator.record(now, idle, rng.Float64() < p)
	}
	for range 3000 {
		use(0, 0, 0.03)
		if estimator.limit != 0 {
			t.Fatalf("limit %v while breaks do not depend on the idle time", estimator.limit)
		}
	}
	for range 1500 {
		use(100*time.Millisecond, 0.5, 0.03)
	}
	if estimator.limit < 60*time.Millisecond || estimator.limit > 140*time.Millisecond {
		t.Errorf("limit %v while connections break from 100 ms on", estimator.limit)
	}
	for range 6000 {
		use(0, 0, 0.03)
	}
	if estimator.limit != 0 {
		t.Errorf("limit %v long after the fault", estimator.limit)
	}
}

// Each idle time lies within the bounds of its bucket.
func TestIdleBuckets(t *testing.T) {
	for idle := time.Duration(0); idle < time.Hour; idle = idle*9/8 + 100*time.Microsecond {
		bucket := idleBucket(idle)
		if bucket > 0 && bucketStart(bucket) > idle+time.Millisecond || bucket+1 < idleBuckets && bucketStart(bucket+1) <= idle {
			t.Fatalf("%v is in bucket %d, from %v to %v", idle, bucket, bucketStart(bucket), bucketStart(bucket+1))
		}
	}
}
