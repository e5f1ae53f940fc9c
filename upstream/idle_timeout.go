package upstream

import (
	"math"
	"math/bits"
	"time"
)

// idleLimitEstimator estimates how long a connection may be idle and still be reused. Servers and
// middleboxes drop idle connections silently, or close them just as the next request is sent; that
// request fails, although it may have been executed. The estimator counts, by idle time, how many
// connections break at their next request. If a model with one step, from a low to a high rate of
// breaks, explains the counts much better than a constant rate, the position of the step is the
// limit. Old samples decay, so that longer idle times are tried again.
type idleLimitEstimator struct {
	decayedAt    time.Duration
	used, broken [idleBuckets]float64 // connections reused, and those of them that broke, by bucket
	limit        time.Duration        // 0: no limit
	estimatedAt  time.Duration
}

const (
	idleBuckets       = 34                     // each is half an octave wide, from one millisecond on
	decayTime         = 15 * time.Second       // in which the weight of a sample falls to 1/e
	minLikelihoodGain = 5                      // log likelihood by which the step must exceed a constant rate, in nats
	minBreakFraction  = 0.08                   // of the connections beyond the step that must have broken
	estimateInterval  = 200 * time.Millisecond // between estimates while no connection breaks
)

// minIdleBeforeReuse is how long a connection must be idle after a response before it is reused. A
// server may send surplus data some milliseconds after a response. If the next request were already
// written by then, the data would be taken for its response; data that arrives on an idle
// connection closes the connection instead.
const minIdleBeforeReuse = 25 * time.Millisecond

// idleBucket returns the bucket of an idle time. New connections are in bucket 0, too.
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

// bucketStart returns the shortest idle time of a bucket.
func bucketStart(bucket int) time.Duration {
	return time.Duration(math.Ceil(math.Pow(2, float64(bucket-1)/2))) * time.Millisecond
}

// record adds a sample: whether a connection broke at its first use after an idle time.
func (e *idleLimitEstimator) record(now, idle time.Duration, broke bool) {
	if elapsed := now - e.decayedAt; elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(decayTime))
		for i := range e.used {
			e.used[i] *= factor
			e.broken[i] *= factor
		}
		e.decayedAt = now
	}
	i := idleBucket(idle)
	e.used[i]++
	if broke {
		e.broken[i]++
	}
	if broke || now-e.estimatedAt >= estimateInterval {
		e.estimatedAt = now
		e.estimate()
	}
}

// estimate sets the limit to the most likely step, or to 0 if no step is likely enough.
func (e *idleLimitEstimator) estimate() {
	var used, broken float64
	for i := range e.used {
		used += e.used[i]
		broken += e.broken[i]
	}
	constantRate := logLikelihood(broken, used)
	e.limit = 0
	best := constantRate + minLikelihoodGain
	var usedBelow, brokenBelow float64
	for i := 1; i < idleBuckets; i++ {
		usedBelow += e.used[i-1]
		brokenBelow += e.broken[i-1]
		usedAbove, brokenAbove := used-usedBelow, broken-brokenBelow
		if usedAbove <= 0 || brokenAbove < minBreakFraction*usedAbove || brokenAbove*usedBelow <= brokenBelow*usedAbove {
			continue
		}
		if likelihood := logLikelihood(brokenBelow, usedBelow) + logLikelihood(brokenAbove, usedAbove); likelihood > best {
			best, e.limit = likelihood, bucketStart(i)
		}
	}
}

// logLikelihood returns the log likelihood of a number of breaks under their observed rate.
func logLikelihood(broken, used float64) float64 {
	if broken <= 0 || broken >= used {
		return 0
	}
	return broken*math.Log(broken/used) + (used-broken)*math.Log(1-broken/used)
}
