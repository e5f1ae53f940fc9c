package policy

import (
	"math"
	"time"
)

// In leader mode a gateway that does not keep a customer's buckets requests a lease from the customer's
// leader for each request. lease_grant.go implements the leader's side.

const (
	// leaderAttempts is the number of lease requests to the leader before one is sent to the standby leader.
	leaderAttempts = 2

	// minResponseWait is the minimum time for which a lease response is awaited.
	minResponseWait = 30 * time.Millisecond

	// responseWaitFactor is the time for which a lease response is awaited, in mean response times.
	responseWaitFactor = 2.5

	// unansweredPower is the exponent in the chance p^4 + (1-p)^4 with which a request that no leader answers
	// is admitted, p being the response rate. The chance is near 1 when nearly all lease requests are
	// answered (a message was lost) or nearly none (a network partition), and least, 1/8, when half are: then
	// the leaders are overloaded, and gateways that admit requests without them would exceed the quota.
	unansweredPower = 4.0

	// minResponseRate is the response rate below which the leaders count as unresponsive.
	minResponseRate = 0.5

	// admittedShareRecoveryTime is the time in which an admitted share of 0, as a leader reported it, rises
	// to 1 without a new report.
	admittedShareRecoveryTime = 20 * time.Second
)

// leaseClient is the state of the lease requests of this gateway, over all leaders.
type leaseClient struct {
	pending          map[uint32]*request // by tag
	waiting          []*request          // in order of request; answered ones are removed at the next timer
	lastTag          uint32
	responseRate     float64       // weighted average share of lease requests that are answered
	meanResponseTime time.Duration // weighted average
}

func newLeaseClient(firstTag uint32) leaseClient {
	return leaseClient{
		pending:          map[uint32]*request{},
		lastTag:          firstTag,
		responseRate:     1,
		meanResponseTime: minResponseWait,
	}
}

// leadersUnresponsive reports whether fewer than minResponseRate of the lease requests are answered.
func (l *leaseClient) leadersUnresponsive() bool { return l.responseRate < minResponseRate }

// partitionChance returns the probability with which this gateway acts as if it were partitioned from the
// leaders, rather than the leaders being overloaded: 1 when no lease request is answered, 1/16 when half are.
func (l *leaseClient) partitionChance() float64 { return math.Pow(1-l.responseRate, unansweredPower) }

func (l *leaseClient) recordUnanswered() { l.responseRate -= learningWeight * l.responseRate }

func (l *leaseClient) recordResponse() { l.responseRate += learningWeight * (1 - l.responseRate) }

func (l *leaseClient) recordResponseTime(d time.Duration) {
	l.meanResponseTime += time.Duration(learningWeight * float64(d-l.meanResponseTime))
}

// responseWait returns the time for which a response is awaited.
func (l *leaseClient) responseWait() time.Duration {
	return max(minResponseWait, time.Duration(responseWaitFactor*float64(l.meanResponseTime)))
}

// leaseChance returns the probability with which a lease is requested at all. For a customer far above its
// quota only the admitted share is requested, since its leader could not receive all requests.
func (g *Gateway) leaseChance(c *customer) float64 {
	if c.plan.Rate <= 0 || c.lastExchangeTick == 0 {
		return 1
	}
	return min(1, c.admittedShare+(g.now-c.admittedShareAt).Seconds()/admittedShareRecoveryTime.Seconds())
}

// requestLease sends the next lease request for a request: up to leaderAttempts to the customer's leader,
// then one to the standby leader. Instead it calls admitWithoutLease if none of these had a response, if
// the deadline is near, or, after the first lease request, with the probability partitionChance.
func (g *Gateway) requestLease(r *request) {
	c := r.customer
	delete(g.leases.pending, r.lease.key.tag)
	if c.keepsBuckets() { // the fleet was resized after the last lease request
		g.admit(r)
		return
	}
	if r.units > maxLeaseUnits {
		g.reject(r, ReasonQuotaExceeded)
		return
	}
	partitionChance := g.leases.partitionChance()
	mustGiveUp := r.lease.requests > leaderAttempts || g.now+g.timerMargin() >= r.deadline
	if mustGiveUp || r.lease.requests > 0 && g.rng.Float64() < partitionChance {
		g.admitWithoutLease(r, partitionChance)
		return
	}
	leader := c.leaders.leader
	if r.lease.requests == leaderAttempts {
		leader = c.leaders.standby
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
	isRepeat := l.requests == 1 && l.key.gateway == leader
	if !isRepeat { // a repeat keeps its tag: with a new one the leader would grant and charge twice
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
	g.emit(SendPeerMessage{To: leader, Data: g.newLeaseRequest(r).encode()})
	g.emit(SetTimer{Token: leaseTimer, After: l.waitUntil - g.now})
}

func (g *Gateway) newLeaseRequest(r *request) leaseRequest {
	c := r.customer
	m := leaseRequest{
		Customer:      c.key,
		FirstGateway:  uint16(c.firstGateway),
		GatewaySpread: uint16(min(c.requestedSpread, math.MaxUint16)),
		Plan:          c.plan.index,
		Class:         byte(r.class.index),
		Units:         r.units,
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

// admitWithoutLease decides on a request without a response from a leader, by this gateway's own estimate of
// the bucket. It rejects it with ReasonNoQuotaLeader if the random draw failed (see unansweredPower), or if
// the customer has a hard ceiling, under which only leaders may admit requests.
func (g *Gateway) admitWithoutLease(r *request, partitionChance float64) {
	switch {
	case g.now >= r.deadline:
		g.reject(r, ReasonNoTime)
	case !g.drawsAdmission(r.customer, partitionChance) || r.customer.plan.HardRate > 0:
		g.reject(r, ReasonNoQuotaLeader)
	case !g.withinQuota(r):
		g.reject(r, g.quotaRejection(r))
	case !g.startAttempt(r):
		g.reject(r, ReasonNoServer)
	}
}

// drawsAdmission decides at random whether a request of a customer may be admitted without a lease. With a
// recent external usage level it always may.
func (g *Gateway) drawsAdmission(c *customer, partitionChance float64) bool {
	chance := math.Pow(g.leases.responseRate, unansweredPower) + partitionChance
	if c.externalLevelAt > 0 && g.now-c.externalLevelAt < externalLevelTTL {
		chance = 1
	}
	return g.rng.Float64() <= chance
}

// handleLeaseTimer repeats the lease requests that had no response in time. A request that the leader queued
// is rejected with ReasonInFlightLimit when the wait is over: the cap was reached for too long, or the leader
// stopped responding; this gateway cannot distinguish the two.
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

// handleLeaseResponse carries out a leader's decision on a lease request. It ignores a response from a
// gateway other than the one that was sent the request, or to a lease request that is not pending.
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
		g.emit(SetTimer{Token: leaseTimer, After: after})
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

// learnFromLeader updates the averages and the customer's estimates from the values that a lease response
// reports besides its decision.
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

// returnLease notifies the leader that a granted lease has ended. A lease that was used is returned only if
// the customer's attempts in flight are capped; otherwise it expires at the leader.
func (g *Gateway) returnLease(r *request) {
	unused := !r.charged
	isCapped := r.customer.plan.MaxInFlight > 0
	if !r.lease.granted || !isCapped && !unused {
		return
	}
	r.lease.granted = false
	m := leaseReturn{Customer: r.customer.key, Tag: r.lease.key.tag, Unused: unused}
	g.emit(SendPeerMessage{To: r.lease.key.gateway, Data: m.encode()})
}
