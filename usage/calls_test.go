package usage

import (
	"fmt"
	"testing"
	"time"
)

// Calls keep to the budget, however many customers there are.
func TestCallsStayWithinBudget(t *testing.T) {
	s := Settings{Self: WriterID{0, 1}, Shards: 2, Window: time.Minute, RetainedWindows: 5, CallsPerSecond: 50, PeerMessagesPerSecond: 5, Plans: map[string]Plan{"p": {1, 5}}}
	tl := New(s)
	now, calls := startTime, 0
	var out []CounterCall
	carry := func(acts []Action) {
		for _, a := range acts {
			if c, ok := a.(CounterCall); ok {
				calls += c.CommandCount()
				out = append(out, c)
			}
		}
	}
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		for k := range 50 {
			name := fmt.Sprint("c", (i*50+k)%5000)
			carry(tl.RecordRequest(now, name, "p", []int{0, 1, 2}))
			tl.RecordForwarded(now, name, "p", []int{0, 1, 2}, 1)
		}
		carry(tl.Tick(now))
		for _, c := range out {
			carry(tl.HandleResponse(now, c.ID, CounterResponse{Epoch: "1", Entries: c.Raise}))
		}
		out = out[:0]
	}
	if calls < 2500 || calls > 3200 {
		t.Errorf("%d commands in a minute at 50 a second", calls)
	}
}
