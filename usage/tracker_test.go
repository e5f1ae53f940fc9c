package usage

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// singleNodeSettings returns the settings of node 0, with one plan named "p".
func singleNodeSettings(shards int, window time.Duration, plan Plan) Settings {
	return Settings{
		Self:                  WriterID{0, 1},
		Shards:                shards,
		Window:                window,
		RetainedWindows:       5,
		CommandsPerSecond:     50,
		PeerMessagesPerSecond: 5,
		Plans:                 map[string]Plan{"p": plan},
	}
}

// Measures a tick with many customers, most of which are idle.
func BenchmarkTick(b *testing.B) {
	for _, customers := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			before := heapInUse()
			tracker, names := newIdleTracker(customers)
			now := startTime.Add(time.Minute)
			perCustomer := float64(heapInUse()-before) / float64(customers)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(tickInterval)
				for range 100 { // requests of the active customers
					i++
					tracker.RecordForwarded(now, names[i%100], "p", []int{0, 1}, 1)
				}
				for _, action := range tracker.Tick(now) {
					if call, ok := action.(CounterCall); ok {
						response := CounterResponse{Epoch: "1", Entries: confirmedEntries(tracker.totals[call.Key])}
						tracker.HandleResponse(now, call.ID, response)
					}
				}
			}
			b.ReportMetric(perCustomer, "B/customer")
		})
	}
}

// newIdleTracker returns a Tracker whose customers have usage that the counter has confirmed, with
// empty queues, and the customers' names.
func newIdleTracker(customers int) (tracker *Tracker, names []string) {
	tracker = New(singleNodeSettings(2, time.Hour, Plan{1, 5}))
	names = make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("c", i)
		tracker.RecordForwarded(startTime, names[i], "p", []int{0, 1}, 1)
	}
	for _, total := range tracker.totals {
		for _, entry := range total.entries {
			entry.confirmed = 1000
		}
		total.callQueued = false
		total.changedSinceCall = false
		total.recentlyUsed = false
	}
	tracker.callQueue = nil
	tracker.gossipQueue = nil
	tracker.recentlyUsed = nil
	return tracker, names
}

// confirmedEntries returns the entries of a total that the counter holds.
func confirmedEntries(total *windowTotal) []CounterEntry {
	var entries []CounterEntry
	for writer, entry := range total.entries {
		entries = append(entries, CounterEntry{total.key, writer, entry.confirmed})
	}
	return entries
}

// heapInUse returns the bytes in use on the heap after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
