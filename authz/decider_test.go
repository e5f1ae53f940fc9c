package authz

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes rapid draw the same sequences in every run. 200 steps are enough to fill the
// queue.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const testMaxInFlight = 32

func testSettings(addresses int) Settings {
	const objective = 400 * time.Millisecond
	return Settings{
		Addresses:   addresses,
		Timeout:     200 * time.Millisecond,
		MaxInFlight: testMaxInFlight,
		Seed:        1,
		Classes: map[string]Class{
			"skip":   {Mode: Skip, LatencyObjective: time.Second},
			"closed": {Mode: FailClosed, LatencyObjective: objective, PriorityWeight: 2},
			"open":   {Mode: FailOpen, LatencyObjective: objective, PriorityWeight: 1},
			"cached": {Mode: FailClosed, LatencyObjective: objective, CacheTTL: time.Minute},
		},
		Plans: map[string]Plan{"p": {Rate: 5, Burst: 10}},
	}
}

// firstAction returns the first action of a type.
func firstAction[T Action](actions []Action) (found T, ok bool) {
	for _, a := range actions {
		if found, ok = a.(T); ok {
			return found, true
		}
	}
	return found, false
}

// For random sequences of events: each request is resolved once and in time, and has at most one
// check in flight; the checks in flight stay within the limits; a request of a class that fails
// closed and has no cache never proceeds without a result.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addresses := rapid.IntRange(1, 3).Draw(t, "addresses")
		settings := testSettings(addresses)
		settings.MaxInFlight = rapid.SampledFrom([]int{4, testMaxInFlight}).Draw(t, "max in flight")
		m := &invariantModel{
			decider:     New(settings),
			addresses:   addresses,
			maxInFlight: settings.MaxInFlight,
			now:         testStart,
			unresolved:  map[uint64]*modelRequest{},
			allowed:     map[uint64]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"start burst":    m.startBurst,
			"start request":  m.startRequest,
			"finish check":   m.finishCheck,
			"cancel request": m.cancelRequest,
			"let time pass":  m.letTimePass,
			"":               m.checkCounts,
		})
	})
}

// modelRequest is the expected state of an unresolved request.
type modelRequest struct {
	class        string
	deadline     time.Time
	inFlight     bool
	attempt      int
	checkTimeout time.Time // when the check in flight times out
}

// invariantModel carries out the actions of a Decider and verifies each of them.
type invariantModel struct {
	decider     *Decider
	addresses   int
	maxInFlight int // at one address
	now         time.Time
	lastID      uint64
	unresolved  map[uint64]*modelRequest
	ticks       []time.Time
	allowed     map[uint64]bool // the service allowed it
}

// find returns the oldest unresolved request that accept returns true for.
func (m *invariantModel) find(accept func(*modelRequest) bool) (uint64, *modelRequest) {
	for id := uint64(1); id <= m.lastID; id++ {
		if r := m.unresolved[id]; r != nil && accept(r) {
			return id, r
		}
	}
	return 0, nil
}

func (m *invariantModel) startRequest(t *rapid.T) {
	m.lastID++
	remaining := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "remaining"))
	r := &modelRequest{
		class:    rapid.SampledFrom([]string{"skip", "closed", "open", "cached"}).Draw(t, "class"),
		deadline: m.now.Add(remaining),
	}
	m.unresolved[m.lastID] = r
	customer := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer")
	m.carryOut(t, m.decider.StartRequest(m.now, Request{ID: m.lastID, Class: r.class, Customer: customer, Plan: "p", Units: 1,
		Resource: "x", Remaining: remaining}))
}

// startBurst starts enough requests to fill the queue.
func (m *invariantModel) startBurst(t *rapid.T) {
	for range rapid.IntRange(1, 40).Draw(t, "burst") {
		m.startRequest(t)
	}
}

func (m *invariantModel) finishCheck(t *rapid.T) {
	id, r := m.find(func(r *modelRequest) bool { return r.inFlight })
	if r == nil {
		return
	}
	r.inFlight = false
	outcome := rapid.SampledFrom([]Outcome{Allowed, Denied, Unreachable, TimedOut}).Draw(t, "outcome")
	m.allowed[id] = m.allowed[id] || outcome == Allowed
	m.carryOut(t, m.decider.FinishCheck(m.now, id, r.attempt, CheckResult{Outcome: outcome, Latency: time.Millisecond}))
}

func (m *invariantModel) cancelRequest(t *rapid.T) {
	inFlight := rapid.Bool().Draw(t, "in flight")
	id, r := m.find(func(r *modelRequest) bool { return r.inFlight == inFlight })
	if r == nil {
		return
	}
	delete(m.unresolved, id)
	var others []Action
	for _, a := range m.decider.CancelRequest(m.now, id) {
		c, ok := a.(CancelCheck)
		if !ok {
			others = append(others, a)
			continue
		}
		if c.ID != id || !r.inFlight {
			t.Fatalf("unexpected %+v", c)
		}
	}
	m.carryOut(t, others)
}

func (m *invariantModel) letTimePass(t *rapid.T) {
	end := m.now.Add(time.Duration(rapid.Int64Range(1, int64(300*time.Millisecond)).Draw(t, "duration")))
	for m.now.Before(end) {
		m.now = m.now.Add(time.Millisecond)
		m.timeOutChecks(t)
		m.tick(t)
	}
}

func (m *invariantModel) timeOutChecks(t *rapid.T) {
	for id := uint64(1); id <= m.lastID; id++ {
		if r := m.unresolved[id]; r != nil && r.inFlight && !m.now.Before(r.checkTimeout) {
			r.inFlight = false
			m.carryOut(t, m.decider.FinishCheck(m.now, id, r.attempt, CheckResult{Outcome: TimedOut}))
		}
	}
}

func (m *invariantModel) tick(t *rapid.T) {
	for i := 0; i < len(m.ticks); i++ {
		if !m.now.Before(m.ticks[i]) {
			m.ticks = append(m.ticks[:i], m.ticks[i+1:]...)
			i--
			m.carryOut(t, m.decider.Tick(m.now))
		}
	}
}

func (m *invariantModel) carryOut(t *rapid.T, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendCheck:
			m.checkSent(t, a)
		case CancelCheck:
			t.Fatalf("%+v without CancelRequest", a)
		case Resolve:
			m.resolved(t, a)
		case ScheduleTick:
			m.ticks = append(m.ticks, m.now.Add(a.After))
		}
	}
}

func (m *invariantModel) checkSent(t *rapid.T, a SendCheck) {
	r := m.unresolved[a.ID]
	if r == nil || r.inFlight {
		t.Fatalf("%+v for a request that is resolved or has a check in flight", a)
	}
	timesOutAt := m.now.Add(a.Timeout)
	if a.Timeout <= 0 || a.Timeout > 200*time.Millisecond || timesOutAt.After(r.deadline) || a.Address >= m.addresses {
		t.Fatalf("%+v with %v left", a, r.deadline.Sub(m.now))
	}
	r.inFlight = true
	r.attempt = a.Attempt
	r.checkTimeout = timesOutAt
}

func (m *invariantModel) resolved(t *rapid.T, a Resolve) {
	r := m.unresolved[a.ID]
	if r == nil {
		t.Fatalf("resolved twice: %+v", a)
	}
	if m.now.After(r.deadline) && a.Decision == Proceed && r.class != "skip" {
		t.Fatalf("proceeds %v too late", m.now.Sub(r.deadline))
	}
	if a.Decision == Proceed && !m.allowed[a.ID] && r.class == "closed" {
		t.Fatal("proceeds without a result")
	}
	delete(m.unresolved, a.ID)
}

func (m *invariantModel) checkCounts(t *rapid.T) {
	const tickDelay = 5 * time.Millisecond
	inFlight := 0
	for id, r := range m.unresolved {
		if r.inFlight {
			inFlight++
		} else if m.now.Sub(r.deadline) > tickDelay && r.class != "skip" {
			t.Fatalf("request %d waits %v beyond its deadline", id, m.now.Sub(r.deadline))
		}
	}
	d := m.decider
	if d.InFlight() != inFlight || inFlight+d.QueueLength() != len(m.unresolved) || inFlight > m.maxInFlight*m.addresses {
		t.Fatalf("%d in flight (%d counted), %d queued, %d unresolved", d.InFlight(), inFlight, d.QueueLength(), len(m.unresolved))
	}
}
