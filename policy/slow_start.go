package policy

import (
	"math"
	"slices"
	"time"
)

// coldBudgetSafety is the share of a cold server's budget that is used. The rest is a reserve, since gateways
// receive reports of each other's attempts with delay.
const coldBudgetSafety = 0.5

// warmFraction returns a lower bound of the share of its full capacity that a server has. It grows linearly
// from InitialCapacity to 1 over WarmupTime.
func (g *Gateway) warmFraction(s *server) float64 {
	initial := g.settings.InitialCapacity
	if !s.HasStartTime || g.settings.WarmupTime <= 0 || initial <= 0 {
		return 1
	}
	warmedUp := float64(g.now-s.StartedAt) / float64(g.settings.WarmupTime)
	return min(1, initial+(1-initial)*max(warmedUp, 0))
}

// hasColdBudget reports whether a server may get another attempt while it warms up. In each window of
// ColdOverloadTime it gets as many as a warm server times its warm fraction, ColdOverloadFactor and
// coldBudgetSafety, but at least one.
func (g *Gateway) hasColdBudget(s *server) bool {
	warm := g.warmFraction(s)
	if warm >= 1 {
		return true
	}
	outsideWindow := func(sentAt time.Duration) bool { return g.now-sentAt > g.settings.ColdOverloadTime }
	s.coldSends = slices.DeleteFunc(s.coldSends, outsideWindow)
	perWarmServer := g.selector.warmSendRate / max(1, float64(len(g.endpoints.list)))
	budget := max(1, perWarmServer*warm*g.settings.ColdOverloadFactor*coldBudgetSafety)
	return float64(len(s.coldSends)) < budget
}

// countSend counts an attempt for the budgets of cold servers.
func (g *Gateway) countSend(s *server) {
	if g.warmFraction(s) < 1 {
		s.coldSends = append(s.coldSends, g.now)
	} else {
		g.selector.warmSendRate++
	}
}

func (g *Gateway) decayWarmSendRate(elapsed time.Duration) {
	if window := g.settings.ColdOverloadTime; window > 0 {
		g.selector.warmSendRate *= math.Exp(-float64(elapsed) / float64(window))
	}
}
