package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// ceilingShare returns the share of a customer's ceiling that a gateway may grant.
func ceilingShare(g *Gateway, c *customer) float64 {
	if g.previousSize.gateways != 0 {
		return 1 / c.ceilingDivisor
	}
	return 1 / g.ceilingDivisorIn(c, g.size)
}

// A fleet is resized repeatedly, into leader mode and out of it, and its gateways receive each change one after the
// other. The shares of a ceiling never sum to more than 1. Once all gateways have received the end of the change they
// sum to 1 again, less the share of the standby leader if there is none.
func TestCeilingSharesNeverExceedTheWhole(t *testing.T) {
	for seed := range uint64(60) {
		f := newResizingFleet(t, seed)
		f.check(true, "before all changes")
		for change := range 5 {
			f.resize(change, 1+f.rng.IntN(14))
		}
	}
}

// resizingFleet is a fleet with some customers whose gateways receive a new size one after the other.
type resizingFleet struct {
	t                 *testing.T
	seed              uint64
	rng               *rand.Rand
	messagesPerSecond float64
	size              int
	gateways          map[int]*Gateway
	customers         []string
	spreads           map[string][2]int // by customer: first gateway and number of gateways
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

// check fails the test if the shares of a ceiling sum to more than 1 or, between changes, to less than 1 without
// the share of the standby leader. A customer of one gateway has no standby leader, so that share is unused.
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
	for i := before; i < size; i++ { // the gateways that join start during the change
		f.gateways[i] = newFleetMember(f.t, i, size, f.messagesPerSecond)
		joined := FleetResized{Gateways: size, PreviousSize: []int{before, -1}[f.rng.IntN(2)]}
		f.gateways[i].Handle(0, joined, nil)
	}
	for _, i := range f.rng.Perm(before) {
		f.gateways[i].Handle(time.Second, FleetResized{Gateways: size, PreviousSize: before}, nil)
		f.check(false, fmt.Sprint("change ", change, " from ", before, " to ", size, ", change received by some"))
	}
	for i := size; i < before; i++ {
		delete(f.gateways, i)
	}
	for _, i := range f.rng.Perm(size) {
		f.gateways[i].Handle(2*time.Second, FleetResized{Gateways: size}, nil)
		f.check(false, fmt.Sprint("change ", change, ", end received by some"))
	}
	f.check(true, fmt.Sprint("change ", change, ", end received by all"))
	f.size = size
}

// A gateway keeps the buckets and totals of its customers when the fleet is resized. Requests that are queued or
// wait for a lease get a final response as usual.
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
		t.Errorf("tokens %v, before the change %v; running total %d, want %d; %d peer views, want 2", c.tokens, tokens, c.admittedUnits, admitted, len(c.peerViews))
	}
	if c.ceilingDivisor != 3 {
		t.Errorf("share of the ceiling 1/%v, want 1/3", c.ceilingDivisor)
	}
	// Into leader mode and back, with requests that wait for a lease: each gets a response.
	driver.now = 11 * time.Second
	for _, n := range []int{400, 4, 400, 1, 4} {
		driver.resize(n)
		if len(driver.pending) > 0 {
			t.Fatalf("resized to %d gateways: %d requests without a response", n, len(driver.pending))
		}
	}
	if math.IsInf(c.ceilingDivisor, 1) || c.ceilingDivisor <= 0 {
		t.Errorf("share of the ceiling 1/%v, want a finite one above 0", c.ceilingDivisor)
	}
}

// memberDriver drives one gateway of a fleet whose size changes, with servers that respond at once.
type memberDriver struct {
	gateway *Gateway
	now     time.Duration
	lastID  RequestID
	pending map[RequestID]bool // requests without a final response
}

func (m *memberDriver) request(now time.Duration, customer string, firstGateway, spread int) []Action {
	m.lastID++
	return m.gateway.Handle(now, Request{ID: m.lastID, Customer: customer, Plan: "p", Class: "lookup", Units: 1,
		Remaining: 2 * time.Second, FirstGateway: firstGateway, GatewaySpread: spread}, nil)
}

// resize sends requests, changes the size of the fleet, and moves the time on until all requests must have ended.
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

// handleActions reports the attempts as successful, and removes the requests with a final response from pending.
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
