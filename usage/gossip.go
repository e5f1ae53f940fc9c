package usage

import "time"

const (
	// maxEntriesPerMessage bounds the size of a message to a peer.
	maxEntriesPerMessage = 12

	// isolatedAfter is the time without a message from any peer after which a node counts as
	// isolated.
	isolatedAfter = 1500 * time.Millisecond

	// isolatedRefreshInterval is how often an isolated node reads the totals in use from the
	// counter.
	isolatedRefreshInterval = 500 * time.Millisecond
)

// MergeFromPeer merges entries that a peer sent. It ignores entries whose writer is not a
// process of that peer, entries of customers without requests at this node, and entries whose
// window is out of range.
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

// windowInRange reports whether entries of a window are accepted from peers. The peer's clock
// may be ahead by one window.
func (t *Tracker) windowInRange(now time.Time, window int64) bool {
	current := t.windowAt(now)
	return window >= current-int64(t.settings.RetainedWindows) && window <= current+1
}

// queueGossip queues a total for messages to its peers, after this process's entry has grown.
func (t *Tracker) queueGossip(total *windowTotal) {
	if total.gossipQueued || len(total.peers) <= 1 {
		return
	}
	total.gossipQueued = true
	t.gossipQueue = append(t.gossipQueue, total)
}

// gossip sends the queued entries of this process to the peers that serve the customer, as far
// as the budget allows. A total that did not fit into a peer's message stays queued.
func (t *Tracker) gossip() {
	if len(t.gossipQueue) == 0 || t.messageBudget < 1 {
		return
	}
	batch := messageBatch{entries: map[int][]CounterEntry{}}
	processed := 0
	for _, total := range t.gossipQueue {
		if float64(len(batch.peers)) > t.messageBudget {
			break
		}
		processed++
		total.gossipQueued = !batch.add(t.settings.Self, total)
	}
	var queue []*windowTotal
	for _, total := range t.gossipQueue[:processed] {
		if total.gossipQueued {
			queue = append(queue, total)
		}
	}
	t.gossipQueue = append(queue, t.gossipQueue[processed:]...)
	for _, peer := range batch.peers {
		t.messageBudget--
		t.actions = append(t.actions, PeerMessage{peer, batch.entries[peer]})
	}
}

// messageBatch accumulates one message for each peer.
type messageBatch struct {
	peers   []int // recipients, in the order in which they got their first entry
	entries map[int][]CounterEntry
}

// add adds a writer's entry of a total to the messages of all peers except the writer's node. It
// returns false if a message was already full.
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

// isolated reports whether this node may be partitioned from all its peers. It then learns of
// their usage only from the counter.
func (t *Tracker) isolated(now time.Time) bool {
	return now.Sub(t.lastPeerMessageAt) > isolatedAfter && now.Sub(t.startedAt) > isolatedAfter
}
