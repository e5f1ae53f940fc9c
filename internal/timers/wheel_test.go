package timers

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") } // the same verdict every time

// Random adds, stops and advances: each timer fires once, not early, and by
// the first Advance past its millisecond; what Next names is never too late.
func TestWheelAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at      time.Duration
			timer   *Timer
			fired   bool
			stopped bool
		}
		var w Wheel
		now := time.Duration(0)
		var all []*entry
		span := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Minute, 10 * time.Hour})
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				e := &entry{at: now + time.Duration(rapid.Int64Range(0, int64(span.Draw(t, "span"))).Draw(t, "after"))}
				e.timer = w.Add(e.at, func() {
					if e.fired || e.stopped || now < e.at {
						t.Fatalf("fired at %v: at %v, fired %v, stopped %v", now, e.at, e.fired, e.stopped)
					}
					e.fired = true
				})
				all = append(all, e)
			},
			"stop": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				e := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
				if got, want := e.timer.Stop(), !e.fired && !e.stopped; got != want {
					t.Fatalf("Stop: %v, want %v", got, want)
				}
				e.stopped = !e.fired
			},
			"advance": func(t *rapid.T) {
				if next, ok := w.Next(); ok {
					for _, e := range all {
						if !e.fired && !e.stopped && next > e.at+tickLength && next > now+tickLength {
							t.Fatalf("Next %v is after %v", next, e.at)
						}
					}
				}
				now += time.Duration(rapid.Int64Range(0, int64(span.Draw(t, "span"))).Draw(t, "by"))
				w.Advance(now)
				for _, e := range all {
					if !e.fired && !e.stopped && e.at+2*tickLength <= now {
						t.Fatalf("at %v not fired at %v", e.at, now)
					}
				}
			},
		})
	})
}

const pendingTimers = 100_000

// A node's use: add a deadline, stop it when the answer comes, with many pending.
func BenchmarkWheel(b *testing.B) {
	var w Wheel
	rng := rand.New(rand.NewPCG(1, 1))
	after := func() time.Duration { return time.Second + time.Duration(rng.Int64N(int64(10*time.Second))) }
	for range pendingTimers {
		w.Add(after(), func() {})
	}
	b.ReportAllocs()
	for b.Loop() {
		w.Add(after(), func() {}).Stop()
	}
}

func BenchmarkAfterFunc(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	after := func() time.Duration { return time.Minute + time.Duration(rng.Int64N(int64(time.Minute))) }
	var all []*time.Timer
	for range pendingTimers {
		all = append(all, time.AfterFunc(after(), func() {}))
	}
	b.ReportAllocs()
	for b.Loop() {
		time.AfterFunc(after(), func() {}).Stop()
	}
	for _, t := range all {
		t.Stop()
	}
}

// All pending timers run out at once.
func BenchmarkWheelExpire(b *testing.B) {
	for b.Loop() {
		var w Wheel
		for i := range pendingTimers {
			w.Add(time.Duration(i)*10*time.Microsecond, func() {})
		}
		w.Advance(2 * time.Second)
	}
}

func BenchmarkAfterFuncExpire(b *testing.B) {
	for b.Loop() {
		var all sync.WaitGroup
		all.Add(pendingTimers)
		for range pendingTimers {
			time.AfterFunc(time.Millisecond, all.Done)
		}
		all.Wait()
	}
}
