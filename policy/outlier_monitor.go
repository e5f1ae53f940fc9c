package policy

import (
	"bytes"
	"math"
	"slices"
	"time"
)

// Outlier reports.
const (
	// monitorLearningWeight is the weight of one result in the latency ratio that a monitor observes.
	monitorLearningWeight = 0.025

	// latencyRatioStep is the factor by which a latency ratio must change before it is reported again.
	latencyRatioStep = 1.7

	// outlierReportShare is the share of Settings.PeerMessagesPerSecond that outlier reports may use.
	outlierReportShare = 0.1

	// maxReportBudget is the largest number of outlier reports that a monitor may send on one server in a
	// burst.
	maxReportBudget = 2.0

	// outlierReportTTL is how long an ejection lasts if its report is not repeated.
	outlierReportTTL = 8 * time.Second

	// outlierReportRenewal is the remaining time of an ejection below which its report is repeated.
	outlierReportRenewal = outlierReportTTL / 4
)

// monitorsOf returns the first and the second monitor of a server. In leader mode they decide on ejections
// for all gateways, since each gateway alone has too few results; in full mesh each gateway is its own
// monitor. The second monitor takes over if the first fails together with the server, and is notified only of
// attempts that could not connect.
func (g *Gateway) monitorsOf(serverHash uint32) [2]int {
	if !g.size.leaderMode {
		return [2]int{g.settings.SelfIndex, g.settings.SelfIndex}
	}
	n := uint32(g.size.gateways)
	return [2]int{int(serverHash % n), int((serverHash + 1) % n)}
}

// reportOutcome notifies the monitors of a server of the result of an attempt.
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
		g.emit(SendPeerMessage{To: monitor, Data: m.encode()})
	}
}

// handleOutcomeReport applies another gateway's result, if this gateway is a monitor of the server.
func (g *Gateway) handleOutcomeReport(m outcomeReport) {
	s := g.endpoints.byID[ServerID(m.Server)]
	if s == nil || !slices.Contains(s.monitors[:], g.settings.SelfIndex) || int(m.Class) >= len(s.health) {
		return
	}
	latency := time.Duration(m.LatencyMS) * time.Millisecond
	g.observeOutcome(s, int(m.Class), ResultCode(m.Code), latency)
}

// observeOutcome updates the failure rates and the observed latency ratio of a monitored server from a
// result.
func (g *Gateway) observeOutcome(s *server, class int, code ResultCode, latency time.Duration) {
	h := &s.health[class]
	idleLatency := g.classes[g.settings.Classes[class].Name].idleLatency
	ratio := min(latency.Seconds()/idleLatency*g.warmFraction(s), maxLatencyRatio)
	switch code {
	case OK:
		h.recordSuccess()
	case Rejected:
		ratio = maxLatencyRatio // so that the server gets fewer requests
	case ConnectFailed:
		s.recordFailure(2 * failureWeight)
	default:
		s.recordFailure(failureWeight / 2) // the server may fail for other classes, too
		h.recordFailure(failureWeight / 2)
		ratio = max(ratio, s.observedRatio)
	}
	s.observedRatio += monitorLearningWeight * (ratio - s.observedRatio)
	g.publishOutlierReport(s)
}

// publishOutlierReport sends an outlier report on a server that this gateway monitors, if one is due and the
// report budget permits it. Each report is sent to every gateway, so the budget bounds the reports of all
// monitors together to outlierReportShare.
func (g *Gateway) publishOutlierReport(s *server) {
	g.refillReportBudget(s)
	if !g.isFirstMonitor(s) || !g.size.leaderMode {
		s.observedRatio = s.latencyRatio
	}
	toEject := s.classesToEject(g.isFirstMonitor(s))
	if s.reportBudget >= 1 && g.outlierReportDue(s, toEject) {
		g.sendOutlierReport(s, toEject)
	}
}

func (g *Gateway) isFirstMonitor(s *server) bool { return s.monitors[0] == g.settings.SelfIndex }

// outlierReportDue reports whether the classes to eject or the latency ratio differ from what was last
// reported, or a report that ejects the server must be repeated before it expires.
func (g *Gateway) outlierReportDue(s *server, toEject classSet) bool {
	ratioChange := max(s.observedRatio/s.latencyRatio, s.latencyRatio/s.observedRatio)
	ratioChanged := g.size.leaderMode && ratioChange > latencyRatioStep
	expiresSoon := s.lastEjectedUntil()-g.now < outlierReportRenewal
	repeatIsDue := g.isFirstMonitor(s) && toEject != classSet{} && expiresSoon
	return toEject != s.ejectedClasses() || ratioChanged || repeatIsDue
}

// sendOutlierReport applies an outlier report here and, in leader mode, sends it to all other gateways.
func (g *Gateway) sendOutlierReport(s *server, toEject classSet) {
	m := outlierReport{
		Server:         uint32(s.ID),
		EjectedClasses: toEject[0],
		LatencyRatio:   encodeLatencyRatio(s.observedRatio),
		FurtherClasses: bytes.TrimRight(toEject[1:], "\x00"),
	}
	g.applyOutlierReport(m)
	if g.size.leaderMode {
		s.reportBudget--
		g.emit(SendPeerMessage{To: -1, Data: m.encode()})
	}
}

// refillReportBudget adds to a server's report budget for the time since it was last called.
func (g *Gateway) refillReportBudget(s *server) {
	messages := g.settings.PeerMessagesPerSecond * outlierReportShare
	perServer := messages / float64(max(1, len(g.endpoints.list)))
	s.reportBudget = min(maxReportBudget, s.reportBudget+perServer*(g.now-s.reportBudgetAt).Seconds())
	s.reportBudgetAt = g.now
}

// applyOutlierReport sets the ejected classes and the latency ratio of a server as its monitor reports them.
// It sets ejectedUntil for healthy classes, too, which is harmless: the field is read only for classes with
// ejected set, and every later report that sets ejected sets ejectedUntil as well.
func (g *Gateway) applyOutlierReport(m outlierReport) {
	s := g.endpoints.byID[ServerID(m.Server)]
	if s == nil {
		return
	}
	var ejected classSet
	ejected[0] = m.EjectedClasses
	copy(ejected[1:], m.FurtherClasses)
	for i := range s.health {
		s.health[i].ejected = ejected.contains(i)
		s.health[i].ejectedUntil = g.now + outlierReportTTL
	}
	s.latencyRatio = decodeLatencyRatio(m.LatencyRatio)
}

// Outlier reports encode a latency ratio on a logarithmic scale of latencyRatioSteps steps for each doubling,
// which begins at 2 to the power of -latencyRatioOffset.
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
