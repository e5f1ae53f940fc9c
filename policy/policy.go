// Package policy decides for a gateway that keeps customers' quotas on a
// shared API. Its interface (settings, events, actions) is in api.go; every
// decision, table and tuned value is in this file.
//
// The mechanism is a distributed waiting room. Requests beyond a customer's
// cap on attempts out wait in arrival order; gateways report to each other
// once a tick, sum the attempts out from these reports, and release the free
// room at ticks and at their own outcomes. A rate companion keeps an estimate
// of each customer's store of units and lets a gateway pass its part of it.
package policy

import (
	"math"
	"slices"
	"time"
)

// Tuned values. None is fitted to a deployment: they are shares, counts of
// ticks, or times that people and networks set.
const (
	mailShare        = 0.75 // part of a gateway's mail intake that reports may fill
	minTick, maxTick = 25 * time.Millisecond, 250 * time.Millisecond
	staleTicks       = 6    // a report older than this gives way to the demand split
	leastWeight      = 0.33 // a silent peer's demand fades to this part of it
	forgetAfter      = 10 * time.Second
	demandSpan       = 2 * time.Second       // memory of the demand rates
	blindExtra       = 25 * time.Millisecond // time a report travels
	untold           = 0.01                  // what a tick untold adds to a place in the report
	repeatTicks      = 3                     // a change is told in this many reports

	evenRate, evenLeast    = 0.02, 0.05 // demand of each gateway taken for granted: of the rate, units
	arriveSlack, freeSlack = 0.5, 0.25  // parts of a place that count as one, at arrival and later
	jitter                 = 0.2        // spread of a prediction, so that none is left untried
	mostLatency            = 4.0        // a latency counts for so many means at most
	choices                = 4          // servers compared for an attempt
	zonePrice              = 25.0       // service times that a charge of one for another zone is worth
	queueWeight            = 0.5        // what each attempt out adds to a server's latency, in service times
	waitAim                = 0.15       // a server is full when the wait passes this part of the shortest aim
	leastOut               = 2.0        // but not below this many attempts out
	retryReserve           = 0.7        // part of the store that clients' repeats leave to first tries
	pressedFor             = 200 * time.Millisecond
	holdAim                = 0.5              // a request is held for this part of its aim
	firstGuess             = 8.0              // a request's first guessed latency is its aim over this
	learn, learnMean       = 0.1, 0.03        // weight of an outcome in a server's pace, in a class's latency
	slowSpan               = 10 * time.Second // an old judgement wears off in this time
	fullFor                = 2 * time.Second
	idleAfter              = 10 * time.Minute // a customer not seen for so long is forgotten
	retryEarn, retryCap    = 0.15, 12.0       // retry budget earned by each first attempt, most kept
	coldSafety             = 0.5              // part of the cold budget used

	leastLate               = 0.1       // an attempt is overdue after this part of its aim at the soonest,
	overdue                 = 4.0       // when so many times as old as predicted
	sightWeight, sightLimit = 0.2, 0.45 // weight of a failure, average that puts a server out of use
	trialWorth              = 0.6       // what a good trial leaves of a server's failures

	trialEvery, trialMost = time.Second, 8 * time.Second // between trials of a server out of use

	mostOut  = 0.7  // when more are out of use they are used all the same
	gateAim  = 0.4  // mean latency over aim above which the gate closes
	blindAim = 0.25 // and where gateways don't see the load at servers, or
	idleAims = 1.8  // so many idle latencies over their aims, if more
	idleSeen = 20   // outcomes of each class that those rest on

	gateShut, gateOpen = 3 * time.Second, 8 * time.Second // to 1/e in this time, and opens
	gateLeast          = 0.25                             // enough to learn from when all is well again
	strainLife         = 12 * time.Second                 // how fast an old strain is forgotten
	strainOwn          = 0.15                             // weight of an outcome or a root's word in it

	// Where reports from all to all are more than the mail bears.
	treeBeyond   = 2                     // the mail would stretch the longest tick by this factor
	rootMail     = 0.5                   // part of its mail intake that a root spends on one customer
	rootPeak     = 2.0                   // asks it must bear, as a multiple of those inside the quota
	rootTicks    = 2                     // roots of a customer report to each other every so many ticks
	rootAsks     = 2                     // times a root is asked before its deputy is
	freshFill    = 0.8                   // part of a store that a root just started presumes
	deputyPart   = 0.25                  // part of a hard ceiling that the deputy holds
	leastReply   = 30 * time.Millisecond // an answer is waited for this long at least
	replySpread  = 2.5                   // and for this many mean times
	unheardPower = 4.0                   // what no root answers passes with this power of the share answered
	deafBelow    = 0.5                   // with fewer asks answered another witness is heeded,
	witnessLife  = 3 * time.Second       // for so long
	thinSpan     = 20 * time.Second      // a root's word of what part fits is heeded so long
	leaseAim     = 1.0                   // an attempt not told of as ended counts for this part of its aim
	mostPace     = 12.0                  // most a server's pace is taken for
	paceLearn    = 0.025                 // weight of an outcome in the pace at its watcher
	paceStep     = 1.7                   // a pace is told when it changed by this factor
	verdictMail  = 0.1                   // part of a gateway's mail intake that verdicts may fill
	verdictKeep  = 2.0                   // verdicts a watcher may send at once
	verdictLife  = 8 * time.Second       // a verdict not told again lapses
	otherZone    = 0.7                   // weight of a server in another zone
)

// New returns a gateway that has seen nothing yet. The seed feeds its random
// choices; equal settings, seeds and events give equal actions.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	g := newGateway(s, seed)
	g.budget, g.minAim = retryCap, math.Inf(1)
	for _, c := range g.classes {
		c.mean = c.LatencyObjective.Seconds() / firstGuess
		g.mean, g.minAim = max(g.mean, c.mean), min(g.minAim, c.LatencyObjective.Seconds())
	}
	g.gate, g.heard = 1, 1
	g.nextTag, g.reply = g.rng.Uint32(), leastReply
	g.fit()
	return g, nil
}

// fit sets what follows from how many gateways there are.
func (g *Gateway) fit() {
	mail := max(g.set.PeerMessagesPerSecond*mailShare, 1)
	g.tick = time.Duration(float64(max(g.set.Gateways-1, 1)) / mail * float64(time.Second))
	g.own = learn
	if g.tree = g.tick > treeBeyond*maxTick && g.set.CanMessagePeers; g.tree {
		g.own = 0 // what the watchers tell is more than what this gateway sees
	} else {
		g.allPeers()
	}
	g.tick = max(min(max(g.tick, minTick), maxTick), g.set.Resolution)
}

// onFleet takes a new number of gateways. Counts carry over; parts of ceilings are the smaller of the old
// and the new until all are known to have heard: the old ones sum to the whole, and the new ones do.
func (g *Gateway) onFleet(ev FleetResized) {
	if ev.PreviousSize == 0 {
		g.was = size{}
	} else if g.was.gateways == 0 {
		g.was = size{ev.PreviousSize, g.treeAt(ev.PreviousSize)}
	}
	g.resize(ev.Gateways)
	for _, c := range g.ring {
		g.advance(c)
		g.place(c)
		c.ceiling = min(c.ceiling, c.plan.HardBurst/c.n)
	}
}

// part is one over the part of a ceiling held here in a fleet of a size: infinite where none is.
func (g *Gateway) part(c *customer, z size) float64 {
	if z.gateways < 0 {
		return math.Inf(1)
	}
	now, spread := size{g.set.Gateways, g.tree}, c.spread
	g.set.Gateways, g.tree, c.spread = z.gateways, z.tree, max(1, min(c.nodes, z.gateways))
	roots, deputy := g.roots(c)
	g.set.Gateways, g.tree, c.spread = now.gateways, now.tree, spread
	switch n := float64(len(roots)); {
	case slices.Contains(roots, g.set.SelfIndex) && z.tree:
		return n / (1 - deputyPart)
	case slices.Contains(roots, g.set.SelfIndex):
		return n
	case z.tree && deputy == g.set.SelfIndex:
		return 1 / deputyPart
	}
	return math.Inf(1)
}

// Customers, their stores and their room.

// account starts a customer's counts. Those who sum them come first: in a
// small fleet all its gateways, in a large one its roots. The others ask.
func (g *Gateway) account(key uint64, plan *quota, first, spread int) *customer {
	c := &customer{key: key, hash: shortOf(key), plan: plan, store: plan.Burst,
		part: 1, leases: map[lease]leased{}, first: first, nodes: spread, at: g.now, areaAt: g.now}
	g.place(c)
	// A restarted root knows nothing: it must not grant a whole store again.
	if g.tree && plan.Rate > 0 && (g.now-g.start).Seconds() < plan.Burst/plan.Rate {
		c.store *= freshFill
	}
	// The ceiling's own part starts empty at the gateway's start: after a
	// restart it must not be granted a second time.
	c.ceiling = min(plan.HardBurst, plan.HardRate*(g.now-g.start).Seconds()) / c.n
	g.enter(c)
	return c
}

// place says who sums a customer's counts, and what part of its ceiling is held here.
func (g *Gateway) place(c *customer) {
	c.spread = max(1, min(c.nodes, g.set.Gateways))
	roots, deputy := g.roots(c)
	c.n, c.ask = float64(c.spread), nil
	if slices.Contains(roots, g.set.SelfIndex) || !g.tree {
		g.views(c, roots)
	} else if c.plan.Rate > 0 || c.plan.MaxInFlight > 0 {
		c.ask = []int{roots[g.set.SelfIndex%len(roots)], deputy}
	}
	if g.tree {
		// All ceiling parts are with those who grant.
		c.n = float64(len(roots)) / (1 - deputyPart)
		if len(c.ask) > 0 {
			c.n = 1 / deputyPart
		}
	}
	if g.was.gateways != 0 {
		c.n = max(g.part(c, g.was), g.part(c, size{g.set.Gateways, g.tree}))
	}
}

// roots are the gateways that sum a customer's counts: as few as can take in
// what its gateways ask of them, all where reports go from all to all. The
// deputy steps in for a root that is silent.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	k := c.spread
	if g.tree {
		asks := rootPeak * c.plan.Rate
		if c.plan.MaxInFlight > 0 {
			asks += c.plan.Rate // those that pass tell their ends too
		}
		asks /= max(1, g.set.MaxRequestUnits/2)
		k = min(max(1, int(math.Ceil(asks/max(1, g.set.PeerMessagesPerSecond*rootMail)))), c.spread)
	}
	base, step := int(c.key>>33)%c.spread, max(1, c.spread/(k+1))
	for i := range k + 1 {
		deputy = (c.first + (base+i*step)%c.spread) % g.set.Gateways
		if i < k {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// advance brings a customer's stores up to now. A peer long silent is taken
// to use its demand-split part of the rate: it may only be cut off.
func (g *Gateway) advance(c *customer) {
	g.stir(c)
	dt := (g.now - c.at).Seconds()
	if dt <= 0 {
		return
	}
	c.at = g.now
	unheard := 0.0
	for _, v := range c.set {
		if g.silent(v.p) {
			unheard += g.weight(c, v)
		}
	}
	share := 1 - unheard/g.demand(c)
	if len(c.ask) > 0 && !c.sums {
		share = 1 / float64(c.spread) // what others pass is the root's to know
	}
	c.store = min(c.plan.Burst, c.store+c.plan.Rate*dt*share)
	c.ceiling = min(c.plan.HardBurst/c.n, c.ceiling+c.plan.HardRate/c.n*dt)
	k := math.Exp(-dt / demandSpan.Seconds())
	c.rate *= k
	for _, v := range c.set {
		v.rate *= k
	}
	if !c.known && c.plan.Rate > 0 && (g.now-g.start).Seconds() > c.plan.Burst/c.plan.Rate {
		c.known = true
	}
}

// silent tells whether a peer's counts are too old to be used.
func (g *Gateway) silent(p *peer) bool { return !p.heard || g.now-p.at > staleTicks*g.tick }

// even is the demand taken for granted: a fresh customer's split is even.
func (g *Gateway) even(c *customer) float64 { return evenRate*c.plan.Rate + evenLeast }

// weight is a peer's demand in the demand split. One not heard for long counts
// as much as this gateway, then less, but never nothing: it may be cut off and
// passing its part, or dead for good.
func (g *Gateway) weight(c *customer, v *peerView) float64 {
	w := v.rate
	if g.silent(v.p) {
		fade := math.Exp(-(g.now - max(v.p.at, g.start)).Seconds() / forgetAfter.Seconds())
		if !g.set.CanMessagePeers {
			fade = 1 // its silence says nothing
		}
		w = max(w, c.rate) * (leastWeight + (1-leastWeight)*fade)
	}
	return w/demandSpan.Seconds() + g.even(c)
}

// demand is all gateways' demand in units a second, this one's included.
func (g *Gateway) demand(c *customer) float64 {
	sum := c.rate/demandSpan.Seconds() + g.even(c)
	for _, v := range c.set {
		sum += g.weight(c, v)
	}
	return sum
}

func (g *Gateway) share(c *customer) float64 {
	return (c.rate/demandSpan.Seconds() + g.even(c)) / g.demand(c)
}

// allowance is what this gateway may pass of the customer's store now: its
// demand-split part, or what is left once the peers have passed all they may
// be asked for before they are heard again, whichever is more.
func (g *Gateway) allowance(c *customer) float64 {
	// Where none is heard nobody else uses its own part, which takes in whole requests.
	if share := g.share(c); len(c.ask) == 0 && g.deaf(c) {
		return max(c.store*share, c.store-c.plan.Burst+max(c.plan.Burst*share, g.set.MaxRequestUnits))
	}
	blind := (g.tick + blindExtra).Seconds()
	unseen := 0.0
	for _, v := range c.set {
		wait := blind
		if !v.p.complete {
			wait += min(g.now-v.at, staleTicks*g.tick).Seconds()
		}
		unseen += g.weight(c, v) * wait
	}
	return max(c.store*g.share(c), c.store-unseen)
}

// others sums the attempts out and held that the peers report. A silent
// peer's count gives way to its demand-split part of the cap.
func (g *Gateway) others(c *customer) (out, held float64) {
	for _, v := range c.set {
		if g.silent(v.p) {
			out += float64(c.plan.MaxInFlight) * g.weight(c, v) / g.demand(c)
			continue
		}
		out += v.out
		held += v.held
	}
	return out, held
}

// room tells whether one more attempt of the customer fits under its cap.
// An arrival stays under its demand-split part, at least one.
func (g *Gateway) room(c *customer, arrival bool) bool {
	if c.plan.MaxInFlight == 0 || c.out == 0 && g.deaf(c) {
		return true
	}
	out, _ := g.others(c)
	free := float64(c.plan.MaxInFlight) - out
	next := float64(c.out + 1)
	if arrival {
		return next <= max(free*g.share(c), min(1, free+arriveSlack))
	}
	return next <= free+freeSlack
}

// Requests.

func (g *Gateway) onRequest(r *request) {
	c := r.c
	c.rate += r.units
	// With no time left any wait is too long.
	if late := r.deadline-g.now <= 2*g.set.Resolution; late || g.rng.Float64() > g.gate {
		g.refuse(r, either(late, ReasonNoTime, ReasonLoadShed))
		return
	}
	if len(c.ask) == 0 {
		g.admit(r)
		return
	}
	// Of a customer far above its quota only the part that fits is asked for:
	// its root could not take in all its asks, nor those of others then. Harms
	// for as long as thinSpan when the customer stops asking for more.
	r.asks = 1
	if c.plan.Rate > 0 && c.told > 0 {
		r.asks = min(1, c.part+(g.now-c.partAt).Seconds()/thinSpan.Seconds())
	}
	if g.rng.Float64() > r.asks {
		g.refuse(r, ReasonQuotaExceeded)
		return
	}
	g.ask(r)
}

// admit lets a request pass, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.c
	c.fresh = repeatTicks
	// A client's repeat is often late. It gives way to first tries while requests
	// wait for servers or the store is low. Guards against retry storms; harms
	// where repeats come soon and aims are long.
	scarce := c.plan.Rate > 0 && g.allowance(c) < r.units+retryReserve*c.plan.Burst
	if within := g.within(r); !within || r.repeat && (scarce || !r.remote && g.pressed()) {
		g.refuse(r, either(within, ReasonLoadShed, g.over(r)))
		return
	}
	if len(c.held) == 0 && g.room(c, true) && g.try(r) {
		return
	}
	g.hold(r)
	if r.remote && !r.over {
		g.answer(r, waits)
	}
}

// pressed tells whether a request lacked a server in the last moment.
func (g *Gateway) pressed() bool { return g.lackAt > 0 && g.now-g.lackAt < pressedFor }

// within tells whether quota and ceiling have the request's units.
func (g *Gateway) within(r *request) bool {
	c := r.c
	if r.counted {
		return true
	}
	if c.plan.Rate > 0 && !r.granted && g.allowance(c) < r.units {
		return false
	}
	return c.plan.HardRate == 0 || r.granted || c.ceiling >= r.units
}

// hold puts a request in its customer's queue. What no tick could answer in
// time is answered now.
func (g *Gateway) hold(r *request) {
	if g.now+g.tick+2*g.set.Resolution >= r.deadline {
		g.refuse(r, g.lacking(r))
		return
	}
	g.queue(r)
}

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

// refuse gives the final answer: a refusal where a retry is harmless.
func (g *Gateway) refuse(r *request, why Reason) {
	if r.remote {
		g.answer(r, refused+byte(why)<<reasonShift)
	} else if r.ran && r.cl.Idempotency != Idempotent &&
		!(r.cl.Idempotency == IdempotentWithKey && r.cl.DedupScope == DedupAllServers) {
		g.do(Fail{r.id, why})
	} else {
		g.do(Reject{r.id, g.set.MaxRetryAfter, why})
	}
	g.close(r)
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

// again decides whether a request may have a further attempt. Where it may go
// is usable's to say. The budget keeps retries from feeding an overload.
func (g *Gateway) again(r *request, code ResultCode) bool {
	if g.set.MaxAttempts > 0 && r.attempts >= g.set.MaxAttempts ||
		r.ran && (r.cl.Idempotency == NonIdempotent ||
			r.cl.Idempotency == IdempotentWithKey && g.now-r.ranAt >= r.cl.DedupWindow) ||
		g.now+time.Duration(r.cl.mean/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Rejected {
		g.budget--
	}
	return g.budget >= 0
}

// drain sends up to n of a customer's held requests, oldest first. It is false
// when no server had room.
func (g *Gateway) drain(c *customer, n int) bool {
	for ; n > 0 && len(c.held) > 0; n-- {
		r := c.held[0]
		g.advance(c)
		if !g.within(r) {
			g.refuse(r, g.over(r))
			continue
		}
		if !g.room(c, false) {
			return true
		}
		if !g.try(r) {
			return false
		}
		g.unhold(c, 0)
	}
	return true
}

// Servers.

// coldness is the least share of its capacity a server surely has.
func (g *Gateway) coldness(s *server) float64 {
	if !s.HasStartTime || g.set.WarmupTime <= 0 || g.set.InitialCapacity <= 0 {
		return 1
	}
	age := float64(g.now-s.StartedAt) / float64(g.set.WarmupTime)
	return min(1, g.set.InitialCapacity+(1-g.set.InitialCapacity)*max(age, 0))
}

// load is the attempts out at a server: own, and the peers' as last reported,
// or its own load report where that says more.
func (g *Gateway) load(s *server) float64 {
	return float64(s.out) + s.heard
}

// predict is the latency in seconds expected of a server for a class.
func (g *Gateway) predict(s *server, cl *class) float64 {
	return cl.mean * s.slow * (1 + queueWeight*g.load(s)/g.sizeOf(s)) / g.coldness(s)
}

// full tells whether a server has all the work it can turn round in time: the
// wait there would pass a share of the shortest aim. Beyond that requests are
// held here, where they can still go elsewhere or be refused.
func (g *Gateway) full(s *server) bool {
	load := g.load(s) / g.sizeOf(s)
	return load >= leastOut && g.mean*s.slow/g.coldness(s)*queueWeight*load > waitAim*g.minAim
}

// usable tells whether a request may go to a server at all: running, not
// ejected (but for a trial), inside its group and window once it may have
// run, and inside the budget of a cold server.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || g.now < s.fullAt[r.c.plan] ||
		r.ran && r.cl.Idempotency == IdempotentWithKey &&
			(g.now-r.ranAt >= r.cl.DedupWindow || !r.sameGroup(s)) {
		return false
	}
	if cold := g.coldness(s); cold < 1 {
		// A budget for every window, shared by all gateways: what warm servers
		// bear, times the share of capacity the server surely has.
		s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool {
			return g.now-t > g.set.ColdOverloadTime
		})
		warm := g.sendRate / max(1, float64(len(g.fleet)))
		return float64(len(s.sends)) < max(1, warm*cold*g.set.ColdOverloadFactor*coldSafety)
	}
	return true
}

// pick chooses a server, or nil when none has room. Those out of use for the
// class are left out while they are not too many; a watcher tries them now and
// then. A small fleet's gateway takes the best of a few random ones by predicted
// latency and zone price.
func (g *Gateway) pick(r *request) *server {
	ok, doubted := g.usables[:0], g.doubted[:0]
	for _, s := range g.fleet {
		if s == r.last || !g.usable(s, r) {
			continue
		}
		if v := g.record(s, r.cl); v != nil && v.bad && g.now < v.until {
			// Its watcher alone tries a server that is out of use.
			if s.watchers[0] == g.set.SelfIndex && g.now >= v.trial && r.attempts == 0 &&
				r.cl.Idempotency != NonIdempotent {
				v.wait = min(2*v.wait+trialEvery, trialMost)
				v.trial = g.now + v.wait
				return s
			}
			doubted = append(doubted, s)
			continue
		}
		ok = append(ok, s)
	}
	g.usables, g.doubted = ok, doubted
	if float64(len(doubted)) > mostOut*float64(len(ok)+len(doubted)) {
		ok = append(ok, doubted...)
	}
	if g.tree {
		return g.draw(ok)
	}
	var best *server
	low := math.Inf(1)
	for k := 0; k < choices && len(ok) > 0; {
		i := g.rng.IntN(len(ok))
		s := ok[i]
		ok = slices.Delete(ok, i, i+1)
		if g.full(s) {
			continue
		}
		p := g.predict(s, r.cl) * (1 - jitter/2 + jitter*g.rng.Float64())
		k++
		if s.Zone != g.set.Zone {
			p += r.cl.mean * g.set.CrossZoneCost * zonePrice
		}
		if p < low {
			best, low = s, p
		}
	}
	return best
}

// draw chooses a server by its share of the fleet's capacity. A large fleet's
// gateways don't see the load there; were each to take the best of a few, all
// would crowd onto the same servers. However slow the warm ones are, a cold one
// gets no more than its part of an even share; what is left over waits.
func (g *Gateway) draw(ok []*server) *server {
	all := 0.0
	for _, s := range ok {
		s.weight = g.sizeOf(s) / max(s.slow, 1) / float64(1+s.out)
		if s.Zone != g.set.Zone {
			s.weight *= otherZone
		}
		s.weight *= min(1, g.coldness(s))
		all += s.weight
	}
	least := 0.0
	for _, s := range ok {
		if cold := g.coldness(s); cold < 1 {
			s.weight = min(s.weight, cold*all/float64(len(ok)))
			least = max(least, s.weight*float64(len(ok))/(cold*coldSafety*max(1, g.set.ColdOverloadFactor)))
		}
	}
	return g.byWeight(ok, least)
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

// adapt moves the gate by how near latencies come to their aims: a part of the
// requests is refused. Guards against load this gateway is not told of, on all
// servers: peers unheard, slow fleets. Harms where aims are near idle latencies.
func (g *Gateway) adapt(dt time.Duration) {
	g.rest()
	if g.strain > gateAim || g.tree && g.strain > max(blindAim, idleAims*g.idle) {
		g.gate = max(gateLeast, g.gate*math.Exp(-dt.Seconds()/gateShut.Seconds()))
	} else {
		g.gate = min(1, g.gate+dt.Seconds()/gateOpen.Seconds())
	}
	g.strain *= math.Exp(-dt.Seconds() / strainLife.Seconds())
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

func (g *Gateway) onTick() {
	dt := g.now - g.lastTick
	g.lastTick, g.ticks = g.now, g.ticks+1
	g.do(SetTimer{Token: "tick", After: g.tick})
	if g.ticks%uint32(max(1, time.Second/g.tick)) == 0 {
		g.watch()
		g.forget(g.now - idleAfter)
	}
	if g.set.ColdOverloadTime > 0 {
		g.sendRate *= math.Exp(-float64(dt) / float64(g.set.ColdOverloadTime))
	}
	g.sumLoads()
	g.adapt(dt)
	for _, s := range g.fleet {
		// What is not tried is not learned: an old judgement wears off.
		s.wear(min(1, dt.Seconds()/slowSpan.Seconds()))
		g.silence(s)
		if slices.Contains(s.watchers[:], g.set.SelfIndex) {
			g.tell(s)
		}
	}
	g.measure(dt)
	for _, c := range slices.Clone(g.waiting) {
		g.advance(c)
		g.age(c)
		if len(c.held) == 0 {
			continue
		}
		n := 1 << 30
		if c.plan.MaxInFlight > 0 {
			out, held := g.others(c)
			part := (float64(c.plan.MaxInFlight-c.out) - out) / (1 + held/float64(len(c.held)))
			n = int(math.Floor(max(part, 0) + g.rng.Float64()))
		}
		g.drain(c, n)
	}
	if g.set.CanMessagePeers && (!g.tree || g.ticks%rootTicks == 0) {
		g.report()
	}
}

// age refuses held requests that can no longer meet their aim, while a retry
// can still help, and in any case before the deadline.
func (g *Gateway) age(c *customer) {
	for _, r := range slices.Clone(c.held) {
		longest := time.Duration(holdAim * float64(r.cl.LatencyObjective))
		if g.now-r.arrived > longest || g.now+2*g.tick >= r.deadline {
			g.refuse(r, g.lacking(r))
		}
	}
}

// news tells whether peers must hear of a customer.
func (c *customer) news() bool {
	return len(c.set) > 0 && (c.out > 0 || c.mean > 0 || len(c.held) > 0 || c.fresh > 0)
}

// urgent orders a report, busiest first: held, and units not told yet, against
// what may be used at once; then those not told for longest.
func (g *Gateway) urgent(c *customer) float64 {
	units := float64(c.passed-c.toldUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + untold*float64(g.ticks-c.told)
}

// hear takes in what a peer says of a customer. Running totals heal lost
// reports; a total that jumps oddly (the peer started anew) is a new base.
func (g *Gateway) hear(c *customer, p *peer, e entry) {
	i := slices.IndexFunc(c.set, func(v *peerView) bool { return v.p == p })
	if i < 0 {
		return
	}
	g.advance(c)
	v := c.set[i]
	v.read(e, g.now)
	if v.heard && v.inc != p.inc {
		v.passed = 0
	}
	if v.heard {
		d := float64(int16(e.passed - v.passed)) // settled units may take it back
		c.store = min(c.plan.Burst, max(0, c.store-d))
	}
	v.heard, v.inc, v.passed = true, p.inc, e.passed
	if !c.known && e.store != unknownStore {
		c.known = true
		c.store = min(c.store, float64(e.store)/250*c.plan.Burst)
	}
}

// onLevel takes a customer's store from another witness while this gateway has run too shortly to know it,
// or hears none of those who could tell. Guards against a quota granted twice after restarts, and without
// mail; harms when the witness is behind, by what was passed since.
func (g *Gateway) onLevel(ev UsageLevel) {
	c := g.customers[keyOf(ev.Customer)]
	if c == nil || c.known && !g.deaf(c) {
		return
	}
	g.advance(c)
	if c.known {
		c.witness = g.now
		for _, v := range c.set { // what they will say was passed is in the level
			v.heard = false
		}
	}
	c.known, c.store = true, min(c.plan.Burst, max(0, ev.Units))
}

// recall takes a customer's store as it was some time before this process. It has filled up since, but for
// what others passed, who will tell. Guards against a quota granted twice after restarts.
func (c *customer) recall(store float64, age time.Duration) {
	c.store = min(c.store, max(0, store)+c.plan.Rate*age.Seconds())
}

// deaf tells whether none is heard who could tell of a customer's use elsewhere.
func (g *Gateway) deaf(c *customer) bool {
	if len(c.ask) > 0 {
		return g.heard < deafBelow
	}
	return len(c.set) > 0 && !slices.ContainsFunc(c.set, func(v *peerView) bool { return !g.silent(v.p) })
}

// Asking the roots of a customer: where its counts are not here, a request
// waits for its root's answer.

// ask sends a request to the customer's root, again if that or the answer is
// lost, and then to the deputy. No answer from either leaves it to the last
// fill heard, but under a ceiling: lost roots must not stop customers far below
// their quotas.
func (g *Gateway) ask(r *request) {
	c := r.c
	if len(c.ask) == 0 { // its counts have moved here
		delete(g.asks, r.tag)
		g.admit(r)
		return
	}
	cut := math.Pow(1-g.heard, unheardPower)
	late := r.asked > rootAsks || g.now+2*g.set.Resolution >= r.deadline
	if delete(g.asks, r.tag); late || r.asked > 0 && g.rng.Float64() < cut {
		// Much mail lost: roots are flooded, few may pass unheard. All lost: cut off, the own part passes.
		pass := math.Pow(g.heard, unheardPower) + cut
		if c.witness > 0 && g.now-c.witness < witnessLife {
			pass = 1
		}
		if r.waits || g.now >= r.deadline || g.rng.Float64() > pass || c.plan.HardRate > 0 ||
			!g.within(r) || !g.try(r) {
			g.refuse(r, either(r.waits, ReasonInFlightLimit, ReasonNoQuotaLeader))
		}
		return
	}
	to := c.ask[0]
	if r.asked == rootAsks {
		to = c.ask[1]
	}
	if to == g.set.SelfIndex {
		g.admit(r)
		return
	}
	if r.asked != 1 || r.root != to { // the same name when the same root is asked again
		g.nextTag++
		r.tag = g.nextTag
	}
	if r.asked > 0 {
		g.heard -= learn * g.heard
	}
	r.root, r.askedAt = to, g.now
	r.asked++
	wait := max(leastReply, time.Duration(replySpread*float64(g.reply)))
	r.until = min(g.now+wait, r.deadline-2*g.set.Resolution)
	g.asks[r.tag] = r
	g.asking = append(g.asking, r)
	g.do(SendPeerMessage{To: r.root, Data: encode(g.askOf(r))})
	g.do(SetTimer{Token: "ask", After: r.until - g.now})
}

// onAsk takes a member's request into the customer's counts as if it had come
// in here.
func (g *Gateway) onAsk(from int, m ask) {
	c := g.customers[m.Customer]
	fresh := c == nil
	if fresh {
		c = g.account(m.Customer, g.plans[g.set.Plans[m.Plan].Name], int(m.First), int(m.Spread))
	}
	// One that counts for a root it can't hear goes by what the root last told.
	if m.Fill != unknownStore && (fresh || len(c.ask) > 0) {
		c.store = min(c.store, float64(m.Fill)/250*c.plan.Burst)
	}
	if r, held := c.asked(from, m.Tag); r != nil || held {
		if r != nil {
			g.answer(r, granted) // the first answer was lost
		}
		return
	}
	g.advance(c)
	c.seen, c.sums = g.now, true
	c.rate += float64(m.Units) * 250 / float64(max(1, m.Thin))
	g.admit(g.requestOf(c, from, m))
}

// grant counts a member's request and tells it to go.
func (g *Gateway) grant(r *request) {
	c := r.c
	c.take(r)
	c.leases[lease{r.root, r.tag}] = leased{g.now + time.Duration(leaseAim*float64(r.cl.LatencyObjective)), r}
	c.count(g.now, 1)
	r.counted, r.over = true, true
	g.answer(r, granted)
}

func (g *Gateway) answer(r *request, v byte) {
	fill := small(250 * max(0, r.c.store) / max(1, r.c.plan.Burst))
	part := 1.0
	if r.c.store < retryReserve*r.c.plan.Burst {
		part = min(1, r.c.plan.Rate*demandSpan.Seconds()/max(r.c.rate, 1))
	}
	m := answer{r.tag, v, fill, small(100 * g.strain), small(250 * part)}
	g.do(SendPeerMessage{To: r.root, Data: encode(m)})
}

func (g *Gateway) onAnswer(from int, m answer) {
	r := g.asks[m.Tag]
	if r == nil || r.root != from || r.over {
		return
	}
	c := r.c
	if !r.waits {
		g.reply += time.Duration(learn * float64(g.now-r.askedAt-g.reply))
	}
	g.advance(c)
	g.heard += learn * (1 - g.heard)
	g.strain += strainOwn * (float64(m.Strain)/100 - g.strain)
	c.part, c.partAt = float64(m.Part)/250, g.now
	c.store, c.told = float64(m.Fill)/250*c.plan.Burst, g.ticks+1
	if m.Verdict == waits {
		longest := time.Duration(holdAim * float64(r.cl.LatencyObjective))
		r.waits, r.until = true, min(r.arrived+longest, r.deadline-g.tick)
		g.do(SetTimer{Token: "ask", After: max(g.set.Resolution, r.until-g.now)})
		return
	}
	delete(g.asks, m.Tag)
	if m.Verdict != granted {
		g.refuse(r, Reason(m.Verdict>>reasonShift))
		return
	}
	if r.granted = true; !g.within(r) {
		g.refuse(r, g.over(r))
	} else if !g.try(r) {
		g.hold(r)
	}
}

// Watching servers: in a large fleet each meets a server too seldom to judge
// it, so each server has a watcher among the gateways that is told outcomes
// and tells all its verdicts, by class.

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
	m := verdict{Server: uint32(s.ID), Bad: bad, Pace: small(16 * (4 + math.Log2(max(s.pace, 0.1))))}
	g.onVerdict(m)
	if g.tree {
		s.verdicts--
		g.do(SendPeerMessage{To: -1, Data: encode(m)})
	}
}
