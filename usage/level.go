package usage

import "time"

// Level is how full a customer's store was at a time, in units.
type Level struct {
	Units float64
	At    time.Time
}

// consume takes units off a customer's level, filled up to now.
func (c *customerUsage) consume(now time.Time, n MilliUnits) {
	c.refill(now)
	c.level.Units = max(0, c.level.Units-float64(n)/1000)
}

// tokensAt is how full the store is by now, as far as is known.
func (c *customerUsage) tokensAt(now time.Time) float64 {
	return min(c.plan.Burst, c.level.Units+c.plan.Rate*max(0, now.Sub(c.level.At).Seconds()))
}

func (c *customerUsage) refill(now time.Time) {
	if dt := now.Sub(c.level.At).Seconds(); dt > 0 {
		c.level.Units = min(c.plan.Burst, c.level.Units+c.plan.Rate*dt)
		c.level.At = now
	}
	// By now whatever was used before this process began is filled up again.
	if c.plan.Rate > 0 && now.Sub(c.trackedSince).Seconds() > c.plan.Burst/c.plan.Rate {
		c.levelKnown = true
	}
}

// learnLevel takes a level from the counter, which a node that just started can't
// know. Where the counter has none, and whoever passed units before this window
// or this process has had them filled up since, the window's totals tell.
func (t *Tracker) learnLevel(now time.Time, c *customerUsage, l Level) {
	if l.At.IsZero() {
		whole := time.Duration(c.plan.Burst / max(c.plan.Rate, 1e-9) * float64(time.Second))
		age := max(now.Sub(t.startedAt), time.Duration(now.UnixNano()%int64(t.settings.Window)))
		c.levelKnown = age > whole
		return
	}
	if l.At.After(now.Add(time.Second)) {
		return
	}
	mine := MilliUnits(0)
	if g := c.current.entries[t.settings.Self]; g != nil {
		mine = g.units
	}
	c.level = l
	c.refill(now)
	c.level.Units = max(0, c.level.Units-float64(mine)/1000)
	c.levelKnown = true
	t.actions = append(t.actions, RestoreLevel{c.name, c.level.Units})
}
