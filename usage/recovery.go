package usage

import "time"

// refill: nothing that the part held is taken for granted; what is known here
// goes in again as the budget allows, own registers by this node, others' only
// where there are none.
func (t *Tracker) restoreShard(now time.Time, cause *windowTotal, p *shardHealth) {
	p.healthyResponses, p.divergedResponses = 0, 0
	num := t.ShardOf(cause.key.Customer)
	for _, a := range t.sortedTotals() {
		if t.ShardOf(a.key.Customer) != num {
			continue
		}
		for _, g := range a.entries {
			g.confirmed = min(g.confirmed, 0) - 1 // marked as to be put in again
		}
		t.queueStorage(a)
		if a != cause {
			t.queueCall(now, a)
		}
	}
}

// hasUnconfirmed tells whether registers that are this node's to raise are not in the
// counter as they should be.
func (t *Tracker) hasUnconfirmed(a *windowTotal) bool {
	for o, g := range a.entries {
		if o.Node == t.settings.Self.Node && g.confirmed < g.units || t.needsRepair(a, o, g) {
			return true
		}
	}
	return false
}

// needsRepair tells whether the counter holds a register of a dead process lower than
// it was. Its owner raises it no more: who knew it does. Two that knew different
// amounts may undo each other once; the larger stands at the end.
func (t *Tracker) needsRepair(a *windowTotal, o WriterID, g *writerEntry) bool {
	return !a.respondedAt.IsZero() && g.confirmed > 0 && g.confirmed < g.units && o.Incarnation < t.latestIncarnation[o.Node]
}
