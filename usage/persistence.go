package usage

import "time"

// LoadStored puts back what storage held: own registers, of this node's earlier
// processes, are raised in the counter again. It comes before anything else.
func (t *Tracker) LoadStored(now time.Time, list []CounterEntry) {
	for _, r := range list {
		a := t.totalFor(now, r.Key, Plan{})
		if g := a.entry(r.Writer); r.Units > g.units {
			g.units = r.Units
			t.queueCall(now, a)
		}
		if g := a.entry(r.Writer); r.Writer.Node == t.settings.Self.Node {
			g.stored = r.Units
			t.queueStorage(a)
		}
	}
}

// queueStorage puts an account among those to be compared with storage.
func (t *Tracker) queueStorage(a *windowTotal) {
	if !a.storageQueued && !a.evicted {
		a.storageQueued = true
		t.storageQueue = append(t.storageQueue, a)
	}
}

// StorageChanges lists what storage must change to hold this node's registers that the
// counter has not confirmed, and those of windows still open: registers to put, and
// those with 0 units to take out. It looks at so many accounts at most, so that the
// loop is not held up; more tells that there are others.
func (t *Tracker) StorageChanges(now time.Time, most int) (list []CounterEntry, more bool) {
	w := t.windowAt(now)
	n := min(most, len(t.storageQueue))
	for _, a := range t.storageQueue[:n] {
		a.storageQueued = false
		if a.evicted {
			continue // its registers are in t.dropped
		}
		for o, g := range a.entries {
			if o.Node != t.settings.Self.Node {
				continue
			}
			units := g.units
			if g.confirmed >= g.units && a.key.Window < w-1 {
				units = 0
			}
			if units != g.stored {
				g.stored = units
				list = append(list, CounterEntry{a.key, o, units})
			}
		}
	}
	clear(t.storageQueue[:n])
	if t.storageQueue = t.storageQueue[n:]; len(t.storageQueue) == 0 {
		t.storageQueue = nil
	}
	k := min(most, len(t.evictedStored))
	list = append(list, t.evictedStored[:k]...)
	t.evictedStored = t.evictedStored[k:]
	return list, len(t.storageQueue) > 0 || len(t.evictedStored) > 0
}
