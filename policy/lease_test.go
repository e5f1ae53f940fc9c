package policy

import (
	"testing"
	"time"
)

// Hundreds of gateways, each with few requests of a customer that requests five times its
// quota, together admit no more than the quota and leave little of it unused, with a few
// messages for each request.
func TestHundredsOfGatewaysKeepTheQuota(t *testing.T) {
	for _, c := range []struct {
		name            string
		stepsPerRequest int // a request in each such step of 10 ms
		messagesPerLoss int // a message in so many is lost
		minAdmitted     int
	}{
		{"far above", 2, 1 << 30, 85}, {"far above, messages lost", 2, 12, 85}, {"inside", 20, 1 << 30, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newGatewayFleet(t, 300, testServers(40))
			messages := 0
			fleet.isLost = func(int, int) bool { messages++; return messages%c.messagesPerLoss == 0 }
			requested := 0
			fleet.advance(10*time.Second, func(at time.Duration) {
				if int(at/ms/10)%c.stepsPerRequest == 0 && at < 19*time.Second {
					requested++
					fleet.request(requested*37%200, RequestID(requested), "k", "rate", "safe", 200)
				}
			})
			admitted := len(fleet.attempts)
			if quota := 10 + 10*10; admitted > quota*23/20 || admitted < min(c.minAdmitted, requested) {
				t.Errorf("%d of %d admitted, the quota holds %d", admitted, requested, quota)
			}
			if admitted+fleet.rejected != requested {
				t.Errorf("%d admitted and %d rejected of %d", admitted, fleet.rejected, requested)
			}
			if fleet.messages > 6*requested {
				t.Errorf("%d messages for %d requests", fleet.messages, requested)
			}
		})
	}
}

// A leader that answers nothing must not stop its customers: the standby leader grants in its
// place.
func TestStandbyLeaderGrantsWhenLeaderIsLost(t *testing.T) {
	fleet := newGatewayFleet(t, 100, testServers(20))
	c := fleet.gateways[0].addCustomer(customerKey("k"), fleet.gateways[0].plans["rate"], 0, 50)
	leaders, standby := fleet.gateways[0].quotaLeaders(c, fleet.gateways[0].size)
	fleet.isLost = func(from, to int) bool { return to == leaders[0] || from == leaders[0] }
	requested := 0
	fleet.advance(8*time.Second, func(at time.Duration) {
		if i := requested * 7 % 50; int(at/ms/10)%5 == 0 && at < 17*time.Second && i != leaders[0] {
			fleet.request(i, RequestID(requested+1), "k", "rate", "safe", 50)
		}
		requested++
	})
	if n := len(fleet.attempts); n < 45 || n > 120 {
		t.Errorf("%d admitted with leader %v lost and standby %d, the quota holds 90", n, leaders, standby)
	}
}

// A lease request that comes again is charged once and answered each time: the first response
// may be lost.
func TestRepeatedLeaseRequestIsChargedOnce(t *testing.T) {
	fleet := newGatewayFleet(t, 100, testServers(10))
	c := fleet.gateways[0].addCustomer(customerKey("k"), fleet.gateways[0].plans["rate"], 0, 50)
	leaders, _ := fleet.gateways[0].quotaLeaders(c, fleet.gateways[0].size)
	data := leaseRequest{Customer: customerKey("k"), GatewaySpread: 50, Plan: 1, Units: 4, RemainingMS: 2000, Tag: 9, Chance: 250, Fill: unknownFill}.encode()
	for range 3 {
		fleet.handle(leaders[0], PeerMessage{From: 99, Data: data})
	}
	if got := fleet.gateways[leaders[0]].customers.byKey[customerKey("k")].admittedUnits; got != 4 || fleet.messages != 3 {
		t.Errorf("%d units charged, %d responses", got, fleet.messages)
	}
}

// Times are rounded on their way: a timer that comes a little before its time
// must not leave a request with no timer at all.
func TestLeaseTimerMayFireEarly(t *testing.T) {
	fleet := newGatewayFleet(t, 100, testServers(10))
	c := fleet.gateways[0].addCustomer(customerKey("k"), fleet.gateways[0].plans["rate"], 0, 50)
	leaders, standby := fleet.gateways[0].quotaLeaders(c, fleet.gateways[0].size)
	i := 0
	for i == leaders[0] || i == standby {
		i++
	}
	actions := fleet.gateways[i].Handle(fleet.now, Request{ID: 1, Customer: "k", Plan: "rate", Class: "safe", Units: 1,
		Remaining: time.Second, GatewaySpread: 50}, nil)
	timers := actionsOf[SetTimer](actions)
	if len(timers) != 1 {
		t.Fatalf("got %v", actions)
	}
	actions = fleet.gateways[i].Handle(fleet.now+timers[0].After-time.Microsecond/2, TimerFired{Token: leaseTimer}, nil)
	if len(actionsOf[SendPeerMessage](actions)) != 1 || len(actionsOf[SetTimer](actions)) != 1 {
		t.Errorf("no second lease request: %v", actions)
	}
}

// Gateways that hear no leader at all are isolated: customers far below their quotas go on being
// served there, without waiting for responses. Where a part of the messages is lost the leaders
// are flooded, and few requests are admitted unheard.
func TestIsolatedGatewaysKeepServing(t *testing.T) {
	for _, c := range []struct {
		name               string
		lostOfFour         int // of four messages
		minShare, maxShare float64
	}{{"isolated", 4, 0.7, 1}, {"flooded", 3, 0, 0.75}} {
		fleet := newGatewayFleet(t, 60, testServers(20))
		sent, lossy := 0, false
		fleet.isLost = func(int, int) bool { sent++; return lossy && sent%4 < c.lostOfFour }
		requested, next := 0, RequestID(0)
		load := func(at time.Duration) {
			if at/ms%100 != 0 {
				return
			}
			for i := 50; i < 53; i++ {
				next++
				requested++
				fleet.request(i, next, "k"+string(rune('a'+next%20)), "rate", "safe", 60)
			}
		}
		fleet.advance(3*time.Second, load)
		lossy = true
		fleet.advance(4*time.Second, load)
		requested = 0
		before := len(fleet.attempts)
		fleet.advance(4*time.Second, load)
		fleet.advance(time.Second, nil)
		share := float64(len(fleet.attempts)-before) / float64(requested)
		if share < c.minShare || share > c.maxShare {
			t.Errorf("%s: %.2f of what was requested far inside the quotas was admitted; %.2f to %.2f wanted", c.name, share, c.minShare, c.maxShare)
		}
	}
}

// A request that no leader answers is rejected for what is in its way here, and for want of a leader only where that
// is what it lacks.
func TestRejectionWithoutLeaderNamesItsCause(t *testing.T) {
	for _, c := range []struct {
		name    string
		plan    string
		servers []Server
		prepare func(*Gateway, *request)
		want    Reason
	}{
		{"deadline", "rate", testServers(4), func(g *Gateway, r *request) { r.deadline = g.now }, ReasonNoTime},
		{"hard ceiling", "hard and rate", testServers(4), func(*Gateway, *request) {}, ReasonNoQuotaLeader},
		{"rate quota", "rate", testServers(4), func(_ *Gateway, r *request) { r.customer.tokens = 0 }, ReasonQuotaExceeded},
		{"no server", "rate", nil, func(*Gateway, *request) {}, ReasonNoServer},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newGatewayFleet(t, 60, c.servers)
			g := fleet.gateways[0]
			r := g.newLocalRequest(Request{ID: 1, Customer: "k", Plan: c.plan, Class: "safe", Units: 1, Remaining: time.Second, GatewaySpread: 60})
			c.prepare(g, r)
			g.actions = nil
			g.admitWithoutLease(r, 1)
			got := actionsOf[Reject](g.actions)
			if len(got) != 1 || got[0].Reason != c.want {
				t.Errorf("got %+v, want reason %v", got, c.want)
			}
		})
	}
}

// The fill of a bucket arrives as it was sent, also where the bucket holds less than a unit.
func TestSmallBucketFillRoundTrips(t *testing.T) {
	for _, burst := range []float64{0.25, 0.9, 1, 20} {
		c := &customer{plan: &customerPlan{Plan: Plan{Rate: 1, Burst: burst}}, tokens: burst / 2}
		if got := decodeFill(c.fillByte(), burst); got < 0.49*burst || got > 0.51*burst {
			t.Errorf("a bucket of %v that holds half of it is taken to hold %v", burst, got)
		}
	}
	withoutRate := &customer{plan: &customerPlan{}}
	if got := withoutRate.fillByte(); got != 0 {
		t.Errorf("fill %v without a rate quota", got)
	}
}

// A request of more units than a lease request can carry is rejected in leader mode, not counted as less.
func TestRequestTooLargeForLeaseIsRejected(t *testing.T) {
	for units, want := range map[float64]bool{65_535: false, 65_535.5: true, 70_000: true} {
		f := newCeilingFleet(t, 60, "hard", units)
		follower := (f.leader() + 1) % 60
		g := f.gateways[follower]
		r := g.newLocalRequest(Request{ID: 1, Customer: testCustomer, Plan: "hard", Class: "safe", Units: units, Remaining: time.Second, GatewaySpread: 60})
		g.actions = nil
		g.requestLease(r)
		rejected, leaseRequests := actionsOf[Reject](g.actions), actionsOf[SendPeerMessage](g.actions)
		if isRejected := len(rejected) == 1 && rejected[0].Reason == ReasonQuotaExceeded; isRejected != want || len(leaseRequests) > 0 == want {
			t.Errorf("%v units: %+v", units, g.actions)
		}
	}
}
