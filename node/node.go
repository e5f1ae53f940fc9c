package node

import (
	"sync"
	"time"

	"yardcleat.example/yardcleat/internal/timers"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// Node is a running gateway. Its methods may be called from any goroutine.
type Node struct {
	options    Options
	timeOrigin time.Time

	mu          sync.Mutex
	queue       []item
	wake        chan struct{}
	closing     bool // drains: takes no more tries
	unanswered  int  // tries not answered yet
	allAnswered chan struct{}

	// Below is the loop's alone.
	policy          *policy.Gateway
	seed            uint64
	now             time.Duration
	fleetSize       policy.FleetResized // the last one, as a module made anew must hear it
	pausesSeen      int64               // that the loop knows of
	barrier         pause.Barrier
	deferred        []item // what waits behind it
	timerWheel      timers.Wheel
	requests        map[policy.RequestID]*pendingRequest
	nextID          policy.RequestID
	policyEvents    []policy.Event // for the module, those before head done
	nextPolicyEvent int
	policyActions   []policy.Action
	endpoints       map[policy.ServerID]Server // the list as it stands, without what has gone
}

// New returns a node that Run starts.
func New(o Options) (*Node, error) {
	gw, err := policy.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	if o.TimeOrigin.IsZero() {
		o.TimeOrigin = time.Now()
	}
	if o.Clock == nil {
		o.Clock = alwaysActiveClock{o.TimeOrigin}
	}
	if o.Pause == (pause.Settings{}) {
		o.Pause = pause.Default()
	}
	return &Node{options: o, timeOrigin: o.TimeOrigin, policy: gw, barrier: pause.NewBarrier(o.Pause), seed: o.Seed, wake: make(chan struct{}, 1), allAnswered: make(chan struct{}, 1),
		requests: map[policy.RequestID]*pendingRequest{}, endpoints: map[policy.ServerID]Server{}}, nil
}

func (n *Node) wallTime() time.Time { return n.timeOrigin.Add(n.now) }

// Unanswered is the number of tries not answered yet.
func (n *Node) Unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unanswered
}
