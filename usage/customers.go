package usage

import "time"

// customerUsage is the state of a customer that is kept across windows.
type customerUsage struct {
	name  string
	plan  Plan
	peers []int // indices of the nodes that serve the customer, including this one

	level        Level // as known to this node
	levelKnown   bool  // the level is derived from the counter, or from all usage since the bucket was full
	trackedSince time.Time
	lastSeen     time.Time
	current      *windowTotal // of the latest window; never nil once in Tracker.customers
}

// RecordRequest records that a customer's request has arrived. It must be called before the
// request is admitted or rejected. If this process does not know the customer's level, the
// counter is asked for it at once. peers lists the indices of the nodes that serve the customer;
// the Tracker keeps the slice.
func (t *Tracker) RecordRequest(now time.Time, name, plan string, peers []int) []Action {
	customer := t.customers[name]
	if customer != nil && customer.current.recentlyUsed && customer.current.key.Window == t.windowAt(now) {
		customer.lastSeen = now
		return nil
	}
	t.actions = nil
	customer = t.useCustomer(now, name, plan, peers)
	if customer.needsLevel() {
		t.requestLevel(now, customer)
	}
	return t.actions
}

// RecordForwarded records units that this node has forwarded for a customer. units must not be
// negative; peers is as in RecordRequest.
func (t *Tracker) RecordForwarded(now time.Time, name, plan string, peers []int, units float64) {
	customer := t.useCustomer(now, name, plan, peers)
	total := customer.current
	used := toMilliUnits(units)
	total.entry(t.settings.Self).units += used
	customer.consume(now, used)
	t.queueStorage(total)
	t.queueCall(now, total)
	t.queueGossip(total)
}

// useCustomer returns a customer, and creates it and the total of the current window if they are
// missing. It marks the total as used since the last sweep.
func (t *Tracker) useCustomer(now time.Time, name, plan string, peers []int) *customerUsage {
	t.recordStart(now)
	customer := t.customers[name]
	if customer == nil {
		p := t.settings.Plans[plan]
		customer = &customerUsage{name: name, plan: p, level: Level{p.Burst, now}, trackedSince: now}
		t.customers[name] = customer
	}
	customer.lastSeen = now
	customer.peers = peers
	if window := t.windowAt(now); customer.current == nil || customer.current.key.Window != window {
		t.startWindow(customer, window)
	}
	if !customer.current.recentlyUsed {
		customer.current.recentlyUsed = true
		t.recentlyUsed = append(t.recentlyUsed, customer.current)
	}
	return customer
}

// startWindow makes the total of a window the customer's current total.
func (t *Tracker) startWindow(customer *customerUsage, window int64) {
	if customer.current != nil {
		customer.current.current = false
	}
	total := t.totalFor(TotalKey{customer.name, window}, customer.plan)
	total.plan = customer.plan
	total.peers = customer.peers
	total.current = true
	customer.current = total
}

// needsLevel reports whether the counter should be asked for the customer's level.
func (c *customerUsage) needsLevel() bool {
	return !c.levelKnown && !c.current.callPending() && c.current.respondedAt.IsZero()
}

// requestLevel calls the counter at once if the call capacity allows it and the shard responds.
// Otherwise it queues the call for the next tick.
func (t *Tracker) requestLevel(now time.Time, customer *customerUsage) {
	shard := t.shardOf(customer.current)
	if t.hasCallCapacity() && shard.state != Unresponsive {
		t.sendCall(now, customer.current, shard)
	} else {
		t.queueCall(now, customer.current)
	}
}
