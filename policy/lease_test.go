package policy

import (
	"testing"
	"time"
)

// A customer requests five times its quota, or half of it, through hundreds of gateways, each of which receives few
// of the requests. Together they admit at most 15% more than the quota. They leave at most 23% of it unused if the
// demand is above it, reject nothing if it is within, and send at most six messages for each request.
func TestHundredsOfGatewaysKeepTheQuota(t *testing.T) {
	for _, c := range []struct {
		name            string
		stepsPerRequest int // steps of 10 ms from one request to the next
		messagesPerLoss int // one of this many messages is lost
		minAdmitted     int
	}{
		{"far above the quota", 2, 1 << 30, 85}, {"far above the quota, messages lost", 2, 12, 85}, {"within the quota", 20, 1 << 30, 50},
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
				t.Errorf("%d of %d requests admitted under a quota of %d", admitted, requested, quota)
			}
			if admitted+fleet.rejected != requested {
				t.Errorf("%d requests admitted and %d rejected of %d", admitted, fleet.rejected, requested)
			}
			if fleet.messages > 6*requested {
				t.Errorf("%d messages for %d requests", fleet.messages, requested)
			}
		})
	}
}

// Requests of a customer are admitted even if no message reaches its leader or comes from it, since the standby
// leader grants leases instead.
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
		t.Errorf("%d requests admitted with leader %v lost and standby leader %d, want 45 to 120", n, leaders, standby)
	}
}

// A gateway repeats a lease request with the same tag, since the first response may be lost. The leader charges it
// once and responds each time.
func TestRepeatedLeaseRequestIsChargedOnce(t *testing.T) {
	fleet := newGatewayFleet(t, 100, testServers(10))
	c := fleet.gateways[0].addCustomer(customerKey("k"), fleet.gateways[0].plans["rate"], 0, 50)
	leaders, _ := fleet.gateways[0].quotaLeaders(c, fleet.gateways[0].size)
	data := leaseRequest{Customer: customerKey("k"), GatewaySpread: 50, Plan: 1, Units: 4, RemainingMS: 2000, Tag: 9, Chance: 250, Fill: unknownFill}.encode()
	for range 3 {
		fleet.handle(leaders[0], PeerMessage{From: 99, Data: data})
	}
	if got := fleet.gateways[leaders[0]].customers.byKey[customerKey("k")].admittedUnits; got != 4 || fleet.messages != 3 {
		t.Errorf("%d units charged, want 4; %d responses, want 3", got, fleet.messages)
	}
}

// Times are rounded on the way to the timer and back, so a timer may fire slightly early. The request must not be
// left without a timer then.
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
		t.Fatalf("want one timer, got %v", actions)
	}
	actions = fleet.gateways[i].Handle(fleet.now+timers[0].After-time.Microsecond/2, TimerFired{Token: leaseTimer}, nil)
	if len(actionsOf[SendPeerMessage](actions)) != 1 || len(actionsOf[SetTimer](actions)) != 1 {
		t.Errorf("want a second lease request and a timer for it, got %v", actions)
	}
}

// Gateways that receive no lease responses at all are isolated: there customers far below their quotas are still
// served, without waiting for responses. If only part of the messages is lost, the leaders count as overloaded, and
// fewer requests are admitted without a lease.
func TestIsolatedGatewaysKeepServing(t *testing.T) {
	for _, c := range []struct {
		name               string
		lostOfFour         int // number of messages lost of every four
		minShare, maxShare float64
	}{{"isolated", 4, 0.7, 1}, {"leaders overloaded", 3, 0, 0.75}} {
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
			t.Errorf("%s: %.2f of the requests, far below the quotas, admitted; want %.2f to %.2f", c.name, share, c.minShare, c.maxShare)
		}
	}
}

// The rejection of a request to which no leader responds has the reason ReasonNoQuotaLeader only if the request could
// not be admitted without a lease. Otherwise it has the reason that applies at this gateway.
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

// Requests that a leader has queued when it is lost must be rejected for want of a quota leader, which passes soon, not
// for the customer's cap on attempts in flight, upon which a client waits for its own requests to end. With the
// leader alive the reason is the cap.
func TestRequestQueuedAtLostLeaderNamesTheLeader(t *testing.T) {
	const requests = 40
	for isLost, want := range map[bool]Reason{false: ReasonInFlightLimit, true: ReasonNoQuotaLeader} {
		fleet := newGatewayFleet(t, 60, testServers(20))
		c := fleet.gateways[0].addCustomer(customerKey("k"), fleet.gateways[0].plans["open"], 0, 60)
		leaders, standby := fleet.gateways[0].quotaLeaders(c, fleet.gateways[0].size)
		client := 0
		for client == leaders[0] || client == standby {
			client++
		}
		next := RequestID(0)
		send := func(time.Duration) {
			if next < requests {
				next++
				fleet.request(client, next, "k", "open", "safe", 60)
			}
		}
		fleet.advance(requests*10*ms/2, send)
		var queued []RequestID
		for _, r := range fleet.gateways[client].leases.pending {
			if r.lease.queuedAtLeader && r.lease.key.gateway == leaders[0] {
				queued = append(queued, r.id)
			}
		}
		fleet.isLost = func(from, to int) bool { return isLost && (to == leaders[0] || from == leaders[0]) }
		fleet.advance(2*time.Second, send)
		counts := map[Reason]int{}
		for _, id := range queued {
			if reason, isRejected := fleet.rejections[id]; isRejected {
				counts[reason]++
			}
		}
		if counts[want] == 0 || len(counts) > 1 {
			t.Errorf("leader lost: %v; rejections of %d queued requests by reason: %v, want %v", isLost, len(queued), counts, want)
		}
	}
}

// The fill of a bucket is decoded to what was encoded, even if its burst is less than a unit.
func TestSmallBucketFillRoundTrips(t *testing.T) {
	for _, burst := range []float64{0.25, 0.9, 1, 20} {
		c := &customer{plan: &customerPlan{Plan: Plan{Rate: 1, Burst: burst}}, tokens: burst / 2}
		if got := decodeFill(c.fillByte(), burst); got < 0.49*burst || got > 0.51*burst {
			t.Errorf("the fill of a half full bucket of %v units was decoded to %v units", burst, got)
		}
	}
	withoutRate := &customer{plan: &customerPlan{}}
	if got := withoutRate.fillByte(); got != 0 {
		t.Errorf("fill byte %v without a rate quota, want 0", got)
	}
}

// In leader mode a request of more units than a lease request can carry is rejected. Otherwise the leader would
// charge it less than its units.
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
			t.Errorf("%v units led to %+v", units, g.actions)
		}
	}
}
