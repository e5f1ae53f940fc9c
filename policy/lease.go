package policy

import (
	"math"
	"slices"
	"time"
)

const (
	leaderAttempts     = 2                     // times a root is asked before its deputy is
	minResponseWait    = 30 * time.Millisecond // an answer is waited for this long at least
	responseWaitFactor = 2.5                   // and for this many mean times
	// what no root answers passes with this power of the share answered
	unansweredPower  = 4.0
	minResponseRate  = 0.5              // with fewer asks answered another witness is heeded
	admittedShareTTL = 20 * time.Second // a root's word of what part fits is heeded so long
	// an attempt not told of as ended counts for this part of its aim
	leaseObjectives = 1.0
)

// leaseKey names a request that another gateway asked for.
type leaseKey struct {
	gateway int
	tag     uint32
}

type lease struct {
	expiresAt time.Duration
	request   *request
}

// requestLease sends a request to the customer's root, again if that or the answer is
// lost, and then to the deputy. No answer from either leaves it to the last
// fill heard, but under a ceiling: lost roots must not stop customers far below
// their quotas.
func (g *Gateway) requestLease(r *request) {
	c := r.customer
	if len(c.leaders) == 0 { // its counts have moved here
		delete(g.pendingLeases, r.leaseTag)
		g.admit(r)
		return
	}
	cut := math.Pow(1-g.responseRate, unansweredPower)
	late := r.leaseAttempts > leaderAttempts || g.now+2*g.settings.Resolution >= r.deadline
	if delete(g.pendingLeases, r.leaseTag); late || r.leaseAttempts > 0 && g.rng.Float64() < cut {
		// Much mail lost: roots are flooded, few may pass unheard. All lost: cut off, the own part passes.
		pass := math.Pow(g.responseRate, unansweredPower) + cut
		if c.externalLevelAt > 0 && g.now-c.externalLevelAt < externalLevelTTL {
			pass = 1
		}
		if r.queuedAtLeader || g.now >= r.deadline || g.rng.Float64() > pass || c.plan.HardRate > 0 ||
			!g.withinQuota(r) || !g.startAttempt(r) {
			g.reject(r, either(r.queuedAtLeader, ReasonInFlightLimit, ReasonNoQuotaLeader))
		}
		return
	}
	to := c.leaders[0]
	if r.leaseAttempts == leaderAttempts {
		to = c.leaders[1]
	}
	if to == g.settings.SelfIndex {
		g.admit(r)
		return
	}
	if r.leaseAttempts != 1 || r.leader != to { // the same name when the same root is asked again
		g.lastLeaseTag++
		r.leaseTag = g.lastLeaseTag
	}
	if r.leaseAttempts > 0 {
		g.responseRate -= learningWeight * g.responseRate
	}
	r.leader, r.leaseRequestedAt = to, g.now
	r.leaseAttempts++
	wait := max(minResponseWait, time.Duration(responseWaitFactor*float64(g.meanResponseTime)))
	r.leaseWaitUntil = min(g.now+wait, r.deadline-2*g.settings.Resolution)
	g.pendingLeases[r.leaseTag] = r
	g.leaseWaiters = append(g.leaseWaiters, r)
	g.do(SendPeerMessage{To: r.leader, Data: encode(g.newLeaseRequest(r))})
	g.do(SetTimer{Token: "ask", After: r.leaseWaitUntil - g.now})
}

// newLeaseRequest makes the message that asks for a request.
func (g *Gateway) newLeaseRequest(r *request) leaseRequest {
	c, left := r.customer, (r.deadline - g.now).Milliseconds()
	m := leaseRequest{Customer: c.key, FirstGateway: uint16(c.firstGateway),
		GatewaySpread: uint16(min(c.requestedSpread, 65535)), Plan: c.plan.index,
		Class: byte(r.class.index), Units: uint16(r.units), RemainingMS: uint16(min(max(0, left),
			math.MaxUint16)),
		Tag: r.leaseTag, ClientRetry: r.clientRetry, Fill: unknownFill, Chance: saturatingByte(250 *
			r.leaseChance)}
	if c.lastExchangeTick > 0 {
		m.Fill = saturatingByte(250 * max(0, c.tokens) / max(1, c.plan.Burst))
	}
	return m
}

// handleLeaseTimer asks again, elsewhere, for what was not answered.
func (g *Gateway) handleLeaseTimer() {
	list := g.leaseWaiters
	g.leaseWaiters = nil
	for _, r := range list {
		switch {
		case r.done || r.leaseGranted || g.pendingLeases[r.leaseTag] != r:
		case g.now+g.settings.Resolution <= r.leaseWaitUntil: // a timer may come a rounding early
			g.leaseWaiters = append(g.leaseWaiters, r)
		case r.queuedAtLeader:
			g.reject(r, ReasonInFlightLimit)
		default:
			g.requestLease(r)
		}
	}
}

func (g *Gateway) handleLeaseResponse(from int, m leaseResponse) {
	r := g.pendingLeases[m.Tag]
	if r == nil || r.leader != from || r.done {
		return
	}
	c := r.customer
	if !r.queuedAtLeader {
		g.meanResponseTime += time.Duration(learningWeight *
			float64(g.now-r.leaseRequestedAt-g.meanResponseTime))
	}
	g.refill(c)
	g.responseRate += learningWeight * (1 - g.responseRate)
	g.overload += overloadWeight * (float64(m.Overload)/100 - g.overload)
	c.admittedShare, c.admittedShareAt = float64(m.AdmittedShare)/250, g.now
	c.tokens, c.lastExchangeTick = float64(m.Fill)/250*c.plan.Burst, g.tickCount+1
	if m.Decision == leaseQueued {
		longest := time.Duration(queueTimeShare * float64(r.class.LatencyObjective))
		r.queuedAtLeader, r.leaseWaitUntil = true, min(r.arrivedAt+longest, r.deadline-g.tickInterval)
		g.do(SetTimer{Token: "ask", After: max(g.settings.Resolution, r.leaseWaitUntil-g.now)})
		return
	}
	delete(g.pendingLeases, m.Tag)
	if m.Decision != leaseGranted {
		g.reject(r, Reason(m.Decision>>reasonShift))
		return
	}
	if r.leaseGranted = true; !g.withinQuota(r) {
		g.reject(r, g.quotaRejection(r))
	} else if !g.startAttempt(r) {
		g.enqueue(r)
	}
}

// handleLeaseRequest takes a member's request into the customer's counts as if it had come
// in here.
func (g *Gateway) handleLeaseRequest(from int, m leaseRequest) {
	c := g.customers[m.Customer]
	fresh := c == nil
	if fresh {
		c = g.addCustomer(m.Customer, g.plans[g.settings.Plans[m.Plan].Name], int(m.FirstGateway),
			int(m.GatewaySpread))
	}
	// One that counts for a root it can't hear goes by what the root last told.
	if m.Fill != unknownFill && (fresh || len(c.leaders) > 0) {
		c.tokens = min(c.tokens, float64(m.Fill)/250*c.plan.Burst)
	}
	if r, held := c.findLease(from, m.Tag); r != nil || held {
		if r != nil {
			g.sendLeaseResponse(r, leaseGranted) // the first answer was lost
		}
		return
	}
	g.refill(c)
	c.lastRequestAt, c.grantsLeases = g.now, true
	c.demand += float64(m.Units) * 250 / float64(max(1, m.Chance))
	g.admit(g.newRemoteRequest(c, from, m))
}

// newRemoteRequest makes the request that another gateway asks for.
func (g *Gateway) newRemoteRequest(c *customer, from int, m leaseRequest) *request {
	return &request{customer: c, class: g.classes[g.settings.Classes[m.Class].Name],
		units: float64(m.Units), arrivedAt: g.now,
		deadline: g.now + time.Duration(m.RemainingMS)*time.Millisecond, clientRetry: m.ClientRetry,
		remote: true, leader: from,
		leaseTag: m.Tag}
}

// findLease finds a request that another gateway has asked for before: granted, or
// held here.
func (c *customer) findLease(from int, tag uint32) (r *request, held bool) {
	if l, ok := c.leases[leaseKey{from, tag}]; ok {
		return l.request, false
	}
	return nil, slices.ContainsFunc(c.queued, func(r *request) bool {
		return r.remote && r.leader == from && r.leaseTag == tag
	})
}

// grantLease counts a member's request and tells it to go.
func (g *Gateway) grantLease(r *request) {
	c := r.customer
	c.charge(r)
	c.leases[leaseKey{r.leader, r.leaseTag}] = lease{g.now +
		time.Duration(leaseObjectives*float64(r.class.LatencyObjective)), r}
	c.addInFlight(g.now, 1)
	r.charged, r.done = true, true
	g.sendLeaseResponse(r, leaseGranted)
}

func (g *Gateway) sendLeaseResponse(r *request, v byte) {
	fill := saturatingByte(250 * max(0, r.customer.tokens) / max(1, r.customer.plan.Burst))
	part := 1.0
	if r.customer.tokens < firstAttemptReserve*r.customer.plan.Burst {
		part = min(1, r.customer.plan.Rate*demandWindow.Seconds()/max(r.customer.demand, 1))
	}
	m := leaseResponse{r.leaseTag, v, fill, saturatingByte(100 * g.overload), saturatingByte(250 * part)}
	g.do(SendPeerMessage{To: r.leader, Data: encode(m)})
}

// expireLeases drops the leases that have run out.
func (c *customer) expireLeases(now time.Duration) {
	for l, v := range c.leases {
		if now > v.expiresAt {
			delete(c.leases, l)
			c.addInFlight(now, -1)
		}
	}
}

// handleLeaseReturn frees what a member's attempt held, and gives back what it never used.
func (g *Gateway) handleLeaseReturn(from int, m leaseReturn) {
	c := g.customers[m.Customer]
	if c == nil {
		return
	}
	l, ok := c.leases[leaseKey{from, m.Tag}]
	if !ok {
		return
	}
	delete(c.leases, leaseKey{from, m.Tag})
	c.addInFlight(g.now, -1)
	g.refill(c)
	if m.Unused {
		c.tokens = min(c.plan.Burst, c.tokens+l.request.units)
	}
	g.releaseAfterResult(c)
}
