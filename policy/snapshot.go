package policy

import "time"

// CustomerSnapshot is the stored state of a customer's rate quota whose bucket is not full. Its JSON form
// is stored on disk, so the JSON field names must not change.
type CustomerSnapshot struct {
	Key           uint64  `json:"Key"`    // hash of the customer's name
	Plan          string  `json:"Plan"`   // Plan.Name
	FirstGateway  int     `json:"First"`  // as Request.FirstGateway
	GatewaySpread int     `json:"Spread"` // as Request.GatewaySpread
	Tokens        float64 `json:"Store"`  // tokens in the bucket, in units
}

// RestoreSnapshot restores the snapshots that SaveSnapshot returned in an earlier process of this gateway,
// Age ago. The caller should send it before any request: customers that are already known under the plan,
// or whose plan is not in the settings, are skipped. Without it a quota may be granted a second time after
// a restart.
type RestoreSnapshot struct {
	Age       time.Duration // below 0 counts as 0
	Customers []CustomerSnapshot
}

func (RestoreSnapshot) event() {}

// SaveSnapshot appends to out the snapshots of those customers, among at most limit from a position on, whose
// buckets are not full. The first position is 0; next is the position to continue from, or 0 at the end. It
// changes nothing, but like Handle it must not run concurrently with other calls.
func (g *Gateway) SaveSnapshot(now time.Duration, from, limit int, out []CustomerSnapshot) (
	list []CustomerSnapshot, next int) {
	customers := g.customers.list
	to := min(len(customers), from+limit)
	for _, c := range customers[min(from, to):to] {
		tokens := c.tokensAt(now)
		if c.plan.Rate > 0 && tokens < c.plan.Burst-1 {
			out = append(out, c.snapshot(tokens))
		}
	}
	if to == len(customers) {
		to = 0
	}
	return out, to
}

// tokensAt estimates the tokens at a time without changing anything.
func (c *customer) tokensAt(now time.Duration) float64 {
	refilled := c.plan.Rate * max(0, now-c.refilledAt).Seconds()
	return min(c.plan.Burst, c.tokens+refilled)
}

func (c *customer) snapshot(tokens float64) CustomerSnapshot {
	return CustomerSnapshot{
		Key:           c.key,
		Plan:          c.plan.Name,
		FirstGateway:  c.firstGateway,
		GatewaySpread: c.requestedSpread,
		Tokens:        tokens,
	}
}

func (g *Gateway) handleRestoreSnapshot(ev RestoreSnapshot) {
	for _, saved := range ev.Customers {
		plan := g.plans[saved.Plan]
		if plan == nil || g.customers.find(saved.Key, saved.Plan) != nil || saved.FirstGateway < 0 {
			continue
		}
		c := g.addCustomer(saved.Key, plan, saved.FirstGateway, saved.GatewaySpread)
		c.lastRequestAt = g.now
		c.restoreTokens(saved.Tokens, max(0, ev.Age))
	}
}

// restoreTokens sets the tokens to those saved some time ago, plus the refill since then. Load reports will
// account for the units that other gateways admitted meanwhile.
func (c *customer) restoreTokens(tokens float64, age time.Duration) {
	c.tokens = min(c.tokens, max(0, tokens)+c.plan.Rate*age.Seconds())
}
