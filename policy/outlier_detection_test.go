package policy

import (
	"fmt"
	"testing"
	"time"
)

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

// When all servers fail alike, ejections are ignored.
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
	cancelled, late := 0, 0
	for i := range 300 {
		s := w.startAttempt("safe", "free")
		if s.Server != 1 {
			w.finishAttempt(s, 0, OK)
		} else if i > 150 {
			late++
		}
		for _, a := range w.advance(25 * ms) {
			if c, ok := a.(CancelAttempt); ok {
				cancelled++
				for _, s := range actionsOf[StartAttempt](w.handle(AttemptResult{ID: c.ID, Attempt: c.Attempt, Code: Cancelled})) {
					w.finishAttempt(s, c.Attempt+1, OK)
				}
			}
		}
	}
	if cancelled == 0 || late > 6 {
		t.Fatalf("%d cancelled, %d sent later on", cancelled, late)
	}
}

func TestStartedStreamIsNotCancelled(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(1))
	s := w.startAttempt("stream", "free")
	w.handle(ResponseStarted{ID: s.ID, Server: s.Server})
	if acts := w.advance(10 * time.Second); len(actionsOf[CancelAttempt](acts))+len(actionsOf[Fail](acts))+len(actionsOf[Reject](acts)) > 0 {
		t.Fatal("a started stream was ended")
	}
}

// A monitor hears that one class fails on a server and reports it to all; the other classes still go
// there.
func TestMonitorEjectsOneClass(t *testing.T) {
	w := newGatewayFleet(t, 100, testServers(10))
	s := w.gateways[0].endpoints.byID[3]
	id := 0
	for range 6 {
		for i := range 12 {
			from := (s.monitors[0] + 1 + i) % 100
			w.handle(from, PeerMessage{From: s.monitors[0], Data: []byte{shortMessageVersion}}) // foreign: nothing
			g := w.gateways[from]
			w.handle(s.monitors[0], PeerMessage{From: from,
				Data: outcomeReport{uint32(s.ID), byte(g.classes["safe"].index), byte(Error), 5}.encode()})
			w.handle(s.monitors[0], PeerMessage{From: from,
				Data: outcomeReport{uint32(s.ID), byte(g.classes["once"].index), byte(OK), 80}.encode()})
		}
	}
	w.advance(100*ms, nil)
	hits := map[string]int{}
	for _, class := range []string{"safe", "once"} {
		before := len(w.sends)
		for i := range w.gateways {
			if i != s.monitors[0] {
				for range 4 {
					id++
					w.request(i, RequestID(id), "k", "free", class, 100)
				}
			}
		}
		for _, x := range w.sends[before:] {
			if x.Server == s.ID {
				hits[class]++
			}
		}
	}
	if hits["safe"] > 0 || hits["once"] < 5 {
		t.Errorf("sent to a server that fails one class: %v", hits)
	}
}

// The monitor may be lost with the server: one that cannot be reached is reported to a second one.
func TestSecondMonitorReportsUnreachableServer(t *testing.T) {
	w := newGatewayFleet(t, 100, testServers(10))
	s := w.gateways[0].endpoints.byID[3]
	w.lost = func(from, to int) bool { return from == s.monitors[0] || to == s.monitors[0] }
	class := w.gateways[70].classes["safe"]
	for range 6 {
		w.gateways[70].now, w.gateways[70].actions = w.now, nil
		w.gateways[70].reportOutcome(w.gateways[70].endpoints.byID[3], class, ConnectFailed, 250*ms)
		acts := w.gateways[70].actions
		for _, a := range actionsOf[SendPeerMessage](acts) {
			if a.To == s.monitors[1] {
				w.handle(a.To, PeerMessage{From: 70, Data: a.Data})
			}
		}
	}
	w.advance(100*ms, nil)
	if v := w.gateways[20].endpoints.byID[3].healthFor(class); !v.ejected {
		t.Error("a gateway far off has not heard of it")
	}
}

// A server that warms up has longer latencies: its monitor must not take it for a slow one beyond
// that.
func TestMonitorAllowsForWarmup(t *testing.T) {
	servers := testServers(20)
	servers[0].HasStartTime, servers[0].StartedAt = true, 10*time.Second
	w := newGatewayFleet(t, 60, servers)
	g := w.gateways[w.gateways[0].endpoints.byID[1].monitors[0]]
	s := g.endpoints.byID[1]
	for range 100 {
		g.observeOutcome(s, 0, OK, time.Duration(g.classes["safe"].idleLatency/g.warmFraction(s)*float64(time.Second)))
	}
	if s.observedRatio > 1.2 || s.observedRatio < 0.8 {
		t.Errorf("a latency ratio of %.2f", s.observedRatio)
	}
}

// A server is ejected for any class that fails there, however many classes there are, and the fleet hears of it.
func TestEjectionForAnyOfManyClasses(t *testing.T) {
	for _, failing := range []int{0, 7, 8, 40, 255} {
		s := baseSettings()
		s.Gateways = 60
		for i := len(s.Classes); i < 256; i++ {
			s.Classes = append(s.Classes, Class{Name: fmt.Sprint("class ", i), LatencyObjective: time.Second, Deadline: time.Second})
		}
		server := testServers(1)
		monitor := newHarness(t, s, server)
		s.SelfIndex = monitor.g.endpoints.list[0].monitors[0]
		monitor, other := newHarness(t, s, server), newHarness(t, s, server)
		other.g.settings.SelfIndex = (s.SelfIndex + 5) % s.Gateways
		succeeding := (failing + 1) % len(s.Classes)
		for range 40 {
			monitor.now += 100 * ms
			for _, r := range []outcomeReport{{Class: byte(failing), Code: byte(Error)}, {Class: byte(succeeding), Code: byte(OK)}} {
				r.Server, r.LatencyMS = uint32(server[0].ID), 50
				report := r.encode()
				for _, m := range actionsOf[SendPeerMessage](monitor.handle(PeerMessage{From: other.g.settings.SelfIndex, Data: report})) {
					other.handle(PeerMessage{From: s.SelfIndex, Data: m.Data})
				}
			}
		}
		health := other.g.endpoints.list[0].health
		if !health[failing].ejected || health[succeeding].ejected {
			t.Errorf("class %d fails: ejected %v, and %v for the next one", failing, health[failing].ejected, health[succeeding].ejected)
		}
	}
}
