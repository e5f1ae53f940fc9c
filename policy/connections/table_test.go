package connections

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// inState returns a table with a connection in a state.
func inState(state State) (*Table, *Connection) {
	table := NewTable(Limits{MaxOpen: 10})
	c, _ := table.Accept(start, &fakeOwner{name: state.String()})
	steps := map[State]func(){
		New:       func() {},
		Reading:   func() { table.BeginReading(c, start) },
		InFlight:  func() { table.Complete(c) },
		Idle:      func() { table.Complete(c); table.AwaitRequest(c, start) },
		Lingering: func() { table.Linger(c, start) },
		Closed:    func() { table.Remove(c) },
	}
	steps[state]()
	return table, c
}

// Guards against a connection that ends without the response that it is owed: what each event asks of a connection in
// each state. Only idle connections end without a response, and none in the middle of one but for its memory.
func TestWhatEndsAConnectionByState(t *testing.T) {
	events := map[string]func(*Table, *Connection) []Instruction{
		"drain":   func(table *Table, _ *Connection) []Instruction { return table.Advance(Draining) },
		"stop":    func(table *Table, _ *Connection) []Instruction { return table.Advance(Stopped) },
		"abort":   func(table *Table, _ *Connection) []Instruction { return table.Advance(Aborting) },
		"memory":  func(table *Table, c *Connection) []Instruction { return table.Reclaim(c) },
		"no room": func(table *Table, _ *Connection) []Instruction { return table.FreeDescriptor(start.Add(time.Minute)) },
	}
	want := map[State]map[string]Action{
		New:       {"stop": Reject, "abort": Reject, "memory": Reject, "no room": Reject},
		Reading:   {"abort": Reject, "memory": Reject, "no room": Reject},
		InFlight:  {"drain": Finish, "stop": Finish, "abort": Finish, "memory": Cut},
		Idle:      {"drain": End, "stop": End, "abort": End, "memory": End, "no room": End},
		Lingering: {"no room": Close},
		Closed:    {},
	}
	for state := range numStates {
		for name, event := range events {
			t.Run(fmt.Sprint(state, ", ", name), func(t *testing.T) {
				table, c := inState(state)
				got := None
				for _, i := range event(table, c) {
					got = i.Action
				}
				if got != want[state][name] {
					t.Errorf("%v, want %v", got, want[state][name])
				}
			})
		}
	}
}

// Guards against a request that was read and gets no response, because its connection was ended between the read and
// the record that a request has begun, or is complete.
func TestRequestThatCrossesTheEndIsAnswered(t *testing.T) {
	for _, state := range []State{New, Reading, Idle} {
		table, c := inState(state)
		if len(table.FreeDescriptor(start.Add(time.Minute))) != 1 {
			t.Fatalf("%v: not ended", state)
		}
		table.BeginReading(c, start)
		if action, reason := c.Action(); action != Reject || reason != OpenLimit {
			t.Errorf("%v: %v for %v while a request is read, want a rejection", state, action, reason)
		}
		if !table.Complete(c) {
			t.Errorf("%v: the request is not admitted", state)
		}
		if action, _ := c.Action(); action != None || table.ending != 0 {
			t.Errorf("%v: %v during the request, %d connections ending", state, action, table.ending)
		}
		if keep, _ := table.AwaitRequest(c, start); !keep {
			t.Errorf("%v: ended after the response", state)
		}
	}
}

// Guards against a request that is rejected in the middle because its connection was to end, as too many were idle.
func TestRequestThatCrossesTheIdleLimitIsRead(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 10, MaxIdle: 1})
	first := openIdle(t, table, "first", start)
	second, _ := table.Accept(start, &fakeOwner{name: "second"})
	table.Complete(second)
	_, instructions := table.AwaitRequest(second, start)
	mustEnd(t, instructions, first, End, IdleLimit)
	table.BeginReading(first, start)
	if action, _ := first.Action(); action != None || table.ending != 0 {
		t.Errorf("%v while a request is read, %d connections ending", action, table.ending)
	}
	mustEnd(t, table.FreeDescriptor(start.Add(time.Minute)), first, Reject, OpenLimit)
}

// Requests beyond those that may be in flight are rejected, and do not count.
func TestRequestsInFlightAreLimited(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 10, MaxInFlight: 1})
	one, _ := table.Accept(start, &fakeOwner{})
	two, _ := table.Accept(start, &fakeOwner{})
	if !table.Complete(one) || table.Complete(two) {
		t.Fatal("want one request in flight")
	}
	table.AwaitRequest(two, start)
	if table.Complete(two) {
		t.Error("a rejected request gave up the place of another")
	}
	table.AwaitRequest(two, start)
	table.AwaitRequest(one, start)
	if !table.Complete(two) {
		t.Error("no request in flight, and another is rejected")
	}
}

// A new connection is kept for its first request until the shutdown stops; others end when they are idle.
func TestConnectionsDuringShutdown(t *testing.T) {
	table := NewTable(Limits{MaxOpen: 10})
	table.Advance(Draining)
	c, instructions := table.Accept(start, &fakeOwner{})
	mustEnd(t, instructions, nil, None, NoReason)
	if keep, _ := table.AwaitRequest(c, start); !keep {
		t.Error("a new connection ends before its first request")
	}
	table.Complete(c)
	if keep, _ := table.AwaitRequest(c, start); keep {
		t.Error("a connection is kept after its request")
	}
	table.Advance(Stopped)
	late, instructions := table.Accept(start, &fakeOwner{name: "late"})
	mustEnd(t, instructions, late, Reject, Shutdown)
	reading, _ := table.Accept(start, &fakeOwner{})
	table.Advance(Aborting)
	table.BeginReading(reading, start)
	if action, _ := reading.Action(); action != Reject {
		t.Errorf("%v of a request that begins at the end", action)
	}
	if table.Complete(reading) {
		t.Error("a request is admitted at the end")
	}
}

// tableModel is a table with what happens to its connections, drawn at random.
type tableModel struct {
	*rapid.T
	table *Table
	all   []*Connection
	now   time.Time
}

// Whatever happens in whatever order, the limits are kept, each action fits its connection's state, and there is room for
// another connection, or will be, unless all others are busy.
func TestTableKeepsItsLimits(t *testing.T) {
	limits := Limits{MaxOpen: 6, MaxActive: 5, MaxInFlight: 3, MaxIdle: 2, MinIdleTime: 800 * time.Millisecond}
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{T: t, table: NewTable(limits), now: start}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			m.checkInstructions(m.step())
			m.checkCounts(limits)
		}
		for _, c := range m.all {
			m.table.Remove(c)
		}
		if m.table.Open() != 0 || m.table.inFlight != 0 || m.table.ending != 0 || m.table.lingers != 0 || m.table.closing != 0 || m.table.ahead.Len() != 0 {
			t.Fatalf("an empty table counts connections: %+v", m.table)
		}
	})
}

// step lets one thing happen.
func (m *tableModel) step() []Instruction {
	if len(m.all) == 0 || m.table.HasRoom() && rapid.Bool().Draw(m.T, "accept") {
		c, instructions := m.table.Accept(m.now, &fakeOwner{unread: rapid.IntRange(0, 3).Draw(m.T, "unread") == 0})
		m.all = append(m.all, c)
		return instructions
	}
	i := rapid.IntRange(0, len(m.all)-1).Draw(m.T, "connection")
	c := m.all[i]
	switch operation := rapid.IntRange(0, 7).Draw(m.T, "operation"); {
	case operation == 0 && (c.state == New || c.state == Idle || c.state == InFlight):
		m.table.BeginReading(c, m.now)
	case operation == 1 && c.state == Reading:
		m.table.Complete(c)
	case operation == 2 && c.state == InFlight:
		_, instructions := m.table.AwaitRequest(c, m.now)
		return instructions
	case operation == 3 && c.state != Lingering:
		m.table.Linger(c, m.now)
	case operation == 4:
		m.table.Remove(c)
		m.all = append(m.all[:i], m.all[i+1:]...)
	case operation == 5:
		return m.table.Reclaim(c)
	case operation == 6 && !m.table.HasRoom():
		return m.makeRoom()
	case operation == 7:
		m.table.BeginWriting(c, m.now)
	}
	return nil
}

// makeRoom asks for room, and fails if there is none to come though a connection could make it.
func (m *tableModel) makeRoom() []Instruction {
	instructions := m.table.MakeRoom(m.now)
	for _, c := range m.all {
		isBusy := c.state == InFlight || c.owner.HasUnreadData() && c.state != Lingering
		if !isBusy && len(instructions)+m.table.ending+m.table.closing == 0 {
			m.Fatalf("a connection that is %v makes no room", c.state)
		}
	}
	return instructions
}

func (m *tableModel) checkInstructions(instructions []Instruction) {
	allowed := map[State][]Action{New: {Reject}, Reading: {Reject, Shed}, InFlight: {Cut, Shed}, Idle: {End, Shed}, Lingering: {Close}}
	for _, i := range instructions {
		fits := false
		for _, action := range allowed[i.Connection.state] {
			fits = fits || action == i.Action
		}
		if !fits || i.Reason == NoReason {
			m.Fatalf("%v for %v of a connection that is %v", i.Action, i.Reason, i.Connection.state)
		}
	}
}

func (m *tableModel) checkCounts(limits Limits) {
	inFlight := 0
	for _, c := range m.all {
		if c.admitted {
			inFlight++
		}
	}
	if m.table.Open() != len(m.all) || m.table.Open() > limits.MaxOpen || inFlight > limits.MaxInFlight || inFlight != m.table.inFlight {
		m.Fatalf("%d of %d connections open, %d requests in flight, %d counted", m.table.Open(), len(m.all), inFlight, m.table.inFlight)
	}
}
