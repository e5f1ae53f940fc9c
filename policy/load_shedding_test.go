package policy

import (
	"testing"
	"time"
)

// Load that no report covers shows in the latencies; a part of the requests is then shed.
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
		t.Fatalf("%d of 200 admitted when calm, %d when overloaded", normal, overloaded)
	}
}

// The threshold of leader mode follows the latencies of idle servers, since objectives may be only a
// few times as long. The least idle latency seen stays.
func TestOverloadThresholdFollowsIdleLatency(t *testing.T) {
	g := newGatewayFleet(t, 60, testServers(20)).gateways[0]
	sheds := func(overload float64) bool {
		g.shedder.admitProbability, g.shedder.overload = 1, overload
		g.updateAdmitProbability(time.Second)
		return g.shedder.admitProbability < 1
	}
	if !sheds(0.3) || sheds(0.2) {
		t.Error("the threshold before anything is known")
	}
	for _, c := range g.classes {
		c.outcomes, c.idleLatency = minIdleOutcomes, 0.2*c.LatencyObjective.Seconds()
	}
	if sheds(0.3) || !sheds(0.39) {
		t.Error("the threshold with idle latencies of a fifth of the objectives")
	}
	for _, c := range g.classes {
		c.idleLatency = 0.8 * c.LatencyObjective.Seconds()
	}
	if sheds(0.3) || !sheds(0.39) {
		t.Error("an overload passes for idleness")
	}
}
