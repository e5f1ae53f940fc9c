package timers

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed gives each run the same result.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// wheelModel is a Wheel with a list of the same timers, against which the test compares it.
type wheelModel struct {
	wheel  Wheel
	now    time.Duration
	span   *rapid.Generator[time.Duration] // spans from which drawTime draws times
	timers []*modelTimer
}

type modelTimer struct {
	at      time.Duration
	timer   *Timer
	fired   bool
	stopped bool
}

func (m *modelTimer) pending() bool { return !m.fired && !m.stopped }

// drawTime draws a time between 0 and a random span.
func (m *wheelModel) drawTime(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(m.span.Draw(t, "span"))).Draw(t, label))
}

func (m *wheelModel) add(t *rapid.T) {
	e := &modelTimer{at: m.now + m.drawTime(t, "after")}
	e.timer = m.wheel.Add(e.at, func() {
		if !e.pending() || m.now < e.at {
			t.Fatalf("timer fired at %v: due at %v, already fired %v, stopped %v", m.now, e.at, e.fired, e.stopped)
		}
		e.fired = true
	})
	m.timers = append(m.timers, e)
}

func (m *wheelModel) stop(t *rapid.T) {
	if len(m.timers) == 0 {
		return
	}
	e := m.timers[rapid.IntRange(0, len(m.timers)-1).Draw(t, "which")]
	if got, want := e.timer.Stop(), e.pending(); got != want {
		t.Fatalf("Stop: %v, want %v", got, want)
	}
	e.stopped = !e.fired
}

func (m *wheelModel) advance(t *rapid.T) {
	m.checkNext(t)
	m.now += m.drawTime(t, "by")
	m.wheel.Advance(m.now)
	for _, e := range m.timers {
		if e.pending() && e.at+2*tickLength <= m.now {
			t.Fatalf("timer due at %v has not fired at %v", e.at, m.now)
		}
	}
}

// checkNext fails the test if Next returns a time later than a timer is due.
func (m *wheelModel) checkNext(t *rapid.T) {
	next, ok := m.wheel.Next()
	if !ok {
		return
	}
	for _, e := range m.timers {
		if e.pending() && next > e.at+tickLength && next > m.now+tickLength {
			t.Fatalf("Next returned %v, after a timer due at %v", next, e.at)
		}
	}
}

// In random sequences of Add, Stop and Advance, each timer fires once, not early, and in the first
// Advance past its tick. Next never returns a time after a timer is due.
func TestWheelAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &wheelModel{span: rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Minute, 10 * time.Hour})}
		t.Repeat(map[string]func(*rapid.T){"add": m.add, "stop": m.stop, "advance": m.advance})
	})
}

const pendingTimers = 100_000

// Measures the use by a node: a deadline timer is added, and stopped when the response arrives, while
// many other timers are pending.
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

// Measures one Advance for which all pending timers are due.
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
