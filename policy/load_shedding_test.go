package policy

import (
	"testing"
	"time"
)

// Load no report tells of shows in the latencies; the gateway then lets in a
// part of the requests.
func TestOverloadShedsLoad(t *testing.T) {
	let := func(latency time.Duration) (n int) {
		w := newHarness(t, baseSettings(), testServers(20))
		for i := range 400 {
			w.advance(25 * ms)
			_, acts := w.request("safe", "free", "c", 1)
			for _, s := range actionsOf[StartAttempt](acts) {
				w.handle(AttemptResult{ID: s.ID, Server: s.Server, Code: OK, Answered: true, Latency: latency})
				if i >= 200 {
					n++
				}
			}
		}
		return n
	}
	if calm, strained := let(50*ms), let(700*ms); calm < 200 || strained > 100 {
		t.Fatalf("%d of 200 let in when calm, %d when strained", calm, strained)
	}
}

// The gate of a large fleet is set against what idle servers take: aims a few times as long
// as that leave no room for a threshold of their own. What it has once seen stays.
func TestOverloadThresholdFollowsIdleLatency(t *testing.T) {
	g := newGatewayFleet(t, 60, testServers(20)).gateways[0]
	closes := func(strain float64) bool {
		g.shedder.admitProbability, g.shedder.overload = 1, strain
		g.updateAdmitProbability(time.Second)
		return g.shedder.admitProbability < 1
	}
	if !closes(0.3) || closes(0.2) {
		t.Error("the gate's threshold before anything is known")
	}
	for _, c := range g.classes {
		c.outcomes, c.idleLatency = minIdleOutcomes, 0.2*c.LatencyObjective.Seconds()
	}
	if closes(0.3) || !closes(0.39) {
		t.Error("the threshold with idle latencies of a fifth of the aims")
	}
	for _, c := range g.classes {
		c.idleLatency = 0.8 * c.LatencyObjective.Seconds()
	}
	if closes(0.3) || !closes(0.39) {
		t.Error("an overload passes for idleness")
	}
}
