package usage

import "time"

// Level is how full a customer's store was at a time, in units.
type Level struct {
	Units float64
	At    time.Time
}

// use takes units off a customer's level, filled up to now.
func (c *customer) use(now time.Time, n Milli) {
	c.fill(now)
	c.level.Units = max(0, c.level.Units-float64(n)/1000)
}

// levelAt is how full the store is by now, as far as is known.
func (c *customer) levelAt(now time.Time) float64 {
	return min(c.plan.Burst, c.level.Units+c.plan.Rate*max(0, now.Sub(c.level.At).Seconds()))
}

func (c *customer) fill(now time.Time) {
	if dt := now.Sub(c.level.At).Seconds(); dt > 0 {
		c.level.Units = min(c.plan.Burst, c.level.Units+c.plan.Rate*dt)
		c.level.At = now
	}
	// By now whatever was used before this process began is filled up again.
	if c.plan.Rate > 0 && now.Sub(c.began).Seconds() > c.plan.Burst/c.plan.Rate {
		c.known = true
	}
}

// learn takes a level from the counter, which a node that just started can't
// know. Where the counter has none, and whoever passed units before this window
// or this process has had them filled up since, the window's totals tell.
func (t *Tally) learn(now time.Time, c *customer, l Level) {
	if l.At.IsZero() {
		whole := time.Duration(c.plan.Burst / max(c.plan.Rate, 1e-9) * float64(time.Second))
		age := max(now.Sub(t.start), time.Duration(now.UnixNano()%int64(t.set.Window)))
		c.known = age > whole
		return
	}
	if l.At.After(now.Add(time.Second)) {
		return
	}
	mine := Milli(0)
	if g := c.now.regs[t.set.Me]; g != nil {
		mine = g.units
	}
	c.level = l
	c.fill(now)
	c.level.Units = max(0, c.level.Units-float64(mine)/1000)
	c.known = true
	t.acts = append(t.acts, Restore{c.name, c.level.Units})
}
