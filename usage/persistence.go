package usage

import "time"

// Recall puts back what storage held: own registers, of this node's earlier
// processes, are raised in the counter again. It comes before anything else.
func (t *Tally) Recall(now time.Time, list []Register) {
	for _, r := range list {
		a := t.account(now, r.Key, Plan{})
		if g := a.reg(r.Owner); r.Units > g.units {
			g.units, g.heard = r.Units, now
			t.want(now, a)
		}
		if g := a.reg(r.Owner); r.Owner.Node == t.set.Me.Node {
			g.stored = r.Units
			t.soil(a)
		}
	}
}

// soil puts an account among those to be compared with storage.
func (t *Tally) soil(a *account) {
	if !a.dirty && !a.dropped {
		a.dirty = true
		t.dirty = append(t.dirty, a)
	}
}

// Changes lists what storage must change to hold this node's registers that the
// counter has not confirmed, and those of windows still open: registers to put, and
// those with 0 units to take out. It looks at so many accounts at most, so that the
// loop is not held up; more tells that there are others.
func (t *Tally) Changes(now time.Time, most int) (list []Register, more bool) {
	w := t.window(now)
	n := min(most, len(t.dirty))
	for _, a := range t.dirty[:n] {
		a.dirty = false
		if a.dropped {
			continue // its registers are in t.dropped
		}
		for o, g := range a.regs {
			if o.Node != t.set.Me.Node {
				continue
			}
			units := g.units
			if g.inCtr >= g.units && a.key.Window < w-1 {
				units = 0
			}
			if units != g.stored {
				g.stored = units
				list = append(list, Register{a.key, o, units})
			}
		}
	}
	clear(t.dirty[:n])
	if t.dirty = t.dirty[n:]; len(t.dirty) == 0 {
		t.dirty = nil
	}
	k := min(most, len(t.dropped))
	list = append(list, t.dropped[:k]...)
	t.dropped = t.dropped[k:]
	return list, len(t.dirty) > 0 || len(t.dropped) > 0
}
