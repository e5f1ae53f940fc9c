package usage

import (
	"cmp"
	"container/heap"
	"time"
)

// Tuned values of calls.
const (
	mostCalls  = 64          // out at once, over all parts
	epochEvery = time.Second // a part\'s epoch is asked for
	nearQuota  = 2.0         // seconds of waiting that an empty store is worth then
)

// call is one call out.
type call struct {
	a   *account
	own []Register
}

// want puts an account among those that want a call.
func (t *Tally) want(now time.Time, a *account) {
	a.changed = true
	if !a.queued && !a.calling {
		a.queued, a.since = true, now
		t.wanting = append(t.wanting, a)
	}
}

// call makes calls for those that want one: where most is not in the counter
// first, against what the plan lets pass at once, then who waits longest.
func (t *Tally) call(now time.Time) {
	if len(t.wanting) == 0 || t.budget < 1 || len(t.calls) >= mostCalls {
		return
	}
	h := make(byUrgency, 0, len(t.wanting))
	deaf := t.deaf(now)
	left := t.wanting[:0]
	for _, a := range t.wanting {
		if now.Before(t.parts[t.Part(a.key.Customer)].askAt) {
			left = append(left, a)
			continue
		}
		u := now.Sub(a.since).Seconds()
		if g := a.regs[t.set.Me]; g != nil {
			u += float64(g.units-g.inCtr) / 1000 / (a.plan.Burst + 1)
		}
		if a.asked.IsZero() {
			u++
		}
		if c := t.customers[a.key.Customer]; deaf && c != nil && a.newest && c.plan.Burst > 0 {
			u += nearQuota * (1 - c.levelAt(now)/c.plan.Burst) // who is near its quota is decided by it
		}
		h = append(h, urgent{u, a})
	}
	heap.Init(&h)
	for len(h) > 0 && t.budget >= 1 && len(t.calls) < mostCalls {
		a := heap.Pop(&h).(urgent).a
		num := t.Part(a.key.Customer)
		p := &t.parts[num]
		if now.Before(p.askAt) {
			left = append(left, a)
			continue
		}
		a.queued = false
		if p.state == Silent {
			p.askAt = now.Add(p.wait) // one call finds out
		}
		t.send(now, a, num)
	}
	for _, u := range h {
		left = append(left, u.a)
	}
	clear(t.wanting[len(left):])
	t.wanting = left
}

// byUrgency is a heap: few of many wanting get a call.
type byUrgency []urgent

type urgent struct {
	by float64
	a  *account
}

func (h byUrgency) Len() int      { return len(h) }
func (h byUrgency) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *byUrgency) Push(x any)   { *h = append(*h, x.(urgent)) }

func (h byUrgency) Less(i, k int) bool {
	if h[i].by != h[k].by {
		return h[i].by > h[k].by
	}
	a, b := h[i].a.key, h[k].a.key
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Window, b.Window)) < 0
}

func (h *byUrgency) Pop() any {
	old := *h
	u := old[len(old)-1]
	*h = old[:len(old)-1]
	return u
}

func (t *Tally) send(now time.Time, a *account, p int) {
	t.nextID++
	c := Call{ID: t.nextID, Part: p, Key: a.key, Expire: a.asked.IsZero()}
	if now.Sub(t.parts[p].asked) > epochEvery {
		c.Epoch, t.parts[p].asked = true, now
	}
	for _, o := range a.owners() {
		g := a.regs[o]
		if g.inCtr >= g.units {
			continue
		}
		c.Expire = c.Expire || g.inCtr < 0
		r := Register{a.key, o, g.units}
		if o.Node == t.set.Me.Node || t.fallen(a, o, g) {
			c.Raise = append(c.Raise, r)
		} else if g.inCtr < 0 || !g.at.IsZero() && now.Sub(g.at) > settle {
			c.Seed = append(c.Seed, r)
		}
	}
	if cu := t.customers[a.key.Customer]; cu != nil && cu.known && a.newest {
		cu.fill(now)
		c.Level = cu.level
	}
	t.budget -= float64(c.Cost())
	a.calling, a.changed = true, false
	t.calls[c.ID] = &call{a, c.Raise}
	t.acts = append(t.acts, c)
}
