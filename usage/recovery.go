package usage

import "time"

// restoreShard marks all entries of a shard as lost and queues its totals, so that everything
// known to this node is written again as the budget allows: entries of this node unconditionally,
// entries of others only if they are missing. It does not queue the total whose
// response showed the loss; handleValidResponse queues that total if necessary.
func (t *Tracker) restoreShard(now time.Time, affected *windowTotal, shard *shardHealth) {
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
		if total != affected {
			t.queueCall(now, total)
		}
	}
}

// hasUnconfirmed reports whether the counter lacks units of entries that this node must raise.
func (t *Tracker) hasUnconfirmed(total *windowTotal) bool {
	for writer, entry := range total.entries {
		ownPending := t.isOwn(writer) && entry.pendingUnits() > 0
		if ownPending || t.needsRepair(total, writer, entry) {
			return true
		}
	}
	return false
}

// needsRepair reports whether the counter holds a lower value of a dead writer's entry than this
// node knows. A writer is dead once a later process of its node is known. Every node that knows a
// larger value raises the entry. Two nodes that know different values may overwrite each other
// once; afterwards the larger value remains.
func (t *Tracker) needsRepair(total *windowTotal, writer WriterID, entry *writerEntry) bool {
	writerDead := writer.Incarnation < t.latestIncarnation[writer.Node]
	lowerThanKnown := entry.confirmed > 0 && entry.pendingUnits() > 0
	return writerDead && lowerThanKnown && !total.respondedAt.IsZero()
}
