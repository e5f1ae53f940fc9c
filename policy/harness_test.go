package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testCustomer is the customer of most requests, and testPeer the other gateway of a harness.
const (
	testCustomer = "c"
	testPeer     = 1
)

// harness drives one gateway of two: it keeps the clock and numbers the requests.
type harness struct {
	t      *testing.T
	g      *Gateway
	now    time.Duration
	lastID RequestID
}

// baseSettings has a class of each kind of idempotency and a plan of each kind of quota.
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
			{Name: "hard and rate", Rate: 10, Burst: 20, HardRate: 10, HardBurst: 20},
			{Name: "hard and open", MaxInFlight: 100, HardRate: 10, HardBurst: 20},
		},
		ResponseGrace: 8 * ms, InitialCapacity: 0.2, WarmupTime: 10 * time.Second, ColdOverloadFactor: 2,
		ColdOverloadTime: time.Second}
}

// testServers lists n servers of one zone, two in each cell.
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

// restart replaces the gateway by a new one that remembers nothing.
func (w *harness) restart(s Settings, seed uint64) {
	w.t.Helper()
	g, err := New(s, seed)
	if err != nil {
		w.t.Fatal(err)
	}
	w.g = g
	w.handle(EndpointUpdate{Kind: CachedUpdate, Servers: testServers(8)})
}

func (w *harness) handle(ev Event) []Action { return w.g.Handle(w.now, ev, nil) }

// advance lets time go by, with the gateway's ticks, and returns what was done.
func (w *harness) advance(d time.Duration) (acts []Action) {
	for end := w.now + d; w.now < end; {
		w.now += min(w.g.tick.interval, end-w.now)
		acts = append(acts, w.handle(TimerFired{Token: tickTimer})...)
	}
	return acts
}

// request sends a request and returns what was done.
func (w *harness) request(class, plan, customer string, units float64) []Action {
	w.lastID++
	return w.handle(Request{ID: w.lastID, Customer: customer, Plan: plan, Class: class, Units: units,
		Remaining: 2 * time.Second, GatewaySpread: 2})
}

// startAttempt sends a request that must lead to an attempt at once.
func (w *harness) startAttempt(class, plan string) StartAttempt {
	w.t.Helper()
	acts := w.request(class, plan, testCustomer, 1)
	s := actionsOf[StartAttempt](acts)
	if len(s) != 1 {
		w.t.Fatalf("want one attempt, got %v", acts)
	}
	return s[0]
}

// finishAttempt gives the gateway the result of an attempt.
func (w *harness) finishAttempt(s StartAttempt, attempt int, code ResultCode) []Action {
	return w.handle(AttemptResult{ID: s.ID, Attempt: attempt, Server: s.Server, Code: code, Latency: 50 * ms,
		Answered: code == OK})
}

// admitUnits sends n requests of one unit and counts those admitted.
func (w *harness) admitUnits(n int, plan string) int {
	admitted := 0
	for range n {
		acts := w.request("safe", plan, testCustomer, 1)
		for _, s := range actionsOf[StartAttempt](acts) {
			admitted++
			w.finishAttempt(s, 0, OK)
		}
	}
	return admitted
}

// receiveReport gives the gateway a complete report of the test peer.
func (w *harness) receiveReport(incarnation, sequence uint32, customers ...reportedCustomer) {
	m := loadReport{incarnation: incarnation, sequence: sequence, complete: true, customers: customers}
	w.handle(PeerMessage{From: testPeer, Data: m.encode()})
}

func testCustomerHash() uint32 { return customerReportHash(customerKey(testCustomer)) }

// actionsOf returns the actions of one type.
func actionsOf[T Action](acts []Action) (l []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			l = append(l, x)
		}
	}
	return l
}
