package policy

import (
	"slices"
	"time"
)

// A leader treats a lease request like a request of its own: it grants, queues or rejects it.

// leaseValidityFactor is the time after which a lease that is not returned expires, as a multiple of the
// latency objective of the request's class.
const leaseValidityFactor = 1.0

// lease is a lease that this gateway has granted.
type lease struct {
	expiresAt time.Duration
	request   *request
}

// handleLeaseRequest decides on another gateway's request as if a client had sent it to this gateway.
func (g *Gateway) handleLeaseRequest(from int, m leaseRequest) {
	isKnown := int(m.Plan) < len(g.settings.Plans) && int(m.Class) < len(g.settings.Classes)
	if !isKnown || m.GatewaySpread == 0 {
		return
	}
	plan := g.plans[g.settings.Plans[m.Plan].Name]
	c := g.customers.find(m.Customer, plan.Name)
	isNew := c == nil
	if isNew {
		c = g.addCustomer(m.Customer, plan, int(m.FirstGateway), int(m.GatewaySpread))
	}
	// A standby leader that receives no reports from the leader uses the fill that the leader last reported
	// to the requester.
	if m.Fill != unknownFill && (isNew || !c.keepsBuckets()) {
		c.tokens = min(c.tokens, decodeFill(m.Fill, c.plan.Burst))
	}
	if g.repeatLeaseResponse(c, leaseKey{from, m.Tag}) {
		return
	}
	g.refill(c)
	c.lastRequestAt = g.now
	c.grantsLeases = true
	c.demand += m.Units * wholeShare / float64(max(1, m.Chance))
	g.admit(g.newRemoteRequest(c, from, m))
}

// repeatLeaseResponse reports whether the lease has been requested before, and is granted or queued. If it is
// granted, the response is sent again, since the first one may have been lost.
func (g *Gateway) repeatLeaseResponse(c *customer, key leaseKey) bool {
	if granted, ok := c.leases[key]; ok {
		g.sendLeaseResponse(granted.request, leaseGranted)
		return true
	}
	isSame := func(r *request) bool { return r.remote && r.lease.key == key }
	return slices.ContainsFunc(c.queued, isSame)
}

// grantLease charges a remote request and sends the grant to its gateway.
func (g *Gateway) grantLease(r *request) {
	c := r.customer
	c.charge(r)
	validity := time.Duration(leaseValidityFactor * float64(r.class.LatencyObjective))
	c.leases[r.lease.key] = lease{expiresAt: g.now + validity, request: r}
	c.inFlight.add(g.now, 1)
	r.charged = true
	r.done = true
	g.sendLeaseResponse(r, leaseGranted)
}

func (g *Gateway) sendLeaseResponse(r *request, decision byte) {
	m := leaseResponse{
		Tag:           r.lease.key.tag,
		Decision:      decision,
		Fill:          r.customer.fillByte(),
		Overload:      saturatingByte(overloadScale * g.shedder.overload),
		AdmittedShare: encodeShare(r.customer.admissibleShare()),
	}
	g.emit(SendPeerMessage{To: r.lease.key.gateway, Data: m.encode()})
}

// admissibleShare returns the share of the demand that the rate quota admits: 1 unless the bucket is low.
func (c *customer) admissibleShare() float64 {
	if c.tokens >= firstAttemptReserve*c.plan.Burst {
		return 1
	}
	return min(1, c.plan.Rate*demandWindow.Seconds()/max(c.demand, 1))
}

// fillByte returns the fill of the bucket, encoded for lease messages. It has no meaning without a rate
// quota.
func (c *customer) fillByte() byte {
	if c.plan.Burst == 0 {
		return encodeFill(c.tokens, 1)
	}
	return encodeFill(c.tokens, c.plan.Burst)
}

// handleLeaseReturn ends a lease, and refunds the units of one that was never used.
func (g *Gateway) handleLeaseReturn(from int, m leaseReturn) {
	key := leaseKey{from, m.Tag}
	c := g.customers.withLease(m.Customer, key)
	if c == nil {
		return
	}
	returned := c.leases[key]
	delete(c.leases, key)
	c.inFlight.add(g.now, -1)
	g.refill(c)
	if m.Unused {
		c.tokens = min(c.plan.Burst, c.tokens+returned.request.units)
	}
	g.releaseAfterResult(c)
}

// withLease returns the customer that holds a lease, under whatever plan, or nil if the lease has ended.
func (t *customerTable) withLease(customerKey uint64, key leaseKey) *customer {
	for c := t.byKey[customerKey]; c != nil; c = c.otherPlan {
		if _, ok := c.leases[key]; ok {
			return c
		}
	}
	return nil
}

// expireLeases ends the leases that have expired.
func (c *customer) expireLeases(now time.Duration) {
	for key, granted := range c.leases {
		if now > granted.expiresAt {
			delete(c.leases, key)
			c.inFlight.add(now, -1)
		}
	}
}
