package authz

import (
	"testing"
	"time"
)

// checkOnce starts a request and finishes its first check.
func checkOnce(d *Decider, now time.Time, id uint64, class string, outcome Outcome) (Resolve, bool) {
	request := Request{ID: id, Class: class, Customer: "a", Resource: "x", Remaining: time.Second}
	c, ok := firstAction[SendCheck](d.StartRequest(now, request))
	if !ok {
		return Resolve{}, false
	}
	result := CheckResult{Outcome: outcome, Latency: time.Millisecond, Payload: "payload"}
	return firstAction[Resolve](d.FinishCheck(now.Add(time.Millisecond), c.ID, c.Attempt, result))
}

// Until it expires, a cached result (also a denial) replaces a missing one. Without a cached
// result, the mode of the class determines the decision.
func TestCachedResultReplacesAMissingOne(t *testing.T) {
	d := New(testSettings(1))
	if r, ok := checkOnce(d, testStart, 1, "cached", Allowed); !ok || r.Decision != Proceed || r.FromFallback {
		t.Errorf("allowed: %+v", r)
	}
	if r, ok := checkOnce(d, testStart.Add(30*time.Second), 2, "cached", TimedOut); !ok || r.Decision != Proceed || !r.FromFallback || r.CachedPayload != "payload" {
		t.Errorf("timed out, with a cached result: %+v", r)
	}
	if r, ok := checkOnce(d, testStart.Add(90*time.Second), 3, "cached", TimedOut); !ok || r.Decision != RejectTimedOut {
		t.Errorf("timed out, with an expired result: %+v", r)
	}
	if r, ok := checkOnce(d, testStart.Add(91*time.Second), 4, "cached", Denied); !ok || r.Decision != Deny {
		t.Errorf("denied: %+v", r)
	}
	if r, ok := checkOnce(d, testStart.Add(92*time.Second), 5, "cached", Unreachable); !ok || r.Decision != Deny || !r.FromFallback {
		t.Errorf("unreachable, with a cached denial: %+v", r)
	}
	if r, ok := checkOnce(d, testStart.Add(93*time.Second), 6, "closed", Unreachable); !ok || r.Decision != RejectUnreachable {
		t.Errorf("unreachable, fails closed: %+v", r)
	}
	if r, ok := checkOnce(d, testStart.Add(94*time.Second), 7, "open", Unreachable); !ok || r.Decision != Proceed || !r.FromFallback {
		t.Errorf("unreachable, fails open: %+v", r)
	}
}

// The cache TTL specified by the service overrides the TTL of the class.
func TestCacheTTLOfServiceOverridesClass(t *testing.T) {
	d := New(testSettings(1))
	d.StartRequest(testStart, Request{ID: 1, Class: "cached", Customer: "a", Resource: "x", Remaining: time.Second})
	d.FinishCheck(testStart, 1, 0, CheckResult{Outcome: Allowed, CacheTTL: 2 * time.Second})
	if r, ok := checkOnce(d, testStart.Add(time.Second), 2, "cached", TimedOut); !ok || r.Decision != Proceed || !r.FromFallback {
		t.Errorf("within the service's TTL: %+v", r)
	}
	if r, ok := checkOnce(d, testStart.Add(3*time.Second), 3, "cached", TimedOut); !ok || r.Decision != RejectTimedOut {
		t.Errorf("after the service's TTL: %+v", r)
	}
}

func TestCacheIsBoundedAndForgetsExpiredResults(t *testing.T) {
	c := newResultCache()
	for i := range maxCacheEntries + 10 {
		c.put(testStart, cacheKey{customer: "a", resource: time.Duration(i).String()}, CheckResult{}, time.Second)
	}
	if len(c.entries) != maxCacheEntries {
		t.Errorf("%d entries, want %d", len(c.entries), maxCacheEntries)
	}
	c.removeExpired(testStart.Add(time.Second))
	if len(c.entries) != maxCacheEntries {
		t.Errorf("%d entries left at the time of expiry", len(c.entries))
	}
	c.removeExpired(testStart.Add(2 * time.Second))
	if len(c.entries) != 0 {
		t.Errorf("%d expired entries left", len(c.entries))
	}
}
