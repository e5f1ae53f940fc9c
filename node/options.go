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
	// Settings are the settings of the policy. Gateways and SelfIndex also determine the
	// recipients of a message to all gateways.
	Settings policy.Settings

	// Seed seeds the policy's random choices. Gateways with the same seed choose the same
	// servers in the same order, so that they load each server at the same time.
	Seed uint64

	// Log receives one line for each final response, at level Info, and the events that
	// operators need to know of.
	Log *slog.Logger

	// Upstream makes the attempts. Nil: every request must be Proxied.
	Upstream Upstream

	// AuthorizationDecider decides which requests are checked, and which of them are
	// permitted. It runs in the loop, which takes ownership of it. Nil: no request is checked;
	// all are submitted to the policy.
	AuthorizationDecider *authz.Decider

	// AuthorizationClient makes the checks that AuthorizationDecider requests. Nil: the
	// decider must not request any.
	AuthorizationClient Authorizer

	// SendToPeer sends a message of at most 256 bytes to the gateway with the given index. It
	// is called in the loop and must not block; it may drop the message instead.
	SendToPeer func(to int, data []byte)

	// SendToAllPeers means that SendToPeer accepts a negative index, and then sends to all
	// other gateways. Default: SendToPeer is called once for each of them.
	SendToAllPeers bool

	// ResponseMargin is how long before the client timeout a request has its final response.
	// It is limited to half of the timeout. Zero: responses given at the deadline reach the
	// client too late.
	ResponseMargin time.Duration

	// MaxUnanswered is the maximum number of requests without a final response; further
	// requests are rejected with ReasonOverload. It bounds the node's memory. Zero: all
	// requests are rejected.
	MaxUnanswered int

	// TimeOrigin is the time from which the node and Clock count. Default: the time of the
	// call of New.
	TimeOrigin time.Time

	// UsageRecorder records the units requested and used. Default: none are recorded.
	UsageRecorder UsageRecorder

	// Clock returns the time and detects pauses of the process. Default: a clock that detects
	// none, so that pauses are detected only by the loop itself.
	Clock Clock

	// Pause defines what counts as a pause, and how long the sockets are read after one.
	// Default: pause.DefaultSettings.
	Pause pause.Settings

	// OnRequestDone is called when all work for a request has ended: in the loop, or in Submit
	// if the request is rejected immediately. mayHaveRun is true unless each attempt is known not to have run at its
	// server. It must not block. Default: no function is called.
	OnRequestDone func(request *Request, mayHaveRun bool)
}

// maxSendDelay is the default of Settings.MaxSendDelay: the longest time for which a node of the platform is held
// up between reading its clock and writing.
const maxSendDelay = 150 * time.Millisecond

// setDefaults sets the unset fields whose default differs from the zero value.
func (o *Options) setDefaults() {
	if o.Settings.MaxSendDelay == 0 {
		o.Settings.MaxSendDelay = maxSendDelay
	}
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

// Clock measures the time since Options.TimeOrigin by the monotonic clock, and detects
// pauses, in which the process did not run. Its methods are called from any goroutine and
// must not block for long.
type Clock interface {
	// Now returns the time since the origin. The call may detect a pause.
	Now() time.Duration

	// Pauses returns the number of pauses detected so far.
	Pauses() int64

	// ActiveTime returns how long the process ran between two times; it is never negative.
	ActiveTime(from, to time.Duration) time.Duration

	// UnreadSockets returns the number of sockets that may hold data received before the end
	// of the last pause.
	UnreadSockets() int
}

// alwaysActiveClock is the Clock of a process that is never paused.
type alwaysActiveClock struct{ origin time.Time }

func (c alwaysActiveClock) Now() time.Duration { return time.Since(c.origin) }

func (alwaysActiveClock) Pauses() int64 { return 0 }

func (alwaysActiveClock) ActiveTime(from, to time.Duration) time.Duration { return max(0, to-from) }

func (alwaysActiveClock) UnreadSockets() int { return 0 }

// UsageRecorder counts the units that customers request and use. Its methods are called
// in the loop and must not block.
type UsageRecorder interface {
	// RequestSeen is called when a request is submitted to the policy.
	RequestSeen(request *Request)

	// RequestForwarded is called when the first attempt of a request starts. The request's
	// units count as used from then on, whatever the result of the attempt.
	RequestForwarded(request *Request)
}
