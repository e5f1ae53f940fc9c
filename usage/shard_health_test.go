package usage

import (
	"fmt"
	"testing"
	"time"
)

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
