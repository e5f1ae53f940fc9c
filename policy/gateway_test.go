package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// Two gateways with the same seed and the same events decide on the same actions.
func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		h := newHarness(t, baseSettings(), testServers(5))
		for i := range 300 {
			actions := h.request("safe", []string{"both", "rate", "free"}[i%3], fmt.Sprint(i%7), 1)
			all = append(all, actions...)
			for _, s := range actionsOf[StartAttempt](actions) {
				all = append(all, h.finishAttempt(s, 0, ResultCode(i%3))...)
			}
			all = append(all, h.advance(20*ms)...)
		}
		return all
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Fatal("the same events led to different actions")
	}
}

// Events about unknown requests, attempts, timers and peers, messages that cannot be decoded, and repeated results
// lead to no action.
func TestUnexpectedEventsAreIgnored(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(3))
	s := h.startAttempt("safe", "free")
	for _, event := range []Event{
		AttemptResult{ID: 99, Server: 1, Code: OK}, AttemptResult{ID: s.ID, Attempt: 4, Server: s.Server, Code: Error},
		ClientDisconnected{ID: 98}, TimerFired{Token: "other"}, ResponseStarted{ID: 97},
		PeerMessage{From: 1, Data: []byte("rubbish")}, PeerMessage{From: 1}, PeerMessage{From: -3},
		PeerMessage{From: 55, Data: (&loadReport{}).encode()}, EndpointUpdate{Kind: WatchFailed},
	} {
		if actions := h.handle(event); len(actions) != 0 {
			t.Errorf("%#v led to %v", event, actions)
		}
	}
	h.finishAttempt(s, 0, OK)
	if actions := h.finishAttempt(s, 0, OK); len(actions) != 0 || h.gateway.endpoints.list[0].inFlight+h.gateway.endpoints.list[1].inFlight+h.gateway.endpoints.list[2].inFlight != 0 {
		t.Errorf("a second result of an attempt led to %v, or left attempts in flight", actions)
	}
}

// Every request gets exactly one final response in time, even if the servers respond to no attempt and become
// saturated.
func TestOneFinalResponseInTime(t *testing.T) {
	for _, plan := range []string{"free", "rate", "open", "hard", "both"} {
		for _, remaining := range []time.Duration{10 * ms, 60 * ms, 300 * ms, 2 * time.Second} {
			h := newHarness(t, baseSettings(), testServers(2))
			h.advance(time.Second)
			tracker := &responseTracker{harness: h, deadlines: map[RequestID]time.Duration{},
				inFlight: map[RequestID]StartAttempt{}, attempts: map[RequestID]int{}}
			for i := range 1500 {
				h.now += 2 * ms
				if i < 200 && i%4 == 0 {
					tracker.request(plan, remaining)
				}
				if h.now-h.gateway.tick.lastAt >= h.gateway.tick.interval {
					tracker.record(h.handle(TimerFired{Token: tickTimer}))
				}
				tracker.checkDeadlines(fmt.Sprint(plan, ", ", remaining))
			}
			if len(tracker.deadlines) > 0 {
				t.Fatalf("%d requests without a final response", len(tracker.deadlines))
			}
		}
	}
}

// responseTracker checks that each request gets one final response in time, and at most one attempt at a time.
type responseTracker struct {
	*harness
	deadlines map[RequestID]time.Duration // of the requests without a final response
	inFlight  map[RequestID]StartAttempt
	attempts  map[RequestID]int
}

func (r *responseTracker) request(plan string, remaining time.Duration) {
	r.lastID++
	r.deadlines[r.lastID] = r.now + remaining
	r.record(r.handle(Request{ID: r.lastID, Customer: testCustomer, Plan: plan, Class: "safe", Units: 1,
		Remaining: remaining, GatewaySpread: 2}))
}

// record checks the gateway's actions, and ends the attempts that it cancels.
func (r *responseTracker) record(actions []Action) {
	r.t.Helper()
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			r.recordAttempt(a)
		case CancelAttempt:
			s := r.inFlight[a.ID]
			delete(r.inFlight, a.ID)
			r.record(r.handle(AttemptResult{ID: a.ID, Attempt: a.Attempt, Server: s.Server, Code: Cancelled}))
		case Reject:
			r.recordFinal(a.ID, a)
		case Fail:
			r.recordFinal(a.ID, a)
		}
	}
}

func (r *responseTracker) recordAttempt(a StartAttempt) {
	r.t.Helper()
	if _, ok := r.deadlines[a.ID]; !ok {
		r.t.Fatalf("attempt after the final response of its request: %v", a)
	}
	if _, second := r.inFlight[a.ID]; second {
		r.t.Fatalf("second attempt of a request while one is in flight: %v", a)
	}
	r.inFlight[a.ID] = a
	r.attempts[a.ID]++
}

func (r *responseTracker) recordFinal(id RequestID, a Action) {
	r.t.Helper()
	if _, ok := r.deadlines[id]; !ok {
		r.t.Fatalf("second final response: %v", a)
	}
	delete(r.deadlines, id)
}

// checkDeadlines ends the attempts whose deadline has come, and fails the test if a request has no final response
// more than 8 ms after its deadline.
func (r *responseTracker) checkDeadlines(description string) {
	r.t.Helper()
	for id := RequestID(1); id <= r.lastID; id++ {
		deadline, isPending := r.deadlines[id]
		s, inFlight := r.inFlight[id]
		if isPending && inFlight && r.now >= deadline {
			delete(r.inFlight, id)
			r.record(r.handle(AttemptResult{ID: id, Attempt: r.attempts[id] - 1, Server: s.Server, Code: TimedOut}))
		}
		if _, stillPending := r.deadlines[id]; stillPending && r.now > deadline+8*ms {
			r.t.Fatalf("%s: request %d has no final response more than 8 ms after its deadline", description, id)
		}
	}
}
