// Package authz decides how the external authorisation service is asked: whether
// a request is put to it, by which of its addresses, how long it may take, how
// many Checks may be out, who waits and who goes first, when an address is left
// alone, and what stands in for an answer that does not come. It has no I/O:
// events in, actions out, time passed in, chance from a seed. The gRPC client is
// in authz/client. It is not safe for concurrent use.
package authz

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Mode says what a class wants of the authoriser.
type Mode int

// The modes.
const (
	Skip       Mode = iota // it is not asked
	FailClosed             // without an answer the request is refused
	FailOpen               // without an answer it passes
)

// Outcome is how a Check ended.
type Outcome int

// The verdicts.
const (
	Allowed Outcome = iota
	Denied
	TimedOut    // no answer within its budget
	Unreachable // the call failed
)

// Decision is what is to be done with a request.
type Decision int

// The steps.
const (
	Proceed           Decision = iota // give it to the module
	Deny                              // answer with the authoriser's denial
	RejectTimedOut                    // refuse: no answer in time
	RejectUnreachable                 // refuse: the authoriser can't be reached
	RejectOverQuota                   // refuse: its customer asks far beyond its quota
)

// Tuned values.
const (
	firstNeed   = 0.25 // of its aim that an attempt at the servers is guessed to need
	needLearn   = 0.05 // weight of an attempt in that
	needTimes   = 1.5  // an attempt is left so many times what it needs
	leastBudget = 2 * time.Millisecond

	floorLimit   = 4.0  // Checks out at an address at least
	startLimit   = 16.0 // and at first
	slowTimes    = 3.0  // an answer this much slower than the quickest shows a queue
	slowLeast    = 5 * time.Millisecond
	shrinkSlow   = 0.95 // the limit after a slow answer,
	shrinkFail   = 0.7  // and after none
	baseForget   = 0.01 // how fast the quickest answer is forgotten
	latencyLearn = 0.2

	openAfter   = 5                      // failures in a row, and no answer for two time-outs, leave an address alone
	openFirst   = 250 * time.Millisecond // for this long, doubled up to
	openMost    = 4 * time.Second
	closedAfter = 3 // trials in a row that end that

	mostTries   = 2    // Checks for one request, one at a time
	firstPart   = 0.5  // of the budget that the first of two may take
	mostWaiting = 4096 // requests waiting; more have no answer at once
	beyondRate  = 2.0  // a customer asks beyond its quota at this many times its plan's rate
	mostMemory  = 65536
)

// Class is what the decisions need to know of a class.
type Class struct {
	Mode             Mode
	LatencyObjective time.Duration
	PriorityWeight   float64       // of a request, against others
	CacheTTL         time.Duration // an answer stands in for so long where it states no life
}

// Plan bounds a customer's use.
type Plan struct{ Rate, Burst float64 }

// Settings is what a Decider is told at its start.
type Settings struct {
	Classes     map[string]Class
	Plans       map[string]Plan
	Addresses   int           // addresses of the service
	Timeout     time.Duration // most time one Check may take
	MaxInFlight int           // most Checks out at one address
	Seed        uint64
}

// Request is put to the decisions before the module hears of it.
type Request struct {
	ID        uint64
	Class     string
	Customer  string
	Plan      string
	Resource  string // what is asked for; with the customer, the name of an answer
	Remaining time.Duration
}

// CheckResult is how a Check ended.
type CheckResult struct {
	Outcome       Outcome
	Latency       time.Duration
	CacheTTL      time.Duration // stated by the authoriser for its answer; 0: not stated
	Payload       any           // the caller's, given back where the answer stands in
	ProcessPaused bool          // the caller's process stood still meanwhile: no answer says nothing of the address
}

// Action is something a Decider wants done.
type Action interface{ action() }

// SendCheck asks an address. Answered must follow, unless Cancel comes first.
type SendCheck struct {
	ID      uint64
	Attempt int
	Address int
	Timeout time.Duration
}

// CancelCheck ends a Check; nothing follows.
type CancelCheck struct{ ID uint64 }

// Resolve says what is to be done with a request. Kept is of an earlier answer,
// where that stands in.
type Resolve struct {
	ID            uint64
	Decision      Decision
	CachedPayload any
	FromFallback  bool // an earlier answer, or the class's default, stands in
}

// ScheduleTick asks for Tick after a time.
type ScheduleTick struct{ After time.Duration }

// OperatorNote is for the operators.
type OperatorNote struct {
	Address int
	Text    string
}

func (SendCheck) action()    {}
func (CancelCheck) action()  {}
func (Resolve) action()      {}
func (ScheduleTick) action() {}
func (OperatorNote) action() {}

type request struct {
	Request
	class  *class
	began  time.Time
	give   time.Time // without an answer by then, what stands in decides
	beyond bool
	tries  int
	target int // of the Check out; -1: it waits
	last   int
	queued bool
	failed bool // an address could not be reached
}

type class struct {
	Class
	need float64 // seconds an attempt takes
}

// target is one address.
type target struct {
	num      int
	out      int
	limit    float64
	base     float64 // seconds the quickest answers take
	latency  float64
	failures int       // in a row
	okAt     time.Time // its last answer
	open     time.Time
	wait     time.Duration
	trials   int // good ones while it is tried again; -1: it is not
	trying   bool
}

type memory struct {
	verdict Outcome
	until   time.Time
	kept    any
}

type bucket struct {
	level float64
	at    time.Time
}

// Decider decides for one node.
type Decider struct {
	set     Settings
	rng     *rand.Rand
	classes map[string]*class
	targets []*target
	reqs    map[uint64]*request
	waiting []*request
	memory  map[string]*memory
	buckets map[string]*bucket
	woken   time.Time // a Tick comes then
	acts    []Action
	now     time.Time
}

// New returns a Decider.
func New(s Settings) *Decider {
	d := &Decider{set: s, rng: rand.New(rand.NewPCG(s.Seed, 3)), classes: map[string]*class{}, reqs: map[uint64]*request{},
		memory: map[string]*memory{}, buckets: map[string]*bucket{}}
	for name, c := range s.Classes {
		d.classes[name] = &class{c, firstNeed * c.LatencyObjective.Seconds()}
	}
	for i := range s.Addresses {
		d.targets = append(d.targets, &target{num: i, limit: min(startLimit, float64(max(1, s.MaxInFlight))), trials: -1})
	}
	return d
}

// InFlight is the number of Checks out, Waiting of requests that wait for one.
func (d *Decider) InFlight() (n int) {
	for _, t := range d.targets {
		n += t.out
	}
	return n
}

// QueueLength is the number of requests that wait for a Check.
func (d *Decider) QueueLength() int { return len(d.waiting) }

func (d *Decider) do(a Action) { d.acts = append(d.acts, a) }

// StartRequest is told of a request.
func (d *Decider) StartRequest(now time.Time, r Request) []Action {
	d.now, d.acts = now, nil
	c := d.classes[r.Class]
	if c == nil || c.Mode == Skip {
		d.do(Resolve{ID: r.ID, Decision: Proceed})
		return d.acts
	}
	q := &request{Request: r, class: c, began: now, target: -1, last: -1}
	// What an attempt at the servers needs is left for it.
	budget := min(d.set.Timeout, r.Remaining-time.Duration(needTimes*c.need*float64(time.Second)))
	q.give = now.Add(budget)
	q.beyond = d.far(r)
	d.reqs[r.ID] = q
	switch {
	case budget < leastBudget:
		d.without(q)
	case q.beyond && len(d.waiting) > 0:
		// The authoriser is short: it is not for those who ask too much.
		d.settle(q, Resolve{Decision: RejectOverQuota})
	case len(d.waiting) >= mostWaiting:
		d.without(q)
	default:
		d.queue(q)
		d.start()
	}
	d.wake(q)
	return d.acts
}

// queue puts a request among those that wait: inside their quotas first, by
// worth, those that can't do without an answer, the oldest first.
func (d *Decider) queue(q *request) {
	i, _ := slices.BinarySearchFunc(d.waiting, q, func(a, b *request) int {
		if a.beyond != b.beyond {
			if a.beyond {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.class.PriorityWeight, a.class.PriorityWeight), cmp.Compare(a.class.Mode, b.class.Mode), a.began.Compare(b.began), cmp.Compare(a.ID, b.ID))
	})
	d.waiting = slices.Insert(d.waiting, i, q)
	q.queued = true
}

// leave takes a request out of those that wait.
func (d *Decider) leave(q *request) {
	if i := slices.Index(d.waiting, q); q.queued && i >= 0 {
		d.waiting = slices.Delete(d.waiting, i, i+1)
	}
	q.queued = false
}

// far tells whether a customer asks far beyond its plan's rate.
func (d *Decider) far(r Request) bool {
	p := d.set.Plans[r.Plan]
	if p.Rate <= 0 {
		return false
	}
	most := max(1, p.Burst)
	b := d.buckets[r.Customer]
	if b == nil {
		b = &bucket{most, d.now}
		d.buckets[r.Customer] = b
	}
	b.level = min(most, b.level+beyondRate*p.Rate*d.now.Sub(b.at).Seconds())
	b.at = d.now
	if b.level < 1 {
		return true
	}
	b.level--
	return false
}

// start sends Checks for those that wait, as far as the addresses may be asked.
func (d *Decider) start() {
	for len(d.waiting) > 0 {
		q := d.waiting[0]
		t := d.pick(q)
		if t == nil {
			if d.closed() { // no address is to be asked: nobody waits for nothing
				all := d.waiting
				d.waiting = nil
				for _, q := range all {
					q.queued, q.failed = false, true
					d.without(q)
				}
			}
			return
		}
		d.waiting, q.queued = slices.Delete(d.waiting, 0, 1), false
		budget := q.give.Sub(d.now)
		if budget < leastBudget {
			d.without(q)
			continue
		}
		// While another address answers well, a first Check leaves time for one there.
		if q.tries == 0 && d.spare(t) {
			budget = time.Duration(firstPart * float64(budget))
		}
		q.tries++
		q.target, q.last = t.num, t.num
		t.out++
		if t.trials >= 0 {
			t.trying = true
		}
		d.do(SendCheck{ID: q.ID, Attempt: q.tries - 1, Address: t.num, Timeout: budget})
	}
}

// closed tells whether all addresses are left alone.
func (d *Decider) closed() bool {
	return !slices.ContainsFunc(d.targets, func(t *target) bool { return !d.now.Before(t.open) })
}

// spare tells whether an address other than one answers well.
func (d *Decider) spare(but *target) bool {
	return slices.ContainsFunc(d.targets, func(t *target) bool {
		return t != but && !d.now.Before(t.open) && t.failures == 0 && t.trials < 0
	})
}

// pick chooses an address that may take one more: the one expected to answer
// first. One tried again takes one at a time.
func (d *Decider) pick(q *request) *target {
	var best *target
	low := 0.0
	for _, t := range d.targets {
		if d.now.Before(t.open) || t.trying || float64(t.out) >= max(1, t.limit) || t.num == q.last && len(d.targets) > 1 {
			continue
		}
		score := (t.latency + 1e-4) * float64(1+t.out) * (1 + float64(t.failures)) * (0.9 + 0.2*d.rng.Float64())
		if best == nil || score < low {
			best, low = t, score
		}
	}
	return best
}

// FinishCheck is told how a Check ended.
func (d *Decider) FinishCheck(now time.Time, id uint64, try int, a CheckResult) []Action {
	d.now, d.acts = now, nil
	q := d.reqs[id]
	if q == nil || q.target < 0 || try != q.tries-1 {
		return nil
	}
	t := d.targets[q.target]
	d.release(q)
	d.learn(t, a)
	switch a.Outcome {
	case Allowed, Denied:
		if life := cmp.Or(a.CacheTTL, q.class.CacheTTL); life > 0 {
			d.remember(q, a, life)
		}
		step := Proceed
		if a.Outcome == Denied {
			step = Deny
		}
		d.settle(q, Resolve{Decision: step})
	default:
		q.failed = q.failed || a.Outcome == Unreachable
		// One that failed may be asked again elsewhere: a Check has no effect.
		if q.tries < mostTries && q.give.Sub(now) >= leastBudget && d.spare(t) {
			d.queue(q)
		} else {
			d.without(q)
		}
	}
	d.start()
	d.wake(nil)
	return d.acts
}

// release takes a request's Check off its address.
func (d *Decider) release(q *request) {
	t := d.targets[q.target]
	t.out--
	q.target = -1
}

// learn moves an address's limit by its answers: up by one for each limit's worth
// of quick ones, down when they slow against the quickest or don't come.
func (d *Decider) learn(t *target, a CheckResult) {
	good := a.Outcome == Allowed || a.Outcome == Denied
	trial := t.trying
	t.trying = false
	if !good && a.ProcessPaused {
		return
	}
	if !good {
		t.failures++
		t.limit = max(floorLimit, t.limit*shrinkFail)
		if quiet := d.now.Sub(t.okAt) > 2*d.set.Timeout; trial || t.failures >= openAfter && quiet {
			if t.trials < 0 {
				d.do(OperatorNote{t.num, "authoriser left alone after failures in a row"})
			}
			t.wait = min(openMost, max(openFirst, 2*t.wait))
			t.open = d.now.Add(time.Duration((0.8 + 0.4*d.rng.Float64()) * float64(t.wait)))
			t.trials, t.failures = 0, 0
		}
		return
	}
	lat := a.Latency.Seconds()
	t.failures, t.okAt = 0, d.now
	t.latency += latencyLearn * (lat - t.latency)
	if t.base == 0 || lat < t.base {
		t.base = lat
	}
	t.base += baseForget * (lat - t.base)
	if lat > max(slowTimes*t.base, t.base+slowLeast.Seconds()) {
		t.limit = max(floorLimit, t.limit*shrinkSlow)
	} else if float64(t.out) >= t.limit/2 {
		t.limit = min(float64(d.set.MaxInFlight), t.limit+1/t.limit)
	}
	if t.trials >= 0 {
		if t.trials++; t.trials >= closedAfter {
			t.trials, t.wait = -1, 0
			t.limit = floorLimit // it grows from there: no flood
			d.do(OperatorNote{t.num, "authoriser answers again"})
		}
	}
}

func (r Request) key() string { return r.Customer + "\x00" + r.Class + "\x00" + r.Resource }

func (d *Decider) remember(q *request, a CheckResult, life time.Duration) {
	if len(d.memory) >= mostMemory {
		for k, m := range d.memory { // any that is over, else any
			if delete(d.memory, k); m.until.Before(d.now) || len(d.memory) < mostMemory {
				break
			}
		}
	}
	d.memory[q.key()] = &memory{verdict: a.Outcome, until: d.now.Add(life), kept: a.Payload}
}

// without decides on a request that has no answer: a recent one stands in, else
// the class's default.
func (d *Decider) without(q *request) {
	d.leave(q)
	if m := d.memory[q.key()]; m != nil && d.now.Before(m.until) {
		step := Proceed
		if m.verdict == Denied {
			step = Deny
		}
		d.settle(q, Resolve{Decision: step, CachedPayload: m.kept, FromFallback: true})
		return
	}
	switch {
	case q.class.Mode == FailOpen:
		d.settle(q, Resolve{Decision: Proceed, FromFallback: true})
	case q.failed:
		d.settle(q, Resolve{Decision: RejectUnreachable})
	default:
		d.settle(q, Resolve{Decision: RejectTimedOut})
	}
}

func (d *Decider) settle(q *request, s Resolve) {
	s.ID = q.ID
	delete(d.reqs, q.ID)
	d.do(s)
}

// CancelRequest is told that a request needs no decision any more.
func (d *Decider) CancelRequest(now time.Time, id uint64) []Action {
	d.now, d.acts = now, nil
	q := d.reqs[id]
	if q == nil {
		return nil
	}
	delete(d.reqs, id)
	if q.target >= 0 {
		t := d.targets[q.target]
		t.trying = false
		d.release(q)
		d.do(CancelCheck{id})
	}
	d.leave(q)
	d.start()
	d.wake(nil)
	return d.acts
}

// Tick is to be called when Wake asked for it: those out of time have no answer.
func (d *Decider) Tick(now time.Time) []Action {
	d.now, d.acts = now, nil
	if !now.Before(d.woken) {
		d.woken = time.Time{}
	}
	var over []*request
	d.waiting = slices.DeleteFunc(d.waiting, func(q *request) bool {
		late := q.give.Sub(now) < leastBudget
		if late {
			q.queued = false
			over = append(over, q)
		}
		return late
	})
	for _, q := range over {
		d.without(q)
	}
	d.start()
	d.wake(nil)
	return d.acts
}

// wake asks for a Tick when the first that waits is out of time, or an address
// may be tried again.
func (d *Decider) wake(added *request) {
	if len(d.waiting) == 0 || !d.woken.IsZero() && (added == nil || !added.give.Before(d.woken)) {
		return
	}
	next := d.waiting[0].give
	for _, q := range d.waiting {
		if q.give.Before(next) {
			next = q.give
		}
	}
	next = next.Add(-leastBudget)
	for _, t := range d.targets {
		if d.now.Before(t.open) && t.open.Before(next) {
			next = t.open
		}
	}
	if d.woken.IsZero() || next.Before(d.woken) {
		d.woken = next
		d.do(ScheduleTick{max(0, next.Sub(d.now)) + time.Millisecond})
	}
}

// RecordLatency teaches how long an attempt of a class takes at the servers.
func (d *Decider) RecordLatency(class string, latency time.Duration) {
	if c := d.classes[class]; c != nil {
		c.need += needLearn * (min(latency.Seconds(), c.LatencyObjective.Seconds()) - c.need)
	}
}

// RemoveExpired drops what is over; it is to be called now and then.
func (d *Decider) RemoveExpired(now time.Time) {
	for k, m := range d.memory {
		if m.until.Before(now) {
			delete(d.memory, k)
		}
	}
	for k, b := range d.buckets {
		if now.Sub(b.at) > time.Minute {
			delete(d.buckets, k)
		}
	}
}
