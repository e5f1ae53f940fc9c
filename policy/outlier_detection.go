package policy

import (
	"math"
	"slices"
	"time"
)

// Stalled attempts.
const (
	// stallFactor is the age, in predicted latencies, at which an attempt counts as stalled.
	stallFactor = 4.0

	// minStallShare bounds that age from below, as a share of the latency objective before stallFactor.
	minStallShare = 0.1
)

// Ejection and probes.
const (
	// failureWeight is the weight of one failed attempt in a failure rate.
	failureWeight = 0.2

	// ejectionThreshold is the failure rate above which a server is ejected for a class. An ejected one
	// returns below half of it.
	ejectionThreshold = 0.45

	// probeSuccessFactor is what a successful probe leaves of the failure rate.
	probeSuccessFactor = 0.6

	// probeIntervalStep is the first interval between probes, and what doubling adds to it each time.
	probeIntervalStep = time.Second

	// maxProbeInterval bounds the interval between probes.
	maxProbeInterval = 8 * time.Second

	// judgmentDecayTime is the time in which what is known of a server's failures and latency is forgotten:
	// a server that gets no attempts gives no results to learn from.
	judgmentDecayTime = 10 * time.Second
)

// Outlier reports.
const (
	// monitorLearningWeight is the weight of one result in the latency ratio that a monitor observes.
	monitorLearningWeight = 0.025

	// latencyRatioStep is the factor by which a latency ratio must change to be reported.
	latencyRatioStep = 1.7

	// outlierReportShare is the part of the messages a gateway can receive that outlier reports may fill.
	outlierReportShare = 0.1

	// maxReportBudget is the number of outlier reports that a monitor may send on one server at once.
	maxReportBudget = 2.0

	// outlierReportTTL is how long an outlier report holds that is not repeated.
	outlierReportTTL = 8 * time.Second
)

// classHealth is what is known of the failures of a server for one class.
type classHealth struct {
	failureRate   float64       // weighted average, at the monitor
	lastSuccessAt time.Duration // of an attempt of this gateway; 0: none
	ejected       bool          // until ejectedUntil
	ejectedUntil  time.Duration
	probeInterval time.Duration // since the last probe; 0: none so far
	nextProbeAt   time.Duration
}

// healthFor returns the health of a server for a class, or nil for a class that is not in the settings.
func (s *server) healthFor(class *requestClass) *classHealth {
	if class.index >= len(s.health) || class.Name == "" {
		return nil
	}
	return &s.health[class.index]
}

// isEjected reports whether the server gets no attempts of the class but probes. It is false for nil.
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

// mayProbe reports whether an ejected server is due for a probe with this request. Only the first monitor
// probes, and only with a first attempt that may be retried elsewhere.
func (g *Gateway) mayProbe(s *server, h *classHealth, r *request) bool {
	isDue := s.monitors[0] == g.settings.SelfIndex && g.now >= h.nextProbeAt
	return isDue && r.attempts == 0 && r.class.Idempotency != NonIdempotent
}

// decayJudgment lets what is known of a server go with time.
func (s *server) decayJudgment(elapsed time.Duration) {
	part := min(1, elapsed.Seconds()/judgmentDecayTime.Seconds())
	s.latencyRatio += (1 - s.latencyRatio) * part
	for i := range s.health {
		h := &s.health[i]
		h.failureRate -= h.failureRate * part
	}
}

// detectStalledAttempts counts attempts that take far longer than predicted as failed, and cancels those
// that may be retried elsewhere. It guards against servers that take requests and answer none.
func (g *Gateway) detectStalledAttempts(s *server) {
	for _, r := range slices.Clone(s.attempts) {
		if !g.isStalled(s, r) {
			continue
		}
		r.current.cancelRequested = true
		g.reportOutcome(s, r.class, TimedOut, g.now-r.current.sentAt)
		if g.mayCancel(r) {
			g.do(CancelAttempt{ID: r.id, Attempt: r.attempts - 1})
		}
	}
}

func (g *Gateway) isStalled(s *server, r *request) bool {
	if r.done || r.current.cancelRequested || r.current.responseStarted {
		return false
	}
	sentAt := r.current.sentAt
	if h := s.healthFor(r.class); h != nil && h.lastSuccessAt > sentAt {
		return false // the server does answer
	}
	expected := max(g.predictedLatency(s, r.class), minStallShare*r.class.LatencyObjective.Seconds())
	return (g.now-sentAt).Seconds()/expected >= stallFactor
}

func (g *Gateway) mayCancel(r *request) bool {
	mayRepeat := r.class.Idempotency == Idempotent && !g.attemptsExhausted(r)
	return g.settings.CanCancel && mayRepeat && g.retryBudget >= 1
}

// monitorsOf names the gateways that judge a server for all others. In a large fleet each gateway meets a
// server too seldom to judge it; in a small one each judges for itself. The second monitor, for the case
// that the first is lost together with the server, only learns whether the server can be reached.
func (g *Gateway) monitorsOf(serverHash uint32) [2]int {
	if !g.size.leaderMode {
		return [2]int{g.settings.SelfIndex, g.settings.SelfIndex}
	}
	n := uint32(g.size.gateways)
	return [2]int{int(serverHash % n), int((serverHash + 1) % n)}
}

// reportOutcome tells the monitors of a server about the result of an attempt.
func (g *Gateway) reportOutcome(s *server, class *requestClass, code ResultCode, latency time.Duration) {
	if class.Name == "" {
		return // not in the settings
	}
	for i, monitor := range s.monitors {
		isForSecond := code == ConnectFailed && g.size.leaderMode
		if i > 0 && !isForSecond {
			break
		}
		if monitor == g.settings.SelfIndex {
			g.observeOutcome(s, class.index, code, latency)
			continue
		}
		m := outcomeReport{
			Server:    uint32(s.ID),
			Class:     byte(class.index),
			Code:      byte(code),
			LatencyMS: milliseconds(latency),
		}
		g.do(SendPeerMessage{To: monitor, Data: m.encode()})
	}
}

// handleOutcomeReport takes another gateway's result, if this gateway is a monitor of the server.
func (g *Gateway) handleOutcomeReport(m outcomeReport) {
	s := g.endpoints.byID[ServerID(m.Server)]
	if s == nil || !slices.Contains(s.monitors[:], g.settings.SelfIndex) || int(m.Class) >= len(s.health) {
		return
	}
	latency := time.Duration(m.LatencyMS) * time.Millisecond
	g.observeOutcome(s, int(m.Class), ResultCode(m.Code), latency)
}

// observeOutcome takes a result into what the monitor knows of a server.
func (g *Gateway) observeOutcome(s *server, class int, code ResultCode, latency time.Duration) {
	h := &s.health[class]
	idleLatency := g.classes[g.settings.Classes[class].Name].idleLatency
	ratio := min(latency.Seconds()/idleLatency*g.warmFraction(s), maxLatencyRatio)
	switch code {
	case OK:
		h.recordSuccess()
	case Rejected:
		ratio = maxLatencyRatio // few more requests until it answers
	case ConnectFailed:
		s.recordFailure(2 * failureWeight)
	default:
		s.recordFailure(failureWeight / 2) // it may fail other classes too
		h.recordFailure(failureWeight / 2)
		ratio = max(ratio, s.observedRatio)
	}
	s.observedRatio += monitorLearningWeight * (ratio - s.observedRatio)
	g.publishOutlierReport(s)
}

// recordFailure takes a failure into the health for all classes.
func (s *server) recordFailure(weight float64) {
	for i := range s.health {
		s.health[i].recordFailure(weight)
	}
}

// publishOutlierReport tells all gateways what has changed of a server that this one monitors, and repeats
// what still ejects it. Each report goes to every gateway, so all monitors together keep to a part of the
// messages that a gateway can receive.
func (g *Gateway) publishOutlierReport(s *server) {
	g.refillReportBudget(s)
	isFirst := s.monitors[0] == g.settings.SelfIndex
	if !isFirst || !g.size.leaderMode {
		s.observedRatio = s.latencyRatio
	}
	reported := s.ejectedClasses()
	wanted := s.classesToEject(isFirst)
	ratioChange := max(s.observedRatio/s.latencyRatio, s.latencyRatio/s.observedRatio)
	ratioChanged := g.size.leaderMode && ratioChange > latencyRatioStep
	repeatIsDue := isFirst && wanted != 0 && s.lastEjectedUntil()-g.now < outlierReportTTL/4
	hasNews := wanted != reported || ratioChanged || repeatIsDue
	if s.reportBudget < 1 || !hasNews {
		return
	}
	m := outlierReport{
		Server:         uint32(s.ID),
		EjectedClasses: wanted,
		LatencyRatio:   encodeLatencyRatio(s.observedRatio),
	}
	g.applyOutlierReport(m)
	if g.size.leaderMode {
		s.reportBudget--
		g.do(SendPeerMessage{To: -1, Data: m.encode()})
	}
}

// refillReportBudget brings the number of outlier reports that may be sent on a server up to now.
func (g *Gateway) refillReportBudget(s *server) {
	messages := g.settings.PeerMessagesPerSecond * outlierReportShare
	perServer := messages / float64(max(1, len(g.endpoints.list)))
	s.reportBudget = min(maxReportBudget, s.reportBudget+perServer*(g.now-s.reportBudgetAt).Seconds())
	s.reportBudgetAt = g.now
}

// applyOutlierReport takes over what the monitor of a server says.
func (g *Gateway) applyOutlierReport(m outlierReport) {
	s := g.endpoints.byID[ServerID(m.Server)]
	if s == nil {
		return
	}
	for i := range s.health {
		s.health[i].ejected = m.EjectedClasses>>i&1 == 1
		s.health[i].ejectedUntil = g.now + outlierReportTTL
	}
	s.latencyRatio = decodeLatencyRatio(m.LatencyRatio)
}

// ejectedClasses has a bit for each of the first eight classes for which the server is reported as ejected.
func (s *server) ejectedClasses() (classes byte) {
	for i := range s.health {
		if s.health[i].ejected {
			classes |= 1 << i
		}
	}
	return classes
}

// lastEjectedUntil is when the last report that ejected the server lapses.
func (s *server) lastEjectedUntil() (until time.Duration) {
	for i := range s.health {
		if s.health[i].ejected {
			until = s.health[i].ejectedUntil
		}
	}
	return until
}

// classesToEject has a bit for each of the first eight classes for which the server should be ejected. The
// second monitor does not end an ejection.
func (s *server) classesToEject(isFirstMonitor bool) (classes byte) {
	for i := range s.health {
		h := &s.health[i]
		staysEjected := h.ejected && (!isFirstMonitor || h.failureRate > ejectionThreshold/2)
		if h.failureRate > ejectionThreshold || staysEjected {
			classes |= 1 << i
		}
	}
	return classes
}

// Outlier reports carry a latency ratio as latencyRatioSteps steps for each doubling, from
// 2 to the power of -latencyRatioOffset upwards.
const (
	latencyRatioSteps  = 16
	latencyRatioOffset = 4
	minReportedRatio   = 0.1
)

func encodeLatencyRatio(ratio float64) byte {
	return saturatingByte(latencyRatioSteps * (latencyRatioOffset + math.Log2(max(ratio,
		minReportedRatio))))
}

func decodeLatencyRatio(b byte) float64 {
	return math.Exp2(float64(b)/latencyRatioSteps - latencyRatioOffset)
}
