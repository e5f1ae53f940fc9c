package http1

import (
	"testing"
	"time"
)

// A full room takes a new connection for the one idle for longest: of those that
// say nothing, then of those that have asked, once they may be closed; never one with
// an open request.
func TestRoom(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	r := room{most: 3, yield: 2 * time.Second}
	seats := map[string]*seat{}
	enter := func(name string, ms int, victim string) {
		t.Helper()
		ok, v := r.enter(at(ms))
		if !ok {
			if victim != "none" {
				t.Fatalf("%s: no room", name)
			}
			return
		}
		got := ""
		for n, s := range seats {
			if v != nil && s.conn == v {
				got = n
				delete(seats, n)
			}
		}
		if got != victim {
			t.Fatalf("%s: %q made room, not %q", name, got, victim)
		}
		s := &seat{conn: &conn{}}
		seats[name] = s
		r.idle(s, at(ms))
	}
	ask := func(name string) { r.busy(seats[name]); seats[name].asked = true }
	enter("a", 0, "")
	enter("b", 1, "")
	enter("c", 2, "")
	ask("a")
	ask("b")
	enter("d", 100, "none") // c is new: it may be about to ask
	r.idle(seats["b"], at(200))
	r.idle(seats["a"], at(300))
	enter("d", 400, "c") // silent for long
	ask("d")
	enter("e", 2100, "none")
	enter("e", 2200, "b")
	ask("e")
	enter("f", 2400, "a")
	ask("f")
	enter("g", 99999, "none") // all have open requests
	r.leave(seats["d"])
	enter("g", 99999, "")
	if r.n != 3 {
		t.Errorf("%d connections counted", r.n)
	}
}
