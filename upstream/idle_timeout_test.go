package upstream

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Connections that break by a step of their idle time are found out, the limit is
// near the step, and is lifted once the fault is over.
func TestTrustFindsTheStep(t *testing.T) {
	var tr idleLimitEstimator
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	use := func(step time.Duration, often, seldom float64) {
		now += 10 * time.Millisecond
		idle := time.Duration(rng.ExpFloat64() * float64(150*time.Millisecond))
		if tr.limit > 0 && idle >= tr.limit {
			idle = 0
		}
		p := seldom
		if step > 0 && idle >= step {
			p = often
		}
		tr.record(now, idle, rng.Float64() < p)
	}
	for range 3000 {
		use(0, 0, 0.03)
		if tr.limit != 0 {
			t.Fatalf("a limit of %v where age does not matter", tr.limit)
		}
	}
	for range 1500 {
		use(100*time.Millisecond, 0.5, 0.03)
	}
	if tr.limit < 60*time.Millisecond || tr.limit > 140*time.Millisecond {
		t.Errorf("a limit of %v where connections break from 100 ms on", tr.limit)
	}
	for range 6000 {
		use(0, 0, 0.03)
	}
	if tr.limit != 0 {
		t.Errorf("a limit of %v long after", tr.limit)
	}
}

func TestAges(t *testing.T) {
	for idle := time.Duration(0); idle < time.Hour; idle = idle*9/8 + 100*time.Microsecond {
		a := idleBucket(idle)
		if a > 0 && bucketStart(a) > idle+time.Millisecond || a+1 < idleBuckets && bucketStart(a+1) <= idle {
			t.Fatalf("%v is of step %d, from %v to %v", idle, a, bucketStart(a), bucketStart(a+1))
		}
	}
}
