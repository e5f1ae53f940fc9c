package authz

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") } // the same verdict every time

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func settings(targets int) Settings {
	return Settings{Addresses: targets, Timeout: 200 * time.Millisecond, MaxInFlight: 32, Seed: 1,
		Classes: map[string]Class{"skip": {Mode: Skip, LatencyObjective: time.Second}, "refuse": {Mode: FailClosed, LatencyObjective: 400 * time.Millisecond, PriorityWeight: 2},
			"allow": {Mode: FailOpen, LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1}, "keeps": {Mode: FailClosed, LatencyObjective: 400 * time.Millisecond, CacheTTL: time.Minute}},
		Plans: map[string]Plan{"p": {Rate: 5, Burst: 10}}}
}

// Whatever comes: each request is settled once, in its time; one Check is out for
// it at most; Checks out keep to the bounds; who needs an answer never passes
// without one.
func TestDecider(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 3).Draw(t, "targets")
		d := New(settings(targets))
		now, id := epoch, uint64(0)
		type req struct {
			class string
			until time.Time
			out   bool
			try   int
			given time.Time
		}
		open := map[uint64]*req{}
		var wakes []time.Time
		answered := map[uint64]bool{} // an allowing or denying answer was given
		carry := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case SendCheck:
					r := open[a.ID]
					if r == nil || r.out {
						t.Fatalf("%+v for a request that is settled, or has one out", a)
					}
					if a.Timeout <= 0 || a.Timeout > 200*time.Millisecond || now.Add(a.Timeout).After(r.until) || a.Address >= targets {
						t.Fatalf("%+v with %v left", a, r.until.Sub(now))
					}
					r.out, r.try, r.given = true, a.Attempt, now.Add(a.Timeout)
				case CancelCheck:
					t.Fatalf("%+v", a) // only by Gone, below
				case Resolve:
					r := open[a.ID]
					if r == nil {
						t.Fatalf("settled twice: %+v", a)
					}
					if now.After(r.until) && r.until.After(epoch.Add(-time.Hour)) && a.Decision == Proceed && r.class != "skip" {
						t.Fatalf("passed %v too late", now.Sub(r.until))
					}
					if a.Decision == Proceed && !answered[a.ID] && r.class == "refuse" {
						t.Fatal("passed unasked")
					}
					delete(open, a.ID)
				case ScheduleTick:
					wakes = append(wakes, now.Add(a.After))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id++
				left := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "left"))
				r := &req{class: rapid.SampledFrom([]string{"skip", "refuse", "allow", "keeps"}).Draw(t, "class"), until: now.Add(left)}
				open[id] = r
				carry(d.StartRequest(now, Request{ID: id, Class: r.class, Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who"),
					Plan: "p", Resource: "x", Remaining: left}))
			},
			"answer": func(t *rapid.T) {
				for k := uint64(1); k <= id; k++ {
					if r := open[k]; r != nil && r.out {
						r.out = false
						v := rapid.SampledFrom([]Outcome{Allowed, Denied, Unreachable, TimedOut}).Draw(t, "verdict")
						answered[k] = answered[k] || v == Allowed
						carry(d.FinishCheck(now, k, r.try, CheckResult{Outcome: v, Latency: time.Millisecond}))
						return
					}
				}
			},
			"gone": func(t *rapid.T) {
				for k := uint64(1); k <= id; k++ {
					if r := open[k]; r != nil {
						delete(open, k)
						var rest []Action
						for _, a := range d.CancelRequest(now, k) {
							if c, ok := a.(CancelCheck); ok {
								if c.ID != k || !r.out {
									t.Fatalf("%+v", c)
								}
								continue
							}
							rest = append(rest, a)
						}
						carry(rest)
						return
					}
				}
			},
			"time": func(t *rapid.T) {
				end := now.Add(time.Duration(rapid.Int64Range(1, int64(300*time.Millisecond)).Draw(t, "by")))
				for now.Before(end) {
					now = now.Add(time.Millisecond)
					for k := uint64(1); k <= id; k++ {
						if r := open[k]; r != nil && r.out && !now.Before(r.given) {
							r.out = false
							carry(d.FinishCheck(now, k, r.try, CheckResult{Outcome: TimedOut}))
						}
					}
					for i := 0; i < len(wakes); i++ {
						if !now.Before(wakes[i]) {
							wakes = append(wakes[:i], wakes[i+1:]...)
							i--
							carry(d.Tick(now))
						}
					}
				}
			},
			"": func(t *rapid.T) {
				out := 0
				for k, r := range open {
					if r.out {
						out++
					} else if now.Sub(r.until) > 5*time.Millisecond && r.class != "skip" {
						t.Fatalf("request %d waits %v beyond its time", k, now.Sub(r.until))
					}
				}
				if d.InFlight() != out || out+d.QueueLength() != len(open) || out > 32*targets {
					t.Fatalf("%d out (%d counted), %d waiting, %d open", d.InFlight(), out, d.QueueLength(), len(open))
				}
			},
		})
	})
}

func first[T Action](acts []Action) (a T, ok bool) {
	for _, x := range acts {
		if a, ok = x.(T); ok {
			return a, true
		}
	}
	return a, false
}

// A recent answer stands in for one that does not come, for its stated life.
func TestStandIn(t *testing.T) {
	d := New(settings(1))
	ask := func(now time.Time, id uint64, class string, v Outcome) (Resolve, bool) {
		c, ok := first[SendCheck](d.StartRequest(now, Request{ID: id, Class: class, Customer: "a", Resource: "x", Remaining: time.Second}))
		if !ok {
			return Resolve{}, false
		}
		return first[Resolve](d.FinishCheck(now.Add(time.Millisecond), c.ID, c.Attempt, CheckResult{Outcome: v, Latency: time.Millisecond, Payload: "kept"}))
	}
	if s, ok := ask(epoch, 1, "keeps", Allowed); !ok || s.Decision != Proceed || s.FromFallback {
		t.Errorf("%+v", s)
	}
	if s, ok := ask(epoch.Add(30*time.Second), 2, "keeps", TimedOut); !ok || s.Decision != Proceed || !s.FromFallback || s.CachedPayload != "kept" {
		t.Errorf("%+v", s)
	}
	if s, ok := ask(epoch.Add(90*time.Second), 3, "keeps", TimedOut); !ok || s.Decision != RejectTimedOut {
		t.Errorf("%+v", s)
	}
	if s, ok := ask(epoch.Add(91*time.Second), 4, "keeps", Denied); !ok || s.Decision != Deny {
		t.Errorf("%+v", s)
	}
	if s, ok := ask(epoch.Add(92*time.Second), 5, "keeps", Unreachable); !ok || s.Decision != Deny || !s.FromFallback {
		t.Errorf("%+v", s)
	}
	if s, ok := ask(epoch.Add(93*time.Second), 6, "refuse", Unreachable); !ok || s.Decision != RejectUnreachable {
		t.Errorf("%+v", s)
	}
	if s, ok := ask(epoch.Add(94*time.Second), 7, "allow", Unreachable); !ok || s.Decision != Proceed || !s.FromFallback {
		t.Errorf("%+v", s)
	}
}

// service is a simulated authoriser: so many cores, each Check takes its work.
type service struct {
	cores  int
	busy   int
	queue  []func()
	work   func(now time.Duration) time.Duration
	failed func(now time.Duration) bool
}

type sim struct {
	now    time.Duration
	events simEvents
	seq    int
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h simEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

// check puts a Check to a service; it is worked on even when nobody waits for it.
func (s *sim) check(v *service, done func()) {
	run := func() {}
	run = func() {
		s.after(v.work(s.now), func() {
			v.busy--
			if len(v.queue) > 0 {
				next := v.queue[0]
				v.queue = v.queue[1:]
				v.busy++
				next()
			}
			done()
		})
	}
	if v.busy < v.cores {
		v.busy++
		run()
	} else {
		v.queue = append(v.queue, run)
	}
}

// outcome counts what came of the simulated requests, by phase.
type outcome struct{ asked, passed, late, unasked, checks int }

// term plays a term opening against a way of asking: decider, or a fixed time-out.
// From 10 s to 30 s each Check takes slow in place of 5 ms.
func term(rate float64, slow time.Duration, way string) (during, after outcome) {
	s := &sim{}
	v := &service{cores: 4, work: func(now time.Duration) time.Duration {
		if now >= 10*time.Second && now < 30*time.Second {
			return slow
		}
		return 5 * time.Millisecond
	}}
	d := New(Settings{Addresses: 1, Timeout: 200 * time.Millisecond, MaxInFlight: 1000, Seed: 1,
		Classes: map[string]Class{"safe": {Mode: FailOpen, LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1},
			"keyed": {Mode: FailClosed, LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1}}})
	rng := rand.New(rand.NewPCG(1, 1))
	phase := func(at time.Duration) *outcome {
		if at < 10*time.Second {
			return &outcome{}
		}
		if at < 30*time.Second {
			return &during
		}
		return &after
	}
	at := map[uint64]time.Duration{}
	class := map[uint64]string{}
	allowed := map[uint64]bool{}
	id := uint64(0)
	var carry func(acts []Action)
	carry = func(acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case SendCheck:
				o := phase(at[a.ID])
				o.checks++
				began, over := s.now, false
				end := func(v Outcome) {
					if !over {
						over = true
						allowed[a.ID] = v == Allowed
						carry(d.FinishCheck(epoch.Add(s.now), a.ID, a.Attempt, CheckResult{Outcome: v, Latency: s.now - began}))
					}
				}
				s.after(a.Timeout, func() { end(TimedOut) })
				s.check(v, func() { end(Allowed) })
			case Resolve:
				o := phase(at[a.ID])
				if a.Decision == Proceed {
					o.passed++
					if class[a.ID] == "keyed" && !allowed[a.ID] {
						o.unasked++
					}
				} else {
					o.late++
				}
			case ScheduleTick:
				s.after(a.After, func() { carry(d.Tick(epoch.Add(s.now))) })
			}
		}
	}
	var arrive func()
	arrive = func() {
		id++
		me := id
		at[me], class[me] = s.now, "safe"
		if rng.Float64() < 0.4 {
			class[me] = "keyed"
		}
		phase(s.now).asked++
		if way == "decider" {
			carry(d.StartRequest(epoch.Add(s.now), Request{ID: me, Class: class[me], Customer: "a", Remaining: time.Second}))
		} else {
			o, over := phase(s.now), false
			o.checks++
			s.after(200*time.Millisecond, func() {
				if !over {
					over = true
					if way == "fails open" {
						o.passed++
						if class[me] == "keyed" {
							o.unasked++
						}
					} else {
						o.late++
					}
				}
			})
			s.check(v, func() {
				if !over {
					over = true
					o.passed++
				}
			})
		}
		if s.now < 40*time.Second {
			s.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	s.after(0, arrive)
	for len(s.events) > 0 && s.now < 60*time.Second {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return during, after
}

// The authoriser slows from 5 ms to 2 s as a term opens, and recovers. Safe
// requests pass by their default, no keyed one unasked; once it is back, so is
// service, without a second collapse under Checks that nobody waits for.
func TestTermOpening(t *testing.T) {
	for _, slow := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
		for _, way := range []string{"decider", "fails closed", "fails open"} {
			during, after := term(300, slow, way)
			t.Logf("%v, %s: during %+v, after %+v", slow, way, during, after)
			if way != "decider" {
				continue
			}
			if during.unasked+after.unasked > 0 {
				t.Errorf("%d keyed requests passed unasked", during.unasked+after.unasked)
			}
			if good := float64(after.passed) / float64(after.asked); good < 0.85 {
				t.Errorf("%v: after the recovery %.2f pass", slow, good)
			}
			if good := float64(during.passed) / float64(during.asked); good < 0.55 {
				t.Errorf("%v: %.2f pass, 0.6 are safe", slow, good)
			}
		}
	}
}

// Those who ask far beyond their quota don't take the authoriser from others.
func TestBeyondWaitsLast(t *testing.T) {
	s := settings(1)
	s.MaxInFlight = 4
	d := New(s)
	var order []string
	ids := map[uint64]string{}
	id := uint64(0)
	begin := func(customer string) []Action {
		id++
		ids[id] = customer
		return d.StartRequest(epoch, Request{ID: id, Class: "refuse", Customer: customer, Plan: "p", Resource: fmt.Sprint(id), Remaining: time.Second})
	}
	var out []SendCheck
	refused := 0
	carry := func(acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case SendCheck:
				order = append(order, ids[a.ID])
				out = append(out, a)
			case Resolve:
				if a.Decision == RejectOverQuota {
					refused++
				}
			}
		}
	}
	for range 40 {
		carry(begin("flood"))
	}
	for range 5 {
		carry(begin("calm"))
	}
	for len(out) > 0 {
		c := out[0]
		out = out[1:]
		carry(d.FinishCheck(epoch.Add(time.Millisecond), c.ID, c.Attempt, CheckResult{Outcome: Allowed, Latency: time.Millisecond}))
	}
	if refused < 25 {
		t.Errorf("%d of the flood refused without a Check", refused)
	}
	calm := 0
	for _, who := range order {
		if who == "calm" {
			calm++
		}
	}
	if calm != 5 {
		t.Errorf("%d of 5 calm ones asked for: %v", calm, order)
	}
}
