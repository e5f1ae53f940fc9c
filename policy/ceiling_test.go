package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// ceilingDemand is how many times its ceiling a customer requests.
const ceilingDemand = 5

// ceilingDelay is the time by which an attempt may come later than the grant of its lease: the bucket of the
// whole fleet may be exceeded by what the ceiling lets pass in this time.
const ceilingDelay = 250 * ms

// ceilingFleet is a fleet that receives requests of one customer far above its ceiling. Whatever else happens,
// the attempts must fit one bucket.
type ceilingFleet struct {
	*gatewayFleet
	plan           Plan
	units          float64 // of each request
	spread         int
	clientGateways int // clients use the gateways below this number, in turn
	dueUnits       float64
	requested      int
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

// load sends the requests that are due in one step of 10 ms.
func (f *ceilingFleet) load(time.Duration) {
	f.loadDuration += 10 * ms
	for f.dueUnits += ceilingDemand * f.plan.HardRate / 100; f.dueUnits >= f.units; f.dueUnits -= f.units {
		f.request((f.requested + 1) * 7 % f.clientGateways)
	}
}

// request sends a gateway a request.
func (f *ceilingFleet) request(gateway int) {
	f.requested++
	f.handle(gateway, Request{ID: RequestID(f.requested), Customer: testCustomer, Plan: f.plan.Name, Class: "safe",
		Units: f.units, Remaining: 2 * time.Second, GatewaySpread: f.spread})
}

// resize has the gateways hear of a new size one after the other, in two stages.
func (f *ceilingFleet) resize(to int, between time.Duration, step func(time.Duration)) {
	before := f.gateways[0].size.gateways
	for _, previous := range []int{before, ResizeComplete} {
		for i := range f.gateways {
			f.handle(i, FleetResized{Gateways: to, PreviousSize: previous})
			f.advance(between, step)
		}
	}
}

// restart replaces a gateway by a new process that knows what the snapshot of the one before holds.
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

// holders are the gateways that hold a share of the ceiling in a fleet of a size.
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

// burst sends each of some gateways more requests than the ceiling's bucket holds.
func (f *ceilingFleet) burst(gateways []int) {
	for _, i := range gateways {
		for range int(2 * f.plan.HardBurst / f.units) {
			f.request(i)
		}
	}
}

// leader is the number of the customer's quota leader.
func (f *ceilingFleet) leader() int {
	g := f.gateways[0]
	return f.shareHolders(g.size.gateways)[0]
}

// check compares the attempts with one bucket for the whole fleet, and what was served with the least share of
// the ceiling.
func (f *ceilingFleet) check(minServedShare float64) {
	f.t.Helper()
	level, lowest, last := f.plan.HardBurst, f.plan.HardBurst, 10*time.Second
	for _, at := range f.startedAt {
		level = min(f.plan.HardBurst, level+f.plan.HardRate*(at-last).Seconds()) - f.units
		last = at
		lowest = min(lowest, level)
	}
	if slack := f.plan.HardRate * ceilingDelay.Seconds(); lowest < -slack-1e-9 {
		f.t.Errorf("the ceiling's bucket of %v fell to %.2f, %.2f allowed", f.plan.HardBurst, lowest, -slack)
	}
	available := f.plan.HardRate * f.loadDuration.Seconds() // the shares of the bucket are empty at the start
	if served := float64(len(f.attempts)) * f.units / available; served < minServedShare {
		f.t.Errorf("%.2f of what the ceiling lets pass was served, at least %.2f wanted", served, minServedShare)
	}
}

// ceilingCases are what happens to a fleet in TestCeilingAloneHoldsInFleets.
var ceilingCases = []struct {
	name     string
	gateways int
	least    float64 // of the ceiling
	play     func(*ceilingFleet)
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
	{"a third cut off", 60, 0.5, func(f *ceilingFleet) {
		f.isLost = func(from, to int) bool { return (from < 20) != (to < 20) }
		f.advance(20*time.Second, f.load)
	}},
	{"one message in four lost", 60, 0.7, func(f *ceilingFleet) {
		sent := 0
		f.isLost = func(int, int) bool { sent++; return sent%4 == 0 }
		f.advance(20*time.Second, f.load)
	}},
	{"leader silent", 60, 0.2, func(f *ceilingFleet) {
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

// A customer under a ceiling alone is admitted no more than the ceiling by the whole fleet, and is served where
// messages arrive.
func TestCeilingAloneHoldsInFleets(t *testing.T) {
	for _, c := range ceilingCases {
		t.Run(c.name, func(t *testing.T) {
			f := newCeilingFleet(t, c.gateways, "hard", 1)
			c.play(f)
			f.advance(time.Second, nil)
			f.check(c.least)
			if len(f.attempts)+f.rejected != f.requested {
				t.Errorf("%d admitted and %d rejected of %d", len(f.attempts), f.rejected, f.requested)
			}
		})
	}
}

// Gateways that get a larger share of a ceiling by a change of the fleet start with it empty, also for customers
// that they have not seen: those who held the share before may have used it up.
func TestCeilingShareIsEmptyAfterResize(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after int
	}{
		{"into leader mode", 20, 60},
		{"out of leader mode", 60, 20},
		{"growing", 4, 8},
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

// Requests of fractions of a unit, and of many units, count in full against the ceiling of the whole fleet and
// against the rate quota.
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

// A leader that restarts again and again, with the snapshot of its rate quotas, grants no more than the ceiling.
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
