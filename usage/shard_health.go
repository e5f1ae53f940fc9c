package usage

import (
	"cmp"
	"time"
)

const (
	// unresponsiveAfter is how long a shard gives no valid response before it counts as
	// unresponsive; minFailedCalls as many calls must have failed.
	unresponsiveAfter = time.Second
	minFailedCalls    = 2

	// An unresponsive shard is probed after initialBackoff, doubled up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second

	// minHealthyResponses is how many consecutive responses must have every expected entry
	// before a fault counts as over.
	minHealthyResponses = 3

	// minDivergedResponses is how many consecutive responses must lack claimed entries
	// before a shard counts as diverged.
	minDivergedResponses = 3

	// claimTimeout is how long after a peer's claim the entry must be in the counter.
	claimTimeout = 2 * time.Second
)

// shardHealth is the state of one shard of the counter.
type shardHealth struct {
	index       int
	state       ShardState
	epoch       string // last read; "": never
	epochReadAt time.Time

	// Calls without a valid response.
	failedCalls int // consecutive
	respondedAt time.Time
	retryAt     time.Time // no call before
	backoff     time.Duration

	// Responses.
	healthyResponses  int // consecutive
	divergedResponses int // consecutive

	// A loss that is not classified until the epoch is read.
	lossSuspected  bool
	entriesMissing bool // some were missing, or the total was empty
	entriesLower   bool
	lossEvidence   LostEntries
}

// countFailedCall updates a shard's state and backoff after a call without a valid response.
func (t *Tracker) countFailedCall(now time.Time, shard *shardHealth) {
	shard.failedCalls++
	shard.healthyResponses = 0
	overdue := shard.failedCalls >= minFailedCalls && now.Sub(shard.respondedAt) > unresponsiveAfter
	switch {
	case shard.state == Unresponsive:
		shard.backoff = min(2*shard.backoff, maxBackoff)
	case overdue:
		t.setShardState(shard, Unresponsive, FailedCalls{shard.failedCalls})
		shard.backoff = initialBackoff
	default:
		return
	}
	shard.retryAt = now.Add(shard.backoff)
}

// clearFailedCalls ends the count of failed calls and the backoff, after a valid response.
func (s *shardHealth) clearFailedCalls(now time.Time) {
	s.respondedAt = now
	s.retryAt = time.Time{}
	s.backoff = 0
	s.failedCalls = 0
}

// updateEpoch records the epoch of a response, and reports whether it has changed.
func (s *shardHealth) updateEpoch(epoch string) bool {
	changed := s.epoch != "" && epoch != "" && epoch != s.epoch
	s.epoch = cmp.Or(epoch, s.epoch)
	return changed
}

// updateShardHealth compares a valid response with the entries confirmed earlier, updates the
// shard's state, and records the entries of the response as confirmed.
func (t *Tracker) updateShardHealth(now time.Time, total *windowTotal, response *CounterResponse) {
	shard := t.shardOf(total)
	shard.clearFailedCalls(now)
	held := make(map[WriterID]MilliUnits, len(response.Entries))
	for _, entry := range response.Entries {
		held[entry.Writer] = entry.Units
	}
	loss := total.findLoss(held)
	overdueClaims := total.updateClaims(now, held)
	epochChanged := shard.updateEpoch(response.Epoch)
	lossFound := epochChanged || loss.any()
	if lossFound {
		t.restoreShard(now, total, shard)
		shard.suspectLoss(loss, len(held) == 0)
	}
	switch {
	case shard.lossSuspected && response.Epoch == "":
		shard.epochReadAt = time.Time{} // the next call reads it
	case shard.lossSuspected:
		t.setShardState(shard, shard.classifyLoss(epochChanged), shard.lossEvidence)
	case overdueClaims > 0:
		t.countDivergedResponse(shard, UnconfirmedClaims{total.key, overdueClaims})
	default:
		t.countHealthyResponse(shard)
	}
	total.confirm(held, lossFound)
}

// findLoss compares the entries in the counter with those that it confirmed earlier.
func (w *windowTotal) findLoss(held map[WriterID]MilliUnits) LostEntries {
	loss := LostEntries{Key: w.key}
	for writer, entry := range w.entries {
		if entry.confirmed <= 0 || held[writer] >= entry.confirmed {
			continue
		}
		loss.LargestLoss = max(loss.LargestLoss, entry.confirmed-held[writer])
		if held[writer] == 0 {
			loss.Missing++
		} else {
			loss.Lower++
		}
	}
	return loss
}

// updateClaims closes the claims whose entries are in the counter, and returns the number
// of those whose entries are overdue.
func (w *windowTotal) updateClaims(now time.Time, held map[WriterID]MilliUnits) (overdue int) {
	for writer, entry := range w.entries {
		if entry.claimedAt.IsZero() {
			continue
		}
		if held[writer] >= entry.claimed {
			entry.claimedAt = time.Time{}
		} else if now.Sub(entry.claimedAt) > claimTimeout {
			overdue++
		}
	}
	return overdue
}

// confirm records the entries in the counter as confirmed, also where they are lower than
// before. After a loss, those that are missing are marked as lost.
func (w *windowTotal) confirm(held map[WriterID]MilliUnits, lossFound bool) {
	for writer, entry := range w.entries {
		entry.confirmed = held[writer]
		if lossFound && entry.confirmed == 0 {
			entry.markLost()
		}
	}
}

// suspectLoss notes a loss, to be classified once the epoch is read.
func (s *shardHealth) suspectLoss(loss LostEntries, totalEmpty bool) {
	s.lossSuspected = true
	s.entriesMissing = s.entriesMissing || loss.Missing > 0 || totalEmpty
	s.entriesLower = s.entriesLower || loss.Lower > 0
	s.lossEvidence = loss
}

// classifyLoss returns the state that a suspected loss amounts to, and ends the suspicion.
func (s *shardHealth) classifyLoss(epochChanged bool) ShardState {
	state := Stale
	if epochChanged {
		state = Replaced
		if s.entriesMissing && !s.entriesLower {
			state = Emptied
		}
	}
	s.lossSuspected = false
	s.entriesMissing = false
	s.entriesLower = false
	return state
}

// countDivergedResponse records a response that lacks claimed entries.
func (t *Tracker) countDivergedResponse(shard *shardHealth, evidence UnconfirmedClaims) {
	shard.healthyResponses = 0
	shard.divergedResponses++
	if shard.divergedResponses >= minDivergedResponses {
		t.setShardState(shard, Diverged, evidence)
	}
}

// countHealthyResponse records a response that has every expected entry.
func (t *Tracker) countHealthyResponse(shard *shardHealth) {
	shard.divergedResponses = 0
	shard.healthyResponses++
	if shard.healthyResponses >= minHealthyResponses || shard.state == Unknown {
		t.setShardState(shard, Healthy, CompleteResponses{shard.healthyResponses})
	}
}

// setShardState changes a shard's state, and reports a change.
func (t *Tracker) setShardState(shard *shardHealth, state ShardState, evidence Evidence) {
	if shard.state == state {
		return
	}
	shard.state = state
	t.actions = append(t.actions, ShardStateChanged{shard.index, state, evidence})
}
