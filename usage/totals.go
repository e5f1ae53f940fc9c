package usage

import (
	"slices"
	"time"
)

// windowTotal is the state of one total: the usage of a customer in one window.
type windowTotal struct {
	key     TotalKey
	plan    Plan
	entries map[WriterID]*writerEntry
	peers   []int // indices of the nodes that serve the customer, including this one

	callInFlight     bool
	respondedAt      time.Time // when the counter last responded; zero if never
	changedSinceCall bool      // the total was queued for a call since the last call was sent
	queuedAt         time.Time // when the total was last put into Tracker.callQueue

	current bool // total of the customer's latest window
	evicted bool // removed from Tracker.totals

	// Whether the total is in one of the Tracker's lists.
	callQueued    bool // callQueue
	gossipQueued  bool // gossipQueue
	storageQueued bool // storageQueue
	recentlyUsed  bool // recentlyUsed
}

// callPending reports whether a call is queued or in flight.
func (w *windowTotal) callPending() bool { return w.callQueued || w.callInFlight }

// needsRefresh reports whether the total should be read again: it is of the customer's latest
// window, no call is pending, and the counter last responded longer than interval ago.
func (w *windowTotal) needsRefresh(now time.Time, interval time.Duration) bool {
	return w.current && !w.callPending() && now.Sub(w.respondedAt) > interval
}

// windowAt returns the number of the window that contains a time.
func (t *Tracker) windowAt(now time.Time) int64 {
	return now.UnixNano() / int64(t.settings.Window)
}

// totalFor returns a total, and creates it with the given plan if it is missing.
func (t *Tracker) totalFor(key TotalKey, plan Plan) *windowTotal {
	total := t.totals[key]
	if total != nil {
		return total
	}
	total = &windowTotal{key: key, plan: plan, entries: map[WriterID]*writerEntry{}}
	t.totals[key] = total
	t.totalsByWindow[key.Window] = append(t.totalsByWindow[key.Window], total)
	rotation := &t.rotations[t.ShardOf(key.Customer)]
	rotation.totals = append(rotation.totals, total)
	return total
}

// sortedTotals returns all totals in a fixed order, so that runs are reproducible.
func (t *Tracker) sortedTotals() []*windowTotal {
	totals := make([]*windowTotal, 0, len(t.totals))
	for _, total := range t.totals {
		totals = append(totals, total)
	}
	slices.SortFunc(totals, func(a, b *windowTotal) int { return a.key.compare(b.key) })
	return totals
}
