package edgenode

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// shutdownPlan is when the steps of a shutdown happen, each counted from SIGTERM.
type shutdownPlan struct {
	stopAccepting  time.Duration // until then new connections are accepted
	finalResponses time.Duration // every request still open gets its final response
	cutConnections time.Duration // what is still open is cut
}

// The platform sends SIGKILL no sooner than killGrace after the longest deadline, of which
// it counts maxCountedDeadline at most.
const (
	maxCountedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
)

const (
	// acceptTime is how long new connections are accepted: clients may open them for 0.4 s,
	// and the rest allows for the network.
	acceptTime = 550 * time.Millisecond
	// finalResponseTime is how long before SIGKILL final responses are sent, so that they
	// arrive and clients close their connections.
	finalResponseTime = 250 * time.Millisecond
	// cleanupTime is how long before SIGKILL all is cut, so that the process ends by itself.
	cleanupTime = 80 * time.Millisecond
)

// planShutdown returns the times of a shutdown for the classes of requests that may be open.
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
