package usage

import (
	"cmp"
	"time"
)

const (
	// A shard counts as unresponsive after unresponsiveAfter without a valid response and at
	// least minFailedCalls consecutive failed calls.
	unresponsiveAfter = time.Second
	minFailedCalls    = 2

	// An unresponsive shard is probed after initialBackoff; the backoff doubles with each failed
	// probe, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second

	// minHealthyResponses is the number of consecutive responses with every expected entry after
	// which a shard counts as healthy again.
	minHealthyResponses = 3

	// minDivergedResponses is the number of consecutive responses without overdue claimed entries
	// after which a shard counts as diverged.
	minDivergedResponses = 3

	// claimTimeout is the time after a peer's claim by which the counter must hold the entry.
	claimTimeout = 2 * time.Second
)

// shardHealth is the state of one shard of the counter, as inferred from its responses.
type shardHealth struct {
	index       int
	state       ShardState
	epoch       string // last value read; empty if never read
	epochReadAt time.Time

	// Calls without a valid response.
	failedCalls int // consecutive failures
	respondedAt time.Time
	retryAt     time.Time // earliest time of the next call
	backoff     time.Duration

	// Responses.
	healthyResponses  int // consecutive
	divergedResponses int // consecutive

	// A suspected loss, which can be classified only after the epoch is read.
	lossSuspected  bool
	entriesMissing bool // an entry was missing, or the total was empty
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
// shard's state and records the entries of the response as confirmed.
func (t *Tracker) updateShardHealth(now time.Time, total *windowTotal, response *CounterResponse) {
	shard := t.shardOf(total)
	shard.clearFailedCalls(now)
	returned := make(map[WriterID]MilliUnits, len(response.Entries))
	for _, entry := range response.Entries {
		returned[entry.Writer] = entry.Units
	}
	loss := total.findLoss(returned)
	overdueClaims := total.updateClaims(now, returned)
	epochChanged := shard.updateEpoch(response.Epoch)
	lossFound := epochChanged || loss.any()
	if lossFound {
		t.restoreShard(now, total, shard)
		shard.suspectLoss(loss, len(returned) == 0)
	}
	switch {
	case shard.lossSuspected && response.Epoch == "":
		shard.epochReadAt = time.Time{} // the next call reads the epoch
	case shard.lossSuspected:
		t.setShardState(shard, shard.classifyLoss(epochChanged), shard.lossEvidence)
	case overdueClaims > 0:
		t.countDivergedResponse(shard, UnconfirmedClaims{total.key, overdueClaims})
	default:
		t.countHealthyResponse(shard)
	}
	total.confirm(returned, lossFound)
}

// findLoss compares the entries that the counter returned with those that it confirmed earlier.
func (w *windowTotal) findLoss(returned map[WriterID]MilliUnits) LostEntries {
	loss := LostEntries{Key: w.key}
	for writer, entry := range w.entries {
		if entry.confirmed <= 0 || returned[writer] >= entry.confirmed {
			continue
		}
		loss.LargestLoss = max(loss.LargestLoss, entry.confirmed-returned[writer])
		if returned[writer] == 0 {
			loss.Missing++
		} else {
			loss.Lower++
		}
	}
	return loss
}

// updateClaims closes the claims that the counter has confirmed by the entries it returned, and
// returns the number of overdue claims.
func (w *windowTotal) updateClaims(now time.Time, returned map[WriterID]MilliUnits) (overdue int) {
	for writer, entry := range w.entries {
		if entry.claimedAt.IsZero() {
			continue
		}
		if returned[writer] >= entry.claimed {
			entry.claimedAt = time.Time{}
		} else if now.Sub(entry.claimedAt) > claimTimeout {
			overdue++
		}
	}
	return overdue
}

// confirm records the entries that the counter returned as confirmed, even if they are lower than
// before. After a loss, missing entries are marked as lost.
func (w *windowTotal) confirm(returned map[WriterID]MilliUnits, lossFound bool) {
	for writer, entry := range w.entries {
		entry.confirmed = returned[writer]
		if lossFound && entry.confirmed == 0 {
			entry.markLost()
		}
	}
}

// suspectLoss records a loss, which is classified after the epoch is read.
func (s *shardHealth) suspectLoss(loss LostEntries, totalEmpty bool) {
	s.lossSuspected = true
	s.entriesMissing = s.entriesMissing || loss.Missing > 0 || totalEmpty
	s.entriesLower = s.entriesLower || loss.Lower > 0
	s.lossEvidence = loss
}

// classifyLoss returns the state that a suspected loss indicates, and clears the suspicion.
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

// countDivergedResponse records a response that lacks overdue claimed entries.
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

// setShardState sets a shard's state, and reports it if it has changed.
func (t *Tracker) setShardState(shard *shardHealth, state ShardState, evidence Evidence) {
	if shard.state == state {
		return
	}
	shard.state = state
	t.actions = append(t.actions, ShardStateChanged{shard.index, state, evidence})
}
