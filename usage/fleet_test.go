package usage

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed of random tests, so that runs are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// startTime is the time at which simulations start.
var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// tickInterval is the time between ticks of a simulated node.
const tickInterval = 100 * time.Millisecond

// counterFault is a fault of the simulated counter.
type counterFault string

const (
	noFault       counterFault = ""
	noResponse    counterFault = "no response"    // calls are not executed
	lostResponses counterFault = "lost responses" // calls are executed, but the responses are lost
)

// fleet simulates nodes and a counter of one shard, which may split into two copies.
type fleet struct {
	t                 *rapid.T
	now               time.Time
	nodes             []*node
	copies            [2]*fakeShard // the same shard twice unless split
	split             bool
	savedCopy         *fakeShard
	fault             counterFault
	lastEpoch         int
	messagesDelivered bool
	forwarded         map[TotalKey]map[WriterID]MilliUnits // units that were actually forwarded
	stateChanges      []ShardStateChanged
}

// node is one simulated node.
type node struct {
	tracker     *Tracker
	disk        map[CounterEntry]MilliUnits // units last saved, by entry with zero units
	incarnation uint64
	index       int
}

// writer identifies the node's process.
func (n *node) writer() WriterID { return WriterID{n.index, n.incarnation} }

func fleetSettings(node int, incarnation uint64) Settings {
	return Settings{
		Self:                  WriterID{node, incarnation},
		Shards:                1,
		Window:                time.Minute,
		RetainedWindows:       60,
		CommandsPerSecond:     200,
		PeerMessagesPerSecond: 50,
		Plans:                 map[string]Plan{"p": {Rate: 10, Burst: 20}},
	}
}

func newFleet(t *rapid.T, nodes int) *fleet {
	f := &fleet{t: t, now: startTime, forwarded: map[TotalKey]map[WriterID]MilliUnits{}, messagesDelivered: true, lastEpoch: 1}
	f.copies[0] = newFakeShard("1")
	f.copies[1] = f.copies[0]
	for i := range nodes {
		f.nodes = append(f.nodes, &node{tracker: New(fleetSettings(i, 1)), disk: map[CounterEntry]MilliUnits{}, incarnation: 1, index: i})
	}
	return f
}

// withFleet runs a test on simulated fleets of four nodes.
func withFleet(t *testing.T, test func(f *fleet)) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) { test(newFleet(rt, 4)) })
}

// peers returns the indices of all nodes.
func (f *fleet) peers() []int {
	var all []int
	for i := range f.nodes {
		all = append(all, i)
	}
	return all
}

// perform carries out a node's actions.
func (f *fleet) perform(n *node, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case CounterCall:
			f.perform(n, n.tracker.HandleResponse(f.now, action.ID, f.execute(n, action)))
		case PeerMessage:
			if f.messagesDelivered && len(action.Entries) <= maxEntriesPerMessage {
				f.nodes[action.To].tracker.MergeFromPeer(f.now, n.index, action.Entries)
			}
		case ShardStateChanged:
			f.stateChanges = append(f.stateChanges, action)
		}
	}
}

// execute executes a node's call on the copy that the node reaches, unless the current fault
// prevents it.
func (f *fleet) execute(n *node, call CounterCall) CounterResponse {
	if f.fault == noResponse {
		return CounterResponse{Failed: true}
	}
	response := f.copies[n.index%2].execute(call)
	if f.fault == lostResponses {
		return CounterResponse{Failed: true}
	}
	return response
}

// forward records at a node that it forwards a request of a customer.
func (f *fleet) forward(n *node, customer string, units float64) {
	key := TotalKey{customer, n.tracker.windowAt(f.now)}
	if f.forwarded[key] == nil {
		f.forwarded[key] = map[WriterID]MilliUnits{}
	}
	f.forwarded[key][n.writer()] += MilliUnits(units * 1000)
	f.perform(n, n.tracker.RecordRequest(f.now, customer, "p", f.peers()))
	n.tracker.RecordForwarded(f.now, customer, "p", f.peers(), units)
}

// forwardSteadily makes every node forward five requests per second for a duration.
func (f *fleet) forwardSteadily(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		for i, n := range f.nodes {
			f.forward(n, []string{"a", "b"}[i%2], 1)
		}
		f.advance(200 * time.Millisecond)
	}
}

// advance advances the simulated time and ticks all nodes.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		for _, n := range f.nodes {
			f.perform(n, n.tracker.Tick(f.now))
		}
	}
}

// restart replaces a node's process. The new process loads what the node has saved if keepDisk is
// true; otherwise the saved entries are lost.
func (f *fleet) restart(n *node, keepDisk bool) {
	n.incarnation++
	n.tracker = New(fleetSettings(n.index, n.incarnation))
	if !keepDisk {
		n.disk = map[CounterEntry]MilliUnits{}
		return
	}
	var stored []CounterEntry
	for entry, units := range n.disk {
		stored = append(stored, CounterEntry{entry.Key, entry.Writer, units})
	}
	n.tracker.LoadStored(f.now, stored)
}

// save applies the node's storage changes to its disk, like package storage.
func (n *node) save(now time.Time) {
	for more := true; more; {
		var changes []CounterEntry
		changes, more = n.tracker.StorageChanges(now, 2)
		for _, change := range changes {
			entry := CounterEntry{Key: change.Key, Writer: change.Writer}
			if change.Units == 0 {
				delete(n.disk, entry)
			} else {
				n.disk[entry] = change.Units
			}
		}
	}
}

// replaceWithEmpty replaces the counter with an empty one that has a new epoch.
func (f *fleet) replaceWithEmpty() {
	f.lastEpoch++
	f.replaceWith(newFakeShard(fmt.Sprint(f.lastEpoch)))
}

// replaceWith replaces both copies of the counter with a shard.
func (f *fleet) replaceWith(shard *fakeShard) {
	f.copies = [2]*fakeShard{shard, shard}
}

// splitCounter splits the counter into two copies: one for even node indices and one for odd ones.
func (f *fleet) splitCounter() {
	if !f.split {
		f.copies[1] = f.copies[0].clone()
		f.split = true
	}
}

// heal ends a split. It keeps the first copy, the second copy, or both copies merged.
func (f *fleet) heal(how string) {
	switch how {
	case "first":
		f.copies[1] = f.copies[0]
	case "second":
		f.copies[0] = f.copies[1]
	case "both":
		f.copies[0].merge(f.copies[1])
		f.copies[1] = f.copies[0]
	}
	f.split = false
}

// checkInvariants checks that neither the counter nor a node counts more units of a writer than it
// forwarded, and that no node counts less than it forwarded itself.
func (f *fleet) checkInvariants() {
	for _, shard := range f.copies {
		for key, entries := range shard.totals {
			for writer, units := range entries {
				if units > f.forwarded[key][writer] {
					f.t.Fatalf("counter holds %d of %v for %v, %d forwarded", units, writer, key, f.forwarded[key][writer])
				}
			}
		}
	}
	for _, n := range f.nodes {
		for key, total := range n.tracker.totals {
			f.checkTotal(n, key, total)
		}
	}
}

func (f *fleet) checkTotal(n *node, key TotalKey, total *windowTotal) {
	var sum MilliUnits
	for writer, entry := range total.entries {
		if entry.units > f.forwarded[key][writer] {
			f.t.Fatalf("node %d counts %d of %v for %v, %d forwarded", n.index, entry.units, writer, key, f.forwarded[key][writer])
		}
		sum += entry.units
	}
	if own := f.forwarded[key][n.writer()]; sum < own {
		f.t.Fatalf("node %d counts %d for %v, but forwarded %d itself", n.index, sum, key, own)
	}
}

// reported reports whether any node has reported a shard state.
func (f *fleet) reported(state ShardState) bool {
	for _, change := range f.stateChanges {
		if change.State == state {
			return true
		}
	}
	return false
}
