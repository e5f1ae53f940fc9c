package usage

import (
	"slices"
	"time"
)

// Tuned values of the sweep.
const (
	refreshInterval     = 5 * time.Second // a busy customer is asked for again after this, if nothing changed
	forgetCustomerAfter = 2 * time.Minute // a customer without news is dropped from memory after this
)

// rotation lists the accounts of a part, to be looked at in turn.
type rotation struct {
	totals []*windowTotal
	next   int
}

// sweep asks again for what is busy, and of each part for one total more, so
// that a loss is noticed also where nothing is passed. Its work follows those
// used since the last one; all are looked at once in a window.
func (t *Tracker) sweep(now time.Time) {
	w := t.windowAt(now)
	for _, a := range t.recentlyUsed {
		a.recentlyUsed = false
		if a.current && !a.callQueued && !a.callInFlight && now.Sub(a.respondedAt) > refreshInterval {
			t.queueCall(now, a)
		}
	}
	clear(t.recentlyUsed)
	t.recentlyUsed = t.recentlyUsed[:0]
	for i := range t.rotations {
		if a := t.rotations[i].advance(w - 1); a != nil && !a.callQueued && !a.callInFlight {
			t.queueCall(now, a)
		}
	}
	if w == t.sweptWindow {
		return
	}
	t.sweptWindow = w
	for k, list := range t.totalsByWindow {
		if k >= w-1 {
			continue
		}
		t.totalsByWindow[k] = slices.DeleteFunc(list, func(a *windowTotal) bool {
			if over := !t.hasUnconfirmed(a) || k < w-int64(t.settings.RetainedWindows); !over || a.callInFlight || a.callQueued || a.gossipQueued || a.current {
				return false
			}
			delete(t.totals, a.key)
			a.evicted = true
			for o, g := range a.entries {
				if g.stored > 0 {
					t.evictedStored = append(t.evictedStored, CounterEntry{a.key, o, 0})
				}
			}
			return true
		})
		if len(t.totalsByWindow[k]) == 0 {
			delete(t.totalsByWindow, k)
		}
	}
	for name, c := range t.customers {
		if now.Sub(c.lastSeen) > forgetCustomerAfter {
			c.current.current = false
			delete(t.customers, name)
		}
	}
}

// advance is the next account of a window not before one, or nil; those dropped
// leave the round. It looks at a few only.
func (r *rotation) advance(window int64) *windowTotal {
	for range 64 {
		if len(r.totals) == 0 {
			return nil
		}
		if r.next >= len(r.totals) {
			r.next = 0
		}
		a := r.totals[r.next]
		if a.evicted {
			last := len(r.totals) - 1
			r.totals[r.next], r.totals[last] = r.totals[last], nil
			r.totals = r.totals[:last]
			continue
		}
		r.next++
		if a.key.Window >= window {
			return a
		}
	}
	return nil
}
