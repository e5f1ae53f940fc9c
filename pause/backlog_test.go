package pause

import "testing"

func TestSortBacklog(t *testing.T) {
	waiting := []EventKind{RequestArrived, CallFinished, ClientDisconnected, OtherEvent, EndpointsUpdated, PeerMessage, RequestArrived, EndpointsUpdated}
	got := SortBacklog(waiting, func(k EventKind) EventKind { return k })
	if got != 5 {
		t.Errorf("%d events before the timers, want 5", got)
	}
	for i := 1; i < len(waiting); i++ {
		if waiting[i] < waiting[i-1] {
			t.Errorf("not sorted by kind: %v", waiting)
		}
	}
	if n := SortBacklog([]EventKind{ClientDisconnected}, func(k EventKind) EventKind { return k }); n != 1 {
		t.Errorf("%d of 1 event before the timers, want 1", n)
	}
}
