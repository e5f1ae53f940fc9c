package policy

import (
	"testing"
	"time"
)

func TestNoNewAttemptsAtDrainingOrRemovedServers(t *testing.T) {
	for _, c := range []struct {
		name string
		ev   EndpointUpdate
	}{
		{"draining", EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: 1, State: Draining}}}},
		{"removed", EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: 1, State: Removed}}}},
		{"not in the whole list", EndpointUpdate{Kind: SnapshotUpdate, Servers: testServers(4)[1:]}},
	} {
		w := newHarness(t, baseSettings(), testServers(4))
		w.handle(c.ev)
		for range 100 {
			s := w.startAttempt("safe", "free")
			if s.Server == 1 {
				t.Fatalf("%s: sent", c.name)
			}
			w.now += 30 * ms
			w.finishAttempt(s, 0, OK)
		}
	}
}

// Servers that were replaced are forgotten once nothing is out at them, by either
// kind of list; an attempt that is out at one still ends as it should.
func TestReplacedServersAreForgotten(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(4))
	last := w.startAttempt("safe", "free")
	for i := range 1000 {
		w.now += 50 * ms
		old, next := ServerID(100+i), ServerID(101+i)
		list := []Server{{ID: next, Zone: "a", Weight: 1, HasStartTime: true, StartedAt: w.now}}
		if i%2 == 0 {
			w.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: append(list, Server{ID: old, State: Removed})})
		} else {
			w.handle(EndpointUpdate{Kind: SnapshotUpdate, Servers: append(list, testServers(4)...)})
		}
	}
	w.handle(EndpointUpdate{Kind: SnapshotUpdate, Servers: testServers(4)[:2]})
	if most := 3; len(w.g.endpoints.list) > most || len(w.g.endpoints.byID) != len(w.g.endpoints.list) {
		t.Errorf("%d servers known, %d listed", len(w.g.endpoints.byID), len(w.g.endpoints.list))
	}
	acts := w.handle(AttemptResult{ID: last.ID, Server: last.Server, Code: Reset, Latency: w.now})
	if len(acts) == 0 {
		t.Error("an attempt at a server that has gone ended, and nothing was decided")
	}
}

func TestWatchesEndpointsWhereRequired(t *testing.T) {
	s := baseSettings()
	s.MustWatchEndpoints = true
	g, _ := New(s, 1)
	w := &harness{t: t, g: g, now: time.Second}
	if n := len(actionsOf[WatchEndpoints](w.handle(EndpointUpdate{Kind: CachedUpdate}))); n != 1 {
		t.Fatalf("%d requests at the start", n)
	}
	w.handle(EndpointUpdate{Kind: WatchFailed})
	if n := len(actionsOf[WatchEndpoints](w.advance(3 * time.Second))); n != 1 {
		t.Fatalf("%d requests after a failed one", n)
	}
}
