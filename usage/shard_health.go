package usage

import (
	"cmp"
	"fmt"
	"time"
)

// Tuned values of shard health.
const (
	unresponsiveAfter       = time.Second            // without an answer a part is silent
	initialBackoff          = 250 * time.Millisecond // a silent part is asked again after this,
	maxBackoff              = 2 * time.Second        // doubled up to this
	healthyResponsesNeeded  = 3                      // good answers in a row that end a fault
	divergedResponsesNeeded = 3                      // answers in a row that lack what peers say they added
	claimSettleTime         = 2 * time.Second        // what a peer said must be in the counter after this
)

// ShardState is what is believed of one part of the counter.
type ShardState int

// The states.
const (
	Unknown      ShardState = iota // not asked yet
	Healthy                        // it holds what it should
	Unresponsive                   // it gives no answer
	Emptied                        // it lost what it held
	Replaced                       // another one answers in its place
	Stale                          // it holds an old copy
	Diverged                       // it lacks what others say they added
)

func (s ShardState) String() string {
	return [...]string{"unknown", "sound", "silent", "emptied", "replaced", "behind", "split"}[s]
}

// shardHealth is one part of the counter.
type shardHealth struct {
	state             ShardState
	epoch             string
	epochAskedAt      time.Time // when the epoch was last asked for
	lossSuspected     bool      // totals were lost, it is not told yet how
	entriesGone       bool      // gone,
	entriesLower      bool      // or lower than they were
	lossEvidence      string
	respondedAt       time.Time // last answer
	retryAt           time.Time // not before
	backoff           time.Duration
	healthyResponses  int // answers in a row without a fault
	divergedResponses int // answers in a row that lack what peers added
	failedCalls       int // calls in a row without an answer
}

// ShardState is what is believed of a part.
func (t *Tracker) ShardState(part int) ShardState { return t.shards[part].state }

// ShardOf is the part of the counter that holds a customer, by its name.
func (t *Tracker) ShardOf(name string) int {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h % uint32(len(t.shards)))
}

// noAnswer: the call may have counted. Registers make it harmless to ask again.
func (t *Tracker) handleFailure(now time.Time, a *windowTotal, p *shardHealth) {
	p.failedCalls++
	p.healthyResponses = 0
	if p.state != Unresponsive && p.failedCalls > 1 && now.Sub(p.respondedAt) > unresponsiveAfter {
		t.setShardState(a, p, Unresponsive, fmt.Sprintf("%d calls in a row without an answer", p.failedCalls))
		p.backoff = initialBackoff
	} else if p.state == Unresponsive {
		p.backoff = min(2*p.backoff, maxBackoff)
	}
	if p.state == Unresponsive {
		p.retryAt = now.Add(p.backoff)
	}
	t.queueCall(now, a)
}

// assessResponse compares an answer with what must be in it.
func (t *Tracker) assessResponse(now time.Time, a *windowTotal, p *shardHealth, ans *CounterResponse) {
	p.respondedAt, p.retryAt, p.backoff, p.failedCalls = now, time.Time{}, 0, 0
	in := map[WriterID]MilliUnits{}
	for _, r := range ans.Entries {
		in[r.Writer] = r.Units
	}
	lost, lower := 0, 0
	var most MilliUnits
	for _, o := range a.sortedWriters() {
		g := a.entries[o]
		if g.confirmed > 0 && in[o] < g.confirmed {
			if most = max(most, g.confirmed-in[o]); in[o] == 0 {
				lost++
			} else {
				lower++
			}
		}
	}
	lacks := 0
	for o, g := range a.entries {
		if g.claimedAt.IsZero() {
			continue
		}
		if in[o] >= g.claimed {
			g.claimedAt = time.Time{}
		} else if now.Sub(g.claimedAt) > claimSettleTime {
			lacks++
		}
	}
	fresh := p.epoch != "" && ans.Epoch != "" && ans.Epoch != p.epoch
	p.epoch = cmp.Or(ans.Epoch, p.epoch)
	evidence := func(what string) string {
		return fmt.Sprintf("%s: of %s, window %d, %d totals were gone and %d lower, by %.3f units at most", what, a.key.Customer,
			a.key.Window, lost, lower, float64(most)/1000)
	}
	refilled := fresh || lost > 0 || lower > 0
	if refilled {
		t.restoreShard(now, a, p)
	}
	// Which loss it is shows with the epoch, which is asked for next where this
	// answer did not bring it.
	if refilled {
		p.entriesGone = p.entriesGone || lost > 0 || len(in) == 0
		p.lossSuspected, p.entriesLower, p.lossEvidence = true, p.entriesLower || lower > 0, evidence("totals lost")
	}
	switch {
	case p.lossSuspected && ans.Epoch == "":
		p.epochAskedAt = time.Time{}
	case p.lossSuspected:
		s := Stale
		if fresh && p.entriesGone && !p.entriesLower {
			s = Emptied
		} else if fresh {
			s = Replaced
		}
		p.lossSuspected, p.entriesLower, p.entriesGone = false, false, false
		t.setShardState(a, p, s, p.lossEvidence)
	case lacks > 0:
		p.healthyResponses = 0
		if p.divergedResponses++; p.divergedResponses >= divergedResponsesNeeded {
			t.setShardState(a, p, Diverged, fmt.Sprintf("of %s, window %d, %d nodes say they added what is not there", a.key.Customer,
				a.key.Window, lacks))
		}
	default:
		p.divergedResponses = 0
		if p.healthyResponses++; p.healthyResponses >= healthyResponsesNeeded || p.state == Unknown {
			t.setShardState(a, p, Healthy, "answers hold all they should")
		}
	}
	// What the answer holds is what is in the counter, also where it is less.
	for o, g := range a.entries {
		if g.confirmed = in[o]; refilled && g.confirmed == 0 {
			g.confirmed = -1
		}
	}
}

func (t *Tracker) setShardState(a *windowTotal, p *shardHealth, s ShardState, text string) {
	if p.state == s {
		return
	}
	p.state = s
	t.actions = append(t.actions, OperatorNote{t.ShardOf(a.key.Customer), s, text})
}
