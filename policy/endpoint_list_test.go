package policy

import (
	"testing"
	"time"
)

func TestNoNewAttemptsAtDrainingOrRemovedServers(t *testing.T) {
	for _, c := range []struct {
		name   string
		update EndpointUpdate
	}{
		{"draining", EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: 1, State: Draining}}}},
		{"removed", EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: 1, State: Removed}}}},
		{"not in the snapshot update", EndpointUpdate{Kind: SnapshotUpdate, Servers: testServers(4)[1:]}},
	} {
		h := newHarness(t, baseSettings(), testServers(4))
		h.handle(c.update)
		for range 100 {
			s := h.startAttempt("safe", "free")
			if s.Server == 1 {
				t.Fatalf("%s: a new attempt went to the server", c.name)
			}
			h.now += 30 * ms
			h.finishAttempt(s, 0, OK)
		}
	}
}

// Servers that were replaced are deleted once they have no attempts in flight, by delta and by snapshot updates.
// The result of an attempt at such a server is still handled.
func TestReplacedServersAreDeleted(t *testing.T) {
	h := newHarness(t, baseSettings(), testServers(4))
	openAttempt := h.startAttempt("safe", "free")
	for i := range 1000 {
		h.now += 50 * ms
		old, next := ServerID(100+i), ServerID(101+i)
		list := []Server{{ID: next, Zone: "a", Weight: 1, HasStartTime: true, StartedAt: h.now}}
		if i%2 == 0 {
			h.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: append(list, Server{ID: old, State: Removed})})
		} else {
			h.handle(EndpointUpdate{Kind: SnapshotUpdate, Servers: append(list, testServers(4)...)})
		}
	}
	h.handle(EndpointUpdate{Kind: SnapshotUpdate, Servers: testServers(4)[:2]})
	if maxServers := 3; len(h.gateway.endpoints.list) > maxServers || len(h.gateway.endpoints.byID) != len(h.gateway.endpoints.list) {
		t.Errorf("%d servers in the index, %d in the list", len(h.gateway.endpoints.byID), len(h.gateway.endpoints.list))
	}
	actions := h.handle(AttemptResult{ID: openAttempt.ID, Server: openAttempt.Server, Code: Reset, Latency: h.now})
	if len(actions) == 0 {
		t.Error("the result of an attempt at a removed server led to no action")
	}
}

// With MustWatchEndpoints a gateway requests the endpoint list at its start, and again after a failure.
func TestWatchesEndpointsIfRequired(t *testing.T) {
	s := baseSettings()
	s.MustWatchEndpoints = true
	g, _ := New(s, 1)
	h := &harness{t: t, gateway: g, now: time.Second}
	if n := len(actionsOf[WatchEndpoints](h.handle(EndpointUpdate{Kind: CachedUpdate}))); n != 1 {
		t.Fatalf("%d watches at the start, want 1", n)
	}
	h.handle(EndpointUpdate{Kind: WatchFailed})
	if n := len(actionsOf[WatchEndpoints](h.advance(3 * time.Second))); n != 1 {
		t.Fatalf("%d watches after a failed one, want 1", n)
	}
}
