package usage

import (
	"slices"
	"testing"
	"time"
)

// Guards against losing usage of a dead process when the counter is replaced with an old copy, in
// which the process's entry is lower. A node that knows the larger value must raise the entry again.
func TestEntryOfDeadWriterIsRaisedAgain(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.forward(f.nodes[0], "a", 4)
		f.advance(3 * time.Second)
		old := f.copies[0].clone()
		f.forward(f.nodes[0], "a", 4)
		f.forward(f.nodes[1], "a", 1)
		f.advance(8 * time.Second) // node 1 reads the entry
		key := TotalKey{"a", f.nodes[0].tracker.windowAt(f.now)}
		f.restart(f.nodes[0], false)
		f.replaceWith(old)
		f.forward(f.nodes[0], "a", 1) // peers learn of node 0's new process
		f.forward(f.nodes[1], "a", 1)
		f.advance(12 * time.Second)
		if got := f.copies[0].totals[key][WriterID{0, 1}]; got != 8000 {
			t.Fatalf("the counter holds %d of the dead process, want 8000", got)
		}
	})
}

// Guards against overwriting newer entries of other nodes when a shard is restored after a loss. A
// node writes its own entry unconditionally, and entries of others only if the counter has none.
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
		t.Errorf("raises %v and adds %v if missing", call.Raise, call.AddIfMissing)
	}
}
