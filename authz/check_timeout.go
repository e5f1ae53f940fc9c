package authz

import "time"

const (
	// minCheckTimeout is the shortest timeout that is worth a check.
	minCheckTimeout = 2 * time.Millisecond
	// firstCheckShare of the time left goes to a first check while another address is healthy,
	// so that a retry there still fits.
	firstCheckShare = 0.5

	// initialServerShare of the latency objective is the first estimate of an attempt at the
	// servers.
	initialServerShare = 0.25
	// serverTimeWeight is the weight of one attempt in the moving average of that estimate.
	serverTimeWeight = 0.05
	// serverTimeFactor times the estimate is kept free for the servers.
	serverTimeFactor = 1.5
)

// classState is a class and the learned time of an attempt at the servers.
type classState struct {
	Class
	serverSeconds float64 // moving average
}

func newClassState(c Class) *classState {
	return &classState{Class: c, serverSeconds: initialServerShare * c.LatencyObjective.Seconds()}
}

// recordLatency adds an attempt to the average. One slower than the objective counts as the
// objective, so that a slow server does not take the time of the checks.
func (c *classState) recordLatency(latency time.Duration) {
	seconds := min(latency.Seconds(), c.LatencyObjective.Seconds())
	c.serverSeconds += serverTimeWeight * (seconds - c.serverSeconds)
}

// checkTime is how much of the remaining time may go to checks; it may be negative.
func (c *classState) checkTime(remaining, timeout time.Duration) time.Duration {
	forServers := time.Duration(serverTimeFactor * c.serverSeconds * float64(time.Second))
	return min(timeout, remaining-forServers)
}
