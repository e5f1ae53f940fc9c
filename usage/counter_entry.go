package usage

import (
	"cmp"
	"slices"
	"time"
)

// MilliUnits is units in thousandths, as they are counted.
type MilliUnits int64

// WriterID names the process that a register is raised by.
type WriterID struct {
	Node        int
	Incarnation uint64
}

// TotalKey names a total.
type TotalKey struct {
	Customer string
	Window   int64 // number of the window, counted from the Unix epoch
}

// CounterEntry is how many units one process has passed for a customer in a window.
type CounterEntry struct {
	Key    TotalKey
	Writer WriterID
	Units  MilliUnits
}

// writerEntry is what is known of one process's units.
type writerEntry struct {
	units     MilliUnits
	confirmed MilliUnits // as the counter last confirmed; below 0: to be put in again
	claimed   MilliUnits // what the owner's node said itself, to be found in the counter,
	claimedAt time.Time  // then; zero: nothing to be found

	stored MilliUnits // as storage holds it; 0: it does not
}

func (a *windowTotal) entry(o WriterID) *writerEntry {
	g := a.entries[o]
	if g == nil {
		g = &writerEntry{}
		a.entries[o] = g
	}
	return g
}

// sortedWriters lists an account's registers in a fixed order.
func (a *windowTotal) sortedWriters() []WriterID {
	list := make([]WriterID, 0, len(a.entries))
	for o := range a.entries {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b WriterID) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// merge takes in a register from the counter or from its owner's node.
func (t *Tracker) merge(now time.Time, a *windowTotal, r CounterEntry, told bool) {
	t.latestIncarnation[r.Writer.Node] = max(t.latestIncarnation[r.Writer.Node], r.Writer.Incarnation)
	if r.Writer == t.settings.Self {
		return // nobody knows it better
	}
	g := a.entry(r.Writer)
	if told {
		if g.claimedAt.IsZero() && r.Units > g.confirmed {
			g.claimed, g.claimedAt = r.Units, now
		}
	} else {
		g.confirmed = r.Units
	}
	if r.Units <= g.units {
		return
	}
	more := r.Units - g.units
	g.units = r.Units
	if c := t.customers[a.key.Customer]; c != nil {
		c.consume(now, more)
	}
}
