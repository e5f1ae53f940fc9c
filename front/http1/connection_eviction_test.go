package http1

import (
	"testing"
	"time"
)

// At the limit a connection without a request in flight is evicted for a new one: first one that
// sends no complete request, then the longest idle one, if necessary before its minimum idle
// time. A connection with a request in flight or with unread bytes is never evicted.
func TestEviction(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	unread := map[*conn]bool{}
	evictor := connectionEvictor{maxConnections: 3, minIdleTime: 2 * time.Second, hasUnreadData: func(c *conn) bool { return unread[c] }}
	entries := map[string]*evictionEntry{}
	admit := func(name string, ms int, victim string) {
		t.Helper()
		ok, v := evictor.admit(at(ms))
		if !ok {
			if victim != "none" {
				t.Fatalf("%s was not admitted", name)
			}
			return
		}
		got := ""
		for n, entry := range entries {
			if v != nil && entry.conn == v {
				got = n
				delete(entries, n)
			}
		}
		if got != victim {
			t.Fatalf("%s: %q was evicted, want %q", name, got, victim)
		}
		entry := &evictionEntry{conn: &conn{}}
		entries[name] = entry
		evictor.markAwaitingRequest(entry, at(ms))
	}
	admit("a", 0, "")
	admit("b", 1, "")
	admit("c", 2, "")
	evictor.dequeue(entries["a"])
	evictor.dequeue(entries["b"])
	admit("d", 100, "none") // c is new: it may be about to send a request
	evictor.markIdle(entries["b"], at(200))
	evictor.markIdle(entries["a"], at(300))
	admit("d", 400, "c") // c has sent no request for longer than a quarter of a second
	evictor.dequeue(entries["d"])
	evictor.markAwaitingRequest(entries["b"], at(390)) // b begins a request
	admit("e", 420, "none")
	admit("e", 560, "a") // a is evicted early: there is no other candidate
	unread[entries["b"].conn] = true
	evictor.dequeue(entries["e"])
	admit("f", 900, "none") // the unread bytes may complete b's request
	unread[entries["b"].conn] = false
	admit("f", 900, "b")
	evictor.dequeue(entries["f"])
	evictor.markIdle(entries["d"], at(1000))
	evictor.markIdle(entries["e"], at(1001))
	admit("g", 4000, "d")
	evictor.dequeue(entries["g"])
	evictor.dequeue(entries["e"])
	admit("h", 99999, "none") // all have requests in flight
	evictor.remove(entries["f"])
	admit("h", 99999, "")
	if evictor.connections != 3 {
		t.Errorf("%d connections counted, want 3", evictor.connections)
	}
}

// If more than maxIdle connections are idle, the longest idle one without unread bytes is
// evicted.
func TestMaxIdle(t *testing.T) {
	now := time.Unix(100, 0)
	var unread *conn
	evictor := connectionEvictor{maxConnections: 100, maxIdle: 2, hasUnreadData: func(c *conn) bool { return c == unread }}
	var entries []*evictionEntry
	for range 4 {
		entry := &evictionEntry{conn: &conn{}}
		entries = append(entries, entry)
		evictor.admit(now)
		evictor.markAwaitingRequest(entry, now)
		evictor.dequeue(entry)
	}
	unread = entries[0].conn
	for i, want := range []*conn{nil, nil, entries[1].conn, entries[2].conn} {
		if got := evictor.markIdle(entries[i], now); got != want {
			t.Errorf("connection %d became idle: the wrong connection was evicted", i)
		}
	}
	if evictor.connections != 2 || evictor.idle.Len() != 2 {
		t.Errorf("%d connections, %d of them idle, want 2 and 2", evictor.connections, evictor.idle.Len())
	}
}
