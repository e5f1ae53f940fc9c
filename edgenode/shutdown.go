package edgenode

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// shutdownPlan is when what happens after SIGTERM. It is decided here, without I/O.
type shutdownPlan struct {
	stopAccepting  time.Duration // until then new connections are taken
	finalResponses time.Duration // what is open then gets its final answer
	cutConnections time.Duration // what is left is cut
}

// The platform's words: new connections come for 0.4 s at most, and SIGKILL no sooner
// than the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
const (
	maxCountedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
	acceptTime         = 550 * time.Millisecond
	finalResponseTime  = 250 * time.Millisecond // before SIGKILL: answers have a way to go, and clients close after them
	cleanupTime        = 80 * time.Millisecond
)

func planShutdown(classes []policy.Class) shutdownPlan {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	kill := min(longest, maxCountedDeadline) + killGrace
	return shutdownPlan{stopAccepting: min(acceptTime, kill-finalResponseTime), finalResponses: kill - finalResponseTime, cutConnections: kill - cleanupTime}
}
