package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// ceilingShare is the part of the ceiling of a customer that a gateway may grant.
func ceilingShare(g *Gateway, c *customer) float64 {
	if g.previousSize.gateways != 0 {
		return 1 / c.ceilingDivisor
	}
	return 1 / g.ceilingDivisorIn(c, g.size)
}

// A fleet changes its size, over the border between reports from all to all and
// roots or not, again and again; each gateway hears of it at its own time. At no
// moment do the parts of any ceiling sum to more than the whole, and once all have
// heard they sum to it again, but for the deputy's where there is none.
func TestCeilingSharesNeverExceedTheWhole(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		mail := []float64{20, 200}[rng.IntN(2)] // with 20, fleets of 9 have roots
		n := 1 + rng.IntN(14)
		all := map[int]*Gateway{}
		names := []string{"a", "b", "c", "d", "e", "f"}
		spreads := map[string][2]int{}
		for _, name := range names {
			spreads[name] = [2]int{rng.IntN(6), 1 + rng.IntN(16)}
		}
		enter := func(g *Gateway, name string) *customer {
			if c := g.customers.byKey[customerKey(name)]; c != nil {
				return c
			}
			return g.addCustomer(customerKey(name), g.plans["p"], spreads[name][0], spreads[name][1])
		}
		sums := func(want bool, what string) {
			t.Helper()
			for _, name := range names {
				sum := 0.0
				for _, g := range all {
					sum += ceilingShare(g, enter(g, name))
				}
				// A customer of one gateway has no deputy: that part is nobody's.
				if sum > 1+1e-9 || want && sum < 1-standbyCeilingShare-1e-9 {
					t.Fatalf("seed %d, %s: the parts of %s sum to %v", seed, what, name, sum)
				}
			}
		}
		for i := range n {
			all[i] = newFleetMember(t, i, n, mail)
		}
		sums(true, "at first")
		for change := range 5 {
			to := 1 + rng.IntN(14)
			for i := n; i < to; i++ { // those that join start in the middle of the change
				all[i] = newFleetMember(t, i, to, mail)
				all[i].Handle(0, FleetResized{Gateways: to, PreviousSize: []int{n, -1}[rng.IntN(2)]}, nil)
			}
			for _, i := range rng.Perm(n) {
				all[i].Handle(time.Second, FleetResized{Gateways: to, PreviousSize: n}, nil)
				sums(false, fmt.Sprint("change ", change, " from ", n, " to ", to, ", hearing"))
			}
			for i := to; i < n; i++ {
				delete(all, i)
			}
			for _, i := range rng.Perm(to) {
				all[i].Handle(2*time.Second, FleetResized{Gateways: to}, nil)
				sums(false, fmt.Sprint("change ", change, ", over at some"))
			}
			sums(true, fmt.Sprint("change ", change, " over"))
			n = to
		}
	}
}

// What a gateway knew carries over a change; requests that are held or asked for
// are answered all the same.
func TestStateCarriesOverFleetResizes(t *testing.T) {
	g := newFleetMember(t, 0, 3, 200)
	id := RequestID(0)
	ask := func(now time.Duration) (sent, refused int) {
		id++
		for _, a := range g.Handle(now, Request{ID: id, Customer: "c", Plan: "p", Class: "lookup", Units: 1, Remaining: 2 * time.Second,
			FirstGateway: 0, GatewaySpread: 3}, nil) {
			switch a.(type) {
			case StartAttempt:
				sent++
			case Reject:
				refused++
			}
		}
		return sent, refused
	}
	passed := 0
	for i := range 10 {
		s, _ := ask(10*time.Second + time.Duration(i)*time.Millisecond)
		passed += s
	}
	c := g.customers.byKey[customerKey("c")]
	store := c.tokens
	g.Handle(10*time.Second+20*time.Millisecond, FleetResized{Gateways: 4, PreviousSize: 3}, nil)
	if c.tokens < store || c.tokens > store+1 || c.admittedUnits != uint16(passed) || len(c.peerViews) != 2 {
		t.Errorf("store %v, was %v; passed %d of %d; %d views", c.tokens, store, c.admittedUnits, passed, len(c.peerViews))
	}
	if c.ceilingDivisor != 3 {
		t.Errorf("part 1/%v", c.ceilingDivisor)
	}
	// Into a fleet with roots and back, with requests out at roots: each ends.
	owed := map[RequestID]bool{}
	now := 11 * time.Second
	carry := func(acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case StartAttempt:
				delete(owed, a.ID)
				g.Handle(now, AttemptResult{ID: a.ID, Server: a.Server, Code: OK, Latency: time.Millisecond, Answered: true}, nil)
			case Reject:
				delete(owed, a.ID)
			case Fail:
				delete(owed, a.ID)
			}
		}
	}
	for _, n := range []int{400, 4, 400, 1, 4} {
		for range 20 {
			id++
			owed[id] = true
			now += 5 * time.Millisecond
			carry(g.Handle(now, Request{ID: id, Customer: fmt.Sprint("c", id%7), Plan: "p", Class: "lookup", Units: 1,
				Remaining: 2 * time.Second, FirstGateway: 2, GatewaySpread: 8}, nil))
		}
		carry(g.Handle(now, FleetResized{Gateways: n, PreviousSize: g.size.gateways}, nil))
		for range 100 {
			now += 25 * time.Millisecond
			carry(g.Handle(now, TimerFired{Token: "tick"}, nil))
			carry(g.Handle(now, TimerFired{Token: "ask"}, nil))
		}
		carry(g.Handle(now, FleetResized{Gateways: n}, nil))
		if len(owed) > 0 {
			t.Fatalf("at %d gateways: %d requests without an answer", n, len(owed))
		}
	}
	if math.IsInf(c.ceilingDivisor, 1) || c.ceilingDivisor <= 0 {
		t.Errorf("part 1/%v", c.ceilingDivisor)
	}
}
