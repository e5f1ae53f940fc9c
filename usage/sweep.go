package usage

import (
	"slices"
	"time"
)

const (
	// refreshInterval is how often the sweep runs, and the time since the last response after
	// which it reads a total in use from the counter again.
	refreshInterval = 5 * time.Second

	// customerIdleTimeout is the time without requests after which a customer is evicted from
	// memory.
	customerIdleTimeout = 2 * time.Minute

	// maxRotationSteps bounds the number of totals that a rotation examines in one sweep.
	maxRotationSteps = 64
)

// sweep queues the totals in use to be read again, and one further total of each shard, so that a
// loss is detected even if nothing is forwarded. Its cost is proportional to the number of totals
// used since the last sweep. Once per window it also examines all customers, and the totals of closed
// windows, to evict those that are no longer needed.
func (t *Tracker) sweep(now time.Time) {
	t.refreshUsedTotals(now)
	window := t.windowAt(now)
	for i := range t.rotations {
		if total := t.rotations[i].advance(window - 1); total != nil && !total.callPending() {
			t.queueCall(now, total)
		}
	}
	if window == t.lastSweptWindow {
		return
	}
	t.lastSweptWindow = window
	t.evictClosedWindows(window)
	t.evictIdleCustomers(now)
}

// refreshUsedTotals queues calls for the totals used since the last sweep that the counter has not
// returned recently.
func (t *Tracker) refreshUsedTotals(now time.Time) {
	for _, total := range t.recentlyUsed {
		total.recentlyUsed = false
		if total.needsRefresh(now, refreshInterval) {
			t.queueCall(now, total)
		}
	}
	clear(t.recentlyUsed)
	t.recentlyUsed = t.recentlyUsed[:0]
}

// evictClosedWindows evicts the totals of all windows before the current and the previous one,
// except totals that are in use or that have unconfirmed entries and have not expired.
func (t *Tracker) evictClosedWindows(current int64) {
	for window, totals := range t.totalsByWindow {
		if window >= current-1 {
			continue
		}
		expired := window < current-int64(t.settings.RetainedWindows)
		totals = slices.DeleteFunc(totals, func(total *windowTotal) bool {
			evict := !total.inUse() && (expired || !t.hasUnconfirmed(total))
			if evict {
				t.evict(total)
			}
			return evict
		})
		if len(totals) == 0 {
			delete(t.totalsByWindow, window)
		} else {
			t.totalsByWindow[window] = totals
		}
	}
}

// inUse reports whether a total must stay in memory.
func (w *windowTotal) inUse() bool { return w.callPending() || w.gossipQueued || w.current }

// evict removes a total from memory. Its stored entries are deleted with the next save.
func (t *Tracker) evict(total *windowTotal) {
	delete(t.totals, total.key)
	total.evicted = true
	for writer, entry := range total.entries {
		if entry.stored > 0 {
			t.evictedStored = append(t.evictedStored, CounterEntry{total.key, writer, 0})
		}
	}
}

func (t *Tracker) evictIdleCustomers(now time.Time) {
	for name, customer := range t.customers {
		if now.Sub(customer.lastSeen) > customerIdleTimeout {
			customer.current.current = false
			delete(t.customers, name)
		}
	}
}

// rotation lists the totals of a shard for reading them in round-robin order.
type rotation struct {
	totals []*windowTotal
	next   int
}

// advance returns the next total whose window is firstWindow or later, or nil if it finds none
// within maxRotationSteps. It removes evicted totals from the rotation.
func (r *rotation) advance(firstWindow int64) *windowTotal {
	for range maxRotationSteps {
		if len(r.totals) == 0 {
			return nil
		}
		if r.next >= len(r.totals) {
			r.next = 0
		}
		total := r.totals[r.next]
		if total.evicted {
			r.dropNext()
			continue
		}
		r.next++
		if total.key.Window >= firstWindow {
			return total
		}
	}
	return nil
}

// dropNext removes the next total and moves the last one to its position.
func (r *rotation) dropNext() {
	last := len(r.totals) - 1
	r.totals[r.next] = r.totals[last]
	r.totals[last] = nil
	r.totals = r.totals[:last]
}
