package policy

import (
	"time"
)

// CustomerSnapshot is what outlives a process of a customer whose store is not full.
type CustomerSnapshot struct {
	Key           uint64  `json:"Key"`
	Plan          string  `json:"Plan"`
	FirstGateway  int     `json:"First"`
	GatewaySpread int     `json:"Spread"`
	Tokens        float64 `json:"Store"` // units
}

// RestoreSnapshot brings back what an earlier process of this gateway remembered, Age ago.
// It comes before any request.
type RestoreSnapshot struct {
	Age       time.Duration
	Customers []CustomerSnapshot
}

func (RestoreSnapshot) event() {}

// SaveSnapshot appends what is to outlive the process, of at most so many customers from
// a place on; next is the place to go on from, 0 where that was all. It changes
// nothing.
func (g *Gateway) SaveSnapshot(now time.Duration, from, most int, out []CustomerSnapshot) (
	list []CustomerSnapshot, next int) {
	to := min(len(g.customerRing), from+most)
	for _, c := range g.customerRing[min(from, to):to] {
		store := min(c.plan.Burst, c.tokens+c.plan.Rate*max(0, now-c.refilledAt).Seconds())
		if c.plan.Rate > 0 && store < c.plan.Burst-1 {
			m := CustomerSnapshot{Key: c.key, Plan: c.plan.Name, FirstGateway: c.firstGateway,
				GatewaySpread: c.requestedSpread, Tokens: store}
			out = append(out, m)
		}
	}
	if to == len(g.customerRing) {
		to = 0
	}
	return out, to
}

func (g *Gateway) handleRestoreSnapshot(ev RestoreSnapshot) {
	for _, m := range ev.Customers {
		plan := g.plans[m.Plan]
		if plan == nil || g.customers[m.Key] != nil || m.FirstGateway < 0 {
			continue
		}
		c := g.addCustomer(m.Key, plan, m.FirstGateway, m.GatewaySpread)
		c.lastRequestAt = g.now
		c.restoreTokens(m.Tokens, max(0, ev.Age))
	}
}

// restoreTokens takes a customer's store as it was some time before this process. It has filled up
// since, but for what others passed, who will tell. Guards against a quota granted twice after restarts.
func (c *customer) restoreTokens(store float64, age time.Duration) {
	c.tokens = min(c.tokens, max(0, store)+c.plan.Rate*age.Seconds())
}
