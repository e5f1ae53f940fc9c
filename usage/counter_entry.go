package usage

import (
	"cmp"
	"slices"
	"time"
)

// milliPerUnit is the number of MilliUnits in a unit.
const milliPerUnit = 1000

// MilliUnits is an amount in thousandths of a unit. It is an integer so that sums are exact.
type MilliUnits int64

// toMilliUnits rounds units, which must not be negative, to the nearest thousandth.
func toMilliUnits(units float64) MilliUnits { return MilliUnits(units*milliPerUnit + 0.5) }

// inUnits returns the amount in units.
func (m MilliUnits) inUnits() float64 { return float64(m) / milliPerUnit }

// WriterID identifies the process that writes an entry.
type WriterID struct {
	Node        int    // index of the node in the fleet
	Incarnation uint64 // incarnation of the node's process; later processes have larger values
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

// CounterEntry is the usage of one writer in a total. Units never decrease during a writer's
// lifetime, so that the larger of two copies of an entry is the newer one.
type CounterEntry struct {
	Key    TotalKey
	Writer WriterID
	Units  MilliUnits
}

// writerEntry is the state of one writer's entry in a total. Units never decrease.
type writerEntry struct {
	units MilliUnits // largest known value

	// confirmed is the amount that the counter is known to hold; 0 if it is not known to hold
	// any. A negative value means that the shard lost the entry, which must then be written
	// again; see markLost.
	confirmed MilliUnits

	// claimed is the amount that the writer's node sent to this node by gossip at claimedAt,
	// and that the counter should soon hold; there is no open claim if claimedAt is zero. A
	// response that lacks a claimed amount is evidence of a diverged shard.
	claimed   MilliUnits
	claimedAt time.Time

	stored MilliUnits // amount in local storage; 0 if not stored
}

// pendingUnits returns the amount by which the entry exceeds what the counter has confirmed.
func (e *writerEntry) pendingUnits() MilliUnits { return e.units - e.confirmed }

// lostConfirmation is added to writerEntry.confirmed each time the entry is lost.
const lostConfirmation MilliUnits = -1

// markLost marks the entry as lost by its shard, by a negative value of confirmed. Each further
// loss before the counter holds the entry again lowers confirmed by another thousandth of a
// unit, which raises pendingUnits, and with it the urgency of the next call, only negligibly.
func (e *writerEntry) markLost() { e.confirmed = min(e.confirmed, 0) + lostConfirmation }

// entry returns a writer's entry, and creates it if it is missing.
func (w *windowTotal) entry(writer WriterID) *writerEntry {
	entry := w.entries[writer]
	if entry == nil {
		entry = &writerEntry{}
		w.entries[writer] = entry
	}
	return entry
}

// sortedWriters returns the writers of a total in a fixed order, so that runs are reproducible.
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

// mergeClaim merges an entry that the writer's node sent by gossip. The counter should soon
// hold it, too.
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

// entryOfOther records the writer's incarnation and returns its entry. It returns nil if the
// writer is this process: no other node has a newer copy of that entry.
func (t *Tracker) entryOfOther(total *windowTotal, writer WriterID) *writerEntry {
	t.latestIncarnation[writer.Node] = max(t.latestIncarnation[writer.Node], writer.Incarnation)
	if writer == t.settings.Self {
		return nil
	}
	return total.entry(writer)
}

// raise merges units into an entry by maximum, and subtracts an increase from the customer's
// level.
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
