package policy

import (
	"testing"
	"time"
)

// Load shedding starts when latencies come near the objective, even if quotas and load reports show no overload.
func TestOverloadShedsLoad(t *testing.T) {
	admitted := func(latency time.Duration) (n int) {
		h := newHarness(t, baseSettings(), testServers(20))
		for i := range 400 {
			h.advance(25 * ms)
			actions := h.request("safe", "free", "c", 1)
			for _, s := range actionsOf[StartAttempt](actions) {
				h.handle(AttemptResult{ID: s.ID, Server: s.Server, Code: OK, Answered: true, Latency: latency})
				if i >= 200 {
					n++
				}
			}
		}
		return n
	}
	if normal, overloaded := admitted(50*ms), admitted(700*ms); normal < 200 || overloaded > 100 {
		t.Fatalf("%d of 200 requests admitted under normal load, %d during overload", normal, overloaded)
	}
}

// The overload threshold of leader mode rises with the idle latencies, since objectives may be only a few times as
// long. It uses the lowest idle latencies so far, so that a long overload does not raise it.
func TestOverloadThresholdFollowsIdleLatency(t *testing.T) {
	g := newGatewayFleet(t, 60, testServers(20)).gateways[0]
	sheds := func(overload float64) bool {
		g.shedder.admitProbability, g.shedder.overload = 1, overload
		g.updateAdmitProbability(time.Second)
		return g.shedder.admitProbability < 1
	}
	if !sheds(0.3) || sheds(0.2) {
		t.Error("the threshold is not between 0.2 and 0.3 while idle latencies are unknown")
	}
	for _, c := range g.classes {
		c.outcomes, c.idleLatency = minIdleOutcomes, 0.2*c.LatencyObjective.Seconds()
	}
	if sheds(0.3) || !sheds(0.39) {
		t.Error("the threshold is not between 0.3 and 0.39 with idle latencies of a fifth of the objectives")
	}
	for _, c := range g.classes {
		c.idleLatency = 0.8 * c.LatencyObjective.Seconds()
	}
	if sheds(0.3) || !sheds(0.39) {
		t.Error("longer idle latencies, as during an overload, moved the threshold")
	}
}
