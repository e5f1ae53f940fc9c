package connections

import (
	"container/list"
	"time"
)

// Limits are the limits of the connections of a listener.
type Limits struct {
	MaxOpen     int           // connections in all states
	MaxActive   int           // connections that do not linger; beyond it one is ended for each new one; 0: MaxOpen
	MaxInFlight int           // connections with a request in flight; requests on others are rejected; 0: MaxOpen
	MaxIdle     int           // connections that are idle; 0: MaxOpen
	MinIdleTime time.Duration // how long a connection is normally kept while it is idle
}

// withDefaults returns the limits with MaxOpen in place of limits that are not set.
func (l Limits) withDefaults() Limits {
	for _, limit := range []*int{&l.MaxActive, &l.MaxInFlight, &l.MaxIdle} {
		if *limit == 0 {
			*limit = l.MaxOpen
		}
	}
	return l
}

// Owner has a connection.
type Owner interface {
	// HasUnreadData reports whether the client has sent bytes that were not read yet. It must not call the table.
	HasUnreadData() bool
}

// Connection is a connection of a client.
type Connection struct {
	owner      Owner
	state      State
	since      time.Time // since when it has waited for a request, been idle, written a response or lingered
	hadRequest bool      // a complete request was read
	isReused   bool      // a further request has begun to arrive
	acceptedAt time.Time
	admitted   bool          // the request in flight counts towards MaxInFlight
	position   *list.Element // among all connections
	action     Action        // what is to be done with it and is not done yet
	reason     Reason        // of the action
	ahead      *list.Element // its place among the connections with requests sent ahead, or nil
	aheadSince time.Time     // since when it is there
	queue      *list.List
	element    *list.Element
}

// Owner returns the owner of a connection.
func (c *Connection) Owner() Owner { return c.owner }

// State returns the state of a connection.
func (c *Connection) State() State { return c.state }

// Since returns since when a connection has waited for a request, been idle, written a response, or lingered.
func (c *Connection) Since() time.Time { return c.since }

// HadRequest reports whether a complete request was read from a connection.
func (c *Connection) HadRequest() bool { return c.hadRequest }

// Action returns what is to be done with a connection, and why.
func (c *Connection) Action() (Action, Reason) { return c.action, c.reason }

// Instruction is an action for a connection.
type Instruction struct {
	Connection *Connection
	Action     Action
	Reason     Reason
}

// Table is the connections of a listener. It is not safe for concurrent use.
type Table struct {
	limits    Limits
	phase     Phase
	all       list.List // in the order in which they were accepted
	inFlight  int       // requests that were admitted
	ending    int       // connections that are to end and do not linger yet
	lingers   int       // connections that linger
	closing   int       // of them, those that are to be closed
	awaiting  list.List // connections without a complete request since they were accepted, or since the next began; oldest first
	idle      list.List // longest idle first
	writing   list.List // connections with a response that is being written, the one that takes longest first
	lingering list.List // longest lingering first
	ahead     list.List // connections that have not been idle between two requests, the one that has not for longest first
}

// NewTable returns a table without connections.
func NewTable(l Limits) *Table {
	return &Table{limits: l.withDefaults()}
}

// Open returns the number of connections.
func (t *Table) Open() int { return t.all.Len() }

// CountByState returns the number of connections in each state.
func (t *Table) CountByState() map[State]int {
	counts := map[State]int{}
	t.ForEach(func(c *Connection) { counts[c.state]++ })
	return counts
}

// HasRoom reports whether another connection may be accepted.
func (t *Table) HasRoom() bool { return t.Open() < t.limits.MaxOpen }

// Accept adds a connection. The instructions end connections so that there is room for the next one.
func (t *Table) Accept(now time.Time, owner Owner) (*Connection, []Instruction) {
	c := &Connection{owner: owner, state: New, acceptedAt: now}
	c.position = t.all.PushBack(c)
	t.enqueue(c, &t.awaiting, now)
	if t.phase >= Stopped {
		return c, t.instruct(nil, c, Reject, Shutdown)
	}
	if t.Open()-t.lingers-t.ending > t.limits.MaxActive {
		return c, t.evict(now, c)
	}
	return c, nil
}

// SetOwner passes a connection to another owner.
func (t *Table) SetOwner(c *Connection, owner Owner) { c.owner = owner }

// BeginReading records that a request has begun to arrive. A connection that was to end without a response is to be
// rejected now, unless the request turns out to be complete. One that was to end because too many are idle is kept.
func (t *Table) BeginReading(c *Connection, now time.Time) {
	c.isReused = c.hadRequest
	switch c.state {
	case InFlight: // the request was sent ahead
		t.release(c)
		if c.action == Cut {
			t.clearAction(c)
		}
		t.markAhead(c, now)
		t.enqueue(c, &t.awaiting, now)
	case Idle:
		t.enqueue(c, &t.awaiting, now)
	default: // it waits already
	}
	c.state = Reading
	switch {
	case c.action == End && c.reason == IdleLimit:
		t.clearAction(c)
		t.enqueue(c, &t.awaiting, now)
	case c.action == End:
		c.action = Reject
	}
	if t.phase >= Aborting {
		t.instruct(nil, c, Reject, Shutdown)
	}
}

// Complete records that a complete request was read. It gets a response, even if the connection was to end. The
// result is false if the request is to be rejected: there are too many, or the shutdown is about to end.
func (t *Table) Complete(c *Connection) (admitted bool) {
	t.dequeue(c)
	if c.action != Shed {
		t.clearAction(c)
	}
	c.state = InFlight
	c.hadRequest = true
	c.admitted = c.action == None && t.inFlight < t.limits.MaxInFlight && t.phase < Aborting
	if c.admitted {
		t.inFlight++
	}
	return c.admitted
}

// BeginWriting records that the response to the request in flight is written from now on.
func (t *Table) BeginWriting(c *Connection, now time.Time) {
	if c.state == InFlight {
		t.enqueue(c, &t.writing, now)
	}
}

// AwaitRequest records that all requests of a connection are answered, or that it waits for its first. The result is
// false if the connection is to end, unless more has arrived on it.
func (t *Table) AwaitRequest(c *Connection, now time.Time) (keep bool, instructions []Instruction) {
	t.release(c)
	t.clearAhead(c)
	if c.hadRequest {
		if c.action != Shed {
			t.clearAction(c)
		}
		c.state = Idle
		t.enqueue(c, &t.idle, now)
	}
	if t.idle.Len() > t.limits.MaxIdle {
		if oldest := t.oldest(&t.idle, now, c); oldest != nil {
			instructions = t.instruct(nil, oldest, End, IdleLimit)
		}
	}
	keep = c.action == None && (t.phase == Serving || !c.hadRequest && t.phase < Stopped)
	return keep, instructions
}

// Linger records that this side sends no more on a connection.
func (t *Table) Linger(c *Connection, now time.Time) {
	t.release(c)
	t.clearAhead(c)
	t.clearAction(c)
	c.state = Lingering
	t.lingers++
	t.enqueue(c, &t.lingering, now)
}

// Remove records that a connection is closed.
func (t *Table) Remove(c *Connection) {
	t.release(c)
	t.clearAhead(c)
	t.clearAction(c)
	t.dequeue(c)
	if c.state == Lingering {
		t.lingers--
	}
	c.state = Closed
	t.all.Remove(c.position)
}

// Reclaim returns what makes room for the memory of others: a request that is not complete is rejected, a response
// that its client does not read is cut.
func (t *Table) Reclaim(c *Connection) []Instruction {
	switch c.state {
	case New, Reading:
		return t.instruct(nil, c, Reject, Memory)
	case Idle:
		return t.instruct(nil, c, End, Memory)
	case InFlight:
		return t.instruct(nil, c, Cut, Memory)
	default:
		return nil // it holds no request, and its client may still have to read the response
	}
}

// Advance begins a phase of the shutdown.
func (t *Table) Advance(phase Phase) (instructions []Instruction) {
	t.phase = max(t.phase, phase)
	t.ForEach(func(c *Connection) {
		instructions = t.instruct(instructions, c, t.actionOfPhase(c), Shutdown)
	})
	return instructions
}

// actionOfPhase returns what the phase of the shutdown asks of a connection.
func (t *Table) actionOfPhase(c *Connection) Action {
	switch {
	case c.state == Idle && t.phase >= Draining:
		return End
	case c.state == InFlight && t.phase >= Draining:
		return Finish
	case c.state == New && t.phase >= Stopped, c.state == Reading && t.phase >= Aborting:
		return Reject
	default:
		return None
	}
}

// Phase returns the phase of the shutdown.
func (t *Table) Phase() Phase { return t.phase }

// instruct appends an action, unless the connection is to end already. An action that only speaks of what follows
// the response is not remembered: the phase tells it.
func (t *Table) instruct(instructions []Instruction, c *Connection, action Action, reason Reason) []Instruction {
	if action == None || c.action != None {
		return instructions
	}
	if action != Finish {
		c.action, c.reason = action, reason
		t.dequeue(c)
		t.countEnding(c, 1)
	}
	return append(instructions, Instruction{c, action, reason})
}

// clearAction records that the action of a connection is done, or not to be done any more.
func (t *Table) clearAction(c *Connection) {
	if c.action != None {
		t.countEnding(c, -1)
	}
	c.action, c.reason = None, NoReason
}

// countEnding counts a connection that is to end.
func (t *Table) countEnding(c *Connection, change int) {
	if c.state == Lingering {
		t.closing += change
	} else {
		t.ending += change
	}
}

// markAhead records that a connection has not been idle between two requests.
func (t *Table) markAhead(c *Connection, now time.Time) {
	if c.ahead == nil {
		c.aheadSince = now
		c.ahead = t.ahead.PushBack(c)
	}
}

// clearAhead records that a connection has no requests sent ahead.
func (t *Table) clearAhead(c *Connection) {
	if c.ahead != nil {
		t.ahead.Remove(c.ahead)
	}
	c.ahead = nil
}

// release no longer counts the request of a connection.
func (t *Table) release(c *Connection) {
	if c.admitted {
		t.inFlight--
	}
	c.admitted = false
}

// enqueue moves a connection to the end of a queue. One that is to end is in none.
func (t *Table) enqueue(c *Connection, queue *list.List, now time.Time) {
	t.dequeue(c)
	c.since = now
	if c.action == None {
		c.queue, c.element = queue, queue.PushBack(c)
	}
}

// dequeue takes a connection out of its queue.
func (t *Table) dequeue(c *Connection) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	c.queue, c.element = nil, nil
}

// ForEach calls f for each connection. f must not accept or remove one.
func (t *Table) ForEach(f func(*Connection)) {
	for element := t.all.Front(); element != nil; element = element.Next() {
		f(element.Value.(*Connection))
	}
}
