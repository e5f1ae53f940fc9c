package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testCustomer is the customer of most requests, and testPeer the index of the other gateway of a harness.
const (
	testCustomer = "c"
	testPeer     = 1
)

// harness drives one gateway of a fleet of two. It holds the simulated time and numbers the requests.
type harness struct {
	t       *testing.T
	gateway *Gateway
	now     time.Duration
	lastID  RequestID
}

// baseSettings returns settings with a class of each kind of idempotency and a plan of each kind of quota.
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

// testServers returns n servers of one zone, two in each cell.
func testServers(n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: ServerID(i + 1), Zone: "a", Cell: i / 2, Weight: 1})
	}
	return servers
}

func newHarness(t *testing.T, settings Settings, servers []Server) *harness {
	t.Helper()
	gateway, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, gateway: gateway, now: time.Second}
	h.handle(EndpointUpdate{Kind: CachedUpdate, Servers: servers})
	return h
}

// restart replaces the gateway with a new one that has no state of the old one.
func (h *harness) restart(settings Settings, seed uint64) {
	h.t.Helper()
	gateway, err := New(settings, seed)
	if err != nil {
		h.t.Fatal(err)
	}
	h.gateway = gateway
	h.handle(EndpointUpdate{Kind: CachedUpdate, Servers: testServers(8)})
}

func (h *harness) handle(event Event) []Action { return h.gateway.Handle(h.now, event, nil) }

// advance moves the simulated time on by d, fires the gateway's ticks in between and returns their actions.
func (h *harness) advance(d time.Duration) (actions []Action) {
	for end := h.now + d; h.now < end; {
		h.now += min(h.gateway.tick.interval, end-h.now)
		actions = append(actions, h.handle(TimerFired{Token: tickTimer})...)
	}
	return actions
}

// request passes the gateway a request and returns the resulting actions.
func (h *harness) request(class, plan, customer string, units float64) []Action {
	h.lastID++
	return h.handle(Request{ID: h.lastID, Customer: customer, Plan: plan, Class: class, Units: units,
		Remaining: 2 * time.Second, GatewaySpread: 2})
}

// startAttempt passes the gateway a request of one unit, which must lead to exactly one attempt at once.
func (h *harness) startAttempt(class, plan string) StartAttempt {
	h.t.Helper()
	actions := h.request(class, plan, testCustomer, 1)
	attempts := actionsOf[StartAttempt](actions)
	if len(attempts) != 1 {
		h.t.Fatalf("want exactly one attempt, got %v", actions)
	}
	return attempts[0]
}

// finishAttempt passes the gateway the result of an attempt, with a latency of 50 ms.
func (h *harness) finishAttempt(s StartAttempt, attempt int, code ResultCode) []Action {
	return h.handle(AttemptResult{ID: s.ID, Attempt: attempt, Server: s.Server, Code: code, Latency: 50 * ms,
		Answered: code == OK})
}

// admitUnits passes the gateway n requests of one unit, finishes their attempts and returns the number admitted.
func (h *harness) admitUnits(n int, plan string) int {
	admitted := 0
	for range n {
		actions := h.request("safe", plan, testCustomer, 1)
		for _, s := range actionsOf[StartAttempt](actions) {
			admitted++
			h.finishAttempt(s, 0, OK)
		}
	}
	return admitted
}

// receiveReport passes the gateway a complete load report of testPeer.
func (h *harness) receiveReport(incarnation, sequence uint32, customers ...reportedCustomer) {
	report := loadReport{incarnation: incarnation, sequence: sequence, complete: true, customers: customers}
	h.handle(PeerMessage{From: testPeer, Data: report.encode()})
}

func testCustomerHash() uint32 { return customerReportHash(customerKey(testCustomer)) }

// actionsOf returns those of the actions that have type T.
func actionsOf[T Action](actions []Action) (matching []T) {
	for _, a := range actions {
		if match, ok := a.(T); ok {
			matching = append(matching, match)
		}
	}
	return matching
}
