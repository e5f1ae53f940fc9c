package upstream

import (
	"math"
	"math/bits"
	"time"
)

// idleLimitEstimator learns how long a connection may lie idle and still be used. Servers, and
// what stands between, forget idle connections without a word, or with a word that
// crosses the next request: it breaks, and may have run. How often connections break
// at their next request is counted by how long they were idle; where one step from
// seldom to often explains that far better than none, the step is the limit. What
// was seen wears off, and longer ones are tried again.
type idleLimitEstimator struct {
	decayedAt    time.Duration
	used, broken [idleBuckets]float64 // connections used, and of these broken, by age
	limit        time.Duration        // 0: any
	estimatedAt  time.Duration
}

const (
	idleBuckets       = 34                     // in steps of half an octave from a millisecond on
	decayTime         = 15 * time.Second       // what was seen wears off by 1/e in it
	minLikelihoodGain = 5                      // in nats: the step must explain so much more
	minBreakFraction  = 0.08                   // and so many must break beyond it
	estimateInterval  = 200 * time.Millisecond // between looks without a break
)

// minIdleBeforeReuse is how long a connection rests after an answer before it is used again. A server
// may send more than belongs to an answer, milliseconds late; on a connection that was
// given the next request by then it would pass for the answer to that. What comes while
// it rests ends it.
const minIdleBeforeReuse = 25 * time.Millisecond

// idleBucket is the step of an idle time; 0 is that of new connections, too.
func idleBucket(idle time.Duration) int {
	ms := uint64(max(0, idle/time.Millisecond))
	if ms == 0 {
		return 0
	}
	octave := bits.Len64(ms) - 1
	half := 0
	if float64(ms) >= math.Sqrt2*float64(uint64(1)<<octave) {
		half = 1
	}
	return min(2*octave+half+1, idleBuckets-1)
}

// bucketStart is the shortest idle time of a step.
func bucketStart(age int) time.Duration {
	return time.Duration(math.Ceil(math.Pow(2, float64(age-1)/2))) * time.Millisecond
}

// record notes how the first use of a connection after an idle time has record.
func (t *idleLimitEstimator) record(now, idle time.Duration, broke bool) {
	if dt := now - t.decayedAt; dt > 0 {
		keep := math.Exp(-float64(dt) / float64(decayTime))
		for i := range t.used {
			t.used[i] *= keep
			t.broken[i] *= keep
		}
		t.decayedAt = now
	}
	i := idleBucket(idle)
	t.used[i]++
	if broke {
		t.broken[i]++
	}
	if broke || now-t.estimatedAt >= estimateInterval {
		t.estimatedAt = now
		t.estimate()
	}
}

// estimate finds the step.
func (t *idleLimitEstimator) estimate() {
	var used, broken float64
	for i := range t.used {
		used += t.used[i]
		broken += t.broken[i]
	}
	none := logLikelihood(broken, used)
	t.limit = 0
	best := none + minLikelihoodGain
	var u, b float64
	for i := 1; i < idleBuckets; i++ {
		u += t.used[i-1]
		b += t.broken[i-1]
		over, overBroken := used-u, broken-b
		if over <= 0 || overBroken < minBreakFraction*over || overBroken*u <= b*over {
			continue
		}
		if l := logLikelihood(b, u) + logLikelihood(overBroken, over); l > best {
			best, t.limit = l, bucketStart(i)
		}
	}
}

// logLikelihood is the log likelihood of so many breaks at their own rate.
func logLikelihood(broken, used float64) float64 {
	if broken <= 0 || broken >= used {
		return 0
	}
	return broken*math.Log(broken/used) + (used-broken)*math.Log(1-broken/used)
}
