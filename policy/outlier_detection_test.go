package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestFailingServerIsEjectedAndProbed(t *testing.T) {
	for _, code := range []ResultCode{Error, ConnectFailed, Reset} {
		h := newHarness(t, baseSettings(), testServers(6))
		sendRequests := func(failing bool, n int) (attempts int) {
			for range n {
				h.advance(25 * ms)
				s := h.startAttempt("safe", "free")
				for attempt := 0; ; attempt++ {
					atServer1 := s.Server == 1
					if atServer1 {
						attempts++
					}
					if !atServer1 || !failing {
						h.finishAttempt(s, attempt, OK)
						break
					}
					retries := actionsOf[StartAttempt](h.finishAttempt(s, attempt, code))
					if len(retries) == 0 {
						break
					}
					s = retries[0]
				}
			}
			return attempts
		}
		sendRequests(true, 100)
		if n := sendRequests(true, 400); n > 20 {
			t.Fatalf("%v: %d of 400 to a failing server", code, n)
		}
		sendRequests(false, 800)
		if n := sendRequests(false, 400); n < 20 {
			t.Fatalf("%v: only %d of 400 to a server that is well again", code, n)
		}
	}
}

// When all servers fail alike, ejections are ignored.
func TestSharedFailureEjectsNoServer(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(9))
	lateAttempts := map[ServerID]int{}
	for i := range 300 {
		h.now += 25 * ms
		s := h.startAttempt("once", "free") // fails the test when there is none
		h.finishAttempt(s, 0, Error)
		if i >= 200 {
			lateAttempts[s.Server]++
		}
	}
	if len(lateAttempts) < 7 {
		t.Fatalf("only %d of 9 servers used", len(lateAttempts))
	}
}

func TestHungServerIsAvoided(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(6))
	cancelled, lateAttempts := 0, 0
	for i := range 300 {
		s := h.startAttempt("safe", "free")
		if s.Server != 1 {
			h.finishAttempt(s, 0, OK)
		} else if i > 150 {
			lateAttempts++
		}
		for _, a := range h.advance(25 * ms) {
			if c, ok := a.(CancelAttempt); ok {
				cancelled++
				for _, s := range actionsOf[StartAttempt](h.handle(AttemptResult{ID: c.ID, Attempt: c.Attempt, Code: Cancelled})) {
					h.finishAttempt(s, c.Attempt+1, OK)
				}
			}
		}
	}
	if cancelled == 0 || lateAttempts > 6 {
		t.Fatalf("%d cancelled, %d sent later on", cancelled, lateAttempts)
	}
}

func TestStartedStreamIsNotCancelled(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(1))
	s := h.startAttempt("stream", "free")
	h.handle(ResponseStarted{ID: s.ID, Server: s.Server})
	if actions := h.advance(10 * time.Second); len(actionsOf[CancelAttempt](actions))+len(actionsOf[Fail](actions))+len(actionsOf[Reject](actions)) > 0 {
		t.Fatal("a started stream was ended")
	}
}

// A monitor hears that one class fails on a server and reports it to all; the other classes still go
// there.
func TestMonitorEjectsOneClass(t *testing.T) {
	fleet := newGatewayFleet(t, 100, testServers(10))
	s := fleet.gateways[0].endpoints.byID[3]
	id := 0
	for range 6 {
		for i := range 12 {
			from := (s.monitors[0] + 1 + i) % 100
			fleet.handle(from, PeerMessage{From: s.monitors[0], Data: []byte{shortMessageVersion}}) // foreign: nothing
			g := fleet.gateways[from]
			fleet.handle(s.monitors[0], PeerMessage{From: from,
				Data: outcomeReport{uint32(s.ID), byte(g.classes["safe"].index), byte(Error), 5}.encode()})
			fleet.handle(s.monitors[0], PeerMessage{From: from,
				Data: outcomeReport{uint32(s.ID), byte(g.classes["once"].index), byte(OK), 80}.encode()})
		}
	}
	fleet.advance(100*ms, nil)
	attempts := map[string]int{}
	for _, class := range []string{"safe", "once"} {
		before := len(fleet.attempts)
		for i := range fleet.gateways {
			if i != s.monitors[0] {
				for range 4 {
					id++
					fleet.request(i, RequestID(id), "k", "free", class, 100)
				}
			}
		}
		for _, attempt := range fleet.attempts[before:] {
			if attempt.Server == s.ID {
				attempts[class]++
			}
		}
	}
	if attempts["safe"] > 0 || attempts["once"] < 5 {
		t.Errorf("sent to a server that fails one class: %v", attempts)
	}
}

// The monitor may be lost with the server: one that cannot be reached is reported to a second one.
func TestSecondMonitorReportsUnreachableServer(t *testing.T) {
	fleet := newGatewayFleet(t, 100, testServers(10))
	s := fleet.gateways[0].endpoints.byID[3]
	fleet.isLost = func(from, to int) bool { return from == s.monitors[0] || to == s.monitors[0] }
	class := fleet.gateways[70].classes["safe"]
	for range 6 {
		fleet.gateways[70].now, fleet.gateways[70].actions = fleet.now, nil
		fleet.gateways[70].reportOutcome(fleet.gateways[70].endpoints.byID[3], class, ConnectFailed, 250*ms)
		actions := fleet.gateways[70].actions
		for _, a := range actionsOf[SendPeerMessage](actions) {
			if a.To == s.monitors[1] {
				fleet.handle(a.To, PeerMessage{From: 70, Data: a.Data})
			}
		}
	}
	fleet.advance(100*ms, nil)
	if health := fleet.gateways[20].endpoints.byID[3].healthFor(class); !health.ejected {
		t.Error("a gateway far off has not heard of it")
	}
}

// A server that warms up has longer latencies: its monitor must not take it for a slow one beyond
// that.
func TestMonitorAllowsForWarmup(t *testing.T) {
	servers := testServers(20)
	servers[0].HasStartTime, servers[0].StartedAt = true, 10*time.Second
	fleet := newGatewayFleet(t, 60, servers)
	g := fleet.gateways[fleet.gateways[0].endpoints.byID[1].monitors[0]]
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
		s.SelfIndex = monitor.gateway.endpoints.list[0].monitors[0]
		monitor, other := newHarness(t, s, server), newHarness(t, s, server)
		other.gateway.settings.SelfIndex = (s.SelfIndex + 5) % s.Gateways
		succeeding := (failing + 1) % len(s.Classes)
		for range 40 {
			monitor.now += 100 * ms
			for _, report := range []outcomeReport{{Class: byte(failing), Code: byte(Error)}, {Class: byte(succeeding), Code: byte(OK)}} {
				report.Server, report.LatencyMS = uint32(server[0].ID), 50
				data := report.encode()
				for _, m := range actionsOf[SendPeerMessage](monitor.handle(PeerMessage{From: other.gateway.settings.SelfIndex, Data: data})) {
					other.handle(PeerMessage{From: s.SelfIndex, Data: m.Data})
				}
			}
		}
		health := other.gateway.endpoints.list[0].health
		if !health[failing].ejected || health[succeeding].ejected {
			t.Errorf("class %d fails: ejected %v, and %v for the next one", failing, health[failing].ejected, health[succeeding].ejected)
		}
	}
}
