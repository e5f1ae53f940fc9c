package pause

import "testing"

func TestSortBacklog(t *testing.T) {
	waiting := []EventKind{RequestArrived, CallFinished, ClientDisconnected, OtherEvent, EndpointsUpdated, PeerMessage, RequestArrived, EndpointsUpdated}
	got := SortBacklog(waiting, func(k EventKind) EventKind { return k })
	if got != 5 {
		t.Errorf("%d before the timers", got)
	}
	for i := 1; i < len(waiting); i++ {
		if waiting[i] < waiting[i-1] {
			t.Errorf("%v", waiting)
		}
	}
	if n := SortBacklog([]EventKind{ClientDisconnected}, func(k EventKind) EventKind { return k }); n != 1 {
		t.Errorf("%d of 1", n)
	}
}
