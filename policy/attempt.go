package policy

import (
	"slices"
	"time"
)

// try sends the request to a server if one has room for it.
func (g *Gateway) try(r *request) bool {
	if r.remote {
		g.grant(r)
		return true
	}
	s := g.pick(r)
	if s == nil {
		g.lackAt = g.now
		return false
	}
	c := r.c
	if !r.counted {
		r.counted = true
		c.take(r)
		g.budget = min(retryCap, g.budget+retryEarn)
	}
	c.fresh = repeatTicks
	g.sent(r, s)
	if g.coldness(s) < 1 {
		s.sends = append(s.sends, g.now)
	} else {
		g.sendRate++
	}
	var timeout time.Duration
	if !g.set.CanCancel && r.cl.Idempotency == Idempotent && !r.cl.Streaming {
		timeout = max(r.cl.LatencyObjective*3/5, r.deadline-g.now-r.cl.LatencyObjective)
	}
	g.do(StartAttempt{ID: r.id, Server: s.ID, Timeout: timeout})
	return true
}

// sent and ended keep the lists of attempts out.
func (g *Gateway) sent(r *request, s *server) {
	r.c.count(g.now, 1)
	r.srv, r.last, r.sentAt, r.load, r.quit = s, s, g.now, g.load(s), false
	r.attempts++
	s.out, g.out = s.out+1, g.out+1
	s.oldest = append(s.oldest, r)
}

func (g *Gateway) onOutcome(ev AttemptResult) {
	r := g.reqs[ev.ID]
	if r == nil || r.srv == nil || ev.Attempt != r.attempts-1 {
		return
	}
	s, c := r.srv, r.c
	g.advance(c)
	c.fresh = repeatTicks
	g.ended(r, ev.Code)
	g.judge(s, r, ev)
	if ev.Code == OK && ev.ActualUnits > 0 && ev.ActualUnits != r.units {
		c.settle(ev.ActualUnits - r.units)
	}
	switch {
	case r.over || ev.Answered || ev.Code == OK:
		g.close(r)
	case ev.Code == TooLate || g.now >= r.deadline || !g.again(r, ev.Code):
		g.refuse(r, ReasonAttemptsExhausted)
	case !g.room(c, false) || !g.try(r):
		g.hold(r)
	}
	g.release(c)
}

func (g *Gateway) ended(r *request, code ResultCode) {
	s := r.srv
	if !code.NeverRan() && !r.ran {
		r.ran, r.ranZone, r.ranCell, r.ranAt = true, s.Zone, s.Cell, r.sentAt
	}
	r.srv, r.stream = nil, false
	s.out, g.out = s.out-1, g.out-1
	r.c.count(g.now, -1)
	if i := slices.Index(s.oldest, r); i >= 0 {
		s.oldest = slices.Delete(s.oldest, i, i+1)
	}
}
