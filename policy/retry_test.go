package policy

import (
	"fmt"
	"testing"
	"time"
)

// The result of an attempt and the idempotency of the class decide whether a request is retried, rejected or failed.
func TestRetriesByResultAndIdempotency(t *testing.T) {
	const (
		retried = iota
		rejected
		failed
	)
	for _, c := range []struct {
		class string
		code  ResultCode
		want  int
	}{
		{"safe", Error, retried}, {"safe", TimedOut, retried}, {"safe", TooLate, rejected},
		{"once", Error, failed}, {"once", TimedOut, failed}, {"once", Rejected, retried},
		{"once", ConnectFailed, retried}, {"once", Reset, failed}, {"once", TooLate, rejected},
		{"cell", Error, retried}, {"cell", Rejected, retried}, {"all", Reset, retried},
		{"safe", Withdrawn, retried}, {"once", Withdrawn, retried}, {"safe", NoConnection, rejected}, {"once", NoConnection, rejected},
	} {
		t.Run(fmt.Sprint(c.class, c.code), func(t *testing.T) {
			h := newHarness(t, baseSettings(), testServers(4))
			s := h.startAttempt(c.class, "free")
			h.now += 20 * ms
			actions := h.finishAttempt(s, 0, c.code)
			attempts, rejects, fails := actionsOf[StartAttempt](actions), actionsOf[Reject](actions), actionsOf[Fail](actions)
			got := -1
			switch {
			case len(attempts) == 1 && len(rejects)+len(fails) == 0:
				got = retried
			case len(rejects) == 1 && len(attempts)+len(fails) == 0:
				got = rejected
			case len(fails) == 1 && len(attempts)+len(rejects) == 0:
				got = failed
			}
			if got != c.want {
				t.Fatalf("unexpected actions: %v", actions)
			}
			if got == retried && c.class == "cell" && !c.code.NeverRan() &&
				(attempts[0].Server-1)/2 != (s.Server-1)/2 {
				t.Fatalf("retry in another cell: %v, then %v", s, attempts[0])
			}
			if got == retried && attempts[0].Server == s.Server {
				t.Fatal("retry at the server that has just failed")
			}
		})
	}
}

// After the dedup window a retry could run the request twice, so the request fails.
func TestKeyedRequestOutsideDedupWindowFails(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(4))
	h.lastID++
	actions := h.handle(Request{ID: h.lastID, Customer: "c", Plan: "free", Class: "cell", Units: 1,
		Remaining: 5 * time.Second, GatewaySpread: 2})
	s := actionsOf[StartAttempt](actions)[0]
	h.now += 2100 * ms
	actions = h.finishAttempt(s, 0, Error)
	if len(actionsOf[Fail](actions)) != 1 || len(actionsOf[StartAttempt](actions))+len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("want Fail for a keyed request after its dedup window, got %v", actions)
	}
}

// Guards against a second run: the window is left by a retry that is decided in time and written late, because its
// connection comes up late or the process is paused. Each retry states the time that is left to write it, counted
// from the first attempt that may have run.
func TestRetryStatesTheRestOfTheDedupWindow(t *testing.T) {
	const window, sendDelay = 2 * time.Second, 150 * ms
	settings := baseSettings()
	settings.MaxSendDelay = sendDelay
	for _, c := range []struct {
		class string
		code  ResultCode
		limit time.Duration // from the first attempt; 0: none
	}{
		{"cell", Error, window - sendDelay}, {"all", Reset, window - sendDelay}, {"safe", Error, 0}, {"cell", ConnectFailed, 0},
	} {
		h := newHarness(t, settings, testServers(4))
		s := h.startAttempt(c.class, "free")
		first := h.now
		if s.SendWithin != 0 {
			t.Errorf("%s: the first attempt has a limit of %v", c.class, s.SendWithin)
		}
		for i, wait := range []time.Duration{300 * ms, 400 * ms} {
			h.now += wait
			attempts := actionsOf[StartAttempt](h.finishAttempt(s, i, c.code))
			if len(attempts) != 1 {
				t.Fatalf("%s after %v: no retry", c.class, c.code)
			}
			s = attempts[0]
			want := time.Duration(0)
			if c.limit > 0 {
				want = first + c.limit - h.now
			}
			if s.SendWithin != want {
				t.Errorf("%s after %v, retry %d: must be sent within %v, want %v", c.class, c.code, i+1, s.SendWithin, want)
			}
		}
	}
}

// Guards against a retry that is written after the window because the process is paused after the decision.
func TestNoRetryAtTheVeryEndOfTheDedupWindow(t *testing.T) {
	settings := baseSettings()
	settings.MaxSendDelay = 150 * ms
	h := newHarness(t, settings, testServers(4))
	s := h.startAttempt("cell", "free")
	h.now += 1900 * ms
	if attempts := actionsOf[StartAttempt](h.finishAttempt(s, 0, Error)); len(attempts) != 0 {
		t.Errorf("a retry %v before the end of the window: %v", 100*ms, attempts)
	}
}

// An attempt that was withdrawn because its server drains is no sign of a failing server: it counts as a failure of
// no class, and its retry costs no budget.
func TestWithdrawnAttemptIsNoFailureOfItsServer(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(4))
	h.gateway.retryBudget = 0
	s := h.startAttempt("once", "free")
	budget := h.gateway.retryBudget
	if actions := h.finishAttempt(s, 0, Withdrawn); len(actionsOf[StartAttempt](actions)) != 1 || h.gateway.retryBudget != budget {
		t.Errorf("want one free retry, got %v and a retry budget of %v after %v", actions, h.gateway.retryBudget, budget)
	}
	for i, health := range h.gateway.endpoints.byID[s.Server].health {
		if health.failureRate != 0 {
			t.Errorf("failure rate %v for class %d, want 0", health.failureRate, i)
		}
	}
}

// A retry that the retry budget does not cover is not charged, so that the budget stays at least 0 and free retries
// still take place.
func TestRefusedRetryIsNotCharged(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(8))
	h.gateway.retryBudget = 0
	for range 20 {
		s := h.startAttempt("safe", "free")
		h.finishAttempt(s, 0, Error)
	}
	if h.gateway.retryBudget < 0 {
		t.Errorf("the retry budget fell to %v", h.gateway.retryBudget)
	}
	h.gateway.retryBudget = 0
	s := h.startAttempt("safe", "free")
	if actions := h.finishAttempt(s, 0, ConnectFailed); len(actionsOf[StartAttempt](actions)) != 1 {
		t.Errorf("a free retry was refused: %v", actions)
	}
}
