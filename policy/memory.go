package policy

import "time"

// Memory is what outlives a process of a customer whose store is not full.
type Memory struct {
	Key    uint64  `json:"Key"`
	Plan   string  `json:"Plan"`
	First  int     `json:"First"`
	Spread int     `json:"Spread"`
	Store  float64 `json:"Store"` // units
}

// Recall brings back what an earlier process of this gateway remembered, Age ago.
// It comes before any request.
type Recall struct {
	Age       time.Duration
	Customers []Memory
}

func (Recall) event() {}

// Remember appends what is to outlive the process, of at most so many customers from
// a place on; next is the place to go on from, 0 where that was all. It changes
// nothing.
func (g *Gateway) Remember(now time.Duration, from, most int, out []Memory) (list []Memory, next int) {
	to := min(len(g.ring), from+most)
	for _, c := range g.ring[min(from, to):to] {
		store := min(c.plan.Burst, c.store+c.plan.Rate*max(0, now-c.at).Seconds())
		if c.plan.Rate > 0 && store < c.plan.Burst-1 {
			m := Memory{Key: c.key, Plan: c.plan.Name, First: c.first, Spread: c.nodes, Store: store}
			out = append(out, m)
		}
	}
	if to == len(g.ring) {
		to = 0
	}
	return out, to
}

func (g *Gateway) onRecall(ev Recall) {
	for _, m := range ev.Customers {
		plan := g.plans[m.Plan]
		if plan == nil || g.customers[m.Key] != nil || m.First < 0 {
			continue
		}
		c := g.account(m.Key, plan, m.First, m.Spread)
		c.seen = g.now
		c.recall(m.Store, max(0, ev.Age))
	}
}
