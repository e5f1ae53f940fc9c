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
