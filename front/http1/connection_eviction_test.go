package http1

import (
	"testing"
	"time"
)

// A full room takes a new connection for one without an open request: for one that
// sends no whole request, then for the one idle for longest, early where it must;
// never for one that has a request open or holds unread bytes.
func TestRoom(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	holds := map[*conn]bool{}
	r := room{most: 3, yield: 2 * time.Second, holding: func(c *conn) bool { return holds[c] }}
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
		r.comes(s, at(ms))
	}
	enter("a", 0, "")
	enter("b", 1, "")
	enter("c", 2, "")
	r.open(seats["a"])
	r.open(seats["b"])
	enter("d", 100, "none") // c is new: it may be about to ask
	r.idle(seats["b"], at(200))
	r.idle(seats["a"], at(300))
	enter("d", 400, "c") // it was silent for long
	r.open(seats["d"])
	r.comes(seats["b"], at(390)) // it begins a request
	enter("e", 420, "none")
	enter("e", 560, "a") // early: nothing else is left
	holds[seats["b"].conn] = true
	r.open(seats["e"])
	enter("f", 900, "none") // b's request may be whole
	holds[seats["b"].conn] = false
	enter("f", 900, "b")
	r.open(seats["f"])
	r.idle(seats["d"], at(1000))
	r.idle(seats["e"], at(1001))
	enter("g", 4000, "d")
	r.open(seats["g"])
	r.open(seats["e"])
	enter("h", 99999, "none") // all have open requests
	r.leave(seats["f"])
	enter("h", 99999, "")
	if r.n != 3 {
		t.Errorf("%d connections counted", r.n)
	}
}

// Of the connections that lie idle the longest idle one leaves where they are too
// many, but one that holds unread bytes.
func TestSpare(t *testing.T) {
	now := time.Unix(100, 0)
	var held *conn
	r := room{most: 100, spare: 2, holding: func(c *conn) bool { return c == held }}
	var seats []*seat
	for range 4 {
		s := &seat{conn: &conn{}}
		seats = append(seats, s)
		r.enter(now)
		r.comes(s, now)
		r.open(s)
	}
	held = seats[0].conn
	for i, want := range []*conn{nil, nil, seats[1].conn, seats[2].conn} {
		if got := r.idle(seats[i], now); got != want {
			t.Errorf("after %d: another one leaves", i)
		}
	}
	if r.n != 2 || r.kept.Len() != 2 {
		t.Errorf("%d connections, %d idle", r.n, r.kept.Len())
	}
}
