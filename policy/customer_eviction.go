package policy

import (
	"cmp"
	"slices"
	"time"
	"unsafe"
)

const (
	// customerIdleTimeout is the minimum time for which the state of a customer without requests is retained.
	customerIdleTimeout = 10 * time.Minute

	// formerPlanTimeout is the minimum time for which the state of a customer under a plan that it has left
	// is retained.
	formerPlanTimeout = 30 * time.Second

	// minIdleBeforeForgetting is how long a customer must have made no request before it is forgotten for
	// its memory: by then its demand has decayed.
	minIdleBeforeForgetting = 5 * demandWindow
)

// Estimates of the memory that a customer takes, in bytes.
const (
	customerBytes = int(unsafe.Sizeof(customer{})) + 200 // with its entries in maps and lists
	peerViewBytes = int(unsafe.Sizeof(peerView{})) + 32  // with the pointers to it
)

// evictIdle removes the customers that are not in use and have made no request for customerIdleTimeout, or
// for the time in which their buckets fill up if that is longer. A plan that the customer has left is removed
// after formerPlanTimeout: as long as it is known, load reports cannot include the customer.
func (t *customerTable) evictIdle(now time.Duration) {
	var idle []*customer
	for _, c := range t.list {
		timeout := customerIdleTimeout
		if t.byKey[c.key] != c {
			timeout = formerPlanTimeout
		}
		inUse := c.inFlight.count > 0 || len(c.queued) > 0 || c.active
		if !inUse && now-c.lastRequestAt > max(timeout, c.plan.fillTime()) {
			idle = append(idle, c)
		}
	}
	t.evict(idle)
}

// evictForMemory removes customers if all of them take more memory than Settings.MaxCustomerBytes: those
// without a request for the longest time first, but none whose state differs from that of a new customer.
func (g *Gateway) evictForMemory() {
	excess := g.customers.bytes() - g.settings.MaxCustomerBytes
	if g.settings.MaxCustomerBytes == 0 || excess <= 0 {
		return
	}
	var candidates []*customer
	for _, c := range g.customers.list {
		if g.isLikeNew(c) {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *customer) int {
		return cmp.Compare(a.lastRequestAt, b.lastRequestAt)
	})
	count := 0
	for count < len(candidates) && excess > 0 {
		excess -= candidates[count].bytes()
		count++
	}
	g.customers.evict(candidates[:count])
}

// isLikeNew reports whether a customer has made no request for a while, is not in use, and has full buckets:
// a new customer would be treated in the same way. What is still to be reported of it is of no use to peers,
// whose buckets have refilled as well.
func (g *Gateway) isLikeNew(c *customer) bool {
	idle := g.now - c.lastRequestAt
	isUsed := !c.inFlight.isZero() || len(c.queued) > 0 || len(c.leases) > 0
	return idle >= minIdleBeforeForgetting && !isUsed && g.hasFullBuckets(c)
}

// hasFullBuckets reports whether the buckets of the customer's quotas are full by now.
func (g *Gateway) hasFullBuckets(c *customer) bool {
	seconds := (g.now - c.refilledAt).Seconds()
	tokens := c.tokens + c.plan.Rate*seconds*g.refillShare(c)
	if c.plan.Rate > 0 && tokens < c.plan.Burst {
		return false
	}
	ceilingTokens := c.ceilingTokens + c.plan.HardRate/c.ceilingDivisor*seconds
	return c.plan.HardRate == 0 || ceilingTokens >= c.plan.HardBurst/c.ceilingDivisor
}

// bytes returns an estimate of the memory that all customers take.
func (t *customerTable) bytes() (sum int) {
	for _, c := range t.list {
		sum += c.bytes()
	}
	return sum
}

// bytes returns an estimate of the memory that a customer takes.
func (c *customer) bytes() int { return customerBytes + len(c.peerViews)*peerViewBytes }

// evict removes customers from all tables.
func (t *customerTable) evict(evicted []*customer) {
	if len(evicted) == 0 {
		return
	}
	isEvicted := map[*customer]bool{}
	isView := map[*peerView]bool{}
	peers := map[*peerState]bool{}
	for _, c := range evicted {
		isEvicted[c] = true
		t.removeKey(c)
		t.removeHash(c)
		for _, view := range c.peerViews {
			isView[view] = true
			peers[view.peer] = true
		}
	}
	for p := range peers {
		p.customerViews = slices.DeleteFunc(p.customerViews, func(v *peerView) bool { return isView[v] })
	}
	remove := func(c *customer) bool { return isEvicted[c] }
	t.active = slices.DeleteFunc(t.active, remove)
	t.list = slices.DeleteFunc(t.list, remove)
	for i, c := range t.list {
		c.listIndex = i
	}
}
