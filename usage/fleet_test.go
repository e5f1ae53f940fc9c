package usage

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") } // the same verdict every time

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// copy of the counter: what one part holds.
type fakeShard struct {
	epoch  string
	totals map[TotalKey]map[WriterID]MilliUnits
	levels map[string]Level
}

func newFakeShard(epoch string) *fakeShard {
	return &fakeShard{epoch, map[TotalKey]map[WriterID]MilliUnits{}, map[string]Level{}}
}

func (h *fakeShard) clone() *fakeShard {
	c := newFakeShard(h.epoch)
	for k, m := range h.totals {
		c.totals[k] = maps.Clone(m)
	}
	c.levels = maps.Clone(h.levels)
	return c
}

// execute carries out a call as the counter does.
func (h *fakeShard) execute(c CounterCall) CounterResponse {
	m := h.totals[c.Key]
	if m == nil {
		m = map[WriterID]MilliUnits{}
		h.totals[c.Key] = m
	}
	ans := CounterResponse{Level: h.levels[c.Key.Customer]}
	if c.ReadEpoch {
		ans.Epoch = h.epoch
	}
	for o, u := range m {
		ans.Entries = append(ans.Entries, CounterEntry{c.Key, o, u})
	}
	for _, r := range c.Raise {
		m[r.Writer] = r.Units
	}
	for _, r := range c.AddIfMissing {
		if _, have := m[r.Writer]; !have {
			m[r.Writer] = r.Units
		}
	}
	if !c.Level.At.IsZero() {
		h.levels[c.Key.Customer] = c.Level
	}
	return ans
}

// merge takes the other's totals in, by the larger.
func (h *fakeShard) merge(o *fakeShard) {
	for k, m := range o.totals {
		if h.totals[k] == nil {
			h.totals[k] = map[WriterID]MilliUnits{}
		}
		for owner, u := range m {
			h.totals[k][owner] = max(h.totals[k][owner], u)
		}
	}
}

// fleet is a fleet with a counter in two copies (one, but for a split).
type fleet struct {
	t                 *rapid.T
	now               time.Time
	nodes             []*node
	copies            [2]*fakeShard
	split             bool
	savedCopy         *fakeShard
	fault             string // "", silent, lost (done, but the answer is lost)
	lastEpoch         int
	messagesDelivered bool // messages between nodes arrive
	truth             map[TotalKey]map[WriterID]MilliUnits
	notes             []OperatorNote
}

type node struct {
	tracker     *Tracker
	disk        map[CounterEntry]MilliUnits // as last saved, by register without its units
	incarnation uint64
	index       int
}

func (w *fleet) settings(n int, inc uint64) Settings {
	return Settings{Self: WriterID{n, inc}, Shards: 1, Window: time.Minute, RetainedWindows: 60, CallsPerSecond: 200, PeerMessagesPerSecond: 50,
		Plans: map[string]Plan{"p": {Rate: 10, Burst: 20}}}
}

func newFleet(t *rapid.T, nodes int) *fleet {
	w := &fleet{t: t, now: startTime, truth: map[TotalKey]map[WriterID]MilliUnits{}, messagesDelivered: true, lastEpoch: 1}
	w.copies[0] = newFakeShard("1")
	w.copies[1] = w.copies[0]
	for i := range nodes {
		w.nodes = append(w.nodes, &node{tracker: New(w.settings(i, 1)), disk: map[CounterEntry]MilliUnits{}, incarnation: 1, index: i})
	}
	return w
}

func (w *fleet) peers() []int {
	var all []int
	for i := range w.nodes {
		all = append(all, i)
	}
	return all
}

// perform carries out what a node wants.
func (w *fleet) perform(m *node, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case CounterCall:
			ans := CounterResponse{Failed: true}
			if w.fault != "silent" {
				got := w.copies[m.index%2].execute(a)
				if w.fault != "lost" {
					ans = got
				}
			}
			w.perform(m, m.tracker.HandleResponse(w.now, a.ID, ans))
		case PeerMessage:
			if w.messagesDelivered && len(a.Entries) <= maxEntriesPerMessage {
				w.nodes[a.To].tracker.MergeFromPeer(w.now, m.index, a.Entries)
			}
		case OperatorNote:
			w.notes = append(w.notes, a)
		}
	}
}

func (w *fleet) forward(m *node, customer string, units float64) {
	k := TotalKey{customer, m.tracker.windowAt(w.now)}
	if w.truth[k] == nil {
		w.truth[k] = map[WriterID]MilliUnits{}
	}
	w.truth[k][WriterID{m.index, m.incarnation}] += MilliUnits(units * 1000)
	w.perform(m, m.tracker.RecordRequest(w.now, customer, "p", w.peers()))
	m.tracker.RecordForwarded(w.now, customer, "p", w.peers(), units)
}

func (w *fleet) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, m := range w.nodes {
			w.perform(m, m.tracker.Tick(w.now))
		}
	}
}

func (w *fleet) forwardSteadily(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for i, m := range w.nodes {
			w.forward(m, []string{"a", "b"}[i%2], 1)
		}
		w.advance(200 * time.Millisecond)
	}
}

func (w *fleet) restart(m *node, disk bool) {
	m.incarnation++
	m.tracker = New(w.settings(m.index, m.incarnation))
	if disk {
		var list []CounterEntry
		for r, units := range m.disk {
			list = append(list, CounterEntry{r.Key, r.Writer, units})
		}
		m.tracker.LoadStored(w.now, list)
	} else {
		m.disk = map[CounterEntry]MilliUnits{}
	}
}

// save does what the store does with changes.
func (m *node) save(now time.Time) {
	for more := true; more; {
		var list []CounterEntry
		list, more = m.tracker.StorageChanges(now, 2)
		for _, r := range list {
			key := CounterEntry{Key: r.Key, Writer: r.Writer}
			if m.disk[key] = r.Units; r.Units == 0 {
				delete(m.disk, key)
			}
		}
	}
}

// replaceWithEmpty is an empty counter in the place of the old one.
func (w *fleet) replaceWithEmpty() {
	w.lastEpoch++
	w.copies[0] = newFakeShard(fmt.Sprint(w.lastEpoch))
	w.copies[1] = w.copies[0]
}

func (w *fleet) divide() {
	if !w.split {
		w.copies[1] = w.copies[0].clone()
		w.split = true
	}
}

func (w *fleet) heal(how string) {
	switch how {
	case "first":
		w.copies[1] = w.copies[0]
	case "second":
		w.copies[0] = w.copies[1]
	case "both":
		w.copies[0].merge(w.copies[1])
		w.copies[1] = w.copies[0]
	}
	w.split = false
}

// check: nothing counts twice, and no node believes more than the truth, nor
// less than what it passed itself.
func (w *fleet) checkInvariants() {
	for _, h := range w.copies {
		for k, m := range h.totals {
			for o, u := range m {
				if u > w.truth[k][o] {
					w.t.Fatalf("counter holds %d of %v for %v, %d passed", u, o, k, w.truth[k][o])
				}
			}
		}
	}
	for _, m := range w.nodes {
		for k, a := range m.tracker.totals {
			var sum MilliUnits
			for o, g := range a.entries {
				if g.units > w.truth[k][o] {
					w.t.Fatalf("node %d believes %d of %v for %v, %d passed", m.index, g.units, o, k, w.truth[k][o])
				}
				sum += g.units
			}
			if own := w.truth[k][WriterID{m.index, m.incarnation}]; sum < own {
				w.t.Fatalf("node %d believes %d for %v, passed %d itself", m.index, sum, k, own)
			}
		}
	}
}

// withFleet is a world outside of rapid, for single faults.
func withFleet(t *testing.T, f func(w *fleet)) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) { f(newFleet(rt, 4)) })
}

func (w *fleet) reported(s ShardState) bool {
	for _, n := range w.notes {
		if n.State == s {
			return true
		}
	}
	return false
}
