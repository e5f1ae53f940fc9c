package policy

import (
	"math"
	"time"
)

const (
	// initialLatencyDivisor is the ratio of a class's latency objective to the initial estimate of its idle
	// latency.
	initialLatencyDivisor = 8.0

	// maxLatencyFactor bounds the effect of one result on the average of a class's idle latency: larger
	// latencies count as this multiple of the idle latency.
	maxLatencyFactor = 4.0

	// maxLatencyRatio bounds the effect of one result on the average of a server's latency ratio: larger
	// ratios count as this one.
	maxLatencyRatio = 12.0

	// learningWeight is the weight of one result in the latency ratio of a server, and of one lease request
	// in the response rate and the mean response time of the leaders.
	learningWeight = 0.1

	// classLatencyWeight is the weight of one result in the idle latency of a class.
	classLatencyWeight = 0.03

	// queueingPerAttempt is the latency, in idle latencies, that each attempt in flight adds at a server of
	// mean capacity.
	queueingPerAttempt = 0.5
)

// requestClass is a class with its position in the settings and its learned latency.
type requestClass struct {
	Class
	index       int
	sendWindow  time.Duration // DedupWindow less MaxSendDelay
	idleLatency float64       // latency in seconds of an idle, warm server of average speed
	outcomes    float64       // number of results averaged in idleLatency
}

// latencyModel holds the latencies over all classes, in seconds.
type latencyModel struct {
	idle              float64 // moving average over results of the idle latencies of their classes
	shortestObjective float64
}

// newLatencyModel sets the initial estimates of the idle latencies of all classes.
func newLatencyModel(classes map[string]*requestClass) latencyModel {
	m := latencyModel{shortestObjective: math.Inf(1)}
	for _, c := range classes {
		objective := c.LatencyObjective.Seconds()
		c.idleLatency = objective / initialLatencyDivisor
		m.idle = max(m.idle, c.idleLatency)
		m.shortestObjective = min(m.shortestObjective, objective)
	}
	return m
}

// load returns the number of attempts in flight at a server: those of this gateway, and those of the others
// as last reported.
func (s *server) load() float64 { return float64(s.inFlight) + s.peersInFlight }

// queueingFactor returns the factor by which a number of attempts in flight increases the latency of a
// server.
func (g *Gateway) queueingFactor(s *server, load float64) float64 {
	return 1 + queueingPerAttempt*load/g.relativeCapacity(s)
}

// predictedLatency returns the expected latency, in seconds, of a server for a class.
func (g *Gateway) predictedLatency(s *server, class *requestClass) float64 {
	return class.idleLatency * s.latencyRatio * g.queueingFactor(s, s.load()) / g.warmFraction(s)
}

// relativeCapacity returns the capacity of a server's machine relative to the mean of the list, or 1 if
// capacities are not known.
func (g *Gateway) relativeCapacity(s *server) float64 {
	if g.settings.WeightIsCapacity && s.Weight > 0 && g.endpoints.meanWeight > 0 {
		return s.Weight / g.endpoints.meanWeight
	}
	return 1
}

// learnFromResult updates the latencies, the overload and the outlier detection from the result of an
// attempt.
func (g *Gateway) learnFromResult(s *server, r *request, ev AttemptResult) {
	if ev.Code.attributableToServer() {
		g.reportOutcome(s, r.class, ev.Code, ev.Latency)
	}
	if ev.Code == OK || ev.Code == TimedOut {
		g.shedder.observe(min(1, ev.Latency.Seconds()/r.class.LatencyObjective.Seconds()))
	}
	switch ev.Code {
	case OK:
		if h := s.healthFor(r.class); h != nil {
			h.lastSuccessAt = g.now
		}
		g.learnLatency(s, r, ev.Latency.Seconds())
	case Rejected:
		// The server may reject one plan only: it gets no requests of this plan for planRejectionBackoff.
		s.rejectingUntil[r.customer.plan] = g.now + planRejectionBackoff
		g.shedder.observe(1)
	}
}

// learnLatency updates the latency ratio of the server and the idle latency of the class from a latency in
// seconds.
func (g *Gateway) learnLatency(s *server, r *request, latency float64) {
	slowdown := g.queueingFactor(s, r.current.loadAtSend) / g.warmFraction(s)
	idle := latency / slowdown
	class := r.class
	ratio := min(idle/class.idleLatency, maxLatencyRatio)
	s.latencyRatio += g.latencyRatioWeight() * (ratio - s.latencyRatio)
	g.latency.idle += classLatencyWeight * (class.idleLatency - g.latency.idle)
	class.outcomes++
	weight := max(classLatencyWeight, 1/(class.outcomes+1)) // the first results count for more
	class.idleLatency += weight * (min(idle, maxLatencyFactor*class.idleLatency) - class.idleLatency)
}

// latencyRatioWeight returns the weight of one result in a server's latency ratio. It is 0 in leader mode,
// since the server's monitor, which gets the results of all gateways, reports the ratio.
func (g *Gateway) latencyRatioWeight() float64 {
	if g.size.leaderMode {
		return 0
	}
	return learningWeight
}
