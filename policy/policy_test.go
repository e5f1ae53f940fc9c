package policy

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
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

func actionsOf[T Action](acts []Action) (l []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			l = append(l, x)
		}
	}
	return l
}

func (w *harness) finishAttempt(s StartAttempt, attempt int, code ResultCode) []Action {
	return w.handle(AttemptResult{ID: s.ID, Attempt: attempt, Server: s.Server, Code: code, Latency: 50 * ms,
		Answered: code == OK})
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

func TestRetriesByResultAndIdempotency(t *testing.T) {
	const (
		again = iota
		refused
		failed
	)
	for _, c := range []struct {
		class string
		code  ResultCode
		want  int
	}{
		{"safe", Error, again}, {"safe", TimedOut, again}, {"safe", TooLate, refused},
		{"once", Error, failed}, {"once", TimedOut, failed}, {"once", Rejected, again},
		{"once", ConnectFailed, again}, {"once", Reset, failed}, {"once", TooLate, refused},
		{"cell", Error, again}, {"cell", Rejected, again}, {"all", Reset, again},
	} {
		t.Run(fmt.Sprint(c.class, c.code), func(t *testing.T) {
			w := newHarness(t, baseSettings(), testServers(4))
			s := w.startAttempt(c.class, "free")
			w.now += 20 * ms
			acts := w.finishAttempt(s, 0, c.code)
			sends, ref, fail := actionsOf[StartAttempt](acts), actionsOf[Reject](acts), actionsOf[Fail](acts)
			got := -1
			switch {
			case len(sends) == 1 && len(ref)+len(fail) == 0:
				got = again
			case len(ref) == 1 && len(sends)+len(fail) == 0:
				got = refused
			case len(fail) == 1 && len(sends)+len(ref) == 0:
				got = failed
			}
			if got != c.want {
				t.Fatalf("got %v", acts)
			}
			if got == again && c.class == "cell" && !c.code.NeverRan() &&
				(sends[0].Server-1)/2 != (s.Server-1)/2 {
				t.Fatalf("left the cell: %v then %v", s, sends[0])
			}
			if got == again && sends[0].Server == s.Server {
				t.Fatal("sent to the server that just failed")
			}
		})
	}
}

func TestKeyedRequestOutsideDedupWindowFails(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(4))
	w.lastID++
	acts := w.handle(Request{ID: w.lastID, Customer: "c", Plan: "free", Class: "cell", Units: 1,
		Remaining: 5 * time.Second, GatewaySpread: 2})
	s := actionsOf[StartAttempt](acts)[0]
	w.now += 2100 * ms
	acts = w.finishAttempt(s, 0, Error)
	if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[StartAttempt](acts))+len(actionsOf[Reject](acts)) != 0 {
		t.Fatalf("a keyed request past its window was not failed: %v", acts)
	}
}

// Every request gets one final answer before its deadline, with servers that
// answer none, and with no servers at all.
func TestOneFinalResponseInTime(t *testing.T) {
	for _, plan := range []string{"free", "rate", "open", "hard", "both"} {
		for _, remaining := range []time.Duration{10 * ms, 60 * ms, 300 * ms, 2 * time.Second} {
			w := newHarness(t, baseSettings(), testServers(2))
			w.advance(time.Second)
			owed := map[RequestID]time.Duration{}
			out := map[RequestID]StartAttempt{}
			tries := map[RequestID]int{}
			var note func(acts []Action)
			note = func(acts []Action) {
				for _, a := range acts {
					switch a := a.(type) {
					case StartAttempt:
						if _, ok := owed[a.ID]; !ok {
							t.Fatalf("%v after its final answer", a)
						}
						if _, two := out[a.ID]; two {
							t.Fatalf("two attempts out: %v", a)
						}
						out[a.ID] = a
						tries[a.ID]++
					case CancelAttempt:
						s := out[a.ID]
						delete(out, a.ID)
						note(w.handle(AttemptResult{ID: a.ID, Attempt: a.Attempt, Server: s.Server, Code: Cancelled}))
					case Reject, Fail:
						id := RequestID(reflect.ValueOf(a).FieldByName("ID").Uint())
						if _, ok := owed[id]; !ok {
							t.Fatalf("second answer: %v", a)
						}
						delete(owed, id)
					}
				}
			}
			for i := 0; i < 1500; i++ {
				w.now += 2 * ms
				if i < 200 && i%4 == 0 {
					w.lastID++
					owed[w.lastID] = w.now + remaining
					note(w.handle(Request{ID: w.lastID, Customer: "c", Plan: plan, Class: "safe", Units: 1,
						Remaining: remaining, GatewaySpread: 2}))
				}
				if w.now-w.g.tick.lastAt >= w.g.tick.interval {
					note(w.handle(TimerFired{Token: "tick"}))
				}
				for id := RequestID(1); id <= w.lastID; id++ {
					due, owes := owed[id]
					s, sent := out[id]
					if owes && sent && w.now >= due {
						delete(out, id)
						note(w.handle(AttemptResult{ID: id, Attempt: tries[id] - 1, Server: s.Server, Code: TimedOut}))
					}
					if _, still := owed[id]; still && w.now > due+8*ms {
						t.Fatalf("%s, %v: request %d has no answer in its time", plan, remaining, id)
					}
				}
			}
			if len(owed) > 0 {
				t.Fatalf("%d requests never answered", len(owed))
			}
		}
	}
}

func TestNoNewAttemptsAtDrainingOrRemovedServers(t *testing.T) {
	for _, c := range []struct {
		name string
		ev   EndpointUpdate
	}{
		{"draining", EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: 1, State: Draining}}}},
		{"removed", EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: 1, State: Removed}}}},
		{"not in the whole list", EndpointUpdate{Kind: SnapshotUpdate, Servers: testServers(4)[1:]}},
	} {
		w := newHarness(t, baseSettings(), testServers(4))
		w.handle(c.ev)
		for range 100 {
			s := w.startAttempt("safe", "free")
			if s.Server == 1 {
				t.Fatalf("%s: sent", c.name)
			}
			w.now += 30 * ms
			w.finishAttempt(s, 0, OK)
		}
	}
}

// Servers that were replaced are forgotten once nothing is out at them, by either
// kind of list; an attempt that is out at one still ends as it should.
func TestReplacedServersAreForgotten(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(4))
	held := w.startAttempt("safe", "free")
	for i := range 1000 {
		w.now += 50 * ms
		old, next := ServerID(100+i), ServerID(101+i)
		list := []Server{{ID: next, Zone: "a", Weight: 1, HasStartTime: true, StartedAt: w.now}}
		if i%2 == 0 {
			w.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: append(list, Server{ID: old, State: Removed})})
		} else {
			w.handle(EndpointUpdate{Kind: SnapshotUpdate, Servers: append(list, testServers(4)...)})
		}
	}
	w.handle(EndpointUpdate{Kind: SnapshotUpdate, Servers: testServers(4)[:2]})
	if most := 3; len(w.g.endpoints.list) > most || len(w.g.endpoints.byID) != len(w.g.endpoints.list) {
		t.Errorf("%d servers known, %d listed", len(w.g.endpoints.byID), len(w.g.endpoints.list))
	}
	acts := w.handle(AttemptResult{ID: held.ID, Server: held.Server, Code: Reset, Latency: w.now})
	if len(acts) == 0 {
		t.Error("an attempt at a server that has gone ended, and nothing was decided")
	}
}

func TestColdServerBudget(t *testing.T) {
	servers := testServers(4)
	servers[0].HasStartTime, servers[0].StartedAt = true, time.Second
	w := newHarness(t, baseSettings(), servers)
	cold, warm := 0, 0
	for range 100 {
		w.now += 10 * ms
		if s := w.startAttempt("safe", "free"); s.Server == 1 {
			cold++
		} else {
			warm++
			w.finishAttempt(s, 0, OK)
		}
	}
	if each := float64(warm) / 3; float64(cold) > 0.2*2*each {
		t.Fatalf("%d to the cold server, %d to the others", cold, warm)
	}
}

// The sum of the gateways' parts never passes the ceiling, whatever is asked
// and however often they restart.
func TestCeilingHoldsOverRestarts(t *testing.T) {
	s := baseSettings()
	level, worst := 20.0, 20.0
	var gs [2]*harness
	for i := range gs {
		s.SelfIndex = i
		gs[i] = newHarness(t, s, testServers(8))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 3000 {
		level = min(20, level+10*0.004)
		for k, w := range gs {
			w.now += 4 * ms
			if i == 1600+200*k || i == 2300+150*k {
				s.SelfIndex = k
				n := newHarness(t, s, testServers(8))
				n.now, n.lastID = w.now, w.lastID
				g, _ := New(s, uint64(i))
				n.g = g
				n.handle(EndpointUpdate{Kind: CachedUpdate, Servers: testServers(8)})
				gs[k], w = n, n
			}
			var acts []Action
			if i > 1000 && (rng.IntN(2) == k || i%1000 < 300) {
				_, acts = w.request("safe", "hard", "c", 1)
				for _, x := range actionsOf[StartAttempt](acts) {
					level--
					w.finishAttempt(x, 0, OK)
				}
			}
			if w.now-w.g.tick.lastAt >= w.g.tick.interval {
				for _, tell := range actionsOf[SendPeerMessage](w.handle(TimerFired{Token: "tick"})) {
					if rng.IntN(5) > 0 {
						gs[tell.To].handle(PeerMessage{From: k, Data: tell.Data})
					}
				}
			}
		}
		worst = min(worst, level)
	}
	if worst < 0 {
		t.Fatalf("the ceiling's store fell to %.1f", worst)
	}
	if worst > 12 {
		t.Fatalf("the store never fell below %.1f: the test asks for too little", worst)
	}
}

// receiveReport gives a gateway a peer's report.
func (w *harness) receiveReport(from int, inc, seq uint32, complete bool, entries ...reportedCustomer) {
	m := loadReport{incarnation: inc, sequence: seq, complete: complete, customers: entries}
	w.handle(PeerMessage{From: from, Data: m.encode()})
}

func reportHashOf(name string) uint32 {
	return customerReportHash(customerKey(name))
}

func TestQueuesBeyondInFlightCapInOrder(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	var sent []StartAttempt
	for range 4 {
		_, acts := w.request("safe", "open", "c", 1)
		sent = append(sent, actionsOf[StartAttempt](acts)...)
		w.now += ms
	}
	w.receiveReport(1, 1, 1, true)
	sent = append(sent, actionsOf[StartAttempt](w.advance(60*ms))...)
	if len(sent) != 2 {
		t.Fatalf("%d attempts out under a cap of 2", len(sent))
	}
	w.receiveReport(1, 1, 2, true)
	next := actionsOf[StartAttempt](w.finishAttempt(sent[0], 0, OK))
	if len(next) != 1 || next[0].ID != 3 {
		t.Fatalf("the oldest held was not released: %v", next)
	}
}

func TestPeerAttemptsCountAgainstInFlightCap(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	s := w.startAttempt("safe", "open")
	w.finishAttempt(s, 0, OK)
	w.receiveReport(1, 1, 1, true, reportedCustomer{hash: reportHashOf("c"), inFlight: 6, fill: unknownFill})
	if _, acts := w.request("safe", "open", "c", 1); len(acts) != 0 {
		t.Fatalf("the peer has 2 out under a cap of 2, yet %v", acts)
	}
	w.receiveReport(1, 1, 2, true)
	if got := actionsOf[StartAttempt](w.advance(100 * ms)); len(got) != 1 {
		t.Fatalf("the peer has none out, yet %v", got)
	}
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

func TestQuotaBoundsAdmittedUnits(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	w.receiveReport(1, 1, 1, true)
	if n := w.admitUnits(40, "rate"); n < 5 || n > 10 {
		t.Fatalf("%d units passed of a store of 10", n)
	}
}

func TestReportedUnitsAreDeducted(t *testing.T) {
	for _, c := range []struct {
		name string
		tell func(w *harness)
		most int
	}{
		{"told", func(w *harness) {
			w.receiveReport(1, 1, 2, true, reportedCustomer{hash: reportHashOf("c"), admittedUnits: 8, fill: unknownFill})
		}, 2},
		{"repeated", func(w *harness) {
			for range 3 {
				w.receiveReport(1, 1, 2, true, reportedCustomer{hash: reportHashOf("c"), admittedUnits: 4, fill: unknownFill})
			}
		}, 6},
		{"lost, then told", func(w *harness) {
			w.receiveReport(1, 1, 9, true, reportedCustomer{hash: reportHashOf("c"), admittedUnits: 8, fill: unknownFill})
			w.receiveReport(1, 1, 3, true, reportedCustomer{hash: reportHashOf("c"), admittedUnits: 4, fill: unknownFill})
		}, 2},
		{"restarted", func(w *harness) {
			w.receiveReport(1, 2, 1, true, reportedCustomer{hash: reportHashOf("c"), admittedUnits: 8, fill: unknownFill})
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, baseSettings(), testServers(8))
			w.admitUnits(1, "rate")
			w.advance(600 * ms)
			w.receiveReport(1, 1, 1, true, reportedCustomer{hash: reportHashOf("c"), fill: unknownFill})
			c.tell(w)
			if n := w.admitUnits(30, "rate"); n > c.most || n == 0 && c.most > 3 {
				t.Fatalf("%d units passed, at most %d are left", n, c.most)
			}
		})
	}
}

func TestRestartAdoptsReportedTokens(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	w.admitUnits(1, "rate")
	w.receiveReport(1, 1, 1, true, reportedCustomer{hash: reportHashOf("c"), admittedUnits: 100, fill: 25})
	if n := w.admitUnits(20, "rate"); n > 1 {
		t.Fatalf("%d units passed though a peer knows of one", n)
	}
}

func TestStalePeerNeitherFreesNorBlocksTheCap(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	w.admitUnits(1, "open")
	w.receiveReport(1, 1, 1, true, reportedCustomer{hash: reportHashOf("c"), inFlight: 6, queued: 3, fill: unknownFill})
	w.advance(3 * time.Second)
	if n := w.admitUnits(1, "open"); n != 1 {
		t.Fatal("a silent peer's old count blocks the customer")
	}
	_, a := w.request("safe", "open", "c", 1)
	_, b := w.request("safe", "open", "c", 1)
	acts := append(append(a, b...), w.advance(100*ms)...)
	if n := len(actionsOf[StartAttempt](acts)); n > 1 {
		t.Fatalf("a silent peer's room was freed: %d out", n)
	}
}

func TestFailingServerIsEjectedAndProbed(t *testing.T) {
	for _, code := range []ResultCode{Error, ConnectFailed, Reset} {
		w := newHarness(t, baseSettings(), testServers(6))
		to := func(bad bool, n int) (hits int) {
			for range n {
				w.advance(25 * ms)
				s := w.startAttempt("safe", "free")
				for k := 0; ; k++ {
					hit := s.Server == 1
					if hit {
						hits++
					}
					if !hit || !bad {
						w.finishAttempt(s, k, OK)
						break
					}
					again := actionsOf[StartAttempt](w.finishAttempt(s, k, code))
					if len(again) == 0 {
						break
					}
					s = again[0]
				}
			}
			return hits
		}
		to(true, 100)
		if n := to(true, 400); n > 20 {
			t.Fatalf("%v: %d of 400 to a failing server", code, n)
		}
		to(false, 800)
		if n := to(false, 400); n < 20 {
			t.Fatalf("%v: only %d of 400 to a server that is well again", code, n)
		}
	}
}

// When all servers fail alike, verdicts against them are not heeded.
func TestSharedFailureEjectsNobody(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(9))
	late := map[ServerID]int{}
	for i := range 300 {
		w.now += 25 * ms
		s := w.startAttempt("once", "free") // fails the test when there is none
		w.finishAttempt(s, 0, Error)
		if i >= 200 {
			late[s.Server]++
		}
	}
	if len(late) < 7 {
		t.Fatalf("only %d of 9 servers used", len(late))
	}
}

func TestHungServerIsAvoided(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(6))
	called, late := 0, 0
	for i := range 300 {
		s := w.startAttempt("safe", "free")
		if s.Server != 1 {
			w.finishAttempt(s, 0, OK)
		} else if i > 150 {
			late++
		}
		for _, a := range w.advance(25 * ms) {
			if c, ok := a.(CancelAttempt); ok {
				called++
				for _, s := range actionsOf[StartAttempt](w.handle(AttemptResult{ID: c.ID, Attempt: c.Attempt, Code: Cancelled})) {
					w.finishAttempt(s, c.Attempt+1, OK)
				}
			}
		}
	}
	if called == 0 || late > 6 {
		t.Fatalf("%d called back, %d sent later on", called, late)
	}
}

func TestClientRetriesYieldDuringServerShortage(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(1))
	for range 50 {
		w.request("safe", "free", "c", 1)
	}
	w.lastID++
	acts := w.handle(Request{ID: w.lastID, Customer: "c", Plan: "free", Class: "safe", Units: 1,
		Remaining: 2 * time.Second, GatewaySpread: 2, ClientRetry: true})
	if r := actionsOf[Reject](acts); len(r) != 1 || r[0].RetryAfter != 500*ms {
		t.Fatalf("got %v", acts)
	}
}

func TestStrayInputChangesNothing(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(3))
	s := w.startAttempt("safe", "free")
	for _, ev := range []Event{
		AttemptResult{ID: 99, Server: 1, Code: OK}, AttemptResult{ID: s.ID, Attempt: 4, Server: s.Server, Code: Error},
		ClientDisconnected{ID: 98}, TimerFired{Token: "other"}, ResponseStarted{ID: 97},
		PeerMessage{From: 1, Data: []byte("rubbish")}, PeerMessage{From: 1}, PeerMessage{From: -3},
		PeerMessage{From: 55, Data: (&loadReport{}).encode()}, EndpointUpdate{Kind: WatchFailed},
	} {
		if acts := w.handle(ev); len(acts) != 0 {
			t.Errorf("%#v led to %v", ev, acts)
		}
	}
	w.finishAttempt(s, 0, OK)
	if acts := w.finishAttempt(s, 0, OK); len(acts) != 0 || w.g.endpoints.list[0].inFlight+w.g.endpoints.list[1].inFlight+w.g.endpoints.list[2].inFlight != 0 {
		t.Errorf("a second outcome led to %v", acts)
	}
}

func TestActualUnitsAreDeducted(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	w.receiveReport(1, 1, 1, true)
	s := w.startAttempt("safe", "rate")
	w.handle(AttemptResult{ID: s.ID, Server: s.Server, Code: OK, Answered: true, ActualUnits: 9})
	if n := w.admitUnits(5, "rate"); n > 1 {
		t.Fatalf("%d more passed after 9 of 10 units were settled", n)
	}
}

func TestStartedStreamIsNotCancelled(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(1))
	s := w.startAttempt("stream", "free")
	w.handle(ResponseStarted{ID: s.ID, Server: s.Server})
	if acts := w.advance(10 * time.Second); len(actionsOf[CancelAttempt](acts))+len(actionsOf[Fail](acts))+len(actionsOf[Reject](acts)) > 0 {
		t.Fatal("a begun stream was ended")
	}
}

func TestWatchesEndpointsWhereRequired(t *testing.T) {
	s := baseSettings()
	s.MustWatchEndpoints = true
	g, _ := New(s, 1)
	w := &harness{t: t, g: g, now: time.Second}
	if n := len(actionsOf[WatchEndpoints](w.handle(EndpointUpdate{Kind: CachedUpdate}))); n != 1 {
		t.Fatalf("%d asks at the start", n)
	}
	w.handle(EndpointUpdate{Kind: WatchFailed})
	if n := len(actionsOf[WatchEndpoints](w.advance(3 * time.Second))); n != 1 {
		t.Fatalf("%d asks after a failed one", n)
	}
}

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"Resolution":                  func(s *Settings) { s.Resolution = 0 },
		"Plans":                       func(s *Settings) { s.Plans = nil },
		"Plans[1].Name":               func(s *Settings) { s.Plans[1].Name = "" },
		"Plans[1].Rate":               func(s *Settings) { s.Plans[1].Rate = -1 },
		"Classes[0].LatencyObjective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"SelfIndex":                   func(s *Settings) { s.SelfIndex = 2 },
	} {
		s := baseSettings()
		spoil(&s)
		_, err := New(s, 1)
		if err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s: %v", key, err)
		}
		var setting *SettingError
		if !errors.As(err, &setting) || setting.Field != key || setting.Problem == "" {
			t.Errorf("%s: not a setting error: %#v", key, err)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		w := newHarness(t, baseSettings(), testServers(5))
		for i := range 300 {
			_, acts := w.request("safe", []string{"both", "rate", "free"}[i%3], fmt.Sprint(i%7), 1)
			all = append(all, acts...)
			for _, s := range actionsOf[StartAttempt](acts) {
				all = append(all, w.finishAttempt(s, 0, ResultCode(i%3))...)
			}
			all = append(all, w.advance(20*ms)...)
		}
		return all
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Fatal("equal events gave other actions")
	}
}

func FuzzPeerMessage(f *testing.F) {
	f.Add((&loadReport{incarnation: 1, sequence: 2, complete: true, servers: []reportedServer{{1, 2}},
		customers: []reportedCustomer{{hash: 3}, {hash: 5}}}).encode())
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		w := newHarness(t, baseSettings(), testServers(2))
		w.request("safe", "hard", "c", 1)
		w.handle(PeerMessage{From: 1, Data: b})
		if m, ok := decodeLoadReport(b); ok {
			if len(b) > maxMessageBytes {
				t.Fatal("too long")
			}
			if m2, ok := decodeLoadReport(m.encode()); !ok || !reflect.DeepEqual(m, m2) {
				t.Fatal("a report does not survive its own encoding")
			}
		}
	})
}

// The deploy file names every file that decides.
func TestDeployFileNamesEveryFile(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var named []string
	if list := regexp.MustCompile(`(?s)\npolicy = \[(.*?)\]`).FindSubmatch(b); list != nil {
		for _, m := range regexp.MustCompile(`"policy/([^"]+)"`).FindAllSubmatch(list[1], -1) {
			named = append(named, string(m[1]))
		}
	}
	slices.Sort(named)
	if files := sourceFiles(t); !slices.Equal(named, files) {
		t.Errorf("deploy/balancer.toml names %v, the package has %v", named, files)
	}
}

func TestLinesAreShort(t *testing.T) {
	for _, name := range sourceFiles(t) {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(b), "\n") {
			if len([]rune(strings.ReplaceAll(l, "\t", "    "))) > 110 {
				t.Errorf("%s:%d is longer than 110 characters", name, i+1)
			}
		}
	}
}

// sourceFiles lists the package's files but for its tests, in order.
func sourceFiles(t *testing.T) (names []string) {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") {
			names = append(names, name)
		}
	}
	return names
}

// Tuned values are named: times and shares stand only inside constant declarations.
func TestTunedValuesAreNamedConstants(t *testing.T) {
	tuned := regexp.MustCompile(`[0-9] ?\* ?time\.|\b0\.[0-9]*[1-9]`)
	for _, f := range sourceFiles(t) {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		named := constantLines(t, f, b)
		for i, l := range strings.Split(string(b), "\n") {
			code, _, _ := strings.Cut(l, "//")
			if !named[i+1] && tuned.MatchString(code) {
				t.Errorf("%s:%d holds a tuned value: %s", f, i+1, strings.TrimSpace(l))
			}
		}
	}
}

// constantLines returns the lines of a source file that belong to constant declarations at package level.
func constantLines(t *testing.T, name string, source []byte) map[int]bool {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[int]bool{}
	for _, d := range file.Decls {
		if d, ok := d.(*ast.GenDecl); ok && d.Tok == token.CONST {
			for i := files.Position(d.Pos()).Line; i <= files.Position(d.End()).Line; i++ {
				lines[i] = true
			}
		}
	}
	return lines
}

// Load no report tells of shows in the latencies; the gateway then lets in a
// part of the requests.
func TestOverloadShedsLoad(t *testing.T) {
	let := func(latency time.Duration) (n int) {
		w := newHarness(t, baseSettings(), testServers(20))
		for i := range 400 {
			w.advance(25 * ms)
			_, acts := w.request("safe", "free", "c", 1)
			for _, s := range actionsOf[StartAttempt](acts) {
				w.handle(AttemptResult{ID: s.ID, Server: s.Server, Code: OK, Answered: true, Latency: latency})
				if i >= 200 {
					n++
				}
			}
		}
		return n
	}
	if calm, strained := let(50*ms), let(700*ms); calm < 200 || strained > 100 {
		t.Fatalf("%d of 200 let in when calm, %d when strained", calm, strained)
	}
}

// A peer cut off or never heard leaves this gateway its part, not the whole.
func TestSilentPeerKeepsItsShare(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	w.admitUnits(1, "rate")
	w.advance(60 * time.Second)
	w.admitUnits(10, "rate")
	n := 0
	for range 100 {
		w.advance(100 * ms)
		n += w.admitUnits(3, "rate")
	}
	if n < 50 || n > 85 {
		t.Fatalf("%d of 100 units passed beside a peer never heard", n)
	}
}

// A server that turns one plan away stays in use for the others.
func TestServerRejectionAppliesToOnePlan(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(2))
	for range 200 {
		w.finishAttempt(w.startAttempt("safe", "free"), 0, OK)
		w.advance(200 * ms)
	}
	first := 0
	for range 20 {
		s := w.startAttempt("safe", "free")
		if s.Server == 1 {
			first++
			next := actionsOf[StartAttempt](w.finishAttempt(s, 0, Rejected))
			w.finishAttempt(next[0], 1, OK)
		} else {
			w.finishAttempt(s, 0, OK)
		}
		w.advance(20 * ms)
	}
	others := 0
	for range 20 {
		_, acts := w.request("safe", "rate", "d", 0)
		for _, s := range actionsOf[StartAttempt](acts) {
			if s.Server == 1 {
				others++
			}
			w.finishAttempt(s, 0, OK)
		}
	}
	if first != 1 || others < 3 {
		t.Fatalf("%d to the server that turns the plan away, %d of another plan", first, others)
	}
}

// A low store is left to first tries.
func TestClientRetriesYieldWhenTokensAreLow(t *testing.T) {
	for spent, want := range map[int]int{0: 1, 8: 0} {
		w := newHarness(t, baseSettings(), testServers(8))
		w.receiveReport(1, 1, 1, true)
		w.admitUnits(spent, "rate")
		w.lastID++
		acts := w.handle(Request{ID: w.lastID, Customer: "c", Plan: "rate", Class: "safe", Units: 1,
			Remaining: 2 * time.Second, GatewaySpread: 2, ClientRetry: true})
		if n := len(actionsOf[StartAttempt](acts)); n != want {
			t.Errorf("%d repeats passed after %d of 10 units, want %d", n, spent, want)
		}
	}
}

func TestIdleCustomersAreForgotten(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(2))
	for i := range 50 {
		_, acts := w.request("safe", "rate", fmt.Sprint(i), 1)
		w.finishAttempt(actionsOf[StartAttempt](acts)[0], 0, OK)
		w.now += 20 * ms
	}
	w.advance(9 * time.Minute)
	w.admitUnits(1, "rate")
	if n := len(w.g.customers.byKey); n != 51 {
		t.Fatalf("%d customers known, want 51", n)
	}
	w.advance(2 * time.Minute)
	if n := len(w.g.customers.byKey) + len(w.g.customers.ring) + len(w.g.customers.byHash) + len(w.g.peers[1].customerViews); n != 4 {
		t.Fatalf("%d places still name customers, want 4", n)
	}
}

// With the warm servers full, the cold one still gets no more than its budget.
func TestColdServerBudgetHoldsUnderLoad(t *testing.T) {
	servers := testServers(4)
	servers[0].HasStartTime, servers[0].StartedAt = true, time.Second
	w := newHarness(t, baseSettings(), servers)
	cold := 0
	for range 60 {
		w.now += 10 * ms
		_, acts := w.request("once", "free", "c", 1)
		for len(acts) > 0 {
			s, more := acts[0], []Action(nil)
			if s, ok := s.(StartAttempt); ok && s.Server == 1 {
				cold++
				more = w.finishAttempt(s, 0, OK)
			}
			acts = append(acts[1:], more...)
		}
	}
	if cold < 1 || cold > 4 {
		t.Fatalf("%d sent to the cold server", cold)
	}
}
