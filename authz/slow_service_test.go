package authz

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation is a discrete-event simulation in virtual time.
type simulation struct {
	now    time.Duration
	events simEvents
	seq    int
}

type simEvent struct {
	at  time.Duration
	seq int // order of the events of one time
	run func()
}

// simEvents is a heap; the first event is the earliest.
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

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, run})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.now < end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

// simService is a simulated authorization service with a number of cores. It completes every
// check, even if the client has stopped waiting for it.
type simService struct {
	sim         *simulation
	cores       int
	busy        int
	queue       []func()
	serviceTime func(now time.Duration) time.Duration
}

func (v *simService) check(done func()) {
	start := func() {
		v.sim.after(v.serviceTime(v.sim.now), func() {
			v.releaseCore()
			done()
		})
	}
	if v.busy < v.cores {
		v.busy++
		start()
	} else {
		v.queue = append(v.queue, start)
	}
}

func (v *simService) releaseCore() {
	if len(v.queue) == 0 {
		v.busy--
		return
	}
	next := v.queue[0]
	v.queue = v.queue[1:]
	next()
}

// clientKind is how the simulated gateway sends checks to the service.
type clientKind string

const (
	withDecider     clientKind = "decider"
	fixedFailClosed clientKind = "fails closed" // a fixed timeout, then the request is rejected
	fixedFailOpen   clientKind = "fails open"   // a fixed timeout, then the request proceeds
)

// The service is slow from slowFrom to slowUntil. Requests arrive until lastArrival, and the
// simulation ends at simulationEnd.
const (
	slowFrom      = 10 * time.Second
	slowUntil     = 30 * time.Second
	lastArrival   = 40 * time.Second
	simulationEnd = 60 * time.Second

	simRate            = 300.0 // requests per second
	simFailClosedShare = 0.4   // share of requests that must not proceed unchecked
	simCheckTimeout    = 200 * time.Millisecond
)

// requestCounts counts the requests that started in a phase, by result.
type requestCounts struct{ started, proceeded, rejected, unchecked, checks int }

// simRequest is a request of the simulation.
type simRequest struct {
	failsClosed bool // must not proceed unchecked
	allowed     bool // the service allowed it
	counts      *requestCounts
}

func (r *simRequest) proceed() {
	r.counts.proceeded++
	if r.failsClosed && !r.allowed {
		r.counts.unchecked++
	}
}

// slowServiceSimulation simulates a service that becomes slow and recovers.
type slowServiceSimulation struct {
	sim      *simulation
	service  *simService
	client   clientKind
	decider  *Decider
	rng      *rand.Rand
	requests map[uint64]*simRequest
	lastID   uint64

	before, during, after requestCounts
}

// simulateSlowService counts the requests that start while a check takes slowTime instead of
// 5 ms, and the requests that start afterwards.
func simulateSlowService(slowTime time.Duration, client clientKind) (during, after requestCounts) {
	const normalTime = 5 * time.Millisecond
	sim := &simulation{}
	w := &slowServiceSimulation{
		sim: sim,
		service: &simService{sim: sim, cores: 4, serviceTime: func(now time.Duration) time.Duration {
			if now >= slowFrom && now < slowUntil {
				return slowTime
			}
			return normalTime
		}},
		client: client,
		decider: New(Settings{Addresses: 1, Timeout: simCheckTimeout, MaxInFlight: 1000, Seed: 1,
			Classes: map[string]Class{
				"safe":  {Mode: FailOpen, LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1},
				"keyed": {Mode: FailClosed, LatencyObjective: 400 * time.Millisecond, PriorityWeight: 1},
			}}),
		rng:      rand.New(rand.NewPCG(1, 1)),
		requests: map[uint64]*simRequest{},
	}
	sim.after(0, w.arrive)
	sim.runUntil(simulationEnd)
	return w.during, w.after
}

// countsNow returns the counts of the current phase.
func (w *slowServiceSimulation) countsNow() *requestCounts {
	switch {
	case w.sim.now < slowFrom:
		return &w.before
	case w.sim.now < slowUntil:
		return &w.during
	default:
		return &w.after
	}
}

func (w *slowServiceSimulation) clock() time.Time { return testStart.Add(w.sim.now) }

func (w *slowServiceSimulation) arrive() {
	w.lastID++
	r := &simRequest{failsClosed: w.rng.Float64() < simFailClosedShare, counts: w.countsNow()}
	w.requests[w.lastID] = r
	r.counts.started++
	if w.client == withDecider {
		class := "safe"
		if r.failsClosed {
			class = "keyed"
		}
		w.carryOut(w.decider.StartRequest(w.clock(), Request{ID: w.lastID, Class: class, Customer: "a", Remaining: time.Second}))
	} else {
		w.checkWithFixedTimeout(r)
	}
	if w.sim.now < lastArrival {
		w.sim.after(time.Duration(w.rng.ExpFloat64()/simRate*float64(time.Second)), w.arrive)
	}
}

func (w *slowServiceSimulation) checkWithFixedTimeout(r *simRequest) {
	r.counts.checks++
	finished := false
	w.sim.after(simCheckTimeout, func() {
		if finished {
			return
		}
		finished = true
		if w.client == fixedFailOpen {
			r.proceed()
		} else {
			r.counts.rejected++
		}
	})
	w.service.check(func() {
		if !finished {
			finished = true
			r.allowed = true
			r.proceed()
		}
	})
}

func (w *slowServiceSimulation) carryOut(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendCheck:
			w.sendCheck(a)
		case Resolve:
			if r := w.requests[a.ID]; a.Decision == Proceed {
				r.proceed()
			} else {
				r.counts.rejected++
			}
		case ScheduleTick:
			w.sim.after(a.After, func() { w.carryOut(w.decider.Tick(w.clock())) })
		}
	}
}

func (w *slowServiceSimulation) sendCheck(a SendCheck) {
	r := w.requests[a.ID]
	r.counts.checks++
	startedAt := w.sim.now
	finished := false
	finish := func(outcome Outcome) {
		if finished {
			return
		}
		finished = true
		r.allowed = outcome == Allowed
		result := CheckResult{Outcome: outcome, Latency: w.sim.now - startedAt}
		w.carryOut(w.decider.FinishCheck(w.clock(), a.ID, a.Attempt, result))
	}
	w.sim.after(a.Timeout, func() { finish(TimedOut) })
	w.service.check(func() { finish(Allowed) })
}

// The latency of the service rises from 5 ms to 50 ms or 2 s, and returns to normal. Meanwhile
// requests that fail open proceed, and no request that fails closed proceeds unchecked. After the
// recovery requests proceed again: checks whose clients have stopped waiting must not overload the
// service a second time.
func TestRequestsProceedWhileServiceIsSlowAndAfterwards(t *testing.T) {
	for _, slowTime := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
		for _, client := range []clientKind{withDecider, fixedFailClosed, fixedFailOpen} {
			during, after := simulateSlowService(slowTime, client)
			t.Logf("%v, %s: during %+v, after %+v", slowTime, client, during, after)
			if client != withDecider {
				continue
			}
			if during.unchecked+after.unchecked > 0 {
				t.Errorf("%d requests that fail closed proceeded unchecked", during.unchecked+after.unchecked)
			}
			if share := float64(after.proceeded) / float64(after.started); share < 0.85 {
				t.Errorf("%v: after the recovery a share of %.2f proceeds, want at least 0.85", slowTime, share)
			}
			if share := float64(during.proceeded) / float64(during.started); share < 0.55 {
				t.Errorf("%v: a share of %.2f proceeds while the service is slow, want at least 0.55 (0.6 of the requests fail open)", slowTime, share)
			}
		}
	}
}
