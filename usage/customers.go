package usage

import "time"

// customer is what outlives windows.
type customer struct {
	name  string
	plan  Plan
	peers []int
	level Level // by all that is known here
	known bool  // the level rests on the counter or on long enough a time
	began time.Time
	seen  time.Time
	now   *account
}

// Seen tells of a request of a customer, before it is decided on: one that was
// never seen is asked for at once.
func (t *Tally) Seen(now time.Time, name, plan string, peers []int) []Action {
	c := t.customers[name]
	if c != nil && c.now.recent && c.now.key.Window == t.window(now) {
		c.seen = now
		return nil
	}
	t.acts = nil
	c = t.touch(now, name, plan, peers)
	if p := &t.parts[t.Part(name)]; !c.known && !c.now.queued && !c.now.calling && c.now.asked.IsZero() {
		if t.budget >= 1 && len(t.calls) < mostCalls && p.state != Silent {
			t.send(now, c.now, t.Part(name))
		} else {
			t.want(now, c.now)
		}
	}
	return t.acts
}

// touch finds a customer and its account of now.
func (t *Tally) touch(now time.Time, name, plan string, peers []int) *customer {
	c := t.customers[name]
	if t.start.IsZero() {
		t.start = now
	}
	if c == nil {
		p := t.set.Rates[plan]
		c = &customer{name: name, plan: p, peers: peers, level: Level{p.Burst, now}, began: now}
		t.customers[name] = c
	}
	c.seen, c.peers = now, peers
	if w := t.window(now); c.now == nil || c.now.key.Window != w {
		if c.now != nil {
			c.now.newest = false
		}
		c.now = t.account(now, Key{name, w}, c.plan)
		c.now.plan, c.now.peers, c.now.newest = c.plan, peers, true
	}
	if !c.now.recent {
		c.now.recent = true
		t.recent = append(t.recent, c.now)
	}
	return c
}

// Passed tells of units that this node has passed for a customer.
func (t *Tally) Passed(now time.Time, name, plan string, peers []int, units float64) {
	c := t.touch(now, name, plan, peers)
	n := Milli(units*1000 + 0.5)
	g := c.now.reg(t.set.Me)
	g.units, g.heard = g.units+n, now
	t.soil(c.now)
	c.use(now, n)
	t.want(now, c.now)
	if !c.now.untold && len(c.now.peers) > 1 {
		c.now.untold = true
		t.untold = append(t.untold, c.now)
	}
}
