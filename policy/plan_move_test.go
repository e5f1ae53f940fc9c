package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// planMove is a customer of a fleet whose requests name a plan without quotas or one with a hard ceiling.
// Whatever the order, the attempts of the requests that name the second one must fit one bucket of its ceiling.
type planMove struct {
	*gatewayFleet
	ceiling  Plan
	rng      *rand.Rand
	plans    map[RequestID]string
	requests int
}

// freePlan is the name of a plan without quotas.
const freePlan = "free"

func newPlanMove(t *testing.T, gateways int, ceiling string) *planMove {
	t.Helper()
	f := &planMove{
		gatewayFleet: newGatewayFleet(t, gateways, testServers(40)),
		rng:          rand.New(rand.NewPCG(uint64(gateways), 51)),
		plans:        map[RequestID]string{},
	}
	for _, p := range baseSettings().Plans {
		if p.Name == ceiling {
			f.ceiling = p
		}
	}
	f.advance(10*time.Second, nil) // until the shares of the ceiling, which are empty at the start, are full
	return f
}

// load sends requests at several times the rate of the ceiling to gateways drawn at random, for a time. plan
// returns the plan that a gateway's next request names.
func (f *planMove) load(duration time.Duration, plan func(gateway int) string) {
	due := 0.0
	f.advance(duration, func(time.Duration) {
		for due += ceilingDemand * f.ceiling.HardRate / 100; due >= 1; due-- {
			gateway := f.rng.IntN(len(f.gateways))
			f.requests++
			id := RequestID(f.requests)
			f.plans[id] = plan(gateway)
			f.request(gateway, id, testCustomer, f.plans[id], "safe", len(f.gateways))
		}
	})
}

func always(plan string) func(int) string { return func(int) string { return plan } }

// check fails the test if the attempts under the ceiling exceed its bucket at any time, or if less than a share of
// what the ceiling permits in a time of load was served.
func (f *planMove) check(loadTime time.Duration, minServedShare float64) {
	f.t.Helper()
	level, lowest, last, served := f.ceiling.HardBurst, f.ceiling.HardBurst, time.Duration(0), 0.0
	for i, attempt := range f.attempts {
		if f.plans[attempt.ID] != f.ceiling.Name {
			continue
		}
		level = min(f.ceiling.HardBurst, level+f.ceiling.HardRate*(f.startedAt[i]-last).Seconds()) - 1
		last = f.startedAt[i]
		lowest = min(lowest, level)
		served++
	}
	if slack := f.ceiling.HardRate * ceilingDelay.Seconds(); lowest < -slack-1e-9 {
		f.t.Errorf("the ceiling's bucket of %v units fell to %.2f, want at least %.2f", f.ceiling.HardBurst, lowest, -slack)
	}
	if permitted := f.ceiling.HardRate * loadTime.Seconds(); served < minServedShare*permitted {
		f.t.Errorf("%.0f requests were served under the ceiling, want at least %.0f", served, minServedShare*permitted)
	}
}

// Guards against a customer that passes a hard ceiling because the plan of its first request stays: moves to the
// ceiling, moves back and again, at once or at each gateway at another time, and requests that name both plans in turn.
func TestCeilingHoldsForCustomerThatMovesBetweenPlans(t *testing.T) {
	for _, gateways := range []int{1, 2, 3, 5, 8, 13, 20, 24, 30} {
		for _, ceiling := range []string{"hard", "hard and open", "hard and rate"} {
			for name, run := range map[string]func(*planMove){
				"moves to the ceiling": func(f *planMove) {
					f.load(3*time.Second, always(freePlan))
					f.load(8*time.Second, always(ceiling))
				},
				"moves back and again": func(f *planMove) {
					for range 8 {
						f.load(time.Second, always(ceiling))
						f.load(200*ms, always(freePlan))
					}
				},
				"gateways learn of the move one after the other": func(f *planMove) {
					moved := 0
					for ; moved < gateways; moved++ {
						f.load(100*ms, func(gateway int) string {
							if gateway < moved {
								return ceiling
							}
							return freePlan
						})
					}
					f.load(8*time.Second, always(ceiling))
				},
				"both plans in turn": func(f *planMove) {
					f.load(16*time.Second, func(int) string { return []string{freePlan, ceiling}[f.requests%2] })
				},
			} {
				t.Run(fmt.Sprintf("%d gateways, %s, %s", gateways, ceiling, name), func(t *testing.T) {
					t.Parallel()
					f := newPlanMove(t, gateways, ceiling)
					run(f)
					f.check(8*time.Second, 0.5)
				})
			}
		}
	}
}

// Guards against a queued request that leaves its queue under the plan to which its customer has moved meanwhile.
func TestQueuedRequestKeepsItsPlan(t *testing.T) {
	s := baseSettings()
	s.Gateways = 1
	h := newHarness(t, s, testServers(8))
	h.advance(10 * time.Second)
	var attempts []StartAttempt
	for range 4 {
		h.lastID++
		attempts = append(attempts, actionsOf[StartAttempt](h.handle(Request{ID: h.lastID, Customer: testCustomer, Plan: "open",
			Class: "safe", Units: 1, Remaining: 3 * time.Second, GatewaySpread: 1}))...)
	}
	if len(attempts) != 2 {
		t.Fatalf("%d attempts under a cap of 2", len(attempts))
	}
	h.startAttempt("safe", freePlan)
	if more := actionsOf[StartAttempt](h.advance(20 * ms)); len(more) != 0 {
		t.Errorf("%d queued requests passed the cap of their plan after the move", len(more))
	}
	if more := actionsOf[StartAttempt](h.finishAttempt(attempts[0], 0, OK)); len(more) != 1 {
		t.Errorf("%d queued requests were released by an attempt that ended, want 1", len(more))
	}
}

// A plan that a customer has left is forgotten once its buckets are full, so that load reports include the customer.
func TestFormerPlanIsForgotten(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(8))
	h.admitUnits(30, "hard")
	h.admitUnits(5, "rate")
	key := customerKey(testCustomer)
	if c := h.gateway.customers.find(key, "rate"); c == nil || !c.hashCollides || h.gateway.customers.find(key, "hard") == nil {
		t.Fatal("both plans must be known after the move")
	}
	for range 50 {
		h.advance(time.Second)
		h.admitUnits(1, "rate")
	}
	if c := h.gateway.customers.find(key, "rate"); c == nil || c.hashCollides || h.gateway.customers.find(key, "hard") != nil {
		t.Error("the former plan is still known")
	}
	if n := len(h.gateway.customers.list); n != 1 {
		t.Errorf("%d customers in the list, want 1", n)
	}
}
