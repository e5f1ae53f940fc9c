package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// ceilingDemand is a customer's demand as a multiple of its ceiling.
const ceilingDemand = 5

// ceilingDelay is the longest time from the grant of a lease to the start of its attempt. The attempts may exceed
// the bucket of the whole fleet by the units that it gains in this time.
const ceilingDelay = 250 * ms

// ceilingFleet is a fleet that receives far more requests of one customer than its ceiling permits. Under all
// conditions the attempts must fit one bucket of the ceiling's rate and burst.
type ceilingFleet struct {
	*gatewayFleet
	plan           Plan
	units          float64 // of each request
	spread         int
	clientGateways int     // clients send their requests to the gateways below this number, in turn
	dueUnits       float64 // units that are due and not yet requested
	requested      int     // number of requests sent
	loadDuration   time.Duration
}

func newCeilingFleet(t *testing.T, gateways int, plan string, units float64) *ceilingFleet {
	t.Helper()
	f := &ceilingFleet{
		gatewayFleet:   newGatewayFleet(t, gateways, testServers(40)),
		units:          units,
		spread:         gateways,
		clientGateways: gateways,
	}
	for _, p := range baseSettings().Plans {
		if p.Name == plan {
			f.plan = p
		}
	}
	return f
}

// load sends the requests that are due in one step of 10 ms of gatewayFleet.advance.
func (f *ceilingFleet) load(time.Duration) {
	f.loadDuration += 10 * ms
	for f.dueUnits += ceilingDemand * f.plan.HardRate / 100; f.dueUnits >= f.units; f.dueUnits -= f.units {
		f.request((f.requested + 1) * 7 % f.clientGateways)
	}
}

// request sends a gateway a request of the customer.
func (f *ceilingFleet) request(gateway int) {
	f.requested++
	f.handle(gateway, Request{ID: RequestID(f.requested), Customer: testCustomer, Plan: f.plan.Name, Class: "safe",
		Units: f.units, Remaining: 2 * time.Second, GatewaySpread: f.spread})
}

// resize sends the gateways the start of a change of size and then its end, to one gateway after the other with
// the given time between two of them.
func (f *ceilingFleet) resize(to int, between time.Duration, step func(time.Duration)) {
	before := f.gateways[0].size.gateways
	for _, previous := range []int{before, ResizeComplete} {
		for i := range f.gateways {
			f.handle(i, FleetResized{Gateways: to, PreviousSize: previous})
			f.advance(between, step)
		}
	}
}

// restart replaces a gateway with a new process that restores the snapshot of the old one.
func (f *ceilingFleet) restart(i int) {
	f.t.Helper()
	saved, _ := f.gateways[i].SaveSnapshot(f.now, 0, allQueued, nil)
	g, err := New(f.gateways[i].settings, uint64(f.requested)+1000)
	if err != nil {
		f.t.Fatal(err)
	}
	f.gateways[i] = g
	f.handle(i, RestoreSnapshot{Customers: saved})
	f.handle(i, EndpointUpdate{Kind: CachedUpdate, Servers: testServers(40)})
}

// shareHolders returns the gateways that hold a share of the ceiling in a fleet of the given size.
func (f *ceilingFleet) shareHolders(gateways int) []int {
	g := f.gateways[0]
	size := g.fleetSizeOf(gateways)
	c := &customer{key: customerKey(testCustomer), plan: g.plans[f.plan.Name], requestedSpread: f.spread}
	leaders, standby := g.quotaLeaders(c, size)
	if size.leaderMode {
		leaders = append(leaders, standby)
	}
	return leaders
}

// burst sends each of the gateways requests of twice the units that the ceiling's bucket holds.
func (f *ceilingFleet) burst(gateways []int) {
	for _, i := range gateways {
		for range int(2 * f.plan.HardBurst / f.units) {
			f.request(i)
		}
	}
}

// leader returns the number of the customer's quota leader.
func (f *ceilingFleet) leader() int {
	g := f.gateways[0]
	return f.shareHolders(g.size.gateways)[0]
}

// check fails the test if the attempts exceed one bucket for the whole fleet, or if less than minServedShare of
// the units that the ceiling permits was served.
func (f *ceilingFleet) check(minServedShare float64) {
	f.t.Helper()
	level, lowest, last := f.plan.HardBurst, f.plan.HardBurst, 10*time.Second
	for _, at := range f.startedAt {
		level = min(f.plan.HardBurst, level+f.plan.HardRate*(at-last).Seconds()) - f.units
		last = at
		lowest = min(lowest, level)
	}
	if slack := f.plan.HardRate * ceilingDelay.Seconds(); lowest < -slack-1e-9 {
		f.t.Errorf("the ceiling's bucket of %v units fell to %.2f, want at least %.2f", f.plan.HardBurst, lowest, -slack)
	}
	available := f.plan.HardRate * f.loadDuration.Seconds() // without the burst: the shares of the bucket are empty at the start
	if served := float64(len(f.attempts)) * f.units / available; served < minServedShare {
		f.t.Errorf("%.2f of the units that the ceiling permits was served, want at least %.2f", served, minServedShare)
	}
}

// ceilingCases are the fleets and faults of TestCeilingAloneHoldsInFleets.
var ceilingCases = []struct {
	name     string
	gateways int
	minShare float64 // of the ceiling, that must be served
	run      func(*ceilingFleet)
}{
	{"full mesh", 3, 0.7, func(f *ceilingFleet) { f.advance(20*time.Second, f.load) }},
	{"24 gateways", 24, 0.7, func(f *ceilingFleet) { f.advance(20*time.Second, f.load) }},
	{"60 gateways", 60, 0.7, func(f *ceilingFleet) { f.advance(20*time.Second, f.load) }},
	{"150 gateways", 150, 0.7, func(f *ceilingFleet) { f.advance(20*time.Second, f.load) }},
	{"clients at three of 60", 60, 0.7, func(f *ceilingFleet) {
		f.spread, f.clientGateways = 3, 3
		f.advance(20*time.Second, f.load)
	}},
	{"clients beyond the customer's three gateways", 60, 0.5, func(f *ceilingFleet) {
		f.spread = 3
		f.advance(20*time.Second, f.load)
	}},
	{"clients beyond the customer's gateways in full mesh", 6, 0.3, func(f *ceilingFleet) {
		f.spread = 3
		f.advance(20*time.Second, f.load)
	}},
	{"all messages lost", 60, 0, func(f *ceilingFleet) {
		f.isLost = func(int, int) bool { return true }
		f.advance(20*time.Second, f.load)
	}},
	{"a third partitioned", 60, 0.5, func(f *ceilingFleet) {
		f.isLost = func(from, to int) bool { return (from < 20) != (to < 20) }
		f.advance(20*time.Second, f.load)
	}},
	{"one message in four lost", 60, 0.7, func(f *ceilingFleet) {
		sent := 0
		f.isLost = func(int, int) bool { sent++; return sent%4 == 0 }
		f.advance(20*time.Second, f.load)
	}},
	{"leader partitioned", 60, 0.2, func(f *ceilingFleet) {
		f.advance(5*time.Second, f.load)
		leader := f.leader()
		f.isLost = func(from, to int) bool { return from == leader || to == leader }
		f.advance(15*time.Second, f.load)
	}},
	{"leader restarted", 60, 0.5, func(f *ceilingFleet) {
		for range 10 {
			f.advance(2*time.Second, f.load)
			f.restart(f.leader())
		}
	}},
	{"into leader mode and back", 60, 0.2, func(f *ceilingFleet) {
		for _, size := range []int{20, 60, 8, 60} {
			f.advance(3*time.Second, f.load)
			f.resize(size, 10*ms, f.load)
			f.clientGateways = size
		}
		f.advance(3*time.Second, f.load)
	}},
	{"clients at gateways that left, of 60", 60, 0.2, func(f *ceilingFleet) {
		f.advance(3*time.Second, f.load)
		f.resize(20, 10*ms, f.load)
		f.advance(10*time.Second, f.load)
		f.resize(8, 10*ms, f.load)
		f.advance(10*time.Second, f.load)
	}},
	{"clients at gateways that left, of 24", 24, 0.2, func(f *ceilingFleet) {
		f.advance(3*time.Second, f.load)
		f.resize(8, 10*ms, f.load)
		f.advance(20*time.Second, f.load)
	}},
}

// The plan of the customer has a hard ceiling and no other quota. The whole fleet together admits no more than
// the ceiling and, unless all messages are lost, serves a part of it.
func TestCeilingAloneHoldsInFleets(t *testing.T) {
	for _, c := range ceilingCases {
		t.Run(c.name, func(t *testing.T) {
			f := newCeilingFleet(t, c.gateways, "hard", 1)
			c.run(f)
			f.advance(time.Second, nil)
			f.check(c.minShare)
			if len(f.attempts)+f.rejected != f.requested {
				t.Errorf("%d requests admitted and %d rejected of %d", len(f.attempts), f.rejected, f.requested)
			}
		})
	}
}

// Gateways whose share of a ceiling grows when the fleet is resized start with an empty share, also for customers
// that are new to them: the gateways that held the share before may have used it up.
func TestCeilingShareIsEmptyAfterResize(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after int
	}{
		{"into leader mode", 20, 60},
		{"out of leader mode", 60, 20},
		{"within full mesh", 4, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCeilingFleet(t, max(c.before, c.after), "hard", 1)
			f.spread = max(c.before, c.after)
			f.resize(c.before, 0, nil)
			f.advance(time.Minute, nil)
			newHolders := f.shareHolders(c.after)
			f.burst(slices.DeleteFunc(f.shareHolders(c.before), func(i int) bool { return slices.Contains(newHolders, i) }))
			f.resize(c.after, 0, nil)
			f.burst(newHolders)
			f.check(0)
		})
	}
}

// Requests of a fraction of a unit or of several units count in full against the ceiling of the whole fleet, with
// and without a rate quota or a cap beside it.
func TestCeilingCountsFractionsOfAUnit(t *testing.T) {
	for _, gateways := range []int{3, 60} {
		for _, plan := range []string{"hard", "hard and rate", "hard and open"} {
			for _, units := range []float64{0.1, 0.3, 0.5, 0.7, 1, 1.4, 1.5, 3.99} {
				t.Run(fmt.Sprintf("%d gateways, %s, %v units", gateways, plan, units), func(t *testing.T) {
					f := newCeilingFleet(t, gateways, plan, units)
					f.advance(10*time.Second, f.load)
					f.advance(time.Second, nil)
					f.check(0.55)
				})
			}
		}
	}
}

// The snapshot of a leader holds its rate quotas, not the ceilings. A leader that restarts repeatedly still grants
// no more than the ceiling.
func TestCeilingHoldsOverRestartsWithSnapshots(t *testing.T) {
	for _, gateways := range []int{3, 60} {
		f := newCeilingFleet(t, gateways, "hard and rate", 1)
		for range 10 {
			f.advance(2*time.Second, f.load)
			f.restart(f.leader())
		}
		f.check(0.3)
	}
}
