package usage

import (
	"cmp"
	"container/heap"
	"time"
)

// Tuned values of calls.
const (
	maxCallsInFlight        = 64          // out at once, over all parts
	epochInterval           = time.Second // a part\'s epoch is asked for
	nearQuotaUrgencySeconds = 2.0         // seconds of waiting that an empty store is worth then
)

// inFlightCall is one call out.
type inFlightCall struct {
	total  *windowTotal
	raised []CounterEntry
}

// queueCall puts an account among those that want a call.
func (t *Tracker) queueCall(now time.Time, a *windowTotal) {
	a.changedSinceCall = true
	if !a.callQueued && !a.callInFlight {
		a.callQueued, a.queuedAt = true, now
		t.callQueue = append(t.callQueue, a)
	}
}

// sendQueuedCalls makes calls for those that want one: where most is not in the counter
// first, against what the plan lets pass at once, then who waits longest.
func (t *Tracker) sendQueuedCalls(now time.Time) {
	if len(t.callQueue) == 0 || t.callBudget < 1 || len(t.inFlight) >= maxCallsInFlight {
		return
	}
	h := make(byUrgency, 0, len(t.callQueue))
	deaf := t.isolated(now)
	left := t.callQueue[:0]
	for _, a := range t.callQueue {
		if now.Before(t.shards[t.ShardOf(a.key.Customer)].retryAt) {
			left = append(left, a)
			continue
		}
		u := now.Sub(a.queuedAt).Seconds()
		if g := a.entries[t.settings.Self]; g != nil {
			u += float64(g.units-g.confirmed) / 1000 / (a.plan.Burst + 1)
		}
		if a.respondedAt.IsZero() {
			u++
		}
		if c := t.customers[a.key.Customer]; deaf && c != nil && a.current && c.plan.Burst > 0 {
			u += nearQuotaUrgencySeconds * (1 - c.tokensAt(now)/c.plan.Burst) // who is near its quota is decided by it
		}
		h = append(h, callCandidate{u, a})
	}
	heap.Init(&h)
	for len(h) > 0 && t.callBudget >= 1 && len(t.inFlight) < maxCallsInFlight {
		a := heap.Pop(&h).(callCandidate).total
		num := t.ShardOf(a.key.Customer)
		p := &t.shards[num]
		if now.Before(p.retryAt) {
			left = append(left, a)
			continue
		}
		a.callQueued = false
		if p.state == Unresponsive {
			p.retryAt = now.Add(p.backoff) // one call finds out
		}
		t.sendCall(now, a, num)
	}
	for _, u := range h {
		left = append(left, u.total)
	}
	clear(t.callQueue[len(left):])
	t.callQueue = left
}

// byUrgency is a heap: few of many wanting get a call.
type byUrgency []callCandidate

type callCandidate struct {
	urgency float64
	total   *windowTotal
}

func (h byUrgency) Len() int      { return len(h) }
func (h byUrgency) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *byUrgency) Push(x any)   { *h = append(*h, x.(callCandidate)) }

func (h byUrgency) Less(i, k int) bool {
	if h[i].urgency != h[k].urgency {
		return h[i].urgency > h[k].urgency
	}
	a, b := h[i].total.key, h[k].total.key
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Window, b.Window)) < 0
}

func (h *byUrgency) Pop() any {
	old := *h
	u := old[len(old)-1]
	*h = old[:len(old)-1]
	return u
}

func (t *Tracker) sendCall(now time.Time, a *windowTotal, p int) {
	t.lastCallID++
	c := CounterCall{ID: t.lastCallID, Shard: p, Key: a.key, RefreshExpiry: a.respondedAt.IsZero()}
	if now.Sub(t.shards[p].epochAskedAt) > epochInterval {
		c.ReadEpoch, t.shards[p].epochAskedAt = true, now
	}
	for _, o := range a.sortedWriters() {
		g := a.entries[o]
		if g.confirmed >= g.units {
			continue
		}
		c.RefreshExpiry = c.RefreshExpiry || g.confirmed < 0
		r := CounterEntry{a.key, o, g.units}
		if o.Node == t.settings.Self.Node || t.needsRepair(a, o, g) {
			c.Raise = append(c.Raise, r)
		} else if g.confirmed < 0 || !g.claimedAt.IsZero() && now.Sub(g.claimedAt) > claimSettleTime {
			c.AddIfMissing = append(c.AddIfMissing, r)
		}
	}
	if cu := t.customers[a.key.Customer]; cu != nil && cu.levelKnown && a.current {
		cu.refill(now)
		c.Level = cu.level
	}
	t.callBudget -= float64(c.CommandCount())
	a.callInFlight, a.changedSinceCall = true, false
	t.inFlight[c.ID] = &inFlightCall{a, c.Raise}
	t.actions = append(t.actions, c)
}
