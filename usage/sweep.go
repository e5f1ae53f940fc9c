package usage

import (
	"slices"
	"time"
)

// Tuned values of the sweep.
const (
	refresh     = 5 * time.Second // a busy customer is asked for again after this, if nothing changed
	forgetAfter = 2 * time.Minute // a customer without news is dropped from memory after this
)

// round lists the accounts of a part, to be looked at in turn.
type round struct {
	list []*account
	next int
}

// sweep asks again for what is busy, and of each part for one total more, so
// that a loss is noticed also where nothing is passed. Its work follows those
// used since the last one; all are looked at once in a window.
func (t *Tally) sweep(now time.Time) {
	w := t.window(now)
	for _, a := range t.recent {
		a.recent = false
		if a.newest && !a.queued && !a.calling && now.Sub(a.asked) > refresh {
			t.want(now, a)
		}
	}
	clear(t.recent)
	t.recent = t.recent[:0]
	for i := range t.rounds {
		if a := t.rounds[i].turn(w - 1); a != nil && !a.queued && !a.calling {
			t.want(now, a)
		}
	}
	if w == t.lastW {
		return
	}
	t.lastW = w
	for k, list := range t.windows {
		if k >= w-1 {
			continue
		}
		t.windows[k] = slices.DeleteFunc(list, func(a *account) bool {
			if over := !t.missing(a) || k < w-int64(t.set.Keep); !over || a.calling || a.queued || a.untold || a.newest {
				return false
			}
			delete(t.accounts, a.key)
			a.dropped = true
			for o, g := range a.regs {
				if g.stored > 0 {
					t.dropped = append(t.dropped, Register{a.key, o, 0})
				}
			}
			return true
		})
		if len(t.windows[k]) == 0 {
			delete(t.windows, k)
		}
	}
	for name, c := range t.customers {
		if now.Sub(c.seen) > forgetAfter {
			c.now.newest = false
			delete(t.customers, name)
		}
	}
}

// turn is the next account of a window not before one, or nil; those dropped
// leave the round. It looks at a few only.
func (r *round) turn(window int64) *account {
	for range 64 {
		if len(r.list) == 0 {
			return nil
		}
		if r.next >= len(r.list) {
			r.next = 0
		}
		a := r.list[r.next]
		if a.dropped {
			last := len(r.list) - 1
			r.list[r.next], r.list[last] = r.list[last], nil
			r.list = r.list[:last]
			continue
		}
		r.next++
		if a.key.Window >= window {
			return a
		}
	}
	return nil
}
