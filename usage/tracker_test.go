package usage

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// A tick with many customers, most idle.
func BenchmarkTick(b *testing.B) {
	for _, customers := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			s := Settings{Self: WriterID{0, 1}, Shards: 2, Window: time.Hour, RetainedWindows: 5, CallsPerSecond: 50, PeerMessagesPerSecond: 5, Plans: map[string]Plan{"p": {1, 5}}}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tl := New(s)
			now := startTime
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("c", i)
				tl.RecordForwarded(now, names[i], "p", []int{0, 1}, 1)
				for _, a := range tl.totals[TotalKey{names[i], tl.windowAt(now)}].sortedWriters() {
					tl.totals[TotalKey{names[i], tl.windowAt(now)}].entries[a].confirmed = 1000
				}
			}
			for _, a := range tl.callQueue {
				a.callQueued, a.changedSinceCall = false, false
			}
			for _, a := range tl.recentlyUsed {
				a.recentlyUsed = false
			}
			tl.callQueue, tl.gossipQueue, tl.recentlyUsed = nil, nil, nil
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
					tl.RecordForwarded(now, names[i%100], "p", []int{0, 1}, 1)
				}
				for _, a := range tl.Tick(now) {
					if c, ok := a.(CounterCall); ok {
						var held []CounterEntry
						for o, g := range tl.totals[c.Key].entries {
							held = append(held, CounterEntry{c.Key, o, g.confirmed})
						}
						tl.HandleResponse(now, c.ID, CounterResponse{Epoch: "1", Entries: held})
					}
				}
			}
			b.ReportMetric(perCustomer, "B/customer")
		})
	}
}
