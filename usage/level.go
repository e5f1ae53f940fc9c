package usage

import "time"

// maxClockSkew is how far the time of a level may be ahead of this node's clock.
const maxClockSkew = time.Second

// minRate is the lower bound, in units per second, of a plan's rate that is used as a divisor.
const minRate = 1e-9

// Level is the fill level of a customer's token bucket at a time.
type Level struct {
	Units float64
	At    time.Time
}

// refill adds the units that have accrued until now at the plan's rate to the level.
func (c *customerUsage) refill(now time.Time) {
	if elapsed := now.Sub(c.level.At).Seconds(); elapsed > 0 {
		c.level.Units = min(c.plan.Burst, c.level.Units+c.plan.Rate*elapsed)
		c.level.At = now
	}
	// Once the time to fill the whole bucket has passed since tracking started, earlier usage no
	// longer affects the level.
	if c.plan.Rate > 0 && now.Sub(c.trackedSince).Seconds() > c.plan.Burst/c.plan.Rate {
		c.levelKnown = true
	}
}

// consume subtracts used units from the level. The level is never negative.
func (c *customerUsage) consume(now time.Time, used MilliUnits) {
	c.refill(now)
	c.level.Units = max(0, c.level.Units-used.inUnits())
}

// tokensAt returns the level at a time, in units.
func (c *customerUsage) tokensAt(now time.Time) float64 {
	elapsed := max(0, now.Sub(c.level.At).Seconds())
	return min(c.plan.Burst, c.level.Units+c.plan.Rate*elapsed)
}

// updateLevel handles the level of a response. It reports the customer's level if the counter
// has more information than this node: when the level was unknown here, or this node is isolated.
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

// learnLevel adopts the level that the counter holds, because a process that has just started
// cannot derive it.
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

// bucketRefilled reports whether the time to fill the whole bucket has passed since the start of
// the window or of this process. The window's total then contains all usage that affects the
// level.
func (t *Tracker) bucketRefilled(now time.Time, customer *customerUsage) bool {
	timeToFill := time.Duration(customer.plan.Burst / max(customer.plan.Rate, minRate) * float64(time.Second))
	windowAge := time.Duration(now.UnixNano() % int64(t.settings.Window))
	return max(now.Sub(t.startedAt), windowAge) > timeToFill
}

func (t *Tracker) reportLevel(customer *customerUsage) {
	t.actions = append(t.actions, RestoreLevel{customer.name, customer.level.Units})
}
