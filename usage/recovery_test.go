package usage

import (
	"slices"
	"testing"
	"time"
)

// The entry of a dead process that an old copy of the counter brought back lower is raised
// again by a node that knew it.
func TestEntryOfDeadWriterIsRaisedAgain(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.forward(f.nodes[0], "a", 4)
		f.advance(3 * time.Second)
		old := f.copies[0].clone()
		f.forward(f.nodes[0], "a", 4)
		f.forward(f.nodes[1], "a", 1)
		f.advance(8 * time.Second) // node 1 has read it
		key := TotalKey{"a", f.nodes[0].tracker.windowAt(f.now)}
		f.restart(f.nodes[0], false)
		f.replaceWith(old)
		f.forward(f.nodes[0], "a", 1) // peers learn of its new process
		f.forward(f.nodes[1], "a", 1)
		f.advance(12 * time.Second)
		if got := f.copies[0].totals[key][WriterID{0, 1}]; got != 8000 {
			t.Fatalf("the counter holds %d of the dead process, which forwarded 8000", got)
		}
	})
}

// After a loss a node writes its own entry unconditionally, and the entries of others only
// where the counter has none: their writers may have raised them since.
func TestEntriesOfOthersAreAddedOnlyIfMissing(t *testing.T) {
	tracker := New(singleNodeSettings(1, time.Hour, Plan{10, 20}))
	key := TotalKey{"a", tracker.windowAt(startTime)}
	other := CounterEntry{key, WriterID{1, 1}, 5000}
	now := startTime
	nextCall := func() CounterCall {
		t.Helper()
		now = now.Add(10 * time.Second)
		tracker.RecordForwarded(now, "a", "p", []int{0, 1}, 1)
		for _, action := range tracker.Tick(now) {
			if call, ok := action.(CounterCall); ok {
				return call
			}
		}
		t.Fatal("no call")
		return CounterCall{}
	}
	tracker.HandleResponse(now, nextCall().ID, CounterResponse{Epoch: "1", Entries: []CounterEntry{other}})
	tracker.HandleResponse(now, nextCall().ID, CounterResponse{Epoch: "2"})
	call := nextCall()
	own := CounterEntry{key, WriterID{0, 1}, 3000}
	if !slices.Equal(call.Raise, []CounterEntry{own}) || !slices.Equal(call.AddIfMissing, []CounterEntry{other}) {
		t.Errorf("raises %v and adds %v where missing", call.Raise, call.AddIfMissing)
	}
}
