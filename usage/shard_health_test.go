package usage

import (
	"fmt"
	"testing"
	"time"
)

// Guards against wrong diagnoses: each fault of the counter must be reported as its own shard state,
// and as no other one.
func TestShardStateMatchesFault(t *testing.T) {
	for name, c := range map[string]struct {
		want  ShardState
		fault func(f *fleet)
	}{
		"none":              {Healthy, func(*fleet) {}},
		"no response":       {Unresponsive, func(f *fleet) { f.fault = noResponse; f.forwardSteadily(3 * time.Second); f.fault = noFault }},
		"lost responses":    {Unresponsive, func(f *fleet) { f.fault = lostResponses; f.forwardSteadily(3 * time.Second); f.fault = noFault }},
		"empty replacement": {Emptied, func(f *fleet) { f.replaceWithEmpty() }},
		"old copy": {Stale, func(f *fleet) {
			old := f.copies[0].clone()
			f.forwardSteadily(time.Second)
			f.replaceWith(old)
		}},
		"old copy of another shard": {Replaced, func(f *fleet) {
			old := f.copies[0].clone()
			old.epoch = "x"
			f.replaceWith(old)
		}},
		"split": {Diverged, func(f *fleet) {
			f.splitCounter()
			for range 40 { // both copies serve the same customer
				f.forward(f.nodes[0], "a", 1)
				f.forward(f.nodes[1], "a", 1)
				f.advance(200 * time.Millisecond)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.forwardSteadily(5 * time.Second)
				c.fault(f)
				f.forwardSteadily(3 * time.Second)
				f.checkReported(c.want)
				f.heal("both")
				f.forwardSteadily(5 * time.Second)
				f.checkHealthy()
			})
		})
	}
}

// checkReported checks that a state was reported, and no other fault.
func (f *fleet) checkReported(want ShardState) {
	if !f.reported(want) {
		f.t.Fatalf("expected state was not reported: %v", f.stateChanges)
	}
	for _, state := range []ShardState{Unresponsive, Emptied, Replaced, Stale, Diverged} {
		if state != want && f.reported(state) {
			f.t.Fatalf("wrongly reported as %v: %v", state, f.stateChanges)
		}
	}
}

// checkHealthy checks that the counter is healthy according to every node.
func (f *fleet) checkHealthy() {
	for _, n := range f.nodes {
		if state := n.tracker.ShardState(0); state != Healthy {
			f.t.Fatalf("node %d reports %v after the fault ended", n.index, state)
		}
	}
}

// Guards against a fault of one shard affecting customers on other shards.
func TestFaultOfOneShardLeavesOtherShardsCorrect(t *testing.T) {
	s := newShardedCounter(2)
	s.forward()
	s.checkTotals(t)
	s.unresponsive = 1
	s.forward()
	s.checkTotals(t)
	if s.tracker.ShardState(0) != Healthy || s.tracker.ShardState(1) != Unresponsive {
		t.Errorf("states %v, %v", s.tracker.ShardState(0), s.tracker.ShardState(1))
	}
	s.unresponsive = noShard
	s.shards[1] = newFakeShard("2")
	s.forward()
	s.forward()
	s.checkTotals(t)
	for _, change := range s.stateChanges {
		if change.Shard == 0 && change.State != Healthy {
			t.Errorf("shard without a fault changed state: %+v", change)
		}
	}
}

// noShard is an index that no shard has.
const noShard = -1

// shardedCounter simulates one node with a counter of several shards.
type shardedCounter struct {
	now          time.Time
	tracker      *Tracker
	shards       []*fakeShard
	unresponsive int // index of the shard that does not respond, or noShard
	forwarded    map[string]MilliUnits
	stateChanges []ShardStateChanged
}

func newShardedCounter(shards int) *shardedCounter {
	settings := singleNodeSettings(shards, time.Hour, Plan{10, 20})
	settings.CommandsPerSecond = 100
	s := &shardedCounter{now: startTime, tracker: New(settings), unresponsive: noShard, forwarded: map[string]MilliUnits{}}
	for range shards {
		s.shards = append(s.shards, newFakeShard("1"))
	}
	return s
}

func (s *shardedCounter) perform(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case CounterCall:
			response := CounterResponse{Failed: true}
			if action.Shard != s.unresponsive {
				response = s.shards[action.Shard].execute(action)
			}
			s.perform(s.tracker.HandleResponse(s.now, action.ID, response))
		case ShardStateChanged:
			s.stateChanges = append(s.stateChanges, action)
		}
	}
}

// forward simulates 50 requests of ten customers within five seconds.
func (s *shardedCounter) forward() {
	for i := range 50 {
		s.now = s.now.Add(tickInterval)
		customer := fmt.Sprint("c", i%10)
		s.perform(s.tracker.RecordRequest(s.now, customer, "p", []int{0, 1}))
		s.tracker.RecordForwarded(s.now, customer, "p", []int{0, 1}, 1)
		s.forwarded[customer] += 1000
		s.perform(s.tracker.Tick(s.now))
	}
}

// checkTotals checks that every responsive shard holds all forwarded units.
func (s *shardedCounter) checkTotals(t *testing.T) {
	t.Helper()
	for customer, want := range s.forwarded {
		shard := s.tracker.ShardOf(customer)
		if shard == s.unresponsive {
			continue
		}
		key := TotalKey{customer, s.tracker.windowAt(s.now)}
		if got := s.shards[shard].totals[key][WriterID{0, 1}]; got != want {
			t.Errorf("%s on shard %d: counter holds %d, %d forwarded", customer, shard, got, want)
		}
	}
}
