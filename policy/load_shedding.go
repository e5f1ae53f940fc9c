package policy

import (
	"cmp"
	"time"
)

// Thresholds of overload, which is the mean ratio of latency to latency objective.
const (
	// overloadThreshold is the overload above which load is shed.
	overloadThreshold = 0.4

	// leaderModeOverloadThreshold replaces overloadThreshold in leader mode, where gateways do not know the
	// load at servers and must shed load earlier.
	leaderModeOverloadThreshold = 0.25

	// idleOverloadFactor times the idle overload is the lowest threshold in leader mode, for objectives that
	// are near the latencies of idle servers.
	idleOverloadFactor = 1.8

	// minIdleOutcomes is the number of results that each class must have before the idle overload is
	// computed.
	minIdleOutcomes = 20
)

// Speed of load shedding.
const (
	// admitDecayTime is the time constant with which the admit probability falls during overload.
	admitDecayTime = 3 * time.Second

	// admitRecoveryTime is the time in which the admit probability rises from 0 to 1 after overload.
	admitRecoveryTime = 8 * time.Second

	// minAdmitProbability is the lowest admit probability: without results a recovery could not be detected.
	minAdmitProbability = 0.25

	// overloadDecayTime is the time constant with which overload decays without results.
	overloadDecayTime = 12 * time.Second

	// overloadWeight is the weight of one result, or of the overload in one lease response, in the overload.
	overloadWeight = 0.15
)

// loadShedder sets the share of requests that are admitted. It responds to load that quotas and load
// reports do not bound: load from gateways whose reports are lost, or at servers that have become slow.
type loadShedder struct {
	admitProbability float64
	overload         float64 // average ratio of latency to objective, each at most 1
	idleOverload     float64 // lowest mean so far, over classes, of idle latency to objective; 0: unknown
}

// observe takes one sample of overload, from 0 to 1.
func (s *loadShedder) observe(sample float64) { s.overload += overloadWeight * (sample - s.overload) }

// observeIdle takes one sample of the mean, over classes, of the ratio of idle latency to objective.
func (s *loadShedder) observeIdle(ratio float64) {
	s.idleOverload = min(ratio, cmp.Or(s.idleOverload, ratio))
}

func (s *loadShedder) isOverloaded(leaderMode bool) bool {
	if s.overload > overloadThreshold {
		return true
	}
	return leaderMode && s.overload > max(leaderModeOverloadThreshold, idleOverloadFactor*s.idleOverload)
}

// update lowers or raises the admit probability for the time that has elapsed, and lets the overload decay.
func (s *loadShedder) update(elapsed time.Duration, leaderMode bool) {
	if s.isOverloaded(leaderMode) {
		s.admitProbability = max(minAdmitProbability, s.admitProbability*decay(elapsed, admitDecayTime))
	} else {
		recovered := elapsed.Seconds() / admitRecoveryTime.Seconds()
		s.admitProbability = min(1, s.admitProbability+recovered)
	}
	s.overload *= decay(elapsed, overloadDecayTime)
}

// updateAdmitProbability updates load shedding at a tick.
func (g *Gateway) updateAdmitProbability(elapsed time.Duration) {
	if ratio, known := g.idleOverload(); known {
		g.shedder.observeIdle(ratio)
	}
	g.shedder.update(elapsed, g.size.leaderMode)
}

// idleOverload returns the mean, over all classes, of the ratio of idle latency to objective. It is known
// once each class has had enough results.
func (g *Gateway) idleOverload() (ratio float64, known bool) {
	for _, class := range g.settings.Classes {
		c := g.classes[class.Name]
		if c.outcomes < minIdleOutcomes {
			return 0, false
		}
		ratio += c.idleLatency / c.LatencyObjective.Seconds() / float64(len(g.classes))
	}
	return ratio, true
}
