package usage

import "time"

// restoreShard prepares to write everything known here to a shard again after it lost
// entries, as the budget allows: entries of this node unconditionally, those of others
// only where there are none. The total whose response showed the loss is not queued here.
func (t *Tracker) restoreShard(now time.Time, cause *windowTotal, shard *shardHealth) {
	shard.healthyResponses = 0
	shard.divergedResponses = 0
	for _, total := range t.sortedTotals() {
		if t.shardOf(total) != shard {
			continue
		}
		for _, entry := range total.entries {
			entry.markLost()
		}
		t.queueStorage(total)
		if total != cause {
			t.queueCall(now, total)
		}
	}
}

// hasUnconfirmed reports whether the counter lacks entries that this node has to raise.
func (t *Tracker) hasUnconfirmed(total *windowTotal) bool {
	for writer, entry := range total.entries {
		ownPending := t.isOwn(writer) && entry.pendingUnits() > 0
		if ownPending || t.needsRepair(total, writer, entry) {
			return true
		}
	}
	return false
}

// needsRepair reports whether the counter has a lower value of a dead writer's entry than
// before.
// A writer is dead once a later process of its node is known. Every node that knows the
// larger value raises it; two that know different values may overwrite each other once,
// and the larger value remains.
func (t *Tracker) needsRepair(total *windowTotal, writer WriterID, entry *writerEntry) bool {
	writerDead := writer.Incarnation < t.latestIncarnation[writer.Node]
	lowerThanKnown := entry.confirmed > 0 && entry.pendingUnits() > 0
	return writerDead && lowerThanKnown && !total.respondedAt.IsZero()
}
