package edgenode

import (
	"time"

	"yardcleat.example/yardcleat/policy"
)

// shutdown is when what happens after SIGTERM. It is decided here, without I/O.
type shutdown struct {
	accept time.Duration // until then new connections are taken
	answer time.Duration // what is open then gets its final answer
	end    time.Duration // what is left is cut
}

// The platform's words: new connections come for 0.4 s at most, and SIGKILL no sooner
// than the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
const (
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond
	acceptFor      = 550 * time.Millisecond
	lastAnswers    = 250 * time.Millisecond // before SIGKILL: answers have a way to go, and clients close after them
	lastWork       = 80 * time.Millisecond
)

func planShutdown(classes []policy.Class) shutdown {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	kill := min(longest, longestCounted) + killAfter
	return shutdown{accept: min(acceptFor, kill-lastAnswers), answer: kill - lastAnswers, end: kill - lastWork}
}
