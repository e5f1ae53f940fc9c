package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestIdleCustomersAreRemoved(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(2))
	for i := range 50 {
		actions := h.request("safe", "rate", fmt.Sprint(i), 1)
		h.finishAttempt(actionsOf[StartAttempt](actions)[0], 0, OK)
		h.now += 20 * ms
	}
	h.advance(9 * time.Minute)
	h.admitUnits(1, "rate")
	if n := len(h.gateway.customers.byKey); n != 51 {
		t.Fatalf("%d customers known, want 51", n)
	}
	h.advance(2 * time.Minute)
	if n := len(h.gateway.customers.byKey) + len(h.gateway.customers.ring) + len(h.gateway.customers.byHash) + len(h.gateway.peers[1].customerViews); n != 4 {
		t.Fatalf("%d entries are left of customers, want 4", n)
	}
}

// Without messages to peers idle customers are forgotten, too.
func TestIdleCustomersAreRemovedWithoutPeerMessages(t *testing.T) {
	s := baseSettings()
	s.CanMessagePeers = false
	h := newHarness(t, s, testServers(2))
	h.admitUnits(1, "rate")
	h.advance(11 * time.Minute)
	if n := len(h.gateway.customers.byKey); n != 0 {
		t.Errorf("%d customers known", n)
	}
}

// A customer whose buckets take long to fill is remembered until they are full: a pause does not give it another
// bucket at once.
func TestCustomersWithSlowBucketsAreKept(t *testing.T) {
	for _, plan := range []Plan{
		{Name: "slow", Rate: 0.01, Burst: 20},
		{Name: "slow", HardRate: 0.01, HardBurst: 20},
	} {
		s := baseSettings()
		s.Gateways = 1
		s.Plans = append(s.Plans, plan)
		h := newHarness(t, s, testServers(8))
		h.advance(time.Hour) // a share of a ceiling starts empty
		first := h.admitUnits(30, "slow")
		h.advance(15 * time.Minute)
		later := h.admitUnits(30, "slow")
		if first < 19 || first > 21 || later > 10 {
			t.Errorf("%+v: %d admitted, and %d a quarter of an hour later", plan, first, later)
		}
		h.advance(time.Hour)
		if n := len(h.gateway.customers.byKey); n != 0 {
			t.Errorf("%+v: %d customers are left once the bucket is full", plan, n)
		}
	}
}

// Customers are named by the same hashes at all gateways, of whatever build.
func TestCustomerHashesAreGolden(t *testing.T) {
	key := customerKey("bibl-a")
	if want := uint64(0x79ba5150b1712e5c); key != want {
		t.Errorf("key %#x, want %#x", key, want)
	}
	if reportHash, want := customerReportHash(key), uint32(0x79ba51); reportHash != want {
		t.Errorf("short %#x, want %#x", reportHash, want)
	}
}

// Customers that share a report hash do not pass their quota many times for it, and the one that is left when
// the other is forgotten is reported again.
func TestCustomersThatShareAReportHash(t *testing.T) {
	first, second := collidingCustomers()
	f := newGatewayFleet(t, 3, testServers(20))
	next := RequestID(0)
	load := func(customers ...string) func(time.Duration) {
		return func(at time.Duration) {
			for i := range f.gateways {
				for _, customer := range customers {
					next++
					f.request(i, next, customer, "rate", "safe", 3)
				}
				if at%(40*ms) == 0 {
					f.handle(i, TimerFired{Token: tickTimer})
				}
			}
		}
	}
	f.advance(20*time.Second, load(first, second))
	if admitted, quotas := len(f.attempts), 2*(10+10*20); admitted > quotas*3/2 {
		t.Errorf("%d units admitted of two quotas of %d", admitted, quotas/2)
	}
	f.advance(11*time.Minute, func(at time.Duration) {
		if at%(10*time.Second) == 0 {
			load(first)(at)
		}
	})
	for i, g := range f.gateways {
		c := g.customers.byHash[customerReportHash(customerKey(first))]
		if c == nil || c.key != customerKey(first) || len(g.customers.byKey) != 1 || len(g.customers.sharing) != 0 {
			t.Errorf("gateway %d: %d customers known, the first one is named: %v", i, len(g.customers.byKey), c != nil)
		}
	}
}

// collidingCustomers returns two names with one report hash.
func collidingCustomers() (first, second string) {
	names := map[uint32]string{}
	for i := 0; ; i++ {
		name := fmt.Sprint("customer ", i)
		hash := customerReportHash(customerKey(name))
		if names[hash] != "" {
			return names[hash], name
		}
		names[hash] = name
	}
}
