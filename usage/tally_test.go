package usage

import (
	"flag"
	"fmt"
	"maps"
	"runtime"
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

// Random faults of counter, messages and nodes, alone and together. At all
// times nothing counts twice. Once all is healed the counter holds all that any
// living process passed, and all that was saved of dead ones.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		surely := map[Key]map[Owner]Milli{} // saved, or the process lives
		customer := rapid.SampledFrom([]string{"a", "b", "c"})
		node := rapid.IntRange(0, 3)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				m := w.nodes[node.Draw(t, "node")]
				w.pass(m, customer.Draw(t, "customer"), float64(rapid.IntRange(1, 4).Draw(t, "units")))
			},
			"time": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"save": func(t *rapid.T) {
				m := w.nodes[node.Draw(t, "node")]
				m.save(w.now)
			},
			"kill": func(t *rapid.T) { w.restart(w.nodes[node.Draw(t, "node")], true) },
			"lose disk": func(t *rapid.T) {
				w.restart(w.nodes[node.Draw(t, "node")], false)
			},
			"fault": func(t *rapid.T) { w.fault = rapid.SampledFrom([]string{"", "silent", "lost"}).Draw(t, "fault") },
			"empty": func(t *rapid.T) { w.empty() },
			"copy":  func(t *rapid.T) { w.old = w.side[0].clone() },
			"mail":  func(t *rapid.T) { w.mail = !w.mail },
			"split": func(t *rapid.T) { w.cut() },
			"heal":  func(t *rapid.T) { w.heal(rapid.SampledFrom([]string{"first", "second", "both"}).Draw(t, "how")) },
			"old copy back": func(t *rapid.T) {
				if w.old != nil && !w.split {
					w.side[0] = w.old.clone()
					w.side[1] = w.side[0]
				}
			},
			"": func(t *rapid.T) { w.check() },
		})
		w.heal("first")
		w.fault, w.mail = "", true
		w.run(12 * time.Second)
		w.check()
		for _, m := range w.nodes {
			for k, owners := range w.truth {
				o := Owner{m.n, m.inc}
				if surely[k] == nil {
					surely[k] = map[Owner]Milli{}
				}
				if u, ok := owners[o]; ok {
					surely[k][o] = u
				}
			}
		}
		for k, owners := range surely {
			for o, u := range owners {
				if got := w.side[0].regs[k][o]; got != u {
					t.Fatalf("healed, the counter holds %d of %v for %v, %d passed", got, o, k, u)
				}
			}
		}
	})
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

func (w *world) busy(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for i, m := range w.nodes {
			w.pass(m, []string{"a", "b"}[i%2], 1)
		}
		w.run(200 * time.Millisecond)
	}
}

// Each fault is told for what it is, and not for another.
func TestStates(t *testing.T) {
	for name, c := range map[string]struct {
		want  State
		fault func(w *world)
	}{
		"sound":             {Sound, func(w *world) {}},
		"silent":            {Silent, func(w *world) { w.fault = "silent"; w.busy(3 * time.Second); w.fault = "" }},
		"answers lost":      {Silent, func(w *world) { w.fault = "lost"; w.busy(3 * time.Second); w.fault = "" }},
		"empty replacement": {Emptied, func(w *world) { w.empty() }},
		"old copy": {Behind, func(w *world) {
			old := w.side[0].clone()
			w.busy(time.Second)
			w.side[0], w.side[1] = old, old
		}},
		"old copy of another": {Replaced, func(w *world) {
			old := w.side[0].clone()
			old.epoch = "x"
			w.side[0], w.side[1] = old, old
		}},
		"split": {Split, func(w *world) {
			w.cut()
			for range 40 { // each customer on both sides
				w.pass(w.nodes[0], "a", 1)
				w.pass(w.nodes[1], "a", 1)
				w.run(200 * time.Millisecond)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			fixed(t, func(w *world) {
				w.busy(5 * time.Second)
				c.fault(w)
				w.busy(3 * time.Second)
				if !w.saw(c.want) {
					w.t.Fatalf("not seen: %v", w.notes)
				}
				for _, s := range []State{Silent, Emptied, Replaced, Behind, Split} {
					if s != c.want && w.saw(s) {
						w.t.Fatalf("taken for %v: %v", s, w.notes)
					}
				}
				w.heal("both")
				w.busy(5 * time.Second)
				for _, m := range w.nodes {
					if s := m.t.State(0); s != Sound {
						w.t.Fatalf("node %d believes %v once healed", m.n, s)
					}
				}
			})
		})
	}
}

// A restarted node learns from the counter how full a store is.
func TestRestore(t *testing.T) {
	fixed(t, func(w *world) {
		w.busy(10 * time.Second) // customer a at 10 a second, which is its rate
		w.pass(w.nodes[2], "a", 15)
		w.run(time.Second)
		w.restart(w.nodes[0], false)
		got := -1.0
		m := w.nodes[0]
		for _, a := range m.t.Seen(w.now, "a", "p", w.peers()) {
			if c, ok := a.(Call); ok {
				for _, a := range m.t.Answered(w.now, c.ID, w.side[0].do(c)) {
					if r, ok := a.(Restore); ok && r.Customer == "a" {
						got = r.Units
					}
				}
			}
		}
		if got < 10 || got > 20 { // 20 - 15 + 10 of the second since
			w.t.Fatalf("restored %v", got)
		}
	})
}

// A fault of one part touches the names on it alone.
func TestOnePart(t *testing.T) {
	s := Settings{Me: Owner{0, 1}, Parts: 2, Window: time.Hour, Keep: 5, Calls: 100, Mail: 5, Rates: map[string]Plan{"p": {10, 20}}}
	tl := New(s)
	parts := []*holds{newHolds("1"), newHolds("1")}
	now := epoch0
	passed := map[string]Milli{}
	var carry func(acts []Action)
	silent := -1
	var notes []Note
	carry = func(acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case Call:
				ans := Answer{Failed: true}
				if a.Part != silent {
					ans = parts[a.Part].do(a)
				}
				carry(tl.Answered(now, a.ID, ans))
			case Note:
				notes = append(notes, a)
			}
		}
	}
	run := func() {
		for i := range 50 {
			now = now.Add(100 * time.Millisecond)
			name := fmt.Sprint("c", i%10)
			carry(tl.Seen(now, name, "p", []int{0, 1}))
			tl.Passed(now, name, "p", []int{0, 1}, 1)
			passed[name] += 1000
			carry(tl.Tick(now))
		}
	}
	check := func(skip int) {
		t.Helper()
		k := Key{Window: tl.window(now)}
		for name, want := range passed {
			k.Customer = name
			if p := tl.Part(name); p != skip {
				if got := parts[p].regs[k][s.Me]; got != want {
					t.Errorf("%s on part %d: %d, %d passed", name, p, got, want)
				}
			}
		}
	}
	run()
	check(-1)
	silent = 1
	run()
	check(1)
	if tl.State(0) != Sound || tl.State(1) != Silent {
		t.Errorf("states %v, %v", tl.State(0), tl.State(1))
	}
	silent = -1
	parts[1] = newHolds("2")
	run()
	run()
	check(-1)
	for _, n := range notes {
		if n.Part == 0 && n.State != Sound {
			t.Errorf("%+v", n)
		}
	}
}

// Calls keep to the budget, however many customers there are.
func TestBudget(t *testing.T) {
	s := Settings{Me: Owner{0, 1}, Parts: 2, Window: time.Minute, Keep: 5, Calls: 50, Mail: 5, Rates: map[string]Plan{"p": {1, 5}}}
	tl := New(s)
	now, calls := epoch0, 0
	var out []Call
	carry := func(acts []Action) {
		for _, a := range acts {
			if c, ok := a.(Call); ok {
				calls += c.Cost()
				out = append(out, c)
			}
		}
	}
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		for k := range 50 {
			name := fmt.Sprint("c", (i*50+k)%5000)
			carry(tl.Seen(now, name, "p", []int{0, 1, 2}))
			tl.Passed(now, name, "p", []int{0, 1, 2}, 1)
		}
		carry(tl.Tick(now))
		for _, c := range out {
			carry(tl.Answered(now, c.ID, Answer{Epoch: "1", Registers: c.Raise}))
		}
		out = out[:0]
	}
	if calls < 2500 || calls > 3200 {
		t.Errorf("%d commands in a minute at 50 a second", calls)
	}
}

// A tick with many customers, most idle.
func BenchmarkTick(b *testing.B) {
	for _, customers := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			s := Settings{Me: Owner{0, 1}, Parts: 2, Window: time.Hour, Keep: 5, Calls: 50, Mail: 5, Rates: map[string]Plan{"p": {1, 5}}}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tl := New(s)
			now := epoch0
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("c", i)
				tl.Passed(now, names[i], "p", []int{0, 1}, 1)
				for _, a := range tl.accounts[Key{names[i], tl.window(now)}].owners() {
					tl.accounts[Key{names[i], tl.window(now)}].regs[a].inCtr = 1000
				}
			}
			for _, a := range tl.wanting {
				a.queued, a.changed = false, false
			}
			for _, a := range tl.recent {
				a.recent = false
			}
			tl.wanting, tl.untold, tl.recent = nil, nil, nil
			now = now.Add(time.Minute) // idle since
			runtime.GC()
			runtime.ReadMemStats(&after)
			perCustomer := float64(after.HeapAlloc-before.HeapAlloc) / float64(customers)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				for range 100 { // busy ones
					i++
					tl.Passed(now, names[i%100], "p", []int{0, 1}, 1)
				}
				for _, a := range tl.Tick(now) {
					if c, ok := a.(Call); ok {
						var held []Register
						for o, g := range tl.accounts[c.Key].regs {
							held = append(held, Register{c.Key, o, g.inCtr})
						}
						tl.Answered(now, c.ID, Answer{Epoch: "1", Registers: held})
					}
				}
			}
			b.ReportMetric(perCustomer, "B/customer")
		})
	}
}
