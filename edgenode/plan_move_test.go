package edgenode

import (
	"strings"
	"testing"
	"time"
)

// Guards against a customer that passes the hard ceiling of the plan to which it has moved, because the plan of its
// first request stays.
func TestCeilingHoldsAfterMoveToItsPlan(t *testing.T) {
	const (
		hardBurst = 14 // of the plan "extended" in settingsJSON
		hardRate  = 9
		loadTime  = 8 * time.Second
		interval  = 20 * time.Millisecond
	)
	simulate(t, func(s *testbed) {
		time.Sleep(10 * time.Second) // until the share of the ceiling, which is empty at the start, is full
		if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
			t.Errorf("under the first plan: status %d", status)
		}
		before := len(s.receivedRequests())
		for begun := time.Now(); time.Since(begun) < loadTime; time.Sleep(interval) {
			s.exchange(strings.Replace(s.requestText("lookup", ""), "X-Plan: basic", "X-Plan: extended", 1))
		}
		permitted := hardBurst + int(hardRate*(loadTime+150*time.Millisecond).Seconds())
		if n := len(s.receivedRequests()) - before; n == 0 || n > permitted {
			t.Errorf("servers received %d requests under the ceiling, want 1 to %d", n, permitted)
		}
	})
}
