package usage

import (
	"fmt"
	"testing"
	"time"
)

// Guards against saves that write more than what has changed since the last save.
func TestStorageChangesListOnlyChangedEntries(t *testing.T) {
	withFleet(t, func(f *fleet) {
		n := f.nodes[0]
		for i := range 50 {
			f.forward(n, fmt.Sprint("c", i), 1)
		}
		if changes, more := n.tracker.StorageChanges(f.now, 1000); len(changes) != 50 || more {
			t.Fatalf("%d changes, more %v; want 50 changes and no more", len(changes), more)
		}
		if changes, _ := n.tracker.StorageChanges(f.now, 1000); len(changes) != 0 {
			t.Fatalf("%d changes though nothing changed", len(changes))
		}
		f.forward(n, "c7", 1)
		if changes, _ := n.tracker.StorageChanges(f.now, 1000); len(changes) != 1 || changes[0].Units != 2000 {
			t.Fatalf("changes %v, want one entry of 2000 milli-units", changes)
		}
		f.advance(3 * time.Minute) // the counter confirms all entries, and the window closes
		n.tracker.StorageChanges(f.now, 1000)
		if changes, _ := n.tracker.StorageChanges(f.now, 1000); len(changes) != 0 {
			t.Fatalf("changes %v, want none", changes)
		}
	})
}

// Measures how long the event loop is blocked by collecting the changes of 100,000 customers at
// once, and of 2,000 customers at a time.
func BenchmarkStorageChanges(b *testing.B) {
	for _, limit := range []int{100_000, 2000} {
		b.Run(fmt.Sprint(limit), func(b *testing.B) {
			tracker := New(singleNodeSettings(1, time.Hour, Plan{1, 5}))
			forward := func() {
				for i := range 100_000 {
					tracker.RecordForwarded(startTime, fmt.Sprint("c", i), "p", nil, 1)
				}
			}
			forward()
			for b.Loop() {
				if _, more := tracker.StorageChanges(startTime, limit); !more {
					b.StopTimer()
					forward()
					b.StartTimer()
				}
			}
		})
	}
}
