package authz

import "time"

const (
	// minCheckTimeout is the shortest timeout with which a check is sent.
	minCheckTimeout = 2 * time.Millisecond
	// firstCheckShare is the share of the remaining time that the first check may use if
	// another address is healthy, so that there is time for a retry at that address.
	firstCheckShare = 0.5

	// initialServerShare is the share of the latency objective that is used as the initial
	// estimate of an attempt's latency.
	initialServerShare = 0.25
	// serverTimeWeight is the weight of one attempt in the moving average of attempt latencies.
	serverTimeWeight = 0.05
	// serverTimeFactor multiplies the estimated latency to give the time reserved for an attempt.
	serverTimeFactor = 1.5
)

// classState is a class with the average latency of its attempts at the servers.
type classState struct {
	Class
	serverSeconds float64 // moving average
}

func newClassState(c Class) *classState {
	return &classState{Class: c, serverSeconds: initialServerShare * c.LatencyObjective.Seconds()}
}

// recordLatency adds an attempt to the average. The latency is capped at the objective, so that
// slow servers do not use up the time for checks.
func (c *classState) recordLatency(latency time.Duration) {
	seconds := min(latency.Seconds(), c.LatencyObjective.Seconds())
	c.serverSeconds += serverTimeWeight * (seconds - c.serverSeconds)
}

// checkTime returns how much of the remaining time checks may use; it may be negative.
func (c *classState) checkTime(remaining, timeout time.Duration) time.Duration {
	forServers := time.Duration(serverTimeFactor * c.serverSeconds * float64(time.Second))
	return min(timeout, remaining-forServers)
}
