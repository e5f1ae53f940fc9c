package policy

import (
	"math"
	"slices"
	"time"
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

	// outlierReportRenewal is the time before that at which a report is repeated.
	outlierReportRenewal = outlierReportTTL / 4
)

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

// reportOutcome notifies the monitors of a server about the result of an attempt.
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

// publishOutlierReport notifies all gateways of what has changed of a server that this one monitors, and
// repeats what still ejects it. Each report goes to every gateway, so all monitors together keep to a
// part of the messages that a gateway can receive.
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
	repeatIsDue := isFirst && wanted != 0 && s.lastEjectedUntil()-g.now < outlierReportRenewal
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

// Outlier reports carry a latency ratio as latencyRatioSteps steps for each doubling, from 2 to the power
// of -latencyRatioOffset upwards.
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
