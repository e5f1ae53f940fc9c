package usage

import (
	"container/heap"
	"time"
)

const (
	// maxCallsInFlight bounds the calls in flight across all shards.
	maxCallsInFlight = 64

	// epochInterval is the time since the last read of a shard's epoch after which the next call
	// reads it again.
	epochInterval = time.Second

	// firstCallUrgency is the extra urgency, in seconds of waiting time, of a total for which
	// the counter has not yet responded.
	firstCallUrgency = 1.0

	// emptyBucketUrgency is the extra urgency, in seconds of waiting time, of a customer whose
	// token bucket is empty while this node is isolated: the response decides whether the
	// customer's requests are admitted.
	emptyBucketUrgency = 2.0
)

// inFlightCall is a call whose response has not been handled yet.
type inFlightCall struct {
	total  *windowTotal
	raised []CounterEntry
}

// queueCall marks a total as changed and queues it for a call, unless a call is pending.
func (t *Tracker) queueCall(now time.Time, total *windowTotal) {
	total.changedSinceCall = true
	if total.callPending() {
		return
	}
	total.callQueued = true
	total.queuedAt = now
	t.callQueue = append(t.callQueue, total)
}

// hasCallCapacity reports whether the command budget and the concurrency limit allow one more
// call.
func (t *Tracker) hasCallCapacity() bool {
	return t.commandBudget >= 1 && len(t.inFlight) < maxCallsInFlight
}

// sendQueuedCalls sends the most urgent queued calls that the budget allows.
func (t *Tracker) sendQueuedCalls(now time.Time) {
	if len(t.callQueue) == 0 || !t.hasCallCapacity() {
		return
	}
	candidates, waiting := t.splitCallQueue(now)
	heap.Init(&candidates)
	for len(candidates) > 0 && t.hasCallCapacity() {
		total := heap.Pop(&candidates).(callCandidate).total
		shard := t.shardOf(total)
		if now.Before(shard.retryAt) {
			waiting = append(waiting, total)
			continue
		}
		if shard.state == Unresponsive {
			shard.retryAt = now.Add(shard.backoff) // a single call probes the shard
		}
		total.callQueued = false
		t.sendCall(now, total, shard)
	}
	for _, candidate := range candidates {
		waiting = append(waiting, candidate.total)
	}
	clear(t.callQueue[len(waiting):])
	t.callQueue = waiting
}

// splitCallQueue divides the queue into the totals that may be called for now and those
// whose shard is in backoff. waiting shares the queue's backing array.
func (t *Tracker) splitCallQueue(now time.Time) (candidates byUrgency, waiting []*windowTotal) {
	candidates = make(byUrgency, 0, len(t.callQueue))
	waiting = t.callQueue[:0]
	isolated := t.isolated(now)
	for _, total := range t.callQueue {
		if now.Before(t.shardOf(total).retryAt) {
			waiting = append(waiting, total)
			continue
		}
		candidates = append(candidates, callCandidate{t.callUrgency(now, total, isolated), total})
	}
	return candidates, waiting
}

// callUrgency returns the urgency of a queued total, in seconds of waiting time. It rises with
// the time in the queue and with the usage of this process that the counter lacks, relative to
// the plan's burst; firstCallUrgency and emptyBucketUrgency add to it.
func (t *Tracker) callUrgency(now time.Time, total *windowTotal, isolated bool) float64 {
	urgency := now.Sub(total.queuedAt).Seconds()
	if own := total.entries[t.settings.Self]; own != nil {
		urgency += own.pendingUnits().inUnits() / (total.plan.Burst + 1)
	}
	if total.respondedAt.IsZero() {
		urgency += firstCallUrgency
	}
	if !isolated || !total.current {
		return urgency
	}
	if customer := t.customers[total.key.Customer]; customer != nil && customer.plan.Burst > 0 {
		urgency += emptyBucketUrgency * (1 - customer.tokensAt(now)/customer.plan.Burst)
	}
	return urgency
}

// callCandidate is a queued total whose shard accepts calls, with its urgency.
type callCandidate struct {
	urgency float64
	total   *windowTotal
}

// byUrgency is a heap of candidates, the most urgent first. It is a heap because only a few of
// many candidates get a call, so that sorting all of them would be wasted work.
type byUrgency []callCandidate

func (h byUrgency) Len() int      { return len(h) }
func (h byUrgency) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *byUrgency) Push(x any)   { *h = append(*h, x.(callCandidate)) }

func (h byUrgency) Less(i, k int) bool {
	if h[i].urgency != h[k].urgency {
		return h[i].urgency > h[k].urgency
	}
	return h[i].total.key.compare(h[k].total.key) < 0
}

func (h *byUrgency) Pop() any {
	last := len(*h) - 1
	candidate := (*h)[last]
	*h = (*h)[:last]
	return candidate
}

// sendCall sends a call for a total and charges the command budget, which may become negative.
func (t *Tracker) sendCall(now time.Time, total *windowTotal, shard *shardHealth) {
	t.lastCallID++
	call := CounterCall{ID: t.lastCallID, Shard: shard.index, Key: total.key}
	call.RefreshExpiry = total.respondedAt.IsZero()
	if now.Sub(shard.epochReadAt) > epochInterval {
		call.ReadEpoch = true
		shard.epochReadAt = now
	}
	t.addEntries(now, total, &call)
	if customer := t.customers[total.key.Customer]; customer != nil && customer.levelKnown && total.current {
		customer.refill(now)
		call.Level = customer.level
	}
	t.commandBudget -= float64(call.CommandCount())
	total.callInFlight = true
	total.changedSinceCall = false
	t.inFlight[call.ID] = &inFlightCall{total, call.Raise}
	t.actions = append(t.actions, call)
}

// addEntries adds to a call the entries that the counter lacks or holds with lower units.
func (t *Tracker) addEntries(now time.Time, total *windowTotal, call *CounterCall) {
	for _, writer := range total.sortedWriters() {
		entry := total.entries[writer]
		if entry.pendingUnits() <= 0 {
			continue
		}
		lost := entry.confirmed < 0
		if lost {
			call.RefreshExpiry = true
		}
		claimOverdue := !entry.claimedAt.IsZero() && now.Sub(entry.claimedAt) > claimTimeout
		update := CounterEntry{total.key, writer, entry.units}
		if t.isOwn(writer) || t.needsRepair(total, writer, entry) {
			call.Raise = append(call.Raise, update)
		} else if lost || claimOverdue {
			call.AddIfMissing = append(call.AddIfMissing, update)
		}
	}
}

// isOwn reports whether a writer is a process of this node, current or earlier.
func (t *Tracker) isOwn(writer WriterID) bool { return writer.Node == t.settings.Self.Node }
