package edgenode

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// shutdownPlan has the times of the steps of a shutdown, each relative to SIGTERM.
type shutdownPlan struct {
	stopAccepting  time.Duration // new connections are no longer accepted
	finalResponses time.Duration // every request that is still open gets its final response
	cutConnections time.Duration // connections that are still open are closed
}

// The platform sends SIGKILL no sooner than killGrace after the longest deadline of a class. A
// deadline above maxCountedDeadline counts as maxCountedDeadline.
const (
	maxCountedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
)

const (
	// acceptTime is how long new connections are accepted: clients may open them for 0.4 s
	// after SIGTERM, and the rest allows for network latency.
	acceptTime = 550 * time.Millisecond
	// finalResponseTime is how long before SIGKILL final responses are sent, so that they
	// arrive and clients can close their connections.
	finalResponseTime = 250 * time.Millisecond
	// cleanupTime is how long before SIGKILL all connections are closed, so that the process
	// exits by itself.
	cleanupTime = 80 * time.Millisecond
)

// planShutdown returns the times of a shutdown for nodes that serve the given classes.
func planShutdown(classes []policy.Class) shutdownPlan {
	longestDeadline := time.Duration(0)
	for _, class := range classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	kill := min(longestDeadline, maxCountedDeadline) + killGrace
	return shutdownPlan{
		stopAccepting:  min(acceptTime, kill-finalResponseTime),
		finalResponses: kill - finalResponseTime,
		cutConnections: kill - cleanupTime,
	}
}
