package policy

import (
	"math"
	"time"
)

// In leader mode a gateway that does not keep a customer's buckets requests a lease from the customer's
// leader for each request. lease_grant.go is the leader's side.

const (
	// leaderAttempts is the number of lease requests to the leader before the standby leader gets one.
	leaderAttempts = 2

	// minResponseWait is the least time for which a lease response is awaited.
	minResponseWait = 30 * time.Millisecond

	// responseWaitFactor is that time in mean response times.
	responseWaitFactor = 2.5

	// unansweredPower shapes the chance of a request that no leader answers: it is admitted with the
	// response rate to this power, and after the first lease request also with one minus the response
	// rate to it.
	unansweredPower = 4.0

	// minResponseRate is the share of answered lease requests below which this gateway is isolated.
	minResponseRate = 0.5

	// admittedShareTTL is the time in which a leader's word of what share fits is forgotten.
	admittedShareTTL = 20 * time.Second
)

// leaseClient is the state of the lease requests of this gateway.
type leaseClient struct {
	pending          map[uint32]*request // by tag
	waiting          []*request          // in order of request; answered ones leave at the next timer
	lastTag          uint32
	responseRate     float64 // average share of requests that are answered
	meanResponseTime time.Duration
}

func newLeaseClient(firstTag uint32) leaseClient {
	return leaseClient{
		pending:          map[uint32]*request{},
		lastTag:          firstTag,
		responseRate:     1,
		meanResponseTime: minResponseWait,
	}
}

// partitionChance is the chance that this gateway is cut off from the leaders rather than the leaders
// being flooded: near 1 when none answers, near 0 when half do.
func (l *leaseClient) partitionChance() float64 { return math.Pow(1-l.responseRate, unansweredPower) }

func (l *leaseClient) recordUnanswered() { l.responseRate -= learningWeight * l.responseRate }

func (l *leaseClient) recordResponse() { l.responseRate += learningWeight * (1 - l.responseRate) }

func (l *leaseClient) recordResponseTime(d time.Duration) {
	l.meanResponseTime += time.Duration(learningWeight * float64(d-l.meanResponseTime))
}

// responseWait is the time for which a response is awaited.
func (l *leaseClient) responseWait() time.Duration {
	return max(minResponseWait, time.Duration(responseWaitFactor*float64(l.meanResponseTime)))
}

// leaseChance is the chance with which a lease is requested at all. Of a customer far above its quota
// only the share that fits is requested: its leader could not receive more.
func (g *Gateway) leaseChance(c *customer) float64 {
	if c.plan.Rate <= 0 || c.lastExchangeTick == 0 {
		return 1
	}
	return min(1, c.admittedShare+(g.now-c.admittedShareAt).Seconds()/admittedShareTTL.Seconds())
}

// requestLease requests a lease from the customer's leader, again when there is no response in time, and
// then from the standby leader. Without any response admitWithoutLease decides.
func (g *Gateway) requestLease(r *request) {
	c := r.customer
	delete(g.leases.pending, r.lease.key.tag)
	if len(c.leaders) == 0 { // the buckets have moved here
		g.admit(r)
		return
	}
	partitionChance := g.leases.partitionChance()
	tooLate := r.lease.requests > leaderAttempts || g.now+g.timerMargin() >= r.deadline
	if tooLate || r.lease.requests > 0 && g.rng.Float64() < partitionChance {
		g.admitWithoutLease(r, partitionChance)
		return
	}
	leader := c.leaders[0]
	if r.lease.requests == leaderAttempts {
		leader = c.leaders[1]
	}
	if leader == g.settings.SelfIndex {
		g.admit(r)
		return
	}
	g.sendLeaseRequest(r, leader)
}

// sendLeaseRequest sends a lease request and sets the timer for its response.
func (g *Gateway) sendLeaseRequest(r *request, leader int) {
	l := &r.lease
	sameAgain := l.requests == 1 && l.key.gateway == leader
	if !sameAgain { // with another tag a leader would grant twice
		g.leases.lastTag++
		l.key.tag = g.leases.lastTag
	}
	if l.requests > 0 {
		g.leases.recordUnanswered()
	}
	l.key.gateway = leader
	l.requestedAt = g.now
	l.requests++
	l.waitUntil = min(g.now+g.leases.responseWait(), r.deadline-g.timerMargin())
	g.leases.pending[l.key.tag] = r
	g.leases.waiting = append(g.leases.waiting, r)
	g.do(SendPeerMessage{To: leader, Data: g.newLeaseRequest(r).encode()})
	g.do(SetTimer{Token: leaseTimer, After: l.waitUntil - g.now})
}

func (g *Gateway) newLeaseRequest(r *request) leaseRequest {
	c := r.customer
	m := leaseRequest{
		Customer:      c.key,
		FirstGateway:  uint16(c.firstGateway),
		GatewaySpread: uint16(min(c.requestedSpread, math.MaxUint16)),
		Plan:          c.plan.index,
		Class:         byte(r.class.index),
		Units:         uint16(r.units),
		RemainingMS:   milliseconds(r.deadline - g.now),
		Tag:           r.lease.key.tag,
		Chance:        encodeShare(r.lease.chance),
		Fill:          unknownFill,
		ClientRetry:   r.clientRetry,
	}
	if c.lastExchangeTick > 0 {
		m.Fill = c.fillByte()
	}
	return m
}

// admitWithoutLease decides on a request that no leader answers, by the last fill heard. When many
// messages are lost the leaders are flooded, and few requests may be admitted unheard. When all are lost
// this gateway is isolated, and lost leaders must not stop customers far below their quotas.
func (g *Gateway) admitWithoutLease(r *request, partitionChance float64) {
	if r.lease.queuedAtLeader {
		g.reject(r, ReasonInFlightLimit)
		return
	}
	if !g.mayAdmitWithoutLease(r, partitionChance) || !g.startAttempt(r) {
		g.reject(r, ReasonNoQuotaLeader)
	}
}

func (g *Gateway) mayAdmitWithoutLease(r *request, partitionChance float64) bool {
	if g.now >= r.deadline {
		return false
	}
	c := r.customer
	chance := math.Pow(g.leases.responseRate, unansweredPower) + partitionChance
	if c.externalLevelAt > 0 && g.now-c.externalLevelAt < externalLevelTTL {
		chance = 1
	}
	if g.rng.Float64() > chance {
		return false
	}
	return c.plan.HardRate <= 0 && g.withinQuota(r) // a ceiling is the leader's alone
}

// handleLeaseTimer requests again, elsewhere, the leases that had no response in time.
func (g *Gateway) handleLeaseTimer() {
	waiting := g.leases.waiting
	g.leases.waiting = nil
	for _, r := range waiting {
		answered := r.done || r.lease.granted || g.leases.pending[r.lease.key.tag] != r
		switch {
		case answered:
		case g.now+g.settings.Resolution <= r.lease.waitUntil: // the timer may be early by its resolution
			g.leases.waiting = append(g.leases.waiting, r)
		case r.lease.queuedAtLeader:
			g.reject(r, ReasonInFlightLimit)
		default:
			g.requestLease(r)
		}
	}
}

func (g *Gateway) handleLeaseResponse(from int, m leaseResponse) {
	r := g.leases.pending[m.Tag]
	if r == nil || r.lease.key.gateway != from || r.done {
		return
	}
	g.learnFromLeader(r, m)
	if m.Decision == leaseQueued {
		r.lease.queuedAtLeader = true
		r.lease.waitUntil = min(r.arrivedAt+r.class.queueTime(), r.deadline-g.tick.interval)
		after := max(g.settings.Resolution, r.lease.waitUntil-g.now)
		g.do(SetTimer{Token: leaseTimer, After: after})
		return
	}
	delete(g.leases.pending, m.Tag)
	if m.Decision != leaseGranted {
		g.reject(r, Reason(m.Decision>>reasonShift))
		return
	}
	r.lease.granted = true
	switch {
	case !g.withinQuota(r):
		g.reject(r, g.quotaRejection(r))
	case !g.startAttempt(r):
		g.enqueue(r)
	}
}

// learnFromLeader takes over what a lease response reports beyond its decision.
func (g *Gateway) learnFromLeader(r *request, m leaseResponse) {
	if !r.lease.queuedAtLeader {
		g.leases.recordResponseTime(g.now - r.lease.requestedAt)
	}
	c := r.customer
	g.refill(c)
	g.leases.recordResponse()
	g.shedder.observe(float64(m.Overload) / overloadScale)
	c.admittedShare = decodeShare(m.AdmittedShare)
	c.admittedShareAt = g.now
	c.tokens = decodeFill(m.Fill, c.plan.Burst)
	c.lastExchangeTick = g.tick.count + 1
}

// returnLease notifies the leader that a granted lease is over. A used one matters only where attempts in
// flight are capped; the others expire.
func (g *Gateway) returnLease(r *request) {
	unused := !r.charged
	isCapped := r.customer.plan.MaxInFlight > 0
	if !r.lease.granted || !isCapped && !unused {
		return
	}
	r.lease.granted = false
	m := leaseReturn{Customer: r.customer.key, Tag: r.lease.key.tag, Unused: unused}
	g.do(SendPeerMessage{To: r.lease.key.gateway, Data: m.encode()})
}
