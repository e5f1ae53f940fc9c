package usage

import (
	"testing"
	"time"
)

// The entry of a dead process that an old copy of the counter brought back lower is raised
// again by a node that knew it.
func TestEntryOfDeadWriterIsRaisedAgain(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.forward(f.nodes[0], "a", 4)
		f.advance(3 * time.Second)
		old := f.copies[0].clone()
		f.forward(f.nodes[0], "a", 4)
		f.forward(f.nodes[1], "a", 1)
		f.advance(8 * time.Second) // node 1 has read it
		key := TotalKey{"a", f.nodes[0].tracker.windowAt(f.now)}
		f.restart(f.nodes[0], false)
		f.replaceWith(old)
		f.forward(f.nodes[0], "a", 1) // peers learn of its new process
		f.forward(f.nodes[1], "a", 1)
		f.advance(12 * time.Second)
		if got := f.copies[0].totals[key][WriterID{0, 1}]; got != 8000 {
			t.Fatalf("the counter holds %d of the dead process, which forwarded 8000", got)
		}
	})
}
