package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestIdleCustomersAreForgotten(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(2))
	for i := range 50 {
		acts := w.request("safe", "rate", fmt.Sprint(i), 1)
		w.finishAttempt(actionsOf[StartAttempt](acts)[0], 0, OK)
		w.now += 20 * ms
	}
	w.advance(9 * time.Minute)
	w.admitUnits(1, "rate")
	if n := len(w.g.customers.byKey); n != 51 {
		t.Fatalf("%d customers known, want 51", n)
	}
	w.advance(2 * time.Minute)
	if n := len(w.g.customers.byKey) + len(w.g.customers.ring) + len(w.g.customers.byHash) + len(w.g.peers[1].customerViews); n != 4 {
		t.Fatalf("%d entries are left of customers, want 4", n)
	}
}

// Customers are named by the same hashes at all gateways, of whatever build.
func TestCustomerHashesAreGolden(t *testing.T) {
	key := customerKey("bibl-a")
	if want := uint64(0x79ba5150b1712e5c); key != want {
		t.Errorf("key %#x, want %#x", key, want)
	}
	if short, want := customerReportHash(key), uint32(0x79ba51); short != want {
		t.Errorf("short %#x, want %#x", short, want)
	}
}
