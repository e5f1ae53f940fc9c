package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		w := newHarness(t, baseSettings(), testServers(5))
		for i := range 300 {
			acts := w.request("safe", []string{"both", "rate", "free"}[i%3], fmt.Sprint(i%7), 1)
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
		t.Errorf("a second result led to %v", acts)
	}
}

// Every request gets one final response before its deadline, with servers that answer none, and with
// no room at servers at all.
func TestOneFinalResponseInTime(t *testing.T) {
	for _, plan := range []string{"free", "rate", "open", "hard", "both"} {
		for _, remaining := range []time.Duration{10 * ms, 60 * ms, 300 * ms, 2 * time.Second} {
			w := newHarness(t, baseSettings(), testServers(2))
			w.advance(time.Second)
			ledger := &responseLedger{harness: w, owed: map[RequestID]time.Duration{},
				inFlight: map[RequestID]StartAttempt{}, attempts: map[RequestID]int{}}
			for i := range 1500 {
				w.now += 2 * ms
				if i < 200 && i%4 == 0 {
					ledger.request(plan, remaining)
				}
				if w.now-w.g.tick.lastAt >= w.g.tick.interval {
					ledger.record(w.handle(TimerFired{Token: tickTimer}))
				}
				ledger.checkDeadlines(fmt.Sprint(plan, ", ", remaining))
			}
			if len(ledger.owed) > 0 {
				t.Fatalf("%d requests never answered", len(ledger.owed))
			}
		}
	}
}

// responseLedger keeps which requests are owed a final response, and when it is due.
type responseLedger struct {
	*harness
	owed     map[RequestID]time.Duration
	inFlight map[RequestID]StartAttempt
	attempts map[RequestID]int
}

func (l *responseLedger) request(plan string, remaining time.Duration) {
	l.lastID++
	l.owed[l.lastID] = l.now + remaining
	l.record(l.handle(Request{ID: l.lastID, Customer: testCustomer, Plan: plan, Class: "safe", Units: 1,
		Remaining: remaining, GatewaySpread: 2}))
}

// record checks what was done, and lets attempts that are cancelled end.
func (l *responseLedger) record(actions []Action) {
	l.t.Helper()
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			l.recordAttempt(a)
		case CancelAttempt:
			s := l.inFlight[a.ID]
			delete(l.inFlight, a.ID)
			l.record(l.handle(AttemptResult{ID: a.ID, Attempt: a.Attempt, Server: s.Server, Code: Cancelled}))
		case Reject:
			l.recordFinal(a.ID, a)
		case Fail:
			l.recordFinal(a.ID, a)
		}
	}
}

func (l *responseLedger) recordAttempt(a StartAttempt) {
	l.t.Helper()
	if _, ok := l.owed[a.ID]; !ok {
		l.t.Fatalf("%v after its final response", a)
	}
	if _, second := l.inFlight[a.ID]; second {
		l.t.Fatalf("two attempts in flight: %v", a)
	}
	l.inFlight[a.ID] = a
	l.attempts[a.ID]++
}

func (l *responseLedger) recordFinal(id RequestID, a Action) {
	l.t.Helper()
	if _, ok := l.owed[id]; !ok {
		l.t.Fatalf("second response: %v", a)
	}
	delete(l.owed, id)
}

// checkDeadlines ends the attempts whose deadline has come, and fails for requests that are still owed a
// response after it.
func (l *responseLedger) checkDeadlines(what string) {
	l.t.Helper()
	for id := RequestID(1); id <= l.lastID; id++ {
		due, owes := l.owed[id]
		s, sent := l.inFlight[id]
		if owes && sent && l.now >= due {
			delete(l.inFlight, id)
			l.record(l.handle(AttemptResult{ID: id, Attempt: l.attempts[id] - 1, Server: s.Server, Code: TimedOut}))
		}
		if _, still := l.owed[id]; still && l.now > due+8*ms {
			l.t.Fatalf("%s: request %d has no response in time", what, id)
		}
	}
}
