package usage

import "time"

const (
	// maxEntriesPerMessage bounds the size of a message to a peer.
	maxEntriesPerMessage = 12

	// isolatedAfter is how long a node receives no peer's message before it counts as
	// isolated.
	isolatedAfter = 1500 * time.Millisecond

	// isolatedRefreshInterval is how often an isolated node reads the totals in use.
	isolatedRefreshInterval = 500 * time.Millisecond
)

// MergeFromPeer merges entries that a node sent. Entries of other writers than that node's
// own, of customers without a request here, and of windows out of range are ignored.
func (t *Tracker) MergeFromPeer(now time.Time, from int, entries []CounterEntry) {
	t.lastPeerMessageAt = now
	for _, entry := range entries {
		customer := t.customers[entry.Key.Customer]
		if customer == nil || entry.Writer.Node != from || !t.windowInRange(now, entry.Key.Window) {
			continue
		}
		t.mergeClaim(now, t.totalFor(entry.Key, customer.plan), entry)
	}
}

// windowInRange reports whether a peer's entry of a window is accepted: the peer's clock may be
// ahead by one window.
func (t *Tracker) windowInRange(now time.Time, window int64) bool {
	current := t.windowAt(now)
	return window >= current-int64(t.settings.RetainedWindows) && window <= current+1
}

// queueGossip queues a total whose own entry has grown for messages to its peers.
func (t *Tracker) queueGossip(total *windowTotal) {
	if total.gossipQueued || len(total.peers) <= 1 {
		return
	}
	total.gossipQueued = true
	t.gossipQueue = append(t.gossipQueue, total)
}

// gossip sends queued entries of this process to the peers that serve the customer, as the
// budget allows. A total that did not fit into a peer's message stays queued.
func (t *Tracker) gossip() {
	if len(t.gossipQueue) == 0 || t.messageBudget < 1 {
		return
	}
	batch := messageBatch{entries: map[int][]CounterEntry{}}
	taken := 0
	for _, total := range t.gossipQueue {
		if float64(len(batch.peers)) > t.messageBudget {
			break
		}
		taken++
		total.gossipQueued = !batch.add(t.settings.Self, total)
	}
	var queue []*windowTotal
	for _, total := range t.gossipQueue[:taken] {
		if total.gossipQueued {
			queue = append(queue, total)
		}
	}
	t.gossipQueue = append(queue, t.gossipQueue[taken:]...)
	for _, peer := range batch.peers {
		t.messageBudget--
		t.actions = append(t.actions, PeerMessage{peer, batch.entries[peer]})
	}
}

// messageBatch collects one message for each peer.
type messageBatch struct {
	peers   []int // in the order of their first entry
	entries map[int][]CounterEntry
}

// add adds a writer's entry of a total to the messages for all peers but the writer's node.
// It returns false if a message was full.
func (b *messageBatch) add(writer WriterID, total *windowTotal) bool {
	complete := true
	entry := CounterEntry{total.key, writer, total.entries[writer].units}
	for _, peer := range total.peers {
		if peer == writer.Node {
			continue
		}
		if len(b.entries[peer]) == maxEntriesPerMessage {
			complete = false
			continue
		}
		if len(b.entries[peer]) == 0 {
			b.peers = append(b.peers, peer)
		}
		b.entries[peer] = append(b.entries[peer], entry)
	}
	return complete
}

// isolated reports whether this node may be cut off from all its peers. It then learns of
// their usage from the counter alone.
func (t *Tracker) isolated(now time.Time) bool {
	return now.Sub(t.lastPeerMessageAt) > isolatedAfter && now.Sub(t.startedAt) > isolatedAfter
}
