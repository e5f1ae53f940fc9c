package node

import (
	"log/slog"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// Options is what a node is made of.
type Options struct {
	Settings       policy.Settings
	Seed           uint64
	Logger         *slog.Logger
	Upstream       Upstream
	Authorizer     Authorizer // nil where no class is put to one
	Authz          *authz.Decider
	SendToPeer     func(to int, data []byte) // to a peer; must not block
	SendToAllPeers bool                      // Tell takes a number below 0: all peers
	ResponseMargin time.Duration             // answers leave so long before the client gives up
	MaxUnanswered  int                       // requests not answered yet
	TimeOrigin     time.Time                 // the node's time 0; zero: now
	UsageRecorder  UsageRecorder             // nil: none
	Clock          Clock                     // nil: one that finds no gaps
	Pause          pause.Settings            // zero: stall.Default
	OnRequestDone  func(*Request)            // nothing more is done for a try; nil: nobody is told
}

// Clock tells the time since Options.Base, and where the process did not run.
type Clock interface {
	Now() time.Duration
	Pauses() int64                                   // found so far
	ActiveTime(from, to time.Duration) time.Duration // how much of a time the process ran
	UnreadSockets() int                              // sockets that may hold what came before the last gap's end
}

// alwaysActiveClock is a Clock of a process that always runs.
type alwaysActiveClock struct{ base time.Time }

func (s alwaysActiveClock) Now() time.Duration { return time.Since(s.base) }

func (alwaysActiveClock) Pauses() int64 { return 0 }

func (alwaysActiveClock) ActiveTime(from, to time.Duration) time.Duration { return max(0, to-from) }

func (alwaysActiveClock) UnreadSockets() int { return 0 }

// UsageRecorder is told of what is asked for and passed, in the loop.
type UsageRecorder interface {
	RequestSeen(t *Request)      // a request is given to the module
	RequestForwarded(t *Request) // its first attempt goes out: its units count
}
