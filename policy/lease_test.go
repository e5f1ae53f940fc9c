package policy

import (
	"testing"
	"time"
)

// Hundreds of gateways, each seeing few requests of a customer that asks five
// times its quota, pass no more than the quota together and leave little of it
// unused, with a few messages a request.
func TestHundredsOfGatewaysKeepTheQuota(t *testing.T) {
	for _, c := range []struct {
		name  string
		every int // a request in each such step of 10 ms
		lost  int // a message in so many is lost
		least int
	}{
		{"far above", 2, 1 << 30, 85}, {"far above, mail lost", 2, 12, 85}, {"inside", 20, 1 << 30, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newGatewayFleet(t, 300, testServers(40))
			n := 0
			w.lost = func(int, int) bool { n++; return n%c.lost == 0 }
			asked := 0
			w.advance(10*time.Second, func(at time.Duration) {
				if int(at/ms/10)%c.every == 0 && at < 19*time.Second {
					asked++
					w.request(asked*37%200, RequestID(asked), "k", "rate", "safe", 200)
				}
			})
			passed := len(w.sends)
			if most := 10 + 10*10; passed > most*23/20 || passed < min(c.least, asked) {
				t.Errorf("%d of %d passed, the quota holds %d", passed, asked, most)
			}
			if passed+w.rejected != asked {
				t.Errorf("%d passed and %d refused of %d", passed, w.rejected, asked)
			}
			if w.messages > 6*asked {
				t.Errorf("%d messages for %d requests", w.messages, asked)
			}
		})
	}
}

// A root that answers nothing must not stop its customers: the deputy counts
// for it.
func TestStandbyLeaderGrantsWhenLeaderIsLost(t *testing.T) {
	w := newGatewayFleet(t, 100, testServers(20))
	c := w.gateways[0].addCustomer(customerKey("k"), w.gateways[0].plans["rate"], 0, 50)
	roots, deputy := w.gateways[0].quotaLeaders(c, w.gateways[0].size)
	w.lost = func(from, to int) bool { return to == roots[0] || from == roots[0] }
	asked := 0
	w.advance(8*time.Second, func(at time.Duration) {
		if i := asked * 7 % 50; int(at/ms/10)%5 == 0 && at < 17*time.Second && i != roots[0] {
			w.request(i, RequestID(asked+1), "k", "rate", "safe", 50)
		}
		asked++
	})
	if n := len(w.sends); n < 45 || n > 120 {
		t.Errorf("%d passed with root %v lost and deputy %d, the quota holds 90", n, roots, deputy)
	}
}

// An ask that comes twice counts once, and is answered twice: the first answer
// may be lost.
func TestRepeatedLeaseRequestIsChargedOnce(t *testing.T) {
	w := newGatewayFleet(t, 100, testServers(10))
	c := w.gateways[0].addCustomer(customerKey("k"), w.gateways[0].plans["rate"], 0, 50)
	roots, _ := w.gateways[0].quotaLeaders(c, w.gateways[0].size)
	m := leaseRequest{Customer: customerKey("k"), GatewaySpread: 50, Plan: 1, Units: 4, RemainingMS: 2000, Tag: 9, Chance: 250, Fill: unknownFill}.encode()
	for range 3 {
		w.handle(roots[0], PeerMessage{From: 99, Data: m})
	}
	if got := w.gateways[roots[0]].customers.byKey[customerKey("k")].admittedUnits; got != 4 || w.messages != 3 {
		t.Errorf("%d units counted, %d answers", got, w.messages)
	}
}

// Times are rounded on their way: a timer that comes a little before its time
// must not leave a request with no timer at all.
func TestLeaseTimerMayFireEarly(t *testing.T) {
	w := newGatewayFleet(t, 100, testServers(10))
	c := w.gateways[0].addCustomer(customerKey("k"), w.gateways[0].plans["rate"], 0, 50)
	roots, deputy := w.gateways[0].quotaLeaders(c, w.gateways[0].size)
	i := 0
	for i == roots[0] || i == deputy {
		i++
	}
	acts := w.gateways[i].Handle(w.now, Request{ID: 1, Customer: "k", Plan: "rate", Class: "safe", Units: 1,
		Remaining: time.Second, GatewaySpread: 50}, nil)
	timers := actionsOf[SetTimer](acts)
	if len(timers) != 1 {
		t.Fatalf("got %v", acts)
	}
	acts = w.gateways[i].Handle(w.now+timers[0].After-time.Microsecond/2, TimerFired{Token: "ask"}, nil)
	if len(actionsOf[SendPeerMessage](acts)) != 1 || len(actionsOf[SetTimer](acts)) != 1 {
		t.Errorf("not asked again: %v", acts)
	}
}

// Gateways that hear no root at all are cut off: customers far below their quotas go on
// being served there, within them, and without waiting for asks that nobody answers. Where
// a part of the mail is lost the roots are flooded, and few pass unheard.
func TestIsolatedGatewaysKeepServing(t *testing.T) {
	for _, c := range []struct {
		name        string
		lost        int // of four messages
		least, most float64
	}{{"cut off", 4, 0.7, 1}, {"flooded", 3, 0, 0.75}} {
		w := newGatewayFleet(t, 60, testServers(20))
		id, cut := 0, false
		w.lost = func(int, int) bool { id += 7919; return cut && id/7919%4 < c.lost }
		asked, next := 0, RequestID(0)
		load := func(at time.Duration) {
			if at/ms%100 != 0 {
				return
			}
			for i := 50; i < 53; i++ {
				next++
				asked++
				w.request(i, next, "k"+string(rune('a'+next%20)), "rate", "safe", 60)
			}
		}
		w.advance(3*time.Second, load)
		cut = true
		w.advance(4*time.Second, load)
		asked = 0
		before := len(w.sends)
		w.advance(4*time.Second, load)
		w.advance(time.Second, nil)
		got := float64(len(w.sends)-before) / float64(asked)
		if got < c.least || got > c.most {
			t.Errorf("%s: %.2f of what was asked far inside the quotas passed; %.2f to %.2f wanted", c.name, got, c.least, c.most)
		}
	}
}
