package connections

import (
	"container/list"
	"time"
)

const (
	// earlyEvictionDivisor: a connection whose request is not complete after this fraction of MinIdleTime goes first,
	// since clients send a request at once. Idle ones go after the same fraction if there is no other: a client that
	// returns to one sends its request on another connection.
	earlyEvictionDivisor = 8

	// minWritingTime is how long a client may take to read a response. Clients may read slowly.
	minWritingTime = time.Second

	// maxScanned is the number of connections of a queue that are checked for one without unread data.
	maxScanned = 16

	// maxEnding is the number of connections that may be ending at a time for one that is to be accepted. One of them
	// may have to wait for its client.
	maxEnding = 4
)

// MakeRoom returns what frees a place while there is no room for another connection. It is called again whenever
// something has happened.
func (t *Table) MakeRoom(now time.Time) []Instruction {
	if t.HasRoom() {
		return nil
	}
	return t.FreeDescriptor(now)
}

// FreeDescriptor returns what frees a descriptor, whatever the limits say.
func (t *Table) FreeDescriptor(now time.Time) []Instruction {
	if t.closing > 0 {
		return nil
	}
	if c := t.longestLingering(now); c != nil {
		return t.instruct(nil, c, Close, OpenLimit)
	}
	if t.ending >= maxEnding {
		return nil
	}
	if instructions := t.evict(now, nil); instructions != nil {
		return instructions
	}
	if instructions := t.evictFirst(nil, []candidates{{&t.awaiting, now}, {&t.idle, now}}); instructions != nil {
		return instructions
	}
	if instructions := t.shedAhead(now); instructions != nil {
		return instructions
	}
	if instructions := t.shedReused(now); instructions != nil {
		return instructions
	}
	return t.cutUnread(now)
}

// shedAhead ends the connection that has had requests sent ahead for longest, if that is long enough: with one request
// behind another it would keep its place as long as its client likes. What is not read yet its client sends once more.
func (t *Table) shedAhead(now time.Time) []Instruction {
	for element := t.ahead.Front(); element != nil; element = element.Next() {
		c := element.Value.(*Connection)
		if now.Sub(c.aheadSince) < t.limits.MinIdleTime/earlyEvictionDivisor {
			return nil
		}
		if c.action == None {
			return t.instruct(nil, c, Shed, OpenLimit)
		}
	}
	return nil
}

// shedReused ends the connection that has been open for longest of those that clients use for one request after the
// other, if that is long enough: they are never idle for long enough that another could take their place.
func (t *Table) shedReused(now time.Time) []Instruction {
	for element := t.all.Front(); element != nil; element = element.Next() {
		c := element.Value.(*Connection)
		if now.Sub(c.acceptedAt) < t.limits.MinIdleTime/earlyEvictionDivisor {
			return nil
		}
		if c.isReused && c.action == None && c.state != Lingering {
			return t.instruct(nil, c, Shed, OpenLimit)
		}
	}
	return nil
}

// cutUnread cuts the response that its client takes longest to read, if that is at least minWritingTime.
func (t *Table) cutUnread(now time.Time) []Instruction {
	front := t.writing.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*Connection)
	if now.Sub(c.since) < minWritingTime {
		return nil
	}
	return t.instruct(nil, c, Cut, OpenLimit)
}

// longestLingering returns the connection that has lingered for longest, if possible one without unread data: closing
// the other would reset it, and its client could lose the response.
func (t *Table) longestLingering(now time.Time) *Connection {
	if c := t.oldest(&t.lingering, now, nil); c != nil {
		return c
	}
	if front := t.lingering.Front(); front != nil {
		return front.Value.(*Connection)
	}
	return nil
}

// candidates are the connections of a queue that were added at notAfter or before.
type candidates struct {
	queue    *list.List
	notAfter time.Time
}

// evict ends a connection for another, other than except, that has been without a complete request for long enough.
func (t *Table) evict(now time.Time, except *Connection) []Instruction {
	normal := now.Add(-t.limits.MinIdleTime)
	early := now.Add(-t.limits.MinIdleTime / earlyEvictionDivisor)
	return t.evictFirst(except, []candidates{{&t.awaiting, early}, {&t.idle, normal}, {&t.idle, early}})
}

// evictFirst ends a connection of the first candidates that have one.
func (t *Table) evictFirst(except *Connection, order []candidates) []Instruction {
	for _, from := range order {
		if c := t.oldest(from.queue, from.notAfter, except); c != nil {
			return t.instruct(nil, c, endOf(c), OpenLimit)
		}
	}
	return nil
}

// endOf returns how a connection without a complete request ends.
func endOf(c *Connection) Action {
	if c.state == Idle {
		return End
	}
	return Reject
}

// oldest returns the oldest connection of a queue that was added at notAfter or before, is not except, and has no unread
// data. It returns nil if the first maxScanned connections hold none.
func (t *Table) oldest(queue *list.List, notAfter time.Time, except *Connection) *Connection {
	element := queue.Front()
	for n := 0; n < maxScanned && element != nil; n++ {
		c := element.Value.(*Connection)
		if c.since.After(notAfter) {
			return nil
		}
		if c != except && !c.owner.HasUnreadData() {
			return c
		}
		element = element.Next()
	}
	return nil
}
