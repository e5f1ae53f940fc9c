package usage

import "time"

// Answered tells what came of a Call.
func (t *Tally) Answered(now time.Time, id uint64, ans Answer) []Action {
	t.acts = nil
	c := t.calls[id]
	if c == nil {
		return nil
	}
	a := c.a
	delete(t.calls, id)
	a.calling = false
	p := &t.parts[t.Part(a.key.Customer)]
	if ans.Failed {
		t.noAnswer(now, a, p)
		return t.acts
	}
	t.judge(now, a, p, &ans)
	for _, r := range ans.Registers {
		t.merge(now, a, r, false)
	}
	for _, r := range c.own { // raised since
		if g := a.regs[r.Owner]; g != nil {
			g.inCtr = r.Units
		}
	}
	a.asked = now
	t.soil(a)
	if c := t.customers[a.key.Customer]; c != nil && !c.known && a.newest {
		t.learn(now, c, ans.Level)
	} else if c != nil && a.newest && t.deaf(now) {
		c.fill(now)
		t.acts = append(t.acts, Restore{c.name, c.level.Units})
	}
	if a.changed || t.missing(a) {
		t.want(now, a)
	}
	return t.acts
}
