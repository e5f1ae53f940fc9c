package node

import (
	"context"
	"sync"
	"time"

	"yardcleat.example/yardcleat/internal/timers"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// Node is one running gateway. Use New to create one; the zero value is not usable. Its
// methods may be called from any goroutine unless their documentation says otherwise.
type Node struct {
	options    Options
	timeOrigin time.Time
	logContext context.Context // passed to the log handler: requests have no context of their own

	wake        chan struct{} // signaled when the queue is no longer empty
	allAnswered chan struct{} // signaled when the last unanswered request is answered

	mu         sync.Mutex // guards the fields of this block
	queue      []event    // events that the loop has not taken yet
	closing    bool       // no further request is accepted
	unanswered int        // accepted requests without a final response

	loopState
}

// loopState is the state owned by the loop. Only the goroutine of Run accesses it, so it
// needs no lock.
type loopState struct {
	now        time.Duration // time since the time origin when the loop last read the clock
	timerWheel timers.Wheel

	pausesHandled  int64         // number of pauses of the process that the loop has handled
	pauseCheckedAt time.Duration // when the loop last checked for a pause
	barrier        pause.Barrier // raised after a pause, until the sockets are read
	deferred       []event       // events held until the barrier is lifted

	requests  map[policy.RequestID]*pendingRequest // requests that are not released
	lastID    policy.RequestID                     // ID of the most recently begun request
	endpoints map[policy.ServerID]Endpoint         // the endpoint list without removed servers

	policy          *policy.Gateway
	seed            uint64              // seed of the policy; incremented at each restart of the policy
	fleetSize       policy.FleetResized // passed to a restarted policy; the zero value means none was received
	policyEvents    []policy.Event      // events for the policy; those before nextPolicyEvent are handled
	nextPolicyEvent int
	policyActions   []policy.Action // storage for the actions of one event
}

// New returns a node that accepts requests; nothing is done for them until Run is called.
// It returns the policy's error if the settings are invalid.
func New(options Options) (*Node, error) {
	options.setDefaults()
	gateway, err := policy.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	return &Node{
		options:     options,
		timeOrigin:  options.TimeOrigin,
		logContext:  context.Background(),
		wake:        make(chan struct{}, 1),
		allAnswered: make(chan struct{}, 1),
		loopState: loopState{
			barrier:   pause.NewBarrier(options.Pause),
			requests:  map[policy.RequestID]*pendingRequest{},
			endpoints: map[policy.ServerID]Endpoint{},
			policy:    gateway,
			seed:      options.Seed,
		},
	}, nil
}

// wallTime returns the loop's current time as a time.Time.
func (n *Node) wallTime() time.Time { return n.timeOrigin.Add(n.now) }

// activeTimeSince returns how long the process has run since start, without pauses.
func (n *Node) activeTimeSince(start time.Duration) time.Duration {
	return n.options.Clock.ActiveTime(start, n.now)
}
