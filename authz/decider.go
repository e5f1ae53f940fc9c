package authz

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	// maxAttempts is the maximum number of checks of one request.
	maxAttempts = 2
	// tickSlack is added to the delay of a tick, so that the tick does not come too early.
	tickSlack = time.Millisecond
	// rngStream makes the random numbers differ from those of other components with the same seed.
	rngStream = 3
)

// Decider makes the decisions of one gateway. The methods that handle events return the
// resulting actions, which are valid until the next call. The times passed to them must not
// decrease. The methods do not block and are not safe for concurrent use.
type Decider struct {
	settings  Settings
	rng       *rand.Rand
	classes   map[string]*classState
	addresses []*address
	requests  map[uint64]*pendingRequest
	queue     requestQueue
	cache     *resultCache
	quota     *quotaEstimator
	tickAt    time.Time // time of the scheduled tick; zero if none is scheduled

	// These belong to the event being handled.
	now     time.Time
	actions []Action
}

// New returns a Decider without requests. It keeps references to the maps in the settings.
func New(s Settings) *Decider {
	d := &Decider{
		settings: s,
		rng:      rand.New(rand.NewPCG(s.Seed, rngStream)),
		classes:  map[string]*classState{},
		requests: map[uint64]*pendingRequest{},
		cache:    newResultCache(),
		quota:    newQuotaEstimator(s.Plans),
	}
	for name, c := range s.Classes {
		d.classes[name] = newClassState(c)
	}
	for i := range s.Addresses {
		d.addresses = append(d.addresses, newAddress(i, s.MaxInFlight))
	}
	return d
}

// InFlight returns the number of checks in flight at all addresses.
func (d *Decider) InFlight() int {
	sum := 0
	for _, a := range d.addresses {
		sum += a.inFlight
	}
	return sum
}

// QueueLength returns the number of requests that wait for a check.
func (d *Decider) QueueLength() int { return d.queue.len() }

// StartRequest handles a new request. This or a later call returns one [Resolve] for it, unless
// [Decider.CancelRequest] is called first.
func (d *Decider) StartRequest(now time.Time, request Request) []Action {
	d.beginEvent(now)
	class := d.classes[request.Class]
	if class == nil || class.Mode == Skip {
		d.emit(Resolve{ID: request.ID, Decision: Proceed})
		return d.actions
	}
	checkTime := class.checkTime(request.Remaining, d.settings.Timeout)
	r := &pendingRequest{
		Request:     request,
		class:       class,
		startedAt:   now,
		deadline:    now.Add(checkTime),
		overQuota:   d.quota.take(now, request.Customer, request.Plan, request.Units),
		address:     noAddress,
		lastAddress: noAddress,
	}
	d.requests[r.ID] = r
	switch {
	case checkTime < minCheckTimeout:
		d.resolveByFallback(r)
	case r.overQuota && d.queue.len() > 0:
		// A queue means that the service lacks capacity. It is reserved for customers within their quota.
		d.resolve(r, Resolve{Decision: RejectOverQuota})
	case d.queue.len() >= maxQueueLength:
		d.resolveByFallback(r)
	default:
		d.queue.push(r)
		d.sendChecks()
	}
	if d.tickAt.IsZero() || r.deadline.Before(d.tickAt) {
		d.scheduleTick()
	}
	return d.actions
}

// FinishCheck handles the result of a check. The result of an attempt that is not in flight is
// ignored.
func (d *Decider) FinishCheck(now time.Time, id uint64, attempt int, result CheckResult) []Action {
	d.beginEvent(now)
	r := d.requests[id]
	if r == nil || !r.inFlight() || attempt != r.attempts-1 {
		return nil
	}
	checkedAddress := d.addresses[r.address]
	r.address = noAddress
	d.reportBreakerChange(checkedAddress, checkedAddress.checkEnded(now, r.isProbe, result, d.settings.Timeout, d.rng))
	if result.Outcome.hasResult() {
		if ttl := cmp.Or(result.CacheTTL, r.class.CacheTTL); ttl > 0 {
			d.cache.put(now, r.cacheKey(), result, ttl)
		}
		d.resolveByResult(r, result.Outcome)
	} else {
		r.unreachable = r.unreachable || result.Outcome == Unreachable
		d.retryOrFallBack(r, checkedAddress)
	}
	d.endEvent()
	return d.actions
}

// CancelRequest drops a request that no longer needs a decision. The only action returned for
// it is [CancelCheck], if a check is in flight.
func (d *Decider) CancelRequest(now time.Time, id uint64) []Action {
	d.beginEvent(now)
	r := d.requests[id]
	if r == nil {
		return nil
	}
	delete(d.requests, id)
	if r.inFlight() {
		d.addresses[r.address].checkCanceled(r.isProbe)
		r.address = noAddress
		d.emit(CancelCheck{ID: id})
	}
	d.queue.remove(r)
	d.endEvent()
	return d.actions
}

// Tick must be called at the time given by [ScheduleTick]. It resolves the requests that have
// waited too long for a check, and sends probes to addresses whose breakers became half-open.
func (d *Decider) Tick(now time.Time) []Action {
	d.beginEvent(now)
	if !now.Before(d.tickAt) {
		d.tickAt = time.Time{}
	}
	for _, r := range d.queue.removeLate(now) {
		d.resolveByFallback(r)
	}
	d.endEvent()
	return d.actions
}

// RecordLatency records how long a successful attempt of a class took at the servers.
func (d *Decider) RecordLatency(class string, latency time.Duration) {
	if c := d.classes[class]; c != nil {
		c.recordLatency(latency)
	}
}

// RemoveExpired frees the memory of expired results and of idle customers. It should be called
// periodically; decisions do not depend on it.
func (d *Decider) RemoveExpired(now time.Time) {
	d.cache.removeExpired(now)
	d.quota.removeIdle(now)
}

func (d *Decider) beginEvent(now time.Time) {
	d.now = now
	d.actions = nil
}

// endEvent sends checks with the capacity that an event has freed, and schedules the next tick.
func (d *Decider) endEvent() {
	d.sendChecks()
	if d.tickAt.IsZero() {
		d.scheduleTick()
	}
}

func (d *Decider) emit(a Action) { d.actions = append(d.actions, a) }

// retryOrFallBack handles a request whose check gave no result. It queues the request for a
// retry if another address is healthy and enough time is left, and otherwise resolves it.
func (d *Decider) retryOrFallBack(r *pendingRequest, checkedAddress *address) {
	if r.attempts < maxAttempts && r.timeLeft(d.now) >= minCheckTimeout && d.hasOtherHealthyAddress(checkedAddress) {
		d.queue.push(r)
	} else {
		d.resolveByFallback(r)
	}
}

// sendChecks sends checks for queued requests as long as an address accepts them.
func (d *Decider) sendChecks() {
	for r := d.queue.first(); r != nil; r = d.queue.first() {
		a := d.pickAddress(r)
		if a == nil {
			if d.allBreakersOpen() {
				d.resolveUnreachable()
			}
			return
		}
		d.queue.remove(r)
		if r.timeLeft(d.now) < minCheckTimeout {
			d.resolveByFallback(r)
			continue
		}
		d.sendCheck(r, a)
	}
}

func (d *Decider) sendCheck(r *pendingRequest, a *address) {
	timeout := r.timeLeft(d.now)
	if r.attempts == 0 && d.hasOtherHealthyAddress(a) {
		timeout = time.Duration(firstCheckShare * float64(timeout))
	}
	attempt := r.attempts
	r.attempts++
	r.address = a.index
	r.lastAddress = a.index
	r.isProbe = a.checkSent()
	d.emit(SendCheck{ID: r.ID, Attempt: attempt, Address: a.index, Timeout: timeout})
}

// resolveUnreachable resolves all queued requests. It is used when the breakers of all addresses
// are open, since waiting would not help then.
func (d *Decider) resolveUnreachable() {
	for _, r := range d.queue.removeAll() {
		r.unreachable = true
		d.resolveByFallback(r)
	}
}

func (d *Decider) reportBreakerChange(a *address, change breakerChange) {
	switch change {
	case breakerOpened:
		d.emit(LogWarning{Address: a.index, Text: "authorization address failed repeatedly; circuit breaker opened"})
	case breakerClosed:
		d.emit(LogWarning{Address: a.index, Text: "authorization address recovered; circuit breaker closed"})
	}
}

// scheduleTick schedules a tick for the time at which the first queued request runs out of time
// or an open breaker becomes half-open, unless an earlier tick is already scheduled.
func (d *Decider) scheduleTick() {
	if d.queue.len() == 0 {
		return
	}
	next := d.queue.earliestDeadline().Add(-minCheckTimeout)
	for _, a := range d.addresses {
		if a.breaker.open(d.now) && a.breaker.openUntil.Before(next) {
			next = a.breaker.openUntil
		}
	}
	if !d.tickAt.IsZero() && !next.Before(d.tickAt) {
		return
	}
	d.tickAt = next
	d.emit(ScheduleTick{After: max(0, next.Sub(d.now)) + tickSlack})
}
