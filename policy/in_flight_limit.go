package policy

import "time"

const (
	// arrivalSlack and releaseSlack are the fractions of an attempt by which the cap may be exceeded when a
	// request arrives and when it is released from the queue. Reported counts are rounded; without slack the
	// cap would never be fully used.
	arrivalSlack = 0.5
	releaseSlack = 0.25
)

// inFlightCounter counts a customer's attempts in flight and their mean over a tick.
type inFlightCounter struct {
	count        int
	integral     float64 // of count over the tick so far, in attempt seconds
	integratedAt time.Duration
	mean         float64 // over the last tick
}

func (n *inFlightCounter) add(now time.Duration, attempts int) {
	n.integral += float64(n.count) * (now - n.integratedAt).Seconds()
	n.integratedAt = now
	n.count += attempts
}

// endTick sets the mean over the tick that ends.
func (n *inFlightCounter) endTick(now, elapsed time.Duration) {
	n.add(now, 0)
	n.mean = n.integral / elapsed.Seconds()
	n.integral = 0
}

func (n *inFlightCounter) isZero() bool { return n.count <= 0 && n.integral <= 0 && n.mean <= 0 }

// peerLoad sums the attempts in flight and the queued requests that the peers report. A stale peer is assumed
// to have its share, by demand, of the cap in flight, and nothing queued.
func (g *Gateway) peerLoad(c *customer) (inFlight, queued float64) {
	for _, view := range c.peerViews {
		if g.isStaleFor(c, view) {
			inFlight += float64(c.plan.MaxInFlight) * g.peerDemand(c, view) / g.totalDemand(c)
			continue
		}
		inFlight += view.inFlight
		queued += view.queued
	}
	return inFlight, queued
}

// hasRoomOnArrival reports whether the customer's cap permits an attempt for a request as soon as it arrives:
// this gateway uses only its share, by demand, of the part of the cap that the peers do not use, but at least
// one attempt if that part holds one.
func (g *Gateway) hasRoomOnArrival(c *customer) bool {
	if g.inFlightUnlimited(c) {
		return true
	}
	free := g.freeInFlight(c)
	allowed := max(free*g.demandShare(c), min(1, free+arrivalSlack))
	return float64(c.inFlight.count+1) <= allowed
}

// hasRoom reports whether one more attempt fits under the customer's cap.
func (g *Gateway) hasRoom(c *customer) bool {
	return g.inFlightUnlimited(c) || float64(c.inFlight.count+1) <= g.freeInFlight(c)+releaseSlack
}

// inFlightUnlimited reports whether the customer has no cap, or this gateway is isolated and has none of
// the customer's attempts in flight: one attempt is then allowed, so that a partition does not stop the
// customer.
func (g *Gateway) inFlightUnlimited(c *customer) bool {
	return c.plan.MaxInFlight == 0 || c.inFlight.count == 0 && g.isolated(c)
}

// freeInFlight returns the part of the cap that the peers do not use.
func (g *Gateway) freeInFlight(c *customer) float64 {
	peers, _ := g.peerLoad(c)
	return float64(c.plan.MaxInFlight) - peers
}
