package usage

import (
	"cmp"
	"slices"
	"time"
)

// windowTotal is one customer in one window.
type windowTotal struct {
	key              TotalKey
	plan             Plan
	entries          map[WriterID]*writerEntry
	peers            []int     // nodes it comes in through
	callInFlight     bool      // a call is out
	respondedAt      time.Time // when it was last answered
	changedSinceCall bool      // something here is not in the counter
	callQueued       bool      // in the list of those that want a call
	gossipQueued     bool      // own register rose since peers were told
	queuedAt         time.Time // when it began to want a call
	current          bool      // the customer's latest window
	recentlyUsed     bool      // in the list of those used since the last sweep
	evicted          bool      // no longer in memory
	storageQueued    bool      // in the list of those to be stored
}

func (t *Tracker) windowAt(now time.Time) int64 { return now.UnixNano() / int64(t.settings.Window) }

func (t *Tracker) totalFor(now time.Time, k TotalKey, p Plan) *windowTotal {
	a := t.totals[k]
	if a == nil {
		a = &windowTotal{key: k, plan: p, entries: map[WriterID]*writerEntry{}}
		t.totals[k] = a
		t.totalsByWindow[k.Window] = append(t.totalsByWindow[k.Window], a)
		r := &t.rotations[t.ShardOf(k.Customer)]
		r.totals = append(r.totals, a)
	}
	return a
}

// sortedTotals lists the accounts in a fixed order.
func (t *Tracker) sortedTotals() []*windowTotal {
	list := make([]*windowTotal, 0, len(t.totals))
	for _, a := range t.totals {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *windowTotal) int {
		return cmp.Or(cmp.Compare(a.key.Customer, b.key.Customer), cmp.Compare(a.key.Window, b.key.Window))
	})
	return list
}
