package usage

import (
	"testing"
	"time"
)

// A dead process's total that an old copy of the counter brought back lower is
// raised again by a node that knew it, and by nobody while its process may live.
func TestEntryOfDeadWriterIsRaisedAgain(t *testing.T) {
	withFleet(t, func(w *fleet) {
		w.forward(w.nodes[0], "a", 4)
		w.advance(3 * time.Second)
		old := w.copies[0].clone()
		w.forward(w.nodes[0], "a", 4)
		w.forward(w.nodes[1], "a", 1)
		w.advance(8 * time.Second) // node 1 has read it
		k := TotalKey{"a", w.nodes[0].tracker.windowAt(w.now)}
		w.restart(w.nodes[0], false)
		w.copies[0], w.copies[1] = old, old
		w.forward(w.nodes[0], "a", 1) // its new process is heard of
		w.forward(w.nodes[1], "a", 1)
		w.advance(12 * time.Second)
		if got := w.copies[0].totals[k][WriterID{0, 1}]; got != 8000 {
			t.Fatalf("the counter holds %d of the dead process, which passed 8000", got)
		}
	})
}
