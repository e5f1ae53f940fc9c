package usage

import (
	"fmt"
	"testing"
	"time"
)

// What the loop pays for a look at what storage must change: all of 100,000
// customers at once, as a save took once a second before, and 2,000 of them.
func BenchmarkChanges(b *testing.B) {
	for _, most := range []int{100_000, 2000} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			tl := New(Settings{Me: Owner{0, 1}, Parts: 1, Window: time.Hour, Keep: 5, Calls: 50, Mail: 5, Rates: map[string]Plan{"p": {1, 5}}})
			pass := func() {
				for i := range 100_000 {
					tl.Passed(epoch0, fmt.Sprint("c", i), "p", nil, 1)
				}
			}
			pass()
			for b.Loop() {
				if _, more := tl.Changes(epoch0, most); !more {
					b.StopTimer()
					pass()
					b.StartTimer()
				}
			}
		})
	}
}

// A dead process's total that an old copy of the counter brought back lower is
// raised again by a node that knew it, and by nobody while its process may live.
func TestFallenIsRaised(t *testing.T) {
	fixed(t, func(w *world) {
		w.pass(w.nodes[0], "a", 4)
		w.run(3 * time.Second)
		old := w.side[0].clone()
		w.pass(w.nodes[0], "a", 4)
		w.pass(w.nodes[1], "a", 1)
		w.run(8 * time.Second) // node 1 has read it
		k := Key{"a", w.nodes[0].t.window(w.now)}
		w.restart(w.nodes[0], false)
		w.side[0], w.side[1] = old, old
		w.pass(w.nodes[0], "a", 1) // its new process is heard of
		w.pass(w.nodes[1], "a", 1)
		w.run(12 * time.Second)
		if got := w.side[0].regs[k][Owner{0, 1}]; got != 8000 {
			t.Fatalf("the counter holds %d of the dead process, which passed 8000", got)
		}
	})
}

// Storage is told of changes alone.
func TestChangesAlone(t *testing.T) {
	fixed(t, func(w *world) {
		m := w.nodes[0]
		for i := range 50 {
			w.pass(m, fmt.Sprint("c", i), 1)
		}
		if list, more := m.t.Changes(w.now, 1000); len(list) != 50 || more {
			t.Fatalf("%d changes, more %v", len(list), more)
		}
		if list, _ := m.t.Changes(w.now, 1000); len(list) != 0 {
			t.Fatalf("%d changes where nothing changed", len(list))
		}
		w.pass(m, "c7", 1)
		if list, _ := m.t.Changes(w.now, 1000); len(list) != 1 || list[0].Units != 2000 {
			t.Fatalf("%v", list)
		}
		w.run(3 * time.Minute) // all confirmed, and the window is closed
		m.t.Changes(w.now, 1000)
		if list, _ := m.t.Changes(w.now, 1000); len(list) != 0 {
			t.Fatalf("%v", list)
		}
	})
}
