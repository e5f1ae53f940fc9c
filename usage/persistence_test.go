package usage

import (
	"fmt"
	"testing"
	"time"
)

// Storage is told of changes alone.
func TestStorageChangesListOnlyWhatChanged(t *testing.T) {
	withFleet(t, func(w *fleet) {
		m := w.nodes[0]
		for i := range 50 {
			w.forward(m, fmt.Sprint("c", i), 1)
		}
		if list, more := m.tracker.StorageChanges(w.now, 1000); len(list) != 50 || more {
			t.Fatalf("%d changes, more %v", len(list), more)
		}
		if list, _ := m.tracker.StorageChanges(w.now, 1000); len(list) != 0 {
			t.Fatalf("%d changes where nothing changed", len(list))
		}
		w.forward(m, "c7", 1)
		if list, _ := m.tracker.StorageChanges(w.now, 1000); len(list) != 1 || list[0].Units != 2000 {
			t.Fatalf("%v", list)
		}
		w.advance(3 * time.Minute) // all confirmed, and the window is closed
		m.tracker.StorageChanges(w.now, 1000)
		if list, _ := m.tracker.StorageChanges(w.now, 1000); len(list) != 0 {
			t.Fatalf("%v", list)
		}
	})
}

// What the loop pays for a look at what storage must change: all of 100,000
// customers at once, as a save took once a second before, and 2,000 of them.
func BenchmarkStorageChanges(b *testing.B) {
	for _, most := range []int{100_000, 2000} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			tl := New(Settings{Self: WriterID{0, 1}, Shards: 1, Window: time.Hour, RetainedWindows: 5, CallsPerSecond: 50, PeerMessagesPerSecond: 5, Plans: map[string]Plan{"p": {1, 5}}})
			pass := func() {
				for i := range 100_000 {
					tl.RecordForwarded(startTime, fmt.Sprint("c", i), "p", nil, 1)
				}
			}
			pass()
			for b.Loop() {
				if _, more := tl.StorageChanges(startTime, most); !more {
					b.StopTimer()
					pass()
					b.StartTimer()
				}
			}
		})
	}
}
