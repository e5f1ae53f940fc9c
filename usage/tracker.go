package usage

import "time"

// Tracker tracks the usage of all customers of one node. It is not safe for concurrent use.
type Tracker struct {
	settings   Settings
	startedAt  time.Time // time of the first event of this process; zero if there was none
	lastTickAt time.Time
	actions    []Action // actions of the event that is being handled

	customers      map[string]*customerUsage
	totals         map[TotalKey]*windowTotal
	totalsByWindow map[int64][]*windowTotal

	// latestIncarnation is the largest known incarnation of each node.
	latestIncarnation map[int]uint64

	// Calls to the counter.
	shards        []shardHealth
	commandBudget float64 // in commands; negative after a call that cost more than the budget
	callQueue     []*windowTotal
	inFlight      map[uint64]*inFlightCall
	lastCallID    uint64

	// Messages to peers.
	messageBudget     float64 // in messages
	gossipQueue       []*windowTotal
	lastPeerMessageAt time.Time

	// Changes for storage.
	storageQueue  []*windowTotal // totals whose stored entries may be out of date
	evictedStored []CounterEntry // stored entries of evicted totals, to be deleted

	// State of the sweep.
	lastSweepAt     time.Time
	lastSweptWindow int64
	recentlyUsed    []*windowTotal // totals used since the last sweep
	rotations       []rotation     // one per shard
}

// New returns a Tracker that has recorded no usage.
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

// recordStart records the time of the first event as the start of the process.
func (t *Tracker) recordStart(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
}

// replenishBudgets adds what has accrued since the last tick to both budgets.
func (t *Tracker) replenishBudgets(now time.Time) {
	elapsed := min(1, max(0, now.Sub(t.lastTickAt).Seconds()))
	t.lastTickAt = now
	t.commandBudget = replenish(t.commandBudget, t.settings.CommandsPerSecond, elapsed)
	t.messageBudget = replenish(t.messageBudget, t.settings.PeerMessagesPerSecond, elapsed)
}

// replenish returns a budget after elapsed seconds at a rate. It is capped at the amount of one
// second, or at 1 if that amount is less than 1.
func replenish(budget, perSecond, elapsed float64) float64 {
	return min(max(1, perSecond), budget+perSecond*elapsed)
}

// refreshWhileIsolated queues calls for the totals in use whose customers are also served by
// peers.
func (t *Tracker) refreshWhileIsolated(now time.Time) {
	for _, total := range t.recentlyUsed {
		if len(total.peers) > 1 && total.needsRefresh(now, isolatedRefreshInterval) {
			t.queueCall(now, total)
		}
	}
}
