package usage

import (
	"testing"
	"time"
)

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
