package policy

import (
	"math"
	"testing"
	"time"
)

func TestColdServerBudget(t *testing.T) {
	servers := testServers(4)
	servers[0].HasStartTime, servers[0].StartedAt = true, time.Second
	w := newHarness(t, baseSettings(), servers)
	cold, warm := 0, 0
	for range 100 {
		w.now += 10 * ms
		if s := w.startAttempt("safe", "free"); s.Server == 1 {
			cold++
		} else {
			warm++
			w.finishAttempt(s, 0, OK)
		}
	}
	if each := float64(warm) / 3; float64(cold) > 0.2*2*each {
		t.Fatalf("%d to the cold server, %d to the others", cold, warm)
	}
}

// With the warm servers full, the cold one still gets no more than its budget.
func TestColdServerBudgetHoldsUnderLoad(t *testing.T) {
	servers := testServers(4)
	servers[0].HasStartTime, servers[0].StartedAt = true, time.Second
	w := newHarness(t, baseSettings(), servers)
	cold := 0
	for range 60 {
		w.now += 10 * ms
		acts := w.request("once", "free", "c", 1)
		for len(acts) > 0 {
			s, more := acts[0], []Action(nil)
			if s, ok := s.(StartAttempt); ok && s.Server == 1 {
				cold++
				more = w.finishAttempt(s, 0, OK)
			}
			acts = append(acts[1:], more...)
		}
	}
	if cold < 1 || cold > 4 {
		t.Fatalf("%d sent to the cold server", cold)
	}
}

// At least one attempt each would let hundreds of gateways together overload a cold server.
func TestColdServerShareIsBoundedOverTheFleet(t *testing.T) {
	servers := testServers(20)
	servers[0].HasStartTime, servers[0].StartedAt = true, 10*time.Second
	w := newGatewayFleet(t, 300, servers)
	for _, g := range w.gateways { // the warm ones are all slow
		for _, s := range g.endpoints.list[1:] {
			s.latencyRatio = maxLatencyRatio
		}
	}
	id := 0
	for range 4 {
		for i := range w.gateways {
			id++
			w.request(i, RequestID(id), "k", "free", "safe", 300)
		}
	}
	cold := 0
	for _, s := range w.sends {
		if s.Server == 1 {
			cold++
		}
	}
	// An even share is 60; the server has a fifth of its capacity, and fails at twice that.
	if cold > 24 {
		t.Errorf("%d of %d sent to a server that bears %d", cold, len(w.sends), 24)
	}
}

// What all gateways send a cold server in the window in which it may fail stays under what the
// settings allow, with a margin for chance, however many gateways there are, and while a part of
// them has just started and knows nothing of the load.
func TestColdServerBudgetHoldsWithManyGateways(t *testing.T) {
	const servers, each = 20, 25.0 // requests a second that a warm server turns round
	for _, n := range []int{3, 12, 22, 23, 30, 300} {
		list := testServers(servers)
		w := newGatewayFleet(t, n, list)
		next := RequestID(0)
		load := func(time.Duration) {
			for range 4 { // 400 a second: four fifths of what the fleet bears
				next++
				w.request(int(next*7919)%n, next, "k", "free", "safe", n)
			}
		}
		w.advance(4*time.Second, load)
		start := w.now
		list[0].HasStartTime, list[0].StartedAt = true, start
		for i := range w.gateways {
			if i%3 == 2 {
				s := baseSettings()
				s.SelfIndex, s.Gateways = i, n
				w.gateways[i], _ = New(s, uint64(1000+i))
			}
			w.handle(i, EndpointUpdate{Kind: SnapshotUpdate, Servers: list})
		}
		from := len(w.sends)
		w.advance(8*time.Second, load)
		set := baseSettings()
		var times []time.Duration
		for i, s := range w.sends[from:] {
			if s.Server == list[0].ID {
				times = append(times, w.sentAt[from+i])
			}
		}
		worst, of := 0.0, 0.0
		for i, j := 0, 0; j < len(times); j++ {
			for times[j]-times[i] > set.ColdOverloadTime {
				i++
			}
			cold := set.InitialCapacity + (1-set.InitialCapacity)*(times[i]-start).Seconds()/set.WarmupTime.Seconds()
			allowed := each * cold * set.ColdOverloadFactor * set.ColdOverloadTime.Seconds()
			allowed += 2*math.Sqrt(allowed) + 2
			if got := float64(j - i + 1); got/allowed > worst {
				worst, of = got/allowed, allowed
			}
		}
		t.Logf("%d gateways: %d sent, at most %.2f of %.1f", n, len(times), worst, of)
		if worst > 1 || len(times) < 20 {
			t.Errorf("%d gateways: %d sent, at most %.2f of the %.1f allowed", n, len(times), worst, of)
		}
	}
}
