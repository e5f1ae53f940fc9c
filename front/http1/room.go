package http1

import (
	"container/list"
	"time"
)

// room keeps the connections without an open request in the order in which they
// fell idle, and says which of them makes room for a new one.
type room struct {
	most   int           // connections
	yield  time.Duration // one that has asked keeps its place for so long after its answer; 0: for good
	n      int
	silent list.List // that have not asked yet, longest first
	kept   list.List // that have
}

// seat is a connection's place in a room. The zero seat is of one with an open
// request.
type seat struct {
	conn  *conn
	in    *list.List
	e     *list.Element
	since time.Time
	asked bool
}

// Clients send as they connect: one that says nothing for this part of yield is not
// about to.
const silentYield = 8

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
	}{{&r.silent, r.yield / silentYield}, {&r.kept, r.yield}} {
		if e := l.list.Front(); e != nil {
			if s := e.Value.(*seat); now.Sub(s.since) >= l.keep {
				r.busy(s)
				return true, s.conn
			}
		}
	}
	return false, nil
}

// idle notes that a connection has no open request from now on.
func (r *room) idle(s *seat, now time.Time) {
	if s.in != nil {
		return
	}
	s.in, s.since = &r.silent, now
	if s.asked {
		s.in = &r.kept
	}
	s.e = s.in.PushBack(s)
}

// busy notes that a connection has one, or leaves.
func (r *room) busy(s *seat) {
	if s.in != nil {
		s.in.Remove(s.e)
	}
	s.in, s.e = nil, nil
}

// leave counts a connection less.
func (r *room) leave(s *seat) {
	r.busy(s)
	r.n--
}
