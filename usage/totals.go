package usage

import (
	"slices"
	"time"
)

// windowTotal is the state of one total: a customer in one window.
type windowTotal struct {
	key     TotalKey
	plan    Plan
	entries map[WriterID]*writerEntry
	peers   []int // nodes that serve the customer, this one included

	callInFlight     bool
	respondedAt      time.Time // when the counter last responded; zero: never
	changedSinceCall bool      // something was recorded since the last call was sent
	queuedAt         time.Time // when the total was last put into Tracker.callQueue

	current bool // the customer's latest window
	evicted bool // no longer in memory

	// Membership of the Tracker's lists.
	callQueued    bool // callQueue
	gossipQueued  bool // gossipQueue
	storageQueued bool // storageQueue
	recentlyUsed  bool // recentlyUsed
}

// callPending reports whether a call is queued or in flight.
func (w *windowTotal) callPending() bool { return w.callQueued || w.callInFlight }

// needsRefresh reports whether the current window of a customer should be read again, because
// the counter last responded longer ago than an interval.
func (w *windowTotal) needsRefresh(now time.Time, interval time.Duration) bool {
	return w.current && !w.callPending() && now.Sub(w.respondedAt) > interval
}

// windowAt is the number of the window that contains a time.
func (t *Tracker) windowAt(now time.Time) int64 {
	return now.UnixNano() / int64(t.settings.Window)
}

// totalFor returns a total and creates it, with a plan, if it is missing.
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

// sortedTotals lists all totals in a fixed order, so that runs repeat exactly.
func (t *Tracker) sortedTotals() []*windowTotal {
	totals := make([]*windowTotal, 0, len(t.totals))
	for _, total := range t.totals {
		totals = append(totals, total)
	}
	slices.SortFunc(totals, func(a, b *windowTotal) int { return a.key.compare(b.key) })
	return totals
}
