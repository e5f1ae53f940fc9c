package usage

import "time"

// LoadStored restores entries that earlier processes of this node saved, so that they are written
// to the counter again. It must be called before any other method.
func (t *Tracker) LoadStored(now time.Time, entries []CounterEntry) {
	for _, stored := range entries {
		total := t.totalFor(stored.Key, Plan{})
		entry := total.entry(stored.Writer)
		if stored.Units > entry.units {
			entry.units = stored.Units
			t.queueCall(now, total)
		}
		if t.isOwn(stored.Writer) {
			entry.stored = stored.Units
			t.queueStorage(total)
		}
	}
}

// queueStorage queues a total whose stored entries may be out of date for the next save.
func (t *Tracker) queueStorage(total *windowTotal) {
	if total.storageQueued || total.evicted {
		return
	}
	total.storageQueued = true
	t.storageQueue = append(t.storageQueue, total)
}

// StorageChanges returns the entries to save, and, with zero Units, those to delete. Storage then
// contains those entries of this node that the counter has not confirmed or whose window is
// still open. The changes are not returned again, so the caller must keep them until they are
// saved. A call examines at most limit totals, which bounds its duration; more reports whether
// another call may return further changes.
func (t *Tracker) StorageChanges(now time.Time, limit int) (changes []CounterEntry, more bool) {
	lastOpenWindow := t.windowAt(now) - 1
	examined := min(limit, len(t.storageQueue))
	for _, total := range t.storageQueue[:examined] {
		total.storageQueued = false
		if !total.evicted { // entries of evicted totals are in evictedStored
			changes = t.appendChanges(changes, total, lastOpenWindow)
		}
	}
	clear(t.storageQueue[:examined])
	t.storageQueue = t.storageQueue[examined:]
	if len(t.storageQueue) == 0 {
		t.storageQueue = nil
	}
	deleted := min(limit, len(t.evictedStored))
	changes = append(changes, t.evictedStored[:deleted]...)
	t.evictedStored = t.evictedStored[deleted:]
	return changes, len(t.storageQueue) > 0 || len(t.evictedStored) > 0
}

// appendChanges appends the changes of one total and records them as stored.
func (t *Tracker) appendChanges(changes []CounterEntry, total *windowTotal, lastOpenWindow int64) []CounterEntry {
	for writer, entry := range total.entries {
		if !t.isOwn(writer) {
			continue
		}
		wanted := entry.units
		if entry.pendingUnits() <= 0 && total.key.Window < lastOpenWindow {
			wanted = 0
		}
		if wanted != entry.stored {
			entry.stored = wanted
			changes = append(changes, CounterEntry{total.key, writer, wanted})
		}
	}
	return changes
}
