package usage

import "time"

// Tally is one node's.
type Tally struct {
	set       Settings
	customers map[string]*customer
	accounts  map[Key]*account
	windows   map[int64][]*account
	rounds    []round        // of each part
	latest    map[int]uint64 // the last process known of each node
	dirty     []*account     // something of own registers is not as storage holds it
	dropped   []Register     // that storage holds, of accounts that are gone
	recent    []*account     // used since the last sweep
	lastW     int64          // window of the last sweep
	wanting   []*account     // want a call
	untold    []*account     // have news for peers
	calls     map[uint64]*call
	nextID    uint64
	parts     []part
	budget    float64 // calls
	mail      float64
	at        time.Time
	start     time.Time // of this process
	swept     time.Time
	heardAt   time.Time // the last word of a peer
	acts      []Action
}

// New returns a Tally that knows nothing yet.
func New(s Settings) *Tally {
	return &Tally{set: s, customers: map[string]*customer{}, accounts: map[Key]*account{}, calls: map[uint64]*call{}, latest: map[int]uint64{s.Me.Node: s.Me.Incarnation},
		windows: map[int64][]*account{}, rounds: make([]round, max(1, s.Parts)), parts: make([]part, max(1, s.Parts)), budget: s.Calls, mail: s.Mail}
}

// Share sets the calls a second that this node may make from now on.
func (t *Tally) Share(calls float64) { t.set.Calls = calls }

// Tick is to be called some times a second: it makes the calls and messages
// that the budgets allow.
func (t *Tally) Tick(now time.Time) []Action {
	t.acts = nil
	dt := min(1, max(0, now.Sub(t.at).Seconds()))
	t.at = now
	if t.start.IsZero() {
		t.start = now
	}
	t.budget = min(max(1, t.set.Calls), t.budget+t.set.Calls*dt)
	t.mail = min(max(1, t.set.Mail), t.mail+t.set.Mail*dt)
	if t.deaf(now) {
		for _, a := range t.recent {
			if a.newest && !a.queued && !a.calling && len(a.peers) > 1 && now.Sub(a.asked) > deafRefresh {
				t.want(now, a)
			}
		}
	}
	t.call(now)
	t.tell()
	if now.Sub(t.swept) > refresh {
		t.swept = now
		t.sweep(now)
	}
	return t.acts
}

// Len is the number of customers and of totals in memory, and of those that
// want a call.
func (t *Tally) Len() (customers, totals, wanting int) {
	return len(t.customers), len(t.accounts), len(t.wanting)
}
