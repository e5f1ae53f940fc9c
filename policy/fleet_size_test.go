package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// ceilingShare is the part of a customer's ceiling that a gateway may grant.
func ceilingShare(g *Gateway, c *customer) float64 {
	if g.previousSize.gateways != 0 {
		return 1 / c.ceilingDivisor
	}
	return 1 / g.ceilingDivisorIn(c, g.size)
}

// A fleet changes its size, into leader mode and out of it, again and again; each gateway hears of it at its own
// time. At no moment do the shares of any ceiling sum to more than the whole, and once all have heard they sum
// to it again, but for the standby leader's where there is none.
func TestCeilingSharesNeverExceedTheWhole(t *testing.T) {
	for seed := range uint64(60) {
		f := newResizingFleet(t, seed)
		f.check(true, "at first")
		for change := range 5 {
			f.resize(change, 1+f.rng.IntN(14))
		}
	}
}

// resizingFleet is a fleet with some customers, whose gateways hear of a new size one after the other.
type resizingFleet struct {
	t                 *testing.T
	seed              uint64
	rng               *rand.Rand
	messagesPerSecond float64
	size              int
	gateways          map[int]*Gateway
	customers         []string
	spreads           map[string][2]int // first gateway, and number of gateways
}

func newResizingFleet(t *testing.T, seed uint64) *resizingFleet {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	f := &resizingFleet{
		t:                 t,
		seed:              seed,
		rng:               rng,
		messagesPerSecond: []float64{20, 200}[rng.IntN(2)], // with 20, fleets of 9 are in leader mode
		size:              1 + rng.IntN(14),
		gateways:          map[int]*Gateway{},
		customers:         []string{"a", "b", "c", "d", "e", "f"},
		spreads:           map[string][2]int{},
	}
	for _, name := range f.customers {
		f.spreads[name] = [2]int{rng.IntN(6), 1 + rng.IntN(16)}
	}
	for i := range f.size {
		f.gateways[i] = newFleetMember(t, i, f.size, f.messagesPerSecond)
	}
	return f
}

func (f *resizingFleet) customerAt(g *Gateway, name string) *customer {
	if c := g.customers.byKey[customerKey(name)]; c != nil {
		return c
	}
	return g.addCustomer(customerKey(name), g.plans["p"], f.spreads[name][0], f.spreads[name][1])
}

// check sums the shares of each ceiling. A customer of one gateway has no standby leader: that share is nobody's.
func (f *resizingFleet) check(complete bool, stage string) {
	f.t.Helper()
	for _, name := range f.customers {
		sum := 0.0
		for _, g := range f.gateways {
			sum += ceilingShare(g, f.customerAt(g, name))
		}
		if sum > 1+1e-9 || complete && sum < 1-standbyCeilingShare-1e-9 {
			f.t.Fatalf("seed %d, %s: the shares of %s sum to %v", f.seed, stage, name, sum)
		}
	}
}

func (f *resizingFleet) resize(change, size int) {
	f.t.Helper()
	before := f.size
	for i := before; i < size; i++ { // those that join start in the middle of the change
		f.gateways[i] = newFleetMember(f.t, i, size, f.messagesPerSecond)
		joined := FleetResized{Gateways: size, PreviousSize: []int{before, -1}[f.rng.IntN(2)]}
		f.gateways[i].Handle(0, joined, nil)
	}
	for _, i := range f.rng.Perm(before) {
		f.gateways[i].Handle(time.Second, FleetResized{Gateways: size, PreviousSize: before}, nil)
		f.check(false, fmt.Sprint("change ", change, " from ", before, " to ", size, ", hearing"))
	}
	for i := size; i < before; i++ {
		delete(f.gateways, i)
	}
	for _, i := range f.rng.Perm(size) {
		f.gateways[i].Handle(2*time.Second, FleetResized{Gateways: size}, nil)
		f.check(false, fmt.Sprint("change ", change, ", over at some"))
	}
	f.check(true, fmt.Sprint("change ", change, " over"))
	f.size = size
}

// What a gateway knew carries over a change; requests that are queued, or wait for a lease, are answered all the
// same.
func TestStateCarriesOverFleetResizes(t *testing.T) {
	driver := &memberDriver{gateway: newFleetMember(t, 0, 3, 200), pending: map[RequestID]bool{}}
	g := driver.gateway
	admitted := 0
	for i := range 10 {
		now := 10*time.Second + time.Duration(i)*time.Millisecond
		admitted += len(actionsOf[StartAttempt](driver.request(now, "c", 0, 3)))
	}
	c := g.customers.byKey[customerKey("c")]
	tokens := c.tokens
	g.Handle(10*time.Second+20*time.Millisecond, FleetResized{Gateways: 4, PreviousSize: 3}, nil)
	if c.tokens < tokens || c.tokens > tokens+1 || c.admittedUnits != uint16(admitted) || len(c.peerViews) != 2 {
		t.Errorf("tokens %v, was %v; admitted %d of %d; %d views", c.tokens, tokens, c.admittedUnits, admitted, len(c.peerViews))
	}
	if c.ceilingDivisor != 3 {
		t.Errorf("share 1/%v", c.ceilingDivisor)
	}
	// Into leader mode and back, with requests that wait for a lease: each ends.
	driver.now = 11 * time.Second
	for _, n := range []int{400, 4, 400, 1, 4} {
		driver.resize(n)
		if len(driver.pending) > 0 {
			t.Fatalf("at %d gateways: %d requests without a response", n, len(driver.pending))
		}
	}
	if math.IsInf(c.ceilingDivisor, 1) || c.ceilingDivisor <= 0 {
		t.Errorf("share 1/%v", c.ceilingDivisor)
	}
}

// memberDriver drives one gateway of a fleet whose size changes, with servers that answer at once.
type memberDriver struct {
	gateway *Gateway
	now     time.Duration
	lastID  RequestID
	pending map[RequestID]bool // a final response
}

func (m *memberDriver) request(now time.Duration, customer string, firstGateway, spread int) []Action {
	m.lastID++
	return m.gateway.Handle(now, Request{ID: m.lastID, Customer: customer, Plan: "p", Class: "lookup", Units: 1,
		Remaining: 2 * time.Second, FirstGateway: firstGateway, GatewaySpread: spread}, nil)
}

// resize sends requests, changes the size and lets time go by until all are over.
func (m *memberDriver) resize(size int) {
	for range 20 {
		m.now += 5 * time.Millisecond
		m.pending[m.lastID+1] = true
		m.handleActions(m.request(m.now, fmt.Sprint("c", (m.lastID+1)%7), 2, 8))
	}
	m.handleActions(m.gateway.Handle(m.now, FleetResized{Gateways: size, PreviousSize: m.gateway.size.gateways}, nil))
	for range 100 {
		m.now += 25 * time.Millisecond
		m.handleActions(m.gateway.Handle(m.now, TimerFired{Token: tickTimer}, nil))
		m.handleActions(m.gateway.Handle(m.now, TimerFired{Token: leaseTimer}, nil))
	}
	m.handleActions(m.gateway.Handle(m.now, FleetResized{Gateways: size}, nil))
}

// settle strikes off the requests that are answered.
func (m *memberDriver) handleActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			delete(m.pending, a.ID)
			m.gateway.Handle(m.now, AttemptResult{ID: a.ID, Server: a.Server, Code: OK, Latency: time.Millisecond, Answered: true}, nil)
		case Reject:
			delete(m.pending, a.ID)
		case Fail:
			delete(m.pending, a.ID)
		}
	}
}
