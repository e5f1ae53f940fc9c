package policy

// How events reach the decisions of policy.go, and the lists they work on.

import (
	"cmp"
	"slices"
	"time"
)

// Handle takes one event at a time and appends what is to be done to out.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.acts = now, out
	if !g.begun {
		g.begun, g.start, g.lastTick = true, now, now
		g.do(SetTimer{Token: "tick", After: time.Duration(g.rng.Int64N(int64(g.tick))) + 1})
		g.watch()
	}
	switch ev := ev.(type) {
	case Request:
		g.onRequest(g.arrive(ev))
	case AttemptResult:
		g.onOutcome(ev)
	case ResponseStarted:
		if r := g.reqs[ev.ID]; r != nil && r.attempts == ev.Attempt+1 && r.srv != nil {
			r.stream = true
		}
	case ClientDisconnected:
		if r := g.reqs[ev.ID]; r != nil {
			g.close(r)
		}
	case TimerFired:
		if ev.Token == "tick" && now > g.lastTick {
			g.onTick()
		}
		if ev.Token == "ask" {
			g.onAskTimer()
		}
	case PeerMessage:
		g.onPeer(ev)
	case EndpointUpdate:
		g.onMembers(ev)
	case UsageLevel:
		g.onLevel(ev)
	case RestoreSnapshot:
		g.onRecall(ev)
	case FleetResized:
		if ev.Gateways > 0 {
			g.onFleet(ev)
		}
	}
	out, g.acts = g.acts, nil
	return out
}

func (g *Gateway) onMembers(ev EndpointUpdate) {
	if ev.Kind == WatchFailed {
		g.asked = false
		return
	}
	if ev.Kind != DeltaUpdate {
		for _, s := range g.fleet {
			s.State = Removed
		}
	}
	for _, m := range ev.Servers {
		s := g.servers[m.ID]
		if s == nil {
			h := uint32(m.ID) * 0x9e3779b1 >> (32 - serverBits)
			s = &server{hash: uint16(h), slow: 1, pace: 1, verdicts: verdictKeep, verdictAt: g.now,
				by:     make([]record, len(g.set.Classes)),
				fullAt: map[*quota]time.Duration{}, watchers: g.watchers(h)}
			g.servers[m.ID] = s
			g.fleet = append(g.fleet, s)
		} else if m.HasStartTime && m.StartedAt != s.StartedAt {
			s.slow, s.pace = 1, 1
			clear(s.by)
		}
		s.Server = m
	}
	// What has gone and has nothing out is forgotten: a fleet whose servers are replaced
	// would grow for ever, and each would count as one that could bear a part.
	g.fleet = slices.DeleteFunc(g.fleet, func(s *server) bool {
		gone := s.State == Removed && s.out == 0
		if gone {
			delete(g.servers, s.ID)
		}
		return gone
	})
	g.size = 0
	for _, s := range g.fleet {
		g.size += s.Weight / float64(len(g.fleet))
	}
	slices.SortFunc(g.fleet, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

func (g *Gateway) onPeer(ev PeerMessage) {
	if ev.From < 0 || ev.From >= len(g.peers) || ev.From == g.set.SelfIndex {
		return
	}
	switch m := decode(ev.Data).(type) {
	case ask:
		if int(m.Plan) < len(g.set.Plans) && int(m.Class) < len(g.set.Classes) && m.Spread > 0 {
			g.onAsk(ev.From, m)
		}
	case answer:
		g.onAnswer(ev.From, m)
	case ended:
		g.onEnded(ev.From, m)
	case sight:
		s := g.servers[ServerID(m.Server)]
		if s != nil && slices.Contains(s.watchers[:], g.set.SelfIndex) && int(m.Class) < len(s.by) {
			g.gather(s, int(m.Class), ResultCode(m.Code), time.Duration(m.Latency)*time.Millisecond)
		}
	case verdict:
		g.onVerdict(m)
	case report:
		g.onReport(g.peers[ev.From], m)
	}
}

func (g *Gateway) close(r *request) {
	r.over = true
	if i := slices.Index(r.c.held, r); i >= 0 {
		g.unhold(r.c, i)
	}
	if r.remote || r.srv != nil {
		return
	}
	delete(g.reqs, r.id)
	delete(g.asks, r.tag)
	if r.granted && (r.c.plan.MaxInFlight > 0 || !r.counted) {
		r.granted = false
		g.do(SendPeerMessage{To: r.root, Data: encode(ended{r.c.key, r.tag, !r.counted})})
	}
}

// release lets held requests go at an outcome: the customer's own while its
// live count and the heard means stay under the cap, then others that waited
// for a server.
func (g *Gateway) release(c *customer) {
	if !g.drain(c, 1<<30) || len(g.waiting) == 0 {
		return
	}
	rest := slices.Clone(g.waiting)
	slices.SortStableFunc(rest, func(a, b *customer) int {
		return cmp.Compare(a.held[0].arrived, b.held[0].arrived)
	})
	for _, w := range rest {
		if w != c && !g.drain(w, 1) {
			return
		}
	}
}

// onAskTimer asks again, elsewhere, for what was not answered.
func (g *Gateway) onAskTimer() {
	list := g.asking
	g.asking = nil
	for _, r := range list {
		switch {
		case r.over || r.granted || g.asks[r.tag] != r:
		case g.now+g.set.Resolution <= r.until: // a timer may come a rounding early
			g.asking = append(g.asking, r)
		case r.waits:
			g.refuse(r, ReasonInFlightLimit)
		default:
			g.ask(r)
		}
	}
}

// customer finds the customer of a request.
func (g *Gateway) customer(r *Request) *customer {
	key := keyOf(r.Customer)
	if c := g.customers[key]; c != nil {
		return c
	}
	plan := g.plans[r.Plan]
	if plan == nil {
		plan = &quota{Plan: Plan{Name: r.Plan}}
	}
	return g.account(key, plan, r.FirstGateway, r.GatewaySpread)
}

// arrive enters a client's request. One of a class not in the settings is
// taken for unsafe.
func (g *Gateway) arrive(ev Request) *request {
	c, cl := g.customer(&ev), g.classes[ev.Class]
	if cl == nil {
		cl = &class{Class: Class{LatencyObjective: ev.Remaining, Idempotency: NonIdempotent}, mean: g.mean}
	}
	g.advance(c)
	r := &request{id: ev.ID, c: c, cl: cl, units: ev.Units, arrived: g.now, repeat: ev.ClientRetry,
		deadline: g.now + ev.Remaining}
	g.reqs[r.id], c.seen = r, g.now
	return r
}
