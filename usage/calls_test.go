package usage

import (
	"fmt"
	"testing"
	"time"
)

// Calls keep to the budget, however many customers there are.
func TestBudget(t *testing.T) {
	s := Settings{Me: Owner{0, 1}, Parts: 2, Window: time.Minute, Keep: 5, Calls: 50, Mail: 5, Rates: map[string]Plan{"p": {1, 5}}}
	tl := New(s)
	now, calls := epoch0, 0
	var out []Call
	carry := func(acts []Action) {
		for _, a := range acts {
			if c, ok := a.(Call); ok {
				calls += c.Cost()
				out = append(out, c)
			}
		}
	}
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		for k := range 50 {
			name := fmt.Sprint("c", (i*50+k)%5000)
			carry(tl.Seen(now, name, "p", []int{0, 1, 2}))
			tl.Passed(now, name, "p", []int{0, 1, 2}, 1)
		}
		carry(tl.Tick(now))
		for _, c := range out {
			carry(tl.Answered(now, c.ID, Answer{Epoch: "1", Registers: c.Raise}))
		}
		out = out[:0]
	}
	if calls < 2500 || calls > 3200 {
		t.Errorf("%d commands in a minute at 50 a second", calls)
	}
}
