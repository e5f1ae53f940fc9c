package usage

import "time"

// refill: nothing that the part held is taken for granted; what is known here
// goes in again as the budget allows, own registers by this node, others' only
// where there are none.
func (t *Tally) refill(now time.Time, cause *account, p *part) {
	p.good, p.lacks = 0, 0
	num := t.Part(cause.key.Customer)
	for _, a := range t.ordered() {
		if t.Part(a.key.Customer) != num {
			continue
		}
		for _, g := range a.regs {
			g.inCtr = min(g.inCtr, 0) - 1 // marked as to be put in again
		}
		t.soil(a)
		if a != cause {
			t.want(now, a)
		}
	}
}

// missing tells whether registers that are this node's to raise are not in the
// counter as they should be.
func (t *Tally) missing(a *account) bool {
	for o, g := range a.regs {
		if o.Node == t.set.Me.Node && g.inCtr < g.units || t.fallen(a, o, g) {
			return true
		}
	}
	return false
}

// fallen tells whether the counter holds a register of a dead process lower than
// it was. Its owner raises it no more: who knew it does. Two that knew different
// amounts may undo each other once; the larger stands at the end.
func (t *Tally) fallen(a *account, o Owner, g *register) bool {
	return !a.asked.IsZero() && g.inCtr > 0 && g.inCtr < g.units && o.Incarnation < t.latest[o.Node]
}
