package policy

import (
	"math"
	"testing"
	"time"
)

// A cold server gets at most its initial capacity, times its overload factor, of what each warm server gets.
func TestColdServerBudget(t *testing.T) {
	servers := testServers(4)
	servers[0].HasStartTime, servers[0].StartedAt = true, time.Second
	h := newHarness(t, baseSettings(), servers)
	cold, warm := 0, 0
	for range 100 {
		h.now += 10 * ms
		if s := h.startAttempt("safe", "free"); s.Server == 1 {
			cold++
		} else {
			warm++
			h.finishAttempt(s, 0, OK)
		}
	}
	if perWarmServer := float64(warm) / 3; float64(cold) > 0.2*2*perWarmServer {
		t.Fatalf("%d attempts at the cold server, %d at the others", cold, warm)
	}
}

// While the warm servers are saturated, the cold one still gets no more than its budget.
func TestColdServerBudgetHoldsUnderLoad(t *testing.T) {
	servers := testServers(4)
	servers[0].HasStartTime, servers[0].StartedAt = true, time.Second
	h := newHarness(t, baseSettings(), servers)
	cold := 0
	for range 60 {
		h.now += 10 * ms
		actions := h.request("once", "free", "c", 1)
		for len(actions) > 0 {
			s, further := actions[0], []Action(nil)
			if s, ok := s.(StartAttempt); ok && s.Server == 1 {
				cold++
				further = h.finishAttempt(s, 0, OK)
			}
			actions = append(actions[1:], further...)
		}
	}
	if cold < 1 || cold > 4 {
		t.Fatalf("%d attempts at the cold server, want 1 to 4", cold)
	}
}

// If each of hundreds of gateways sent a cold server at least one attempt, they would overload it together.
func TestColdServerShareIsBoundedOverTheFleet(t *testing.T) {
	servers := testServers(20)
	servers[0].HasStartTime, servers[0].StartedAt = true, 10*time.Second
	fleet := newGatewayFleet(t, 300, servers)
	for _, g := range fleet.gateways { // all warm servers are slow
		for _, s := range g.endpoints.list[1:] {
			s.latencyRatio = maxLatencyRatio
		}
	}
	id := 0
	for range 4 {
		for i := range fleet.gateways {
			id++
			fleet.request(i, RequestID(id), "k", "free", "safe", 300)
		}
	}
	cold := 0
	for _, s := range fleet.attempts {
		if s.Server == 1 {
			cold++
		}
	}
	// An even share is 60. The cold server has a fifth of its capacity, and fails at twice that load.
	if cold > 24 {
		t.Errorf("%d of %d attempts at a cold server that can take %d", cold, len(fleet.attempts), 24)
	}
}

// The attempts of all gateways at a cold server, in each window of ColdOverloadTime, stay below the load at which it
// fails, with a margin for random variation. This holds for any number of gateways, even if a third of them has just
// started and has no estimate of the load.
func TestColdServerBudgetHoldsWithManyGateways(t *testing.T) {
	const servers, serverRate = 20, 25.0 // serverRate: requests a second that a warm server can serve
	for _, gateways := range []int{3, 12, 22, 23, 30, 300} {
		list := testServers(servers)
		fleet := newGatewayFleet(t, gateways, list)
		nextID := RequestID(0)
		load := func(time.Duration) {
			for range 4 { // 400 a second: four fifths of the capacity of all servers
				nextID++
				fleet.request(int(nextID*7919)%gateways, nextID, "k", "free", "safe", gateways)
			}
		}
		fleet.advance(4*time.Second, load)
		start := fleet.now
		list[0].HasStartTime, list[0].StartedAt = true, start
		for i := range fleet.gateways {
			if i%3 == 2 {
				s := baseSettings()
				s.SelfIndex, s.Gateways = i, gateways
				fleet.gateways[i], _ = New(s, uint64(1000+i))
			}
			fleet.handle(i, EndpointUpdate{Kind: SnapshotUpdate, Servers: list})
		}
		from := len(fleet.attempts)
		fleet.advance(8*time.Second, load)
		settings := baseSettings()
		var times []time.Duration
		for i, s := range fleet.attempts[from:] {
			if s.Server == list[0].ID {
				times = append(times, fleet.startedAt[from+i])
			}
		}
		worstRatio, worstAllowed := 0.0, 0.0
		for i, j := 0, 0; j < len(times); j++ {
			for times[j]-times[i] > settings.ColdOverloadTime {
				i++
			}
			cold := settings.InitialCapacity + (1-settings.InitialCapacity)*(times[i]-start).Seconds()/settings.WarmupTime.Seconds()
			allowed := serverRate * cold * settings.ColdOverloadFactor * settings.ColdOverloadTime.Seconds()
			allowed += 2*math.Sqrt(allowed) + 2
			if got := float64(j - i + 1); got/allowed > worstRatio {
				worstRatio, worstAllowed = got/allowed, allowed
			}
		}
		t.Logf("%d gateways: %d attempts at the cold server, at most %.2f of the %.1f allowed", gateways, len(times), worstRatio, worstAllowed)
		if worstRatio > 1 || len(times) < 20 {
			t.Errorf("%d gateways: %d attempts at the cold server, want at least 20; at most %.2f of the %.1f allowed", gateways, len(times), worstRatio, worstAllowed)
		}
	}
}
