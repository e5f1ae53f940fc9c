package usage

import "time"

// maxClockSkew is how far ahead of this node's clock a level may have been written.
const maxClockSkew = time.Second

// minRate bounds a plan's rate from below, in units per second, where it divides.
const minRate = 1e-9

// Level is how full a customer's token bucket was at a time.
type Level struct {
	Units float64
	At    time.Time
}

// refill adds to the level the units that accrued until now at the plan's rate.
func (c *customerUsage) refill(now time.Time) {
	if elapsed := now.Sub(c.level.At).Seconds(); elapsed > 0 {
		c.level.Units = min(c.plan.Burst, c.level.Units+c.plan.Rate*elapsed)
		c.level.At = now
	}
	// After the time to fill the whole bucket, usage before this process no longer matters.
	if c.plan.Rate > 0 && now.Sub(c.trackedSince).Seconds() > c.plan.Burst/c.plan.Rate {
		c.levelKnown = true
	}
}

// consume subtracts used units from the level. The level is never negative.
func (c *customerUsage) consume(now time.Time, used MilliUnits) {
	c.refill(now)
	c.level.Units = max(0, c.level.Units-used.inUnits())
}

// tokensAt is the level at a time, in units.
func (c *customerUsage) tokensAt(now time.Time) float64 {
	elapsed := max(0, now.Sub(c.level.At).Seconds())
	return min(c.plan.Burst, c.level.Units+c.plan.Rate*elapsed)
}

// updateLevel handles the level of a response, and reports the customer's level where the
// counter knows more than this node.
func (t *Tracker) updateLevel(now time.Time, total *windowTotal, level Level) {
	customer := t.customers[total.key.Customer]
	if customer == nil || !total.current {
		return
	}
	if !customer.levelKnown {
		t.learnLevel(now, customer, level)
	} else if t.isolated(now) {
		customer.refill(now)
		t.reportLevel(customer)
	}
}

// learnLevel adopts the level in the counter, which a process that just started cannot
// know.
func (t *Tracker) learnLevel(now time.Time, customer *customerUsage, level Level) {
	if level.At.IsZero() {
		customer.levelKnown = t.bucketRefilled(now, customer)
		return
	}
	if level.At.After(now.Add(maxClockSkew)) {
		return
	}
	customer.level = level
	customer.refill(now)
	if own := customer.current.entries[t.settings.Self]; own != nil {
		customer.level.Units = max(0, customer.level.Units-own.units.inUnits())
	}
	customer.levelKnown = true
	t.reportLevel(customer)
}

// bucketRefilled reports whether the time to fill the whole bucket has passed since the
// window or this process began. The window's totals then contain all usage that matters.
func (t *Tracker) bucketRefilled(now time.Time, customer *customerUsage) bool {
	timeToFill := time.Duration(customer.plan.Burst / max(customer.plan.Rate, minRate) * float64(time.Second))
	windowAge := time.Duration(now.UnixNano() % int64(t.settings.Window))
	return max(now.Sub(t.startedAt), windowAge) > timeToFill
}

func (t *Tracker) reportLevel(customer *customerUsage) {
	t.actions = append(t.actions, RestoreLevel{customer.name, customer.level.Units})
}
