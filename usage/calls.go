package usage

import (
	"container/heap"
	"time"
)

const (
	// maxCallsInFlight bounds the calls in flight over all shards.
	maxCallsInFlight = 64

	// epochInterval is how often a shard's epoch is read while calls are made.
	epochInterval = time.Second

	// firstCallUrgency is the urgency, in seconds of waiting, of a total that the counter
	// has never returned.
	firstCallUrgency = 1.0

	// emptyBucketUrgency is the urgency, in seconds of waiting, of a customer whose bucket
	// is empty, while this node is isolated: the response decides whether it is admitted.
	emptyBucketUrgency = 2.0
)

// inFlightCall is a call that has no response yet.
type inFlightCall struct {
	total  *windowTotal
	raised []CounterEntry
}

// queueCall records that a total has changed and queues it for a call.
func (t *Tracker) queueCall(now time.Time, total *windowTotal) {
	total.changedSinceCall = true
	if total.callPending() {
		return
	}
	total.callQueued = true
	total.queuedAt = now
	t.callQueue = append(t.callQueue, total)
}

// hasCallCapacity reports whether budget and concurrency allow one more call.
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
// whose shard is backing off. waiting shares the queue's array.
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

// callUrgency ranks a queued total, in seconds of waiting. What is most ahead of the
// counter, relative to the plan's burst, goes first; then what has waited longest.
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

// callCandidate is a queued total that may be called for now.
type callCandidate struct {
	urgency float64
	total   *windowTotal
}

// byUrgency is a heap of candidates, the most urgent first. A heap serves because few of
// many candidates get a call.
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

// sendCall sends a call for a total and charges the budget, which may become negative.
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

// addEntries adds to a call the entries that are missing or lower in the counter.
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
		send := CounterEntry{total.key, writer, entry.units}
		if t.isOwn(writer) || t.needsRepair(total, writer, entry) {
			call.Raise = append(call.Raise, send)
		} else if lost || claimOverdue {
			call.AddIfMissing = append(call.AddIfMissing, send)
		}
	}
}

// isOwn reports whether a writer is a process of this node.
func (t *Tracker) isOwn(writer WriterID) bool { return writer.Node == t.settings.Self.Node }
