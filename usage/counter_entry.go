package usage

import (
	"cmp"
	"slices"
	"time"
)

// milliPerUnit is the number of MilliUnits in a unit.
const milliPerUnit = 1000

// MilliUnits counts thousandths of a unit: exact sums need integers.
type MilliUnits int64

// toMilliUnits rounds units, which are not negative, to the nearest thousandth.
func toMilliUnits(units float64) MilliUnits { return MilliUnits(units*milliPerUnit + 0.5) }

// inUnits converts to units.
func (m MilliUnits) inUnits() float64 { return float64(m) / milliPerUnit }

// WriterID identifies the process that writes an entry.
type WriterID struct {
	Node        int    // index of the node in the fleet
	Incarnation uint64 // of the node's process; later processes have larger ones
}

func (w WriterID) compare(other WriterID) int {
	return cmp.Or(cmp.Compare(w.Node, other.Node), cmp.Compare(w.Incarnation, other.Incarnation))
}

// TotalKey identifies a total: one customer in one window.
type TotalKey struct {
	Customer string
	Window   int64 // number of the window since the Unix epoch, in units of Settings.Window
}

func (k TotalKey) compare(other TotalKey) int {
	return cmp.Or(cmp.Compare(k.Customer, other.Customer), cmp.Compare(k.Window, other.Window))
}

// CounterEntry is the usage of one writer in a total. Units never decrease over a writer's
// life, so that of two copies of an entry the larger is the newer.
type CounterEntry struct {
	Key    TotalKey
	Writer WriterID
	Units  MilliUnits
}

// writerEntry is the state of one writer's entry in a total. Units never decrease.
type writerEntry struct {
	units MilliUnits // largest known

	// confirmed is the amount that the counter is known to have; 0: it is not known to
	// have any. Negative: the shard lost the entry, which must then be written again; see
	// markLost.
	confirmed MilliUnits

	// claimed is the amount that the writer's node announced to have written, received at
	// claimedAt; the zero time: no claim is open. Responses that lack a claim are evidence
	// of a diverged shard.
	claimed   MilliUnits
	claimedAt time.Time

	stored MilliUnits // in storage; 0: not stored
}

// pendingUnits is how far the entry is ahead of the counter.
func (e *writerEntry) pendingUnits() MilliUnits { return e.units - e.confirmed }

// lostConfirmation is added to writerEntry.confirmed for each loss of the entry.
const lostConfirmation MilliUnits = -1

// markLost marks the entry as lost by its shard. Every negative value means lost. Further
// losses before the counter has the entry again count down from there, a thousandth of a
// unit each: pendingUnits, and with it the urgency of the next call, rises by as little.
func (e *writerEntry) markLost() { e.confirmed = min(e.confirmed, 0) + lostConfirmation }

// entry returns a writer's entry and creates it if it is missing.
func (w *windowTotal) entry(writer WriterID) *writerEntry {
	entry := w.entries[writer]
	if entry == nil {
		entry = &writerEntry{}
		w.entries[writer] = entry
	}
	return entry
}

// sortedWriters lists the writers of a total in a fixed order, so that runs repeat exactly.
func (w *windowTotal) sortedWriters() []WriterID {
	writers := make([]WriterID, 0, len(w.entries))
	for writer := range w.entries {
		writers = append(writers, writer)
	}
	slices.SortFunc(writers, WriterID.compare)
	return writers
}

// mergeConfirmed merges an entry that the counter returned.
func (t *Tracker) mergeConfirmed(now time.Time, total *windowTotal, received CounterEntry) {
	if entry := t.entryOfOther(total, received.Writer); entry != nil {
		entry.confirmed = received.Units
		t.raise(now, total, entry, received.Units)
	}
}

// mergeClaim merges an entry that its writer's node sent, which should be in the counter
// soon.
func (t *Tracker) mergeClaim(now time.Time, total *windowTotal, received CounterEntry) {
	entry := t.entryOfOther(total, received.Writer)
	if entry == nil {
		return
	}
	if entry.claimedAt.IsZero() && received.Units > entry.confirmed {
		entry.claimed = received.Units
		entry.claimedAt = now
	}
	t.raise(now, total, entry, received.Units)
}

// entryOfOther notes that a writer exists and returns its entry. It returns nil for this
// process's own entry, of which no other node has a newer copy.
func (t *Tracker) entryOfOther(total *windowTotal, writer WriterID) *writerEntry {
	t.latestIncarnation[writer.Node] = max(t.latestIncarnation[writer.Node], writer.Incarnation)
	if writer == t.settings.Self {
		return nil
	}
	return total.entry(writer)
}

// raise merges units into an entry by maximum. An increase comes off the customer's level.
func (t *Tracker) raise(now time.Time, total *windowTotal, entry *writerEntry, units MilliUnits) {
	if units <= entry.units {
		return
	}
	increase := units - entry.units
	entry.units = units
	if customer := t.customers[total.key.Customer]; customer != nil {
		customer.consume(now, increase)
	}
}
