package http1

import (
	"container/list"
	"time"
)

// room keeps the connections without an open request in the order in which they
// came to be so, and says which of them makes room for a new one.
type room struct {
	most    int           // connections
	yield   time.Duration // one that has asked gives way first after so long without a request; 0: none ever does
	spare   int           // of those that have asked, this many may lie idle; 0: any number
	n       int
	asking  list.List        // that have not sent a whole request since they came, or since they began one; longest first
	kept    list.List        // whose requests are answered
	holding func(*conn) bool // whether something of it is not read yet
}

// seat is a connection's place in a room. The zero seat is of one with an open
// request.
type seat struct {
	conn  *conn
	in    *list.List
	e     *list.Element
	since time.Time
}

// A connection that is closed here may have bytes on their way to it, and its client an
// answer to read: it is half-closed and read on, for nothing, until the client closes too
// (RFC 9112, 9.6), within these bounds.
const (
	lingerTime  = 500 * time.Millisecond // far above a round trip
	lingerBytes = 128 << 10              // above one whole request
)

const (
	// Clients send as they connect, and whole requests: one that does not for this
	// part of yield is not about to. Where that is not enough, those that have asked
	// go as early; they are the longest idle ones, and a client that comes back to
	// one asks again on another.
	early = 8
	looks = 4 // at connections of a kind, for one that holds nothing unread
)

// enter counts a new connection; false where there is no room, victim is one that
// makes room for it by leaving.
func (r *room) enter(now time.Time) (ok bool, victim *conn) {
	if r.n < r.most {
		r.n++
		return true, nil
	}
	if r.yield == 0 {
		return false, nil
	}
	for _, l := range []struct {
		list *list.List
		keep time.Duration
	}{{&r.asking, r.yield / early}, {&r.kept, r.yield}, {&r.kept, r.yield / early}} {
		if s := r.longest(l.list, now.Add(-l.keep), nil); s != nil {
			r.open(s)
			return true, s.conn
		}
	}
	return false, nil
}

// longest is the seat that was longest on a list, since a time at the latest and
// other than one, whose connection holds nothing unread; nil where none is found.
func (r *room) longest(l *list.List, since time.Time, but *seat) *seat {
	e := l.Front()
	for n := 0; n < looks && e != nil; n++ {
		s := e.Value.(*seat)
		if s.since.After(since) {
			break
		}
		if s != but && !r.holding(s.conn) {
			return s
		}
		e = e.Next()
	}
	return nil
}

// comes notes that a connection came, or began a request.
func (r *room) comes(s *seat, now time.Time) {
	if s.in != &r.asking {
		r.open(s)
		r.sits(s, &r.asking, now)
	}
}

// idle notes that a connection's request is answered. Where too many lie idle the
// longest idle one is to leave.
func (r *room) idle(s *seat, now time.Time) (victim *conn) {
	r.open(s)
	r.sits(s, &r.kept, now)
	if r.spare == 0 || r.kept.Len() <= r.spare {
		return nil
	}
	v := r.longest(&r.kept, now, s)
	if v == nil {
		return nil
	}
	r.leave(v)
	return v.conn
}

func (r *room) sits(s *seat, l *list.List, now time.Time) {
	s.in, s.since, s.e = l, now, l.PushBack(s)
}

// open notes that a connection has an open request, or leaves.
func (r *room) open(s *seat) {
	if s.in != nil {
		s.in.Remove(s.e)
	}
	s.in, s.e = nil, nil
}

// stays counts a connection that was to make room, and has a request open after all.
func (r *room) stays() { r.n++ }

// leave counts a connection less.
func (r *room) leave(s *seat) {
	r.open(s)
	r.n--
}
