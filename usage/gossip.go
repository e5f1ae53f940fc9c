package usage

import "time"

// Tuned values of gossip.
const (
	maxEntriesPerMessage    = 12                      // registers in one message
	isolatedAfter           = 1500 * time.Millisecond // without a word of a peer its node may hear none
	isolatedRefreshInterval = 500 * time.Millisecond  // then who is in use is asked for again after this
)

// MergeFromPeer tells of registers that another node sent.
func (t *Tracker) MergeFromPeer(now time.Time, from int, list []CounterEntry) {
	t.peerHeardAt = now
	for _, r := range list {
		c := t.customers[r.Key.Customer]
		if c == nil || r.Writer.Node != from {
			continue // not one that comes in here, or not its own to tell
		}
		if w := t.windowAt(now); r.Key.Window < w-int64(t.settings.RetainedWindows) || r.Key.Window > w+1 {
			continue
		}
		a := t.totalFor(now, r.Key, c.plan)
		t.merge(now, a, r, true)
	}
}

// gossip sends news of own registers to the nodes that the customer comes in
// through, as the mail allows.
func (t *Tracker) gossip() {
	if len(t.gossipQueue) == 0 || t.messageBudget < 1 {
		return
	}
	to := map[int][]CounterEntry{}
	var order []int
	done := 0
	for _, a := range t.gossipQueue {
		if float64(len(order)) > t.messageBudget {
			break
		}
		done++
		a.gossipQueued = false
		r := CounterEntry{a.key, t.settings.Self, a.entries[t.settings.Self].units}
		for _, n := range a.peers {
			if n == t.settings.Self.Node {
				continue
			}
			if len(to[n]) == 0 {
				order = append(order, n)
			}
			if len(to[n]) < maxEntriesPerMessage {
				to[n] = append(to[n], r)
			} else if !a.gossipQueued {
				a.gossipQueued = true // told with the next
			}
		}
	}
	var rest []*windowTotal
	for _, a := range t.gossipQueue[:done] {
		if a.gossipQueued {
			rest = append(rest, a)
		}
	}
	t.gossipQueue = append(rest, t.gossipQueue[done:]...)
	for _, n := range order {
		t.messageBudget--
		t.actions = append(t.actions, PeerMessage{n, to[n]})
	}
}

// isolated tells whether this node may hear none of the others: the counter is the
// witness then of what they pass.
func (t *Tracker) isolated(now time.Time) bool {
	return now.Sub(t.peerHeardAt) > isolatedAfter && now.Sub(t.startedAt) > isolatedAfter
}
