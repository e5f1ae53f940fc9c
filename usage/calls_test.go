package usage

import (
	"fmt"
	"testing"
	"time"
)

// Guards against calls that exceed the command budget when many customers are active.
func TestCallsStayWithinBudget(t *testing.T) {
	tracker := New(singleNodeSettings(2, time.Minute, Plan{1, 5}))
	now := startTime
	commands := 0
	var inFlight []CounterCall
	perform := func(actions []Action) {
		for _, action := range actions {
			if call, ok := action.(CounterCall); ok {
				commands += call.CommandCount()
				inFlight = append(inFlight, call)
			}
		}
	}
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		for k := range 50 {
			name := fmt.Sprint("c", (i*50+k)%5000)
			perform(tracker.RecordRequest(now, name, "p", []int{0, 1, 2}))
			tracker.RecordForwarded(now, name, "p", []int{0, 1, 2}, 1)
		}
		perform(tracker.Tick(now))
		for _, call := range inFlight {
			perform(tracker.HandleResponse(now, call.ID, CounterResponse{Epoch: "1", Entries: call.Raise}))
		}
		inFlight = inFlight[:0]
	}
	if commands < 2500 || commands > 3200 {
		t.Errorf("%d commands in a minute at 50 a second", commands)
	}
}
