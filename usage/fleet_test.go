package usage

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") } // the same verdict every time

var epoch0 = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// copy of the counter: what one part holds.
type holds struct {
	epoch string
	regs  map[Key]map[Owner]Milli
	level map[string]Level
}

func newHolds(epoch string) *holds {
	return &holds{epoch, map[Key]map[Owner]Milli{}, map[string]Level{}}
}

func (h *holds) clone() *holds {
	c := newHolds(h.epoch)
	for k, m := range h.regs {
		c.regs[k] = maps.Clone(m)
	}
	c.level = maps.Clone(h.level)
	return c
}

// do carries out a call as the counter does.
func (h *holds) do(c Call) Answer {
	m := h.regs[c.Key]
	if m == nil {
		m = map[Owner]Milli{}
		h.regs[c.Key] = m
	}
	ans := Answer{Level: h.level[c.Key.Customer]}
	if c.Epoch {
		ans.Epoch = h.epoch
	}
	for o, u := range m {
		ans.Registers = append(ans.Registers, Register{c.Key, o, u})
	}
	for _, r := range c.Raise {
		m[r.Owner] = r.Units
	}
	for _, r := range c.Seed {
		if _, have := m[r.Owner]; !have {
			m[r.Owner] = r.Units
		}
	}
	if !c.Level.At.IsZero() {
		h.level[c.Key.Customer] = c.Level
	}
	return ans
}

// merge takes the other's totals in, by the larger.
func (h *holds) merge(o *holds) {
	for k, m := range o.regs {
		if h.regs[k] == nil {
			h.regs[k] = map[Owner]Milli{}
		}
		for owner, u := range m {
			h.regs[k][owner] = max(h.regs[k][owner], u)
		}
	}
}

// world is a fleet with a counter in two copies (one, but for a split).
type world struct {
	t     *rapid.T
	now   time.Time
	nodes []*member
	side  [2]*holds
	split bool
	old   *holds
	fault string // "", silent, lost (done, but the answer is lost)
	epoch int
	mail  bool // messages between nodes arrive
	truth map[Key]map[Owner]Milli
	notes []Note
}

type member struct {
	t    *Tally
	disk map[Register]Milli // as last saved, by register without its units
	inc  uint64
	n    int
}

func (w *world) settings(n int, inc uint64) Settings {
	return Settings{Me: Owner{n, inc}, Parts: 1, Window: time.Minute, Keep: 60, Calls: 200, Mail: 50,
		Rates: map[string]Plan{"p": {Rate: 10, Burst: 20}}}
}

func newWorld(t *rapid.T, nodes int) *world {
	w := &world{t: t, now: epoch0, truth: map[Key]map[Owner]Milli{}, mail: true, epoch: 1}
	w.side[0] = newHolds("1")
	w.side[1] = w.side[0]
	for i := range nodes {
		w.nodes = append(w.nodes, &member{t: New(w.settings(i, 1)), disk: map[Register]Milli{}, inc: 1, n: i})
	}
	return w
}

func (w *world) peers() []int {
	var all []int
	for i := range w.nodes {
		all = append(all, i)
	}
	return all
}

// carry carries out what a node wants.
func (w *world) carry(m *member, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Call:
			ans := Answer{Failed: true}
			if w.fault != "silent" {
				got := w.side[m.n%2].do(a)
				if w.fault != "lost" {
					ans = got
				}
			}
			w.carry(m, m.t.Answered(w.now, a.ID, ans))
		case Tell:
			if w.mail && len(a.Registers) <= tellMost {
				w.nodes[a.To].t.Heard(w.now, m.n, a.Registers)
			}
		case Note:
			w.notes = append(w.notes, a)
		}
	}
}

func (w *world) pass(m *member, customer string, units float64) {
	k := Key{customer, m.t.window(w.now)}
	if w.truth[k] == nil {
		w.truth[k] = map[Owner]Milli{}
	}
	w.truth[k][Owner{m.n, m.inc}] += Milli(units * 1000)
	w.carry(m, m.t.Seen(w.now, customer, "p", w.peers()))
	m.t.Passed(w.now, customer, "p", w.peers(), units)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, m := range w.nodes {
			w.carry(m, m.t.Tick(w.now))
		}
	}
}

func (w *world) busy(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for i, m := range w.nodes {
			w.pass(m, []string{"a", "b"}[i%2], 1)
		}
		w.run(200 * time.Millisecond)
	}
}

func (w *world) restart(m *member, disk bool) {
	m.inc++
	m.t = New(w.settings(m.n, m.inc))
	if disk {
		var list []Register
		for r, units := range m.disk {
			list = append(list, Register{r.Key, r.Owner, units})
		}
		m.t.Recall(w.now, list)
	} else {
		m.disk = map[Register]Milli{}
	}
}

// save does what the store does with changes.
func (m *member) save(now time.Time) {
	for more := true; more; {
		var list []Register
		list, more = m.t.Changes(now, 2)
		for _, r := range list {
			key := Register{Key: r.Key, Owner: r.Owner}
			if m.disk[key] = r.Units; r.Units == 0 {
				delete(m.disk, key)
			}
		}
	}
}

// empty is an empty counter in the place of the old one.
func (w *world) empty() {
	w.epoch++
	w.side[0] = newHolds(fmt.Sprint(w.epoch))
	w.side[1] = w.side[0]
}

func (w *world) cut() {
	if !w.split {
		w.side[1] = w.side[0].clone()
		w.split = true
	}
}

func (w *world) heal(how string) {
	switch how {
	case "first":
		w.side[1] = w.side[0]
	case "second":
		w.side[0] = w.side[1]
	case "both":
		w.side[0].merge(w.side[1])
		w.side[1] = w.side[0]
	}
	w.split = false
}

// check: nothing counts twice, and no node believes more than the truth, nor
// less than what it passed itself.
func (w *world) check() {
	for _, h := range w.side {
		for k, m := range h.regs {
			for o, u := range m {
				if u > w.truth[k][o] {
					w.t.Fatalf("counter holds %d of %v for %v, %d passed", u, o, k, w.truth[k][o])
				}
			}
		}
	}
	for _, m := range w.nodes {
		for k, a := range m.t.accounts {
			var sum Milli
			for o, g := range a.regs {
				if g.units > w.truth[k][o] {
					w.t.Fatalf("node %d believes %d of %v for %v, %d passed", m.n, g.units, o, k, w.truth[k][o])
				}
				sum += g.units
			}
			if own := w.truth[k][Owner{m.n, m.inc}]; sum < own {
				w.t.Fatalf("node %d believes %d for %v, passed %d itself", m.n, sum, k, own)
			}
		}
	}
}

// fixed is a world outside of rapid, for single faults.
func fixed(t *testing.T, f func(w *world)) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) { f(newWorld(rt, 4)) })
}

func (w *world) saw(s State) bool {
	for _, n := range w.notes {
		if n.State == s {
			return true
		}
	}
	return false
}
