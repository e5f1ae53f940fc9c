package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// a request's first guessed latency is its aim over this
	initialLatencyDivisor = 8.0
	maxLatencyFactor      = 4.0 // a latency counts for so many means at most
	// weight of an outcome in a server's pace, in a class's latency
	learningWeight, classLatencyWeight = 0.1, 0.03
	judgmentDecayTime                  = 10 * time.Second // an old judgement wears off in this time

	// an attempt is overdue after this part of its aim at the soonest,
	minStallShare = 0.1
	stallFactor   = 4.0 // when so many times as old as predicted
	// weight of a failure, average that puts a server out of use
	failureWeight, ejectionThreshold = 0.2, 0.45
	probeSuccessFactor               = 0.6 // what a good trial leaves of a server's failures

	// between trials of a server out of use
	probeIntervalStep, maxProbeInterval = time.Second, 8 * time.Second

	maxLatencyRatio       = 12.0            // most a server's pace is taken for
	minReportedRatio      = 0.1             // and least, in a verdict
	monitorLearningWeight = 0.025           // weight of an outcome in the pace at its watcher
	latencyRatioStep      = 1.7             // a pace is told when it changed by this factor
	outlierReportShare    = 0.1             // part of a gateway's mail intake that verdicts may fill
	maxReportBudget       = 2.0             // verdicts a watcher may send at once
	outlierReportTTL      = 8 * time.Second // a verdict not told again lapses
)

// classHealth is what the fleet knows of a server for one class.
type classHealth struct {
	failureRate   float64       // the watcher's average
	lastSuccessAt time.Duration // its last answer here
	ejected       bool          // out of use for the class, until a time
	ejectedUntil  time.Duration
	probeInterval time.Duration // after its last trial
	nextProbeAt   time.Duration // when the watcher may next try it
}

func (g *Gateway) healthOf(s *server, cl *requestClass) *classHealth {
	if cl.index >= len(s.health) || cl.Name == "" {
		return nil
	}
	return &s.health[cl.index]
}

// learnFromResult learns from an outcome: latency, errors, load reports.
func (g *Gateway) learnFromResult(s *server, r *request, ev AttemptResult) {
	if ev.Code != TooLate && ev.Code != Cancelled {
		g.reportOutcome(s, r.class, ev.Code, ev.Latency)
	}
	if ev.Code == OK || ev.Code == TimedOut {
		g.overload += overloadWeight * (min(1,
			ev.Latency.Seconds()/r.class.LatencyObjective.Seconds()) - g.overload)
	}
	switch ev.Code {
	case OK:
		if v := g.healthOf(s, r.class); v != nil {
			v.lastSuccessAt = g.now
		}
		base := (1 + queueingPerAttempt*r.loadAtSend/g.relativeCapacity(s)) / g.warmFraction(s)
		lat := ev.Latency.Seconds() / base
		s.latencyRatio += g.outcomeWeight * (min(lat/r.class.idleLatency, maxLatencyRatio) - s.latencyRatio)
		g.idleLatency += classLatencyWeight * (r.class.idleLatency - g.idleLatency)
		r.class.outcomes++ // the first outcomes count for more
		r.class.idleLatency += max(classLatencyWeight, 1/(r.class.outcomes+1)) * (min(lat,
			maxLatencyFactor*r.class.idleLatency) - r.class.idleLatency)
	case Rejected:
		// It may turn away one plan only: this one goes elsewhere for a while.
		s.rejectingUntil[r.customer.plan] = g.now + planRejectionBackoff
		g.overload += overloadWeight * (1 - g.overload)
	}
}

func (g *Gateway) reportOutcome(s *server, cl *requestClass, code ResultCode, latency time.Duration) {
	if cl.Name == "" {
		return // not in the settings
	}
	for i, w := range s.monitors {
		if i > 0 && (code != ConnectFailed || !g.leaderMode) {
			break
		}
		if w == g.settings.SelfIndex {
			g.observeOutcome(s, cl.index, code, latency)
			continue
		}
		ms := uint16(min(max(0, latency.Milliseconds()), math.MaxUint16))
		g.do(SendPeerMessage{To: w, Data: encode(outcomeReport{uint32(s.ID), byte(cl.index),
			byte(code), ms})})
	}
}

// observeOutcome adds an outcome to what the fleet knows of a server. One that turns
// requests away is taken for very slow: it gets few more until it answers.
func (g *Gateway) observeOutcome(s *server, class int, code ResultCode, latency time.Duration) {
	v, mean := &s.health[class], g.classes[g.settings.Classes[class].Name].idleLatency
	seen := min(latency.Seconds()/mean*g.warmFraction(s), maxLatencyRatio)
	switch code {
	case OK:
		v.failureRate *= 1 - failureWeight
		if v.ejected {
			v.failureRate, v.probeInterval = v.failureRate*probeSuccessFactor, 0
		}
	case Rejected:
		seen = maxLatencyRatio
	case ConnectFailed:
		for i := range s.health {
			s.health[i].failureRate += 2 * failureWeight * (1 - s.health[i].failureRate)
		}
	default:
		for i := range s.health { // it may fail other classes too
			s.health[i].failureRate += failureWeight / 2 * (1 - s.health[i].failureRate)
		}
		v.failureRate += failureWeight / 2 * (1 - v.failureRate)
		seen = max(seen, s.observedRatio)
	}
	s.observedRatio += monitorLearningWeight * (seen - s.observedRatio)
	g.publishOutlierReport(s)
}

// detectStalledAttempts looks for attempts far older than predicted: they count as failed,
// and what can go elsewhere is called back. Guards against servers that take
// work and answer none; harms when all slow down at once, within the budget.
func (g *Gateway) detectStalledAttempts(s *server) {
	for _, r := range slices.Clone(s.attempts) {
		expected := max(g.predictedLatency(s, r.class), minStallShare*r.class.LatencyObjective.Seconds())
		age := (g.now - r.sentAt).Seconds() / expected
		v := g.healthOf(s, r.class)
		if age < stallFactor || r.done || r.cancelRequested || r.responseStarted || v != nil &&
			v.lastSuccessAt > r.sentAt {
			continue
		}
		r.cancelRequested = true
		g.reportOutcome(s, r.class, TimedOut, g.now-r.sentAt)
		if g.settings.CanCancel && r.class.Idempotency == Idempotent && g.retryBudget >= 1 &&
			(g.settings.MaxAttempts == 0 || r.attempts < g.settings.MaxAttempts) {
			g.do(CancelAttempt{ID: r.id, Attempt: r.attempts - 1})
		}
	}
}

// decayJudgment lets a part of what is known of a server go.
func (s *server) decayJudgment(part float64) {
	s.latencyRatio += (1 - s.latencyRatio) * part
	for i := range s.health {
		s.health[i].failureRate -= s.health[i].failureRate * part
	}
}

// publishOutlierReport tells all gateways what has changed of a server that this one watches,
// and again what still keeps it out of use. Each goes to every gateway, so all
// watchers together keep to a part of the mail.
func (g *Gateway) publishOutlierReport(s *server) {
	each := g.settings.PeerMessagesPerSecond * outlierReportShare / float64(max(1, len(g.endpoints)))
	s.reportBudget = min(maxReportBudget, s.reportBudget+each*(g.now-s.reportBudgetAt).Seconds())
	s.reportBudgetAt = g.now
	first := s.monitors[0] == g.settings.SelfIndex
	if !first || !g.leaderMode {
		s.observedRatio = s.latencyRatio // the second knows only what it can't reach
	}
	told, bad, until := s.ejectionMasks(func(v *classHealth) bool {
		return v.failureRate > ejectionThreshold || v.ejected && (!first ||
			v.failureRate > ejectionThreshold/2)
	})
	change := g.leaderMode && max(s.observedRatio/s.latencyRatio,
		s.latencyRatio/s.observedRatio) > latencyRatioStep
	again := first && bad != 0 && until-g.now < outlierReportTTL/4
	if s.reportBudget < 1 || bad == told && !change && !again {
		return
	}
	m := outlierReport{Server: uint32(s.ID), EjectedClasses: bad, LatencyRatio: saturatingByte(16 *
		(4 + math.Log2(max(s.observedRatio, minReportedRatio))))}
	g.applyOutlierReport(m)
	if g.leaderMode {
		s.reportBudget--
		g.do(SendPeerMessage{To: -1, Data: encode(m)})
	}
}

// ejectionMasks gives a bit for each class: told to be out of use, until when, and so
// now.
func (s *server) ejectionMasks(isBad func(*classHealth) bool) (told, bad byte, until time.Duration) {
	for i := range s.health {
		v := &s.health[i]
		if v.ejected {
			told |= 1 << i
			until = v.ejectedUntil
		}
		if isBad(v) {
			bad |= 1 << i
		}
	}
	return told, bad, until
}

func (g *Gateway) applyOutlierReport(m outlierReport) {
	s := g.servers[ServerID(m.Server)]
	if s == nil {
		return
	}
	for i := range s.health {
		s.health[i].ejected, s.health[i].ejectedUntil = m.EjectedClasses>>i&1 == 1, g.now+outlierReportTTL
	}
	s.latencyRatio = math.Exp2(float64(m.LatencyRatio)/16 - 4)
}

// monitorsOf names the gateways that judge a server: in a small fleet each
// judges for itself.
func (g *Gateway) monitorsOf(h uint32) [2]int {
	if !g.leaderMode {
		return [2]int{g.settings.SelfIndex, g.settings.SelfIndex}
	}
	n := uint32(g.settings.Gateways)
	return [2]int{int(h % n), int((h + 1) % n)}
}
