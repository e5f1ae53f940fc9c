package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestRetriesByResultAndIdempotency(t *testing.T) {
	const (
		again = iota
		rejected
		failed
	)
	for _, c := range []struct {
		class string
		code  ResultCode
		want  int
	}{
		{"safe", Error, again}, {"safe", TimedOut, again}, {"safe", TooLate, rejected},
		{"once", Error, failed}, {"once", TimedOut, failed}, {"once", Rejected, again},
		{"once", ConnectFailed, again}, {"once", Reset, failed}, {"once", TooLate, rejected},
		{"cell", Error, again}, {"cell", Rejected, again}, {"all", Reset, again},
		{"safe", Withdrawn, again}, {"once", Withdrawn, again}, {"safe", NoConnection, rejected}, {"once", NoConnection, rejected},
	} {
		t.Run(fmt.Sprint(c.class, c.code), func(t *testing.T) {
			w := newHarness(t, baseSettings(), testServers(4))
			s := w.startAttempt(c.class, "free")
			w.now += 20 * ms
			acts := w.finishAttempt(s, 0, c.code)
			sends, reject, fail := actionsOf[StartAttempt](acts), actionsOf[Reject](acts), actionsOf[Fail](acts)
			got := -1
			switch {
			case len(sends) == 1 && len(reject)+len(fail) == 0:
				got = again
			case len(reject) == 1 && len(sends)+len(fail) == 0:
				got = rejected
			case len(fail) == 1 && len(sends)+len(reject) == 0:
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

// An attempt that was withdrawn since its server drains says nothing of the server: no class counts a failure, and
// the retry is free.
func TestWithdrawnAttemptIsNoFailureOfItsServer(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(4))
	w.g.retryBudget = 0
	s := w.startAttempt("once", "free")
	budget := w.g.retryBudget
	if acts := w.finishAttempt(s, 0, Withdrawn); len(actionsOf[StartAttempt](acts)) != 1 || w.g.retryBudget != budget {
		t.Errorf("%v, budget %v after %v", acts, w.g.retryBudget, budget)
	}
	for i, h := range w.g.endpoints.byID[s.Server].health {
		if h.failureRate != 0 {
			t.Errorf("failure rate %v for class %d", h.failureRate, i)
		}
	}
}

// A retry that is refused for want of budget costs nothing: the next first attempts earn one again, and free
// retries go on.
func TestRefusedRetryIsNotCharged(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	w.g.retryBudget = 0
	for range 20 {
		s := w.startAttempt("safe", "free")
		w.finishAttempt(s, 0, Error)
	}
	if w.g.retryBudget < 0 {
		t.Errorf("the budget fell to %v", w.g.retryBudget)
	}
	w.g.retryBudget = 0
	s := w.startAttempt("safe", "free")
	if acts := w.finishAttempt(s, 0, ConnectFailed); len(actionsOf[StartAttempt](acts)) != 1 {
		t.Errorf("a free retry was refused: %v", acts)
	}
}
