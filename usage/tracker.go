package usage

import "time"

// Tracker is one node's.
type Tracker struct {
	settings          Settings
	customers         map[string]*customerUsage
	totals            map[TotalKey]*windowTotal
	totalsByWindow    map[int64][]*windowTotal
	rotations         []rotation     // of each part
	latestIncarnation map[int]uint64 // the last process known of each node
	storageQueue      []*windowTotal // something of own registers is not as storage holds it
	evictedStored     []CounterEntry // that storage holds, of accounts that are gone
	recentlyUsed      []*windowTotal // used since the last sweep
	sweptWindow       int64          // window of the last sweep
	callQueue         []*windowTotal // want a call
	gossipQueue       []*windowTotal // have news for peers
	inFlight          map[uint64]*inFlightCall
	lastCallID        uint64
	shards            []shardHealth
	callBudget        float64 // calls
	messageBudget     float64
	tickedAt          time.Time
	startedAt         time.Time // of this process
	sweptAt           time.Time
	peerHeardAt       time.Time // the last word of a peer
	actions           []Action
}

// New returns a Tally that knows nothing yet.
func New(s Settings) *Tracker {
	return &Tracker{settings: s, customers: map[string]*customerUsage{}, totals: map[TotalKey]*windowTotal{}, inFlight: map[uint64]*inFlightCall{}, latestIncarnation: map[int]uint64{s.Self.Node: s.Self.Incarnation},
		totalsByWindow: map[int64][]*windowTotal{}, rotations: make([]rotation, max(1, s.Shards)), shards: make([]shardHealth, max(1, s.Shards)), callBudget: s.CallsPerSecond, messageBudget: s.PeerMessagesPerSecond}
}

// SetCallsPerSecond sets the calls a second that this node may make from now on.
func (t *Tracker) SetCallsPerSecond(calls float64) { t.settings.CallsPerSecond = calls }

// Tick is to be called some times a second: it makes the calls and messages
// that the budgets allow.
func (t *Tracker) Tick(now time.Time) []Action {
	t.actions = nil
	dt := min(1, max(0, now.Sub(t.tickedAt).Seconds()))
	t.tickedAt = now
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	t.callBudget = min(max(1, t.settings.CallsPerSecond), t.callBudget+t.settings.CallsPerSecond*dt)
	t.messageBudget = min(max(1, t.settings.PeerMessagesPerSecond), t.messageBudget+t.settings.PeerMessagesPerSecond*dt)
	if t.isolated(now) {
		for _, a := range t.recentlyUsed {
			if a.current && !a.callQueued && !a.callInFlight && len(a.peers) > 1 && now.Sub(a.respondedAt) > isolatedRefreshInterval {
				t.queueCall(now, a)
			}
		}
	}
	t.sendQueuedCalls(now)
	t.gossip()
	if now.Sub(t.sweptAt) > refreshInterval {
		t.sweptAt = now
		t.sweep(now)
	}
	return t.actions
}
