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
			s := Settings{Me: Owner{0, 1}, Parts: 2, Window: time.Hour, Keep: 5, Calls: 50, Mail: 5, Rates: map[string]Plan{"p": {1, 5}}}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tl := New(s)
			now := epoch0
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("c", i)
				tl.Passed(now, names[i], "p", []int{0, 1}, 1)
				for _, a := range tl.accounts[Key{names[i], tl.window(now)}].owners() {
					tl.accounts[Key{names[i], tl.window(now)}].regs[a].inCtr = 1000
				}
			}
			for _, a := range tl.wanting {
				a.queued, a.changed = false, false
			}
			for _, a := range tl.recent {
				a.recent = false
			}
			tl.wanting, tl.untold, tl.recent = nil, nil, nil
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
					tl.Passed(now, names[i%100], "p", []int{0, 1}, 1)
				}
				for _, a := range tl.Tick(now) {
					if c, ok := a.(Call); ok {
						var held []Register
						for o, g := range tl.accounts[c.Key].regs {
							held = append(held, Register{c.Key, o, g.inCtr})
						}
						tl.Answered(now, c.ID, Answer{Epoch: "1", Registers: held})
					}
				}
			}
			b.ReportMetric(perCustomer, "B/customer")
		})
	}
}
