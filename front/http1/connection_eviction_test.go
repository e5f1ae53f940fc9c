package http1

import (
	"testing"
	"time"
)

// A full room takes a new connection for one without an open request: for one that
// sends no whole request, then for the one idle for longest, early where it must;
// never for one that has a request open or holds unread bytes.
func TestEviction(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	holds := map[*conn]bool{}
	r := connectionEvictor{maxConnections: 3, minIdleTime: 2 * time.Second, hasUnreadData: func(c *conn) bool { return holds[c] }}
	seats := map[string]*evictionEntry{}
	enter := func(name string, ms int, victim string) {
		t.Helper()
		ok, v := r.admit(at(ms))
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
		s := &evictionEntry{conn: &conn{}}
		seats[name] = s
		r.markAwaitingRequest(s, at(ms))
	}
	enter("a", 0, "")
	enter("b", 1, "")
	enter("c", 2, "")
	r.dequeue(seats["a"])
	r.dequeue(seats["b"])
	enter("d", 100, "none") // c is new: it may be about to ask
	r.markIdle(seats["b"], at(200))
	r.markIdle(seats["a"], at(300))
	enter("d", 400, "c") // it was silent for long
	r.dequeue(seats["d"])
	r.markAwaitingRequest(seats["b"], at(390)) // it begins a request
	enter("e", 420, "none")
	enter("e", 560, "a") // early: nothing else is left
	holds[seats["b"].conn] = true
	r.dequeue(seats["e"])
	enter("f", 900, "none") // b's request may be whole
	holds[seats["b"].conn] = false
	enter("f", 900, "b")
	r.dequeue(seats["f"])
	r.markIdle(seats["d"], at(1000))
	r.markIdle(seats["e"], at(1001))
	enter("g", 4000, "d")
	r.dequeue(seats["g"])
	r.dequeue(seats["e"])
	enter("h", 99999, "none") // all have open requests
	r.remove(seats["f"])
	enter("h", 99999, "")
	if r.connections != 3 {
		t.Errorf("%d connections counted", r.connections)
	}
}

// Of the connections that lie idle the longest idle one leaves where they are too
// many, but one that holds unread bytes.
func TestMaxIdle(t *testing.T) {
	now := time.Unix(100, 0)
	var held *conn
	r := connectionEvictor{maxConnections: 100, maxIdle: 2, hasUnreadData: func(c *conn) bool { return c == held }}
	var seats []*evictionEntry
	for range 4 {
		s := &evictionEntry{conn: &conn{}}
		seats = append(seats, s)
		r.admit(now)
		r.markAwaitingRequest(s, now)
		r.dequeue(s)
	}
	held = seats[0].conn
	for i, want := range []*conn{nil, nil, seats[1].conn, seats[2].conn} {
		if got := r.markIdle(seats[i], now); got != want {
			t.Errorf("after %d: another one leaves", i)
		}
	}
	if r.connections != 2 || r.idle.Len() != 2 {
		t.Errorf("%d connections, %d idle", r.connections, r.idle.Len())
	}
}
