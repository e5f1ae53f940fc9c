package connections

import (
	"testing"
	"time"
)

// fakeOwner is an owner whose client may have sent bytes that were not read.
type fakeOwner struct {
	name   string
	unread bool
}

func (o *fakeOwner) HasUnreadData() bool { return o.unread }

var start = time.Unix(100, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// mustEnd fails the test unless the instructions are one action for one connection.
func mustEnd(t *testing.T, instructions []Instruction, c *Connection, action Action, reason Reason) {
	t.Helper()
	if c == nil {
		if len(instructions) > 0 {
			t.Fatalf("%v of %s, want nothing", instructions[0].Action, instructions[0].Connection.owner.(*fakeOwner).name)
		}
		return
	}
	if len(instructions) != 1 || instructions[0] != (Instruction{c, action, reason}) {
		t.Fatalf("%+v, want %v of %s for %v", instructions, action, c.owner.(*fakeOwner).name, reason)
	}
}

// open accepts a connection on which a request is read and answered, so that it is idle at a time.
func openIdle(t *testing.T, table *Table, name string, now time.Time) *Connection {
	t.Helper()
	c, instructions := table.Accept(now, &fakeOwner{name: name})
	mustEnd(t, instructions, nil, None, NoReason)
	table.BeginReading(c, now)
	table.Complete(c)
	_, instructions = table.AwaitRequest(c, now)
	mustEnd(t, instructions, nil, None, NoReason)
	return c
}

// Above the limit a connection without a request in flight is ended for a new one: first one that sends no complete
// request, which is rejected, then the longest idle one, if necessary before its minimum idle time. A
// connection with a request in flight or with unread bytes is never ended.
func TestConnectionsAreEndedForNewOnes(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 100, MaxActive: 3, MinIdleTime: 2 * time.Second})
	accept := func(name string, ms int, victim *Connection, action Action) *Connection {
		t.Helper()
		c, instructions := table.Accept(at(ms), &fakeOwner{name: name})
		mustEnd(t, instructions, victim, action, OpenLimit)
		if victim != nil {
			table.Linger(victim, at(ms))
		}
		return c
	}
	a := accept("a", 0, nil, None)
	b := accept("b", 1, nil, None)
	c := accept("c", 2, nil, None)
	table.Complete(a)
	table.Complete(b)
	d := accept("d", 100, nil, None) // c is new: it may be about to send a request
	table.Remove(d)
	table.AwaitRequest(b, at(200))
	table.AwaitRequest(a, at(300))
	d = accept("d", 400, c, Reject) // c has sent no request for longer than a quarter of a second
	table.Complete(d)
	table.BeginReading(b, at(390))
	e := accept("e", 420, nil, None)
	table.Remove(e)
	e = accept("e", 560, a, End) // a is ended early: there is no other candidate
	b.owner.(*fakeOwner).unread = true
	table.Complete(e)
	f := accept("f", 900, nil, None) // the unread bytes may complete b's request
	table.Remove(f)
	b.owner.(*fakeOwner).unread = false
	f = accept("f", 900, b, Reject)
	table.Complete(f)
	table.AwaitRequest(d, at(1000))
	table.AwaitRequest(e, at(1001))
	g := accept("g", 4000, d, End)
	table.Complete(g)
	table.Complete(e)
	h := accept("h", 99999, nil, None) // all have requests in flight
	if table.Open() != 8 || table.lingers != 4 {
		t.Errorf("%d connections, %d of them linger, want 8 and 4", table.Open(), table.lingers)
	}
	table.Remove(h)
}

// If there is no room at all, a connection that lingers is closed, the longest lingering one without unread bytes
// first. Then one without a complete request is ended, however new it is.
func TestRoomIsMadeAtTheLimit(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 4, MinIdleTime: 2 * time.Second})
	young, _ := table.Accept(at(0), &fakeOwner{name: "young"})
	busy, _ := table.Accept(at(0), &fakeOwner{name: "busy"})
	unread, _ := table.Accept(at(0), &fakeOwner{name: "unread", unread: true})
	table.Complete(busy)
	mustEnd(t, table.MakeRoom(at(1)), nil, None, NoReason)
	resting := openIdle(t, table, "resting", at(0))
	table.Linger(unread, at(1))
	table.Linger(resting, at(2))
	mustEnd(t, table.MakeRoom(at(3)), resting, Close, OpenLimit)
	mustEnd(t, table.MakeRoom(at(3)), nil, None, NoReason) // it is about to be closed
	table.Remove(resting)
	resting = openIdle(t, table, "resting", at(4))
	mustEnd(t, table.MakeRoom(at(5)), unread, Close, OpenLimit)
	table.Remove(unread)
	unread, _ = table.Accept(at(5), &fakeOwner{name: "unread", unread: true})
	mustEnd(t, table.MakeRoom(at(6)), young, Reject, OpenLimit)
	mustEnd(t, table.MakeRoom(at(6)), resting, End, OpenLimit)
	mustEnd(t, table.MakeRoom(at(6)), nil, None, NoReason) // the others are busy or unread
	unread.owner.(*fakeOwner).unread = false
	mustEnd(t, table.MakeRoom(at(6)), unread, Reject, OpenLimit)
}

// If too many connections are idle, the longest idle one without unread bytes is ended.
func TestMaxIdle(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 100, MaxIdle: 2})
	var all []*Connection
	for i := range 4 {
		c, _ := table.Accept(at(0), &fakeOwner{unread: i == 0})
		table.Complete(c)
		all = append(all, c)
	}
	for i, victim := range []*Connection{nil, nil, all[1], all[2]} {
		keep, instructions := table.AwaitRequest(all[i], at(1))
		mustEnd(t, instructions, victim, End, IdleLimit)
		if !keep {
			t.Errorf("connection %d is not kept", i)
		}
	}
	if table.idle.Len() != 2 || table.ending != 2 {
		t.Errorf("%d connections idle, %d ending, want 2 and 2", table.idle.Len(), table.ending)
	}
}

// Guards against clients that don't read their responses and so hold all connections: if nothing else makes room, the
// response that takes longest is cut.
func TestUnreadResponsesMakeRoom(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 3, MinIdleTime: 2 * time.Second})
	all := map[string]*Connection{}
	for i, name := range []string{"in flight", "writing", "writing later"} {
		c, _ := table.Accept(at(0), &fakeOwner{name: name, unread: true})
		table.Complete(c)
		if i > 0 {
			table.BeginWriting(c, at(i))
		}
		all[name] = c
	}
	mustEnd(t, table.MakeRoom(at(1000)), nil, None, NoReason)
	mustEnd(t, table.MakeRoom(at(1001)), all["writing"], Cut, OpenLimit)
}

// Guards against clients that send one request behind another and so hold all connections: the one that has done so for
// longest gets rejections for what is read already, and ends.
func TestRequestsSentAheadMakeRoom(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 2, MinIdleTime: 2 * time.Second})
	busy, _ := table.Accept(at(0), &fakeOwner{name: "busy", unread: true})
	ahead, _ := table.Accept(at(0), &fakeOwner{name: "ahead", unread: true})
	table.Complete(busy)
	table.Complete(ahead)
	table.BeginReading(ahead, at(10))
	table.Complete(ahead)
	mustEnd(t, table.MakeRoom(at(249)), nil, None, NoReason)
	mustEnd(t, table.MakeRoom(at(260)), ahead, Shed, OpenLimit)
	mustEnd(t, table.MakeRoom(at(261)), nil, None, NoReason)
	table.BeginReading(ahead, at(270))
	if table.Complete(ahead) {
		t.Error("a request that was sent ahead is admitted on a connection that is to end")
	}
	if keep, _ := table.AwaitRequest(ahead, at(280)); keep {
		t.Error("the connection is kept")
	}
	table.Remove(ahead)
	if table.ending != 0 || table.ahead.Len() != 0 {
		t.Errorf("%d connections ending, %d with requests sent ahead", table.ending, table.ahead.Len())
	}
}

// Guards against clients that use their connections for one request after the other and so hold all: the one that has been
// open for longest ends after the response in flight.
func TestReusedConnectionsMakeRoom(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 3, MinIdleTime: 2 * time.Second})
	first, _ := table.Accept(at(0), &fakeOwner{name: "first request", unread: true})
	table.Complete(first)
	var reused []*Connection
	for _, name := range []string{"reused", "reused later"} {
		c := openIdle(t, table, name, at(len(reused)))
		c.owner.(*fakeOwner).unread = true
		table.BeginReading(c, at(100))
		table.Complete(c)
		reused = append(reused, c)
	}
	mustEnd(t, table.MakeRoom(at(249)), nil, None, NoReason)
	mustEnd(t, table.MakeRoom(at(300)), reused[0], Shed, OpenLimit)
	mustEnd(t, table.MakeRoom(at(300)), reused[1], Shed, OpenLimit)
	mustEnd(t, table.MakeRoom(at(300)), nil, None, NoReason)
	if keep, _ := table.AwaitRequest(reused[0], at(310)); keep {
		t.Error("a connection that is to make room is kept")
	}
}
