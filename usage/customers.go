package usage

import "time"

// customerUsage is what outlives windows.
type customerUsage struct {
	name         string
	plan         Plan
	peers        []int
	level        Level // by all that is known here
	levelKnown   bool  // the level rests on the counter or on long enough a time
	trackedSince time.Time
	lastSeen     time.Time
	current      *windowTotal
}

// RecordRequest tells of a request of a customer, before it is decided on: one that was
// never seen is asked for at once.
func (t *Tracker) RecordRequest(now time.Time, name, plan string, peers []int) []Action {
	c := t.customers[name]
	if c != nil && c.current.recentlyUsed && c.current.key.Window == t.windowAt(now) {
		c.lastSeen = now
		return nil
	}
	t.actions = nil
	c = t.currentCustomer(now, name, plan, peers)
	if p := &t.shards[t.ShardOf(name)]; !c.levelKnown && !c.current.callQueued && !c.current.callInFlight && c.current.respondedAt.IsZero() {
		if t.callBudget >= 1 && len(t.inFlight) < maxCallsInFlight && p.state != Unresponsive {
			t.sendCall(now, c.current, t.ShardOf(name))
		} else {
			t.queueCall(now, c.current)
		}
	}
	return t.actions
}

// currentCustomer finds a customer and its account of now.
func (t *Tracker) currentCustomer(now time.Time, name, plan string, peers []int) *customerUsage {
	c := t.customers[name]
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	if c == nil {
		p := t.settings.Plans[plan]
		c = &customerUsage{name: name, plan: p, peers: peers, level: Level{p.Burst, now}, trackedSince: now}
		t.customers[name] = c
	}
	c.lastSeen, c.peers = now, peers
	if w := t.windowAt(now); c.current == nil || c.current.key.Window != w {
		if c.current != nil {
			c.current.current = false
		}
		c.current = t.totalFor(now, TotalKey{name, w}, c.plan)
		c.current.plan, c.current.peers, c.current.current = c.plan, peers, true
	}
	if !c.current.recentlyUsed {
		c.current.recentlyUsed = true
		t.recentlyUsed = append(t.recentlyUsed, c.current)
	}
	return c
}

// RecordForwarded tells of units that this node has passed for a customer.
func (t *Tracker) RecordForwarded(now time.Time, name, plan string, peers []int, units float64) {
	c := t.currentCustomer(now, name, plan, peers)
	n := MilliUnits(units*1000 + 0.5)
	g := c.current.entry(t.settings.Self)
	g.units += n
	t.queueStorage(c.current)
	c.consume(now, n)
	t.queueCall(now, c.current)
	if !c.current.gossipQueued && len(c.current.peers) > 1 {
		c.current.gossipQueued = true
		t.gossipQueue = append(t.gossipQueue, c.current)
	}
}
