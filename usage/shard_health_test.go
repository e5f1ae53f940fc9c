package usage

import (
	"fmt"
	"testing"
	"time"
)

// Each fault is told for what it is, and not for another.
func TestShardStateNamesTheFault(t *testing.T) {
	for name, c := range map[string]struct {
		want  ShardState
		fault func(w *fleet)
	}{
		"sound":             {Healthy, func(w *fleet) {}},
		"silent":            {Unresponsive, func(w *fleet) { w.fault = "silent"; w.forwardSteadily(3 * time.Second); w.fault = "" }},
		"answers lost":      {Unresponsive, func(w *fleet) { w.fault = "lost"; w.forwardSteadily(3 * time.Second); w.fault = "" }},
		"empty replacement": {Emptied, func(w *fleet) { w.replaceWithEmpty() }},
		"old copy": {Stale, func(w *fleet) {
			old := w.copies[0].clone()
			w.forwardSteadily(time.Second)
			w.copies[0], w.copies[1] = old, old
		}},
		"old copy of another": {Replaced, func(w *fleet) {
			old := w.copies[0].clone()
			old.epoch = "x"
			w.copies[0], w.copies[1] = old, old
		}},
		"split": {Diverged, func(w *fleet) {
			w.divide()
			for range 40 { // each customer on both sides
				w.forward(w.nodes[0], "a", 1)
				w.forward(w.nodes[1], "a", 1)
				w.advance(200 * time.Millisecond)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(w *fleet) {
				w.forwardSteadily(5 * time.Second)
				c.fault(w)
				w.forwardSteadily(3 * time.Second)
				if !w.reported(c.want) {
					w.t.Fatalf("not seen: %v", w.notes)
				}
				for _, s := range []ShardState{Unresponsive, Emptied, Replaced, Stale, Diverged} {
					if s != c.want && w.reported(s) {
						w.t.Fatalf("taken for %v: %v", s, w.notes)
					}
				}
				w.heal("both")
				w.forwardSteadily(5 * time.Second)
				for _, m := range w.nodes {
					if s := m.tracker.ShardState(0); s != Healthy {
						w.t.Fatalf("node %d believes %v once healed", m.index, s)
					}
				}
			})
		})
	}
}

// A fault of one part touches the names on it alone.
func TestFaultOfOneShardLeavesOtherShardsCorrect(t *testing.T) {
	s := Settings{Self: WriterID{0, 1}, Shards: 2, Window: time.Hour, RetainedWindows: 5, CallsPerSecond: 100, PeerMessagesPerSecond: 5, Plans: map[string]Plan{"p": {10, 20}}}
	tl := New(s)
	parts := []*fakeShard{newFakeShard("1"), newFakeShard("1")}
	now := startTime
	passed := map[string]MilliUnits{}
	var carry func(acts []Action)
	silent := -1
	var notes []OperatorNote
	carry = func(acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case CounterCall:
				ans := CounterResponse{Failed: true}
				if a.Shard != silent {
					ans = parts[a.Shard].execute(a)
				}
				carry(tl.HandleResponse(now, a.ID, ans))
			case OperatorNote:
				notes = append(notes, a)
			}
		}
	}
	run := func() {
		for i := range 50 {
			now = now.Add(100 * time.Millisecond)
			name := fmt.Sprint("c", i%10)
			carry(tl.RecordRequest(now, name, "p", []int{0, 1}))
			tl.RecordForwarded(now, name, "p", []int{0, 1}, 1)
			passed[name] += 1000
			carry(tl.Tick(now))
		}
	}
	check := func(skip int) {
		t.Helper()
		k := TotalKey{Window: tl.windowAt(now)}
		for name, want := range passed {
			k.Customer = name
			if p := tl.ShardOf(name); p != skip {
				if got := parts[p].totals[k][s.Self]; got != want {
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
	if tl.ShardState(0) != Healthy || tl.ShardState(1) != Unresponsive {
		t.Errorf("states %v, %v", tl.ShardState(0), tl.ShardState(1))
	}
	silent = -1
	parts[1] = newFakeShard("2")
	run()
	run()
	check(-1)
	for _, n := range notes {
		if n.Shard == 0 && n.State != Healthy {
			t.Errorf("%+v", n)
		}
	}
}
