package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives gateways by hand: it keeps the clock and remembers actions.
type harness struct {
	t      *testing.T
	g      *Gateway
	now    time.Duration
	lastID RequestID
}

func baseSettings() Settings {
	return Settings{SelfIndex: 0, Gateways: 2, Zone: "a", Resolution: 2 * ms, MaxAttempts: 5, CanCancel: true,
		CanMessagePeers: true, PeerMessagesPerSecond: 60, MaxRequestUnits: 4, MaxRetryAfter: 500 * ms,
		Classes: []Class{
			{Name: "safe", LatencyObjective: 800 * ms, Deadline: 3 * time.Second},
			{Name: "cell", LatencyObjective: 800 * ms, Deadline: 3 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupCell,
				DedupWindow: 2 * time.Second},
			{Name: "all", LatencyObjective: 800 * ms, Deadline: 3 * time.Second, Idempotency: IdempotentWithKey, DedupWindow: 2 * time.Second},
			{Name: "once", LatencyObjective: 800 * ms, Deadline: 3 * time.Second, Idempotency: NonIdempotent},
			{Name: "stream", LatencyObjective: 800 * ms, Deadline: 3 * time.Second, Streaming: true},
		},
		Plans: []Plan{
			{Name: "free"},
			{Name: "rate", Rate: 10, Burst: 10},
			{Name: "open", MaxInFlight: 2},
			{Name: "hard", HardRate: 10, HardBurst: 20},
			{Name: "both", Rate: 10, Burst: 10, MaxInFlight: 2},
		},
		ResponseGrace: 8 * ms, InitialCapacity: 0.2, WarmupTime: 10 * time.Second, ColdOverloadFactor: 2,
		ColdOverloadTime: time.Second}
}

func testServers(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: ServerID(i + 1), Zone: "a", Cell: i / 2, Weight: 1})
	}
	return l
}

func newHarness(t *testing.T, s Settings, servers []Server) *harness {
	t.Helper()
	g, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	w := &harness{t: t, g: g, now: time.Second}
	w.handle(EndpointUpdate{Kind: CachedUpdate, Servers: servers})
	return w
}

func (w *harness) handle(ev Event) []Action { return w.g.Handle(w.now, ev, nil) }

// advance lets time go by, with the gateway's ticks, and returns what was done.
func (w *harness) advance(d time.Duration) (acts []Action) {
	for end := w.now + d; w.now < end; {
		w.now += min(w.g.tick.interval, end-w.now)
		acts = append(acts, w.handle(TimerFired{Token: "tick"})...)
	}
	return acts
}

func (w *harness) request(class, plan, customer string, units float64) (RequestID, []Action) {
	w.lastID++
	return w.lastID, w.handle(Request{ID: w.lastID, Customer: customer, Plan: plan, Class: class, Units: units,
		Remaining: 2 * time.Second, GatewaySpread: 2})
}

func (w *harness) startAttempt(class, plan string) StartAttempt {
	w.t.Helper()
	_, acts := w.request(class, plan, "c", 1)
	s := actionsOf[StartAttempt](acts)
	if len(s) != 1 {
		w.t.Fatalf("want one Send, got %v", acts)
	}
	return s[0]
}

func (w *harness) finishAttempt(s StartAttempt, attempt int, code ResultCode) []Action {
	return w.handle(AttemptResult{ID: s.ID, Attempt: attempt, Server: s.Server, Code: code, Latency: 50 * ms,
		Answered: code == OK})
}

// admitUnits asks for n requests of one unit and counts those passed.
func (w *harness) admitUnits(n int, plan string) int {
	passed := 0
	for range n {
		_, acts := w.request("safe", plan, "c", 1)
		for _, s := range actionsOf[StartAttempt](acts) {
			passed++
			w.finishAttempt(s, 0, OK)
		}
	}
	return passed
}

// receiveReport gives a gateway a peer's report.
func (w *harness) receiveReport(from int, inc, seq uint32, complete bool, entries ...reportedCustomer) {
	m := loadReport{incarnation: inc, sequence: seq, complete: complete, customers: entries}
	w.handle(PeerMessage{From: from, Data: m.encode()})
}

func reportHashOf(name string) uint32 {
	return customerReportHash(customerKey(name))
}

func actionsOf[T Action](acts []Action) (l []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			l = append(l, x)
		}
	}
	return l
}
