package usage

import "time"

// HandleResponse tells what came of a Call.
func (t *Tracker) HandleResponse(now time.Time, id uint64, ans CounterResponse) []Action {
	t.actions = nil
	c := t.inFlight[id]
	if c == nil {
		return nil
	}
	a := c.total
	delete(t.inFlight, id)
	a.callInFlight = false
	p := &t.shards[t.ShardOf(a.key.Customer)]
	if ans.Failed {
		t.handleFailure(now, a, p)
		return t.actions
	}
	t.assessResponse(now, a, p, &ans)
	for _, r := range ans.Entries {
		t.merge(now, a, r, false)
	}
	for _, r := range c.raised { // raised since
		if g := a.entries[r.Writer]; g != nil {
			g.confirmed = r.Units
		}
	}
	a.respondedAt = now
	t.queueStorage(a)
	if c := t.customers[a.key.Customer]; c != nil && !c.levelKnown && a.current {
		t.learnLevel(now, c, ans.Level)
	} else if c != nil && a.current && t.isolated(now) {
		c.refill(now)
		t.actions = append(t.actions, RestoreLevel{c.name, c.level.Units})
	}
	if a.changedSinceCall || t.hasUnconfirmed(a) {
		t.queueCall(now, a)
	}
	return t.actions
}
