package node

import (
	"log/slog"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// Options configures a node. Fields without a default are required.
type Options struct {
	// Settings are the policy's. Gateways and SelfIndex also say to whom a message for
	// all gateways goes.
	Settings policy.Settings

	// Seed is of the policy's random choices. Gateways with the same seed make the same
	// choices of servers, which then get their load in step.
	Seed uint64

	// Logger gets one line for each final response, at level Info, and the events that
	// concern operators.
	Logger *slog.Logger

	// Upstream makes the attempts. Nil: every request must be Proxied.
	Upstream Upstream

	// AuthorizationDecider decides whether a request is checked, and what its result
	// means. It runs in the loop, which owns it from then on. Nil: no request is checked,
	// all go to the policy.
	AuthorizationDecider *authz.Decider

	// AuthorizationClient makes the checks that AuthorizationDecider asks for. Nil: the
	// decider must not ask for any.
	AuthorizationClient Authorizer

	// SendToPeer sends a message of at most 256 bytes to a gateway, by its number. It is
	// called in the loop and must not block: the message may be lost instead.
	SendToPeer func(to int, data []byte)

	// SendToAllPeers means that SendToPeer sends to all other gateways for a number below 0.
	// Default: it is called once for each.
	SendToAllPeers bool

	// ResponseMargin is how long before the client's timeout a request has its final
	// response; at most half of the timeout is used. Zero: responses that come at the
	// deadline reach the client too late.
	ResponseMargin time.Duration

	// MaxUnanswered is how many requests may be without a final response; further ones
	// are rejected for overload. It bounds the node's memory. Zero: all are rejected.
	MaxUnanswered int

	// TimeOrigin is the time 0 of the node and of Clock. Default: the time of New.
	TimeOrigin time.Time

	// UsageRecorder records the units requested and used. Default: none are recorded.
	UsageRecorder UsageRecorder

	// Clock returns the time and finds pauses of the process. Default: one that finds
	// none, so that only the loop itself notices that it did not run.
	Clock Clock

	// Pause says what counts as a pause, and how long the sockets are read after one.
	// Default: pause.DefaultSettings.
	Pause pause.Settings

	// OnRequestDone is called once nothing more is done for a request, in the loop, or
	// in Submit for a request that is rejected at once. It must not block. Default:
	// no function is called.
	OnRequestDone func(*Request)
}

// setDefaults fills in the fields that have a default which is not their zero value.
func (o *Options) setDefaults() {
	if o.TimeOrigin.IsZero() {
		o.TimeOrigin = time.Now()
	}
	if o.Clock == nil {
		o.Clock = alwaysActiveClock{o.TimeOrigin}
	}
	if o.Pause == (pause.Settings{}) {
		o.Pause = pause.DefaultSettings()
	}
}

// Clock is the time since Options.TimeOrigin, by the monotonic clock, and what is known
// of the pauses in which the process did not run. Its methods are called from any
// goroutine and must not block for long.
type Clock interface {
	// Now is the time since the origin. Reading it may find a pause.
	Now() time.Duration

	// Pauses is the number of pauses found so far.
	Pauses() int64

	// ActiveTime is how long the process ran between two times; never below 0.
	ActiveTime(from, to time.Duration) time.Duration

	// UnreadSockets is the number of sockets that may hold bytes received before the last
	// pause ended.
	UnreadSockets() int
}

// alwaysActiveClock is the Clock of a process that is never paused.
type alwaysActiveClock struct{ origin time.Time }

func (c alwaysActiveClock) Now() time.Duration { return time.Since(c.origin) }

func (alwaysActiveClock) Pauses() int64 { return 0 }

func (alwaysActiveClock) ActiveTime(from, to time.Duration) time.Duration { return max(0, to-from) }

func (alwaysActiveClock) UnreadSockets() int { return 0 }

// UsageRecorder counts the units that customers ask for and use. Its methods are called
// in the loop and must not block.
type UsageRecorder interface {
	// RequestSeen is called when a request is put to the policy.
	RequestSeen(request *Request)

	// RequestForwarded is called when the first attempt of a request starts: its units
	// are used, whatever comes of it.
	RequestForwarded(request *Request)
}
