package node

import (
	"context"
	"sync"
	"time"

	"yardcleat.example/yardcleat/internal/timers"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// Node is one running gateway. New makes one; the zero value can't be used. Its methods
// may be called from any goroutine, but for those that say otherwise.
type Node struct {
	options    Options
	timeOrigin time.Time
	logContext context.Context // for the log's handler: requests bring no context of their own

	wake        chan struct{} // signaled when the queue is no longer empty
	allAnswered chan struct{} // signaled when no request is unanswered any more

	mu         sync.Mutex // guards the fields of this block
	queue      []event    // waits for the loop
	closing    bool       // no further request is accepted
	unanswered int        // requests accepted that have no final response

	loopState
}

// loopState is what belongs to the loop: only the goroutine of Run reads or writes it,
// and needs no lock for that.
type loopState struct {
	now        time.Duration // since the time origin, as of the last look at the clock
	timerWheel timers.Wheel

	pausesSeen     int64         // number of pauses of the process that the loop has handled
	pauseCheckedAt time.Duration // when the loop last looked for one
	barrier        pause.Barrier // raised after a pause, until the sockets are read
	deferred       []event       // waits for the barrier to be lifted

	requests  map[policy.RequestID]*pendingRequest // without those that are answered and done
	lastID    policy.RequestID                     // of the request begun last
	endpoints map[policy.ServerID]Endpoint         // the endpoint list, without removed servers

	policy          *policy.Gateway
	seed            uint64              // of the policy; counts up with each restart of it
	fleetSize       policy.FleetResized // the last one, for a policy that is restarted; zero: none
	policyEvents    []policy.Event      // for the policy; those before nextPolicyEvent are handled
	nextPolicyEvent int
	policyActions   []policy.Action // storage for the actions of one event
}

// New returns a node that accepts requests and does nothing else until Run is called.
// The error is of the policy, for settings that it can't use.
func New(options Options) (*Node, error) {
	gateway, err := policy.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	options.setDefaults()
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

// wallTime is the loop's time as a time of day.
func (n *Node) wallTime() time.Time { return n.timeOrigin.Add(n.now) }

// activeTimeSince is how long the process has run since a time; pauses don't count.
func (n *Node) activeTimeSince(start time.Duration) time.Duration {
	return n.options.Clock.ActiveTime(start, n.now)
}
