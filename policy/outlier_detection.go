package policy

import (
	"math"
	"slices"
	"time"
)

const (
	firstGuess       = 8.0              // a request's first guessed latency is its aim over this
	mostLatency      = 4.0              // a latency counts for so many means at most
	learn, learnMean = 0.1, 0.03        // weight of an outcome in a server's pace, in a class's latency
	slowSpan         = 10 * time.Second // an old judgement wears off in this time

	leastLate               = 0.1       // an attempt is overdue after this part of its aim at the soonest,
	overdue                 = 4.0       // when so many times as old as predicted
	sightWeight, sightLimit = 0.2, 0.45 // weight of a failure, average that puts a server out of use
	trialWorth              = 0.6       // what a good trial leaves of a server's failures

	trialEvery, trialMost = time.Second, 8 * time.Second // between trials of a server out of use

	mostPace    = 12.0            // most a server's pace is taken for
	leastPace   = 0.1             // and least, in a verdict
	paceLearn   = 0.025           // weight of an outcome in the pace at its watcher
	paceStep    = 1.7             // a pace is told when it changed by this factor
	verdictMail = 0.1             // part of a gateway's mail intake that verdicts may fill
	verdictKeep = 2.0             // verdicts a watcher may send at once
	verdictLife = 8 * time.Second // a verdict not told again lapses
)

// record is what the fleet knows of a server for one class.
type record struct {
	errs  float64       // the watcher's average
	okAt  time.Duration // its last answer here
	bad   bool          // out of use for the class, until a time
	until time.Duration
	wait  time.Duration // after its last trial
	trial time.Duration // when the watcher may next try it
}

func (g *Gateway) record(s *server, cl *class) *record {
	if cl.no >= len(s.by) || cl.Name == "" {
		return nil
	}
	return &s.by[cl.no]
}

// judge learns from an outcome: latency, errors, load reports.
func (g *Gateway) judge(s *server, r *request, ev AttemptResult) {
	if ev.Code != TooLate && ev.Code != Cancelled {
		g.sight(s, r.cl, ev.Code, ev.Latency)
	}
	if ev.Code == OK || ev.Code == TimedOut {
		g.strain += strainOwn * (min(1, ev.Latency.Seconds()/r.cl.LatencyObjective.Seconds()) - g.strain)
	}
	switch ev.Code {
	case OK:
		if v := g.record(s, r.cl); v != nil {
			v.okAt = g.now
		}
		base := (1 + queueWeight*r.load/g.sizeOf(s)) / g.coldness(s)
		lat := ev.Latency.Seconds() / base
		s.slow += g.own * (min(lat/r.cl.mean, mostPace) - s.slow)
		g.mean += learnMean * (r.cl.mean - g.mean)
		r.cl.seen++ // the first outcomes count for more
		r.cl.mean += max(learnMean, 1/(r.cl.seen+1)) * (min(lat, mostLatency*r.cl.mean) - r.cl.mean)
	case Rejected:
		// It may turn away one plan only: this one goes elsewhere for a while.
		s.fullAt[r.c.plan] = g.now + fullFor
		g.strain += strainOwn * (1 - g.strain)
	}
}

func (g *Gateway) sight(s *server, cl *class, code ResultCode, latency time.Duration) {
	if cl.Name == "" {
		return // not in the settings
	}
	for i, w := range s.watchers {
		if i > 0 && (code != ConnectFailed || !g.tree) {
			break
		}
		if w == g.set.SelfIndex {
			g.gather(s, cl.no, code, latency)
			continue
		}
		ms := uint16(min(max(0, latency.Milliseconds()), math.MaxUint16))
		g.do(SendPeerMessage{To: w, Data: encode(sight{uint32(s.ID), byte(cl.no), byte(code), ms})})
	}
}

// gather adds an outcome to what the fleet knows of a server. One that turns
// requests away is taken for very slow: it gets few more until it answers.
func (g *Gateway) gather(s *server, class int, code ResultCode, latency time.Duration) {
	v, mean := &s.by[class], g.classes[g.set.Classes[class].Name].mean
	seen := min(latency.Seconds()/mean*g.coldness(s), mostPace)
	switch code {
	case OK:
		v.errs *= 1 - sightWeight
		if v.bad {
			v.errs, v.wait = v.errs*trialWorth, 0
		}
	case Rejected:
		seen = mostPace
	case ConnectFailed:
		for i := range s.by {
			s.by[i].errs += 2 * sightWeight * (1 - s.by[i].errs)
		}
	default:
		for i := range s.by { // it may fail other classes too
			s.by[i].errs += sightWeight / 2 * (1 - s.by[i].errs)
		}
		v.errs += sightWeight / 2 * (1 - v.errs)
		seen = max(seen, s.pace)
	}
	s.pace += paceLearn * (seen - s.pace)
	g.tell(s)
}

// silence looks for attempts far older than predicted: they count as failed,
// and what can go elsewhere is called back. Guards against servers that take
// work and answer none; harms when all slow down at once, within the budget.
func (g *Gateway) silence(s *server) {
	for _, r := range slices.Clone(s.oldest) {
		expected := max(g.predict(s, r.cl), leastLate*r.cl.LatencyObjective.Seconds())
		age := (g.now - r.sentAt).Seconds() / expected
		v := g.record(s, r.cl)
		if age < overdue || r.over || r.quit || r.stream || v != nil && v.okAt > r.sentAt {
			continue
		}
		r.quit = true
		g.sight(s, r.cl, TimedOut, g.now-r.sentAt)
		if g.set.CanCancel && r.cl.Idempotency == Idempotent && g.budget >= 1 &&
			(g.set.MaxAttempts == 0 || r.attempts < g.set.MaxAttempts) {
			g.do(CancelAttempt{ID: r.id, Attempt: r.attempts - 1})
		}
	}
}

// wear lets a part of what is known of a server go.
func (s *server) wear(part float64) {
	s.slow += (1 - s.slow) * part
	for i := range s.by {
		s.by[i].errs -= s.by[i].errs * part
	}
}

// tell tells all gateways what has changed of a server that this one watches,
// and again what still keeps it out of use. Each goes to every gateway, so all
// watchers together keep to a part of the mail.
func (g *Gateway) tell(s *server) {
	each := g.set.PeerMessagesPerSecond * verdictMail / float64(max(1, len(g.fleet)))
	s.verdicts = min(verdictKeep, s.verdicts+each*(g.now-s.verdictAt).Seconds())
	s.verdictAt = g.now
	first := s.watchers[0] == g.set.SelfIndex
	if !first || !g.tree {
		s.pace = s.slow // the second knows only what it can't reach
	}
	told, bad, until := s.masks(func(v *record) bool {
		return v.errs > sightLimit || v.bad && (!first || v.errs > sightLimit/2)
	})
	change := g.tree && max(s.pace/s.slow, s.slow/s.pace) > paceStep
	again := first && bad != 0 && until-g.now < verdictLife/4
	if s.verdicts < 1 || bad == told && !change && !again {
		return
	}
	m := verdict{Server: uint32(s.ID), Bad: bad, Pace: small(16 * (4 + math.Log2(max(s.pace, leastPace))))}
	g.onVerdict(m)
	if g.tree {
		s.verdicts--
		g.do(SendPeerMessage{To: -1, Data: encode(m)})
	}
}

// masks gives a bit for each class: told to be out of use, until when, and so
// now.
func (s *server) masks(isBad func(*record) bool) (told, bad byte, until time.Duration) {
	for i := range s.by {
		v := &s.by[i]
		if v.bad {
			told |= 1 << i
			until = v.until
		}
		if isBad(v) {
			bad |= 1 << i
		}
	}
	return told, bad, until
}

func (g *Gateway) onVerdict(m verdict) {
	s := g.servers[ServerID(m.Server)]
	if s == nil {
		return
	}
	for i := range s.by {
		s.by[i].bad, s.by[i].until = m.Bad>>i&1 == 1, g.now+verdictLife
	}
	s.slow = math.Exp2(float64(m.Pace)/16 - 4)
}

// watchers names the gateways that judge a server: in a small fleet each
// judges for itself.
func (g *Gateway) watchers(h uint32) [2]int {
	if !g.tree {
		return [2]int{g.set.SelfIndex, g.set.SelfIndex}
	}
	n := uint32(g.set.Gateways)
	return [2]int{int(h % n), int((h + 1) % n)}
}
