package policy

import (
	"fmt"
	"testing"
	"time"
)

// A server that fails all attempts is ejected, and used again after probes succeed.
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
			t.Fatalf("%v: %d attempts of 400 requests at a failing server, want at most 20", code, n)
		}
		sendRequests(false, 800)
		if n := sendRequests(false, 400); n < 20 {
			t.Fatalf("%v: %d of 400 attempts at a server that has recovered, want at least 20", code, n)
		}
	}
}

// If all servers fail, the failures have a shared cause, and ejections are ignored.
func TestSharedFailureEjectsNoServer(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(9))
	lateAttempts := map[ServerID]int{}
	for i := range 300 {
		h.now += 25 * ms
		s := h.startAttempt("once", "free") // fails the test if there is no attempt
		h.finishAttempt(s, 0, Error)
		if i >= 200 {
			lateAttempts[s.Server]++
		}
	}
	if len(lateAttempts) < 7 {
		t.Fatalf("%d of 9 servers used, want at least 7", len(lateAttempts))
	}
}

// Attempts at a server that never responds are canceled and retried elsewhere, and the server gets few new ones.
func TestHungServerIsAvoided(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(6))
	canceled, lateAttempts := 0, 0
	for i := range 300 {
		s := h.startAttempt("safe", "free")
		if s.Server != 1 {
			h.finishAttempt(s, 0, OK)
		} else if i > 150 {
			lateAttempts++
		}
		for _, a := range h.advance(25 * ms) {
			if c, ok := a.(CancelAttempt); ok {
				canceled++
				for _, s := range actionsOf[StartAttempt](h.handle(AttemptResult{ID: c.ID, Attempt: c.Attempt, Code: Cancelled})) {
					h.finishAttempt(s, c.Attempt+1, OK)
				}
			}
		}
	}
	if canceled == 0 || lateAttempts > 6 {
		t.Fatalf("%d attempts canceled, want some; %d later attempts at the server, want at most 6", canceled, lateAttempts)
	}
}

func TestStartedStreamIsNotCancelled(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(1))
	s := h.startAttempt("stream", "free")
	h.handle(ResponseStarted{ID: s.ID, Server: s.Server})
	if actions := h.advance(10 * time.Second); len(actionsOf[CancelAttempt](actions))+len(actionsOf[Fail](actions))+len(actionsOf[Reject](actions)) > 0 {
		t.Fatal("the attempt or the request of a started stream was ended")
	}
}

// A monitor that receives outcome reports of failures of one class on a server ejects the server for this class at
// all gateways. Requests of other classes still go to the server.
func TestMonitorEjectsOneClass(t *testing.T) {
	fleet := newGatewayFleet(t, 100, testServers(10))
	s := fleet.gateways[0].endpoints.byID[3]
	id := 0
	for range 6 {
		for i := range 12 {
			from := (s.monitors[0] + 1 + i) % 100
			fleet.handle(from, PeerMessage{From: s.monitors[0], Data: []byte{shortMessageVersion}}) // too short: ignored
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
		t.Errorf("attempts by class at a server that fails class safe: %v", attempts)
	}
}

// A server that cannot be reached is also reported to its second monitor, since the first monitor may be lost
// together with the server.
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
		t.Error("gateway 20 has not ejected the server")
	}
}

// A server that warms up has longer latencies. Its monitor allows for the warm fraction, so that the latency ratio
// stays near 1.
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
		t.Errorf("latency ratio %.2f, want 0.8 to 1.2", s.observedRatio)
	}
}

// A server can be ejected for each of up to 256 classes, and the outlier report carries it to other gateways.
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
			t.Errorf("class %d fails: ejected %v for it, want true, and %v for the next class, want false", failing, health[failing].ejected, health[succeeding].ejected)
		}
	}
}
