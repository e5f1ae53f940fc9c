package policy

import (
	"slices"
	"time"
)

// Stalled attempts.
const (
	// stallFactor is the age, in predicted latencies, at which an attempt counts as stalled.
	stallFactor = 4.0

	// minStallShare is the lower bound of the predicted latency that stallFactor multiplies, as a share of
	// the latency objective.
	minStallShare = 0.1
)

// Ejection and probes.
const (
	// failureWeight is the weight of one result in a failure rate.
	failureWeight = 0.2

	// ejectionThreshold is the failure rate above which a server is ejected for a class. An ejected
	// server is used again once the rate is at most half of it.
	ejectionThreshold = 0.45

	// probeSuccessFactor is the factor by which a successful probe reduces the failure rate further.
	probeSuccessFactor = 0.6

	// probeIntervalStep is the first interval between probes. Each later interval is twice the previous one
	// plus this step.
	probeIntervalStep = time.Second

	// maxProbeInterval bounds the interval between probes.
	maxProbeInterval = 8 * time.Second

	// statisticsDecayTime is the time over which failure rates and latency ratios decay towards 0 and 1,
	// since a server that gets no attempts yields no results that could update them.
	statisticsDecayTime = 10 * time.Second
)

// classHealth is the state of failure detection for one server and class.
type classHealth struct {
	failureRate   float64       // weighted average, known at the monitors only
	lastSuccessAt time.Duration // last success of an attempt of this gateway; 0: none
	ejected       bool          // until ejectedUntil
	ejectedUntil  time.Duration
	probeInterval time.Duration // time from the last probe to the next; 0: none since the last success
	nextProbeAt   time.Duration
}

// healthFor returns the server's health for a class, or nil for a class that is not in the settings.
func (s *server) healthFor(class *requestClass) *classHealth {
	if class.index >= len(s.health) || class.Name == "" {
		return nil
	}
	return &s.health[class.index]
}

// isEjected reports whether the server gets no attempts of the class except probes. It is false for nil.
func (h *classHealth) isEjected(now time.Duration) bool {
	return h != nil && h.ejected && now < h.ejectedUntil
}

// scheduleProbe sets the time of the next probe, with backoff.
func (h *classHealth) scheduleProbe(now time.Duration) {
	h.probeInterval = min(2*h.probeInterval+probeIntervalStep, maxProbeInterval)
	h.nextProbeAt = now + h.probeInterval
}

func (h *classHealth) recordSuccess() {
	h.failureRate *= 1 - failureWeight
	if h.ejected {
		h.failureRate *= probeSuccessFactor
		h.probeInterval = 0
	}
}

func (h *classHealth) recordFailure(weight float64) { h.failureRate += weight * (1 - h.failureRate) }

// mayProbe reports whether an ejected server is due for a probe and this request may be the probe. Only
// the first monitor probes, and only with the first attempt of a request that may be retried elsewhere.
func (g *Gateway) mayProbe(s *server, h *classHealth, r *request) bool {
	isDue := s.monitors[0] == g.settings.SelfIndex && g.now >= h.nextProbeAt
	return isDue && r.attempts == 0 && r.class.Idempotency != NonIdempotent
}

// decayStatistics decays the failure rates of a server towards 0 and its latency ratio towards 1.
func (s *server) decayStatistics(elapsed time.Duration) {
	part := min(1, elapsed.Seconds()/statisticsDecayTime.Seconds())
	s.latencyRatio += (1 - s.latencyRatio) * part
	for i := range s.health {
		h := &s.health[i]
		h.failureRate -= h.failureRate * part
	}
}

// detectStalledAttempts counts attempts that take far longer than predicted as failed, and cancels those
// that may be retried elsewhere. A server that accepts requests and never responds is thus ejected as well.
func (g *Gateway) detectStalledAttempts(s *server) {
	for _, r := range slices.Clone(s.attempts) {
		if !g.isStalled(s, r) {
			continue
		}
		r.current.cancelRequested = true
		g.reportOutcome(s, r.class, TimedOut, g.now-r.current.sentAt)
		if g.mayCancel(r) {
			g.emit(CancelAttempt{ID: r.id, Attempt: r.attempts - 1})
		}
	}
}

func (g *Gateway) isStalled(s *server, r *request) bool {
	if r.done || r.current.cancelRequested || r.current.responseStarted {
		return false
	}
	sentAt := r.current.sentAt
	if h := s.healthFor(r.class); h != nil && h.lastSuccessAt > sentAt {
		return false // the server has responded since then
	}
	expected := max(g.predictedLatency(s, r.class), minStallShare*r.class.LatencyObjective.Seconds())
	return (g.now-sentAt).Seconds()/expected >= stallFactor
}

// mayCancel reports whether a stalled attempt is canceled: only if another attempt may follow it.
func (g *Gateway) mayCancel(r *request) bool {
	mayFollow := r.class.Idempotency == Idempotent && !g.attemptsExhausted(r)
	return g.settings.CanCancel && mayFollow && g.retryBudget >= 1
}

// recordFailure counts a failure for all classes.
func (s *server) recordFailure(weight float64) {
	for i := range s.health {
		s.health[i].recordFailure(weight)
	}
}

// maxClasses is the maximum number of classes, which messages name by one byte.
const maxClasses = 256

// classSetBytes is the size of a classSet in bytes, at eight classes a byte.
const classSetBytes = maxClasses / 8

// classSet has a bit for each class of the settings.
type classSet [classSetBytes]byte

func (s *classSet) add(class int) { s[class/8] |= 1 << (class % 8) }

func (s *classSet) contains(class int) bool { return s[class/8]>>(class%8)&1 == 1 }

// ejectedClasses returns the classes for which the server is reported as ejected.
func (s *server) ejectedClasses() (classes classSet) {
	for i := range s.health {
		if s.health[i].ejected {
			classes.add(i)
		}
	}
	return classes
}

// lastEjectedUntil returns when the last report that ejected the server expires, or 0 if it is not ejected.
func (s *server) lastEjectedUntil() (until time.Duration) {
	for i := range s.health {
		if s.health[i].ejected {
			until = s.health[i].ejectedUntil
		}
	}
	return until
}

// classesToEject returns the classes for which the server should be ejected. The second monitor does not
// end an ejection.
func (s *server) classesToEject(isFirstMonitor bool) (classes classSet) {
	for i := range s.health {
		h := &s.health[i]
		staysEjected := h.ejected && (!isFirstMonitor || h.failureRate > ejectionThreshold/2)
		if h.failureRate > ejectionThreshold || staysEjected {
			classes.add(i)
		}
	}
	return classes
}
