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
	o    Options
	base time.Time

	mu      sync.Mutex
	queue   []item
	wake    chan struct{}
	closing bool // drains: takes no more tries
	open    int  // tries not answered yet
	idle    chan struct{}

	// Below is the loop's alone.
	gw      *policy.Gateway
	seed    uint64
	now     time.Duration
	fleet   policy.FleetResized // the last one, as a module made anew must hear it
	gaps    int64               // that the loop knows of
	barrier pause.Barrier
	held    []item // what waits behind it
	wheel   timers.Wheel
	reqs    map[policy.RequestID]*request
	nextID  policy.RequestID
	fifo    []policy.Event // for the module, those before head done
	head    int
	acts    []policy.Action
	servers map[policy.ServerID]Server // the list as it stands, without what has gone
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
	return &Node{o: o, base: o.TimeOrigin, gw: gw, barrier: pause.NewBarrier(o.Pause), seed: o.Seed, wake: make(chan struct{}, 1), idle: make(chan struct{}, 1),
		reqs: map[policy.RequestID]*request{}, servers: map[policy.ServerID]Server{}}, nil
}

func (n *Node) wall() time.Time { return n.base.Add(n.now) }

// Unanswered is the number of tries not answered yet.
func (n *Node) Unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}
