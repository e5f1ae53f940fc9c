package usage

import "time"

// Tracker tracks the usage of all customers of one node. It is not safe for concurrent use.
type Tracker struct {
	settings   Settings
	startedAt  time.Time // first event of this process; zero: none yet
	lastTickAt time.Time
	actions    []Action // of the event that is being handled

	customers      map[string]*customerUsage
	totals         map[TotalKey]*windowTotal
	totalsByWindow map[int64][]*windowTotal

	// latestIncarnation is the latest known process of each node.
	latestIncarnation map[int]uint64

	// Calls to the counter.
	shards        []shardHealth
	commandBudget float64 // commands; negative after a call that cost more than was left
	callQueue     []*windowTotal
	inFlight      map[uint64]*inFlightCall
	lastCallID    uint64

	// Messages to peers.
	messageBudget     float64 // messages
	gossipQueue       []*windowTotal
	lastPeerMessageAt time.Time

	// Changes for storage.
	storageQueue  []*windowTotal // totals whose stored entries may be out of date
	evictedStored []CounterEntry // entries to delete, of evicted totals

	// The sweep.
	lastSweepAt     time.Time
	lastSweptWindow int64
	recentlyUsed    []*windowTotal // used since the last sweep
	rotations       []rotation     // of each shard
}

// New returns a Tracker without any usage.
func New(s Settings) *Tracker {
	t := &Tracker{
		settings:          s,
		customers:         map[string]*customerUsage{},
		totals:            map[TotalKey]*windowTotal{},
		totalsByWindow:    map[int64][]*windowTotal{},
		latestIncarnation: map[int]uint64{s.Self.Node: s.Self.Incarnation},
		shards:            make([]shardHealth, max(1, s.Shards)),
		commandBudget:     s.CommandsPerSecond,
		inFlight:          map[uint64]*inFlightCall{},
		messageBudget:     s.PeerMessagesPerSecond,
		rotations:         make([]rotation, max(1, s.Shards)),
	}
	for i := range t.shards {
		t.shards[i].index = i
	}
	return t
}

// SetCommandsPerSecond replaces Settings.CommandsPerSecond.
func (t *Tracker) SetCommandsPerSecond(commands float64) { t.settings.CommandsPerSecond = commands }

// Tick sends the calls and messages that the budgets allow. It should be called several
// times a second.
func (t *Tracker) Tick(now time.Time) []Action {
	t.actions = nil
	t.recordStart(now)
	t.replenishBudgets(now)
	if t.isolated(now) {
		t.refreshWhileIsolated(now)
	}
	t.sendQueuedCalls(now)
	t.gossip()
	if now.Sub(t.lastSweepAt) > refreshInterval {
		t.lastSweepAt = now
		t.sweep(now)
	}
	return t.actions
}

// recordStart records the time of the first event as the process's start.
func (t *Tracker) recordStart(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
}

// replenishBudgets adds what has accrued since the last tick.
func (t *Tracker) replenishBudgets(now time.Time) {
	elapsed := min(1, max(0, now.Sub(t.lastTickAt).Seconds()))
	t.lastTickAt = now
	t.commandBudget = replenish(t.commandBudget, t.settings.CommandsPerSecond, elapsed)
	t.messageBudget = replenish(t.messageBudget, t.settings.PeerMessagesPerSecond, elapsed)
}

// replenish adds elapsed seconds' worth to a budget, up to one second's worth, or 1 where
// that is less.
func replenish(budget, perSecond, elapsed float64) float64 {
	return min(max(1, perSecond), budget+perSecond*elapsed)
}

// refreshWhileIsolated queues calls for the totals in use that peers serve, too.
func (t *Tracker) refreshWhileIsolated(now time.Time) {
	for _, total := range t.recentlyUsed {
		if len(total.peers) > 1 && total.needsRefresh(now, isolatedRefreshInterval) {
			t.queueCall(now, total)
		}
	}
}
