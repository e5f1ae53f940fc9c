package usage

import "time"

// HandleResponse handles the result of the CounterCall with an ID. An unknown ID is ignored.
func (t *Tracker) HandleResponse(now time.Time, id uint64, response CounterResponse) []Action {
	t.actions = nil
	call := t.inFlight[id]
	if call == nil {
		return nil
	}
	delete(t.inFlight, id)
	call.total.callInFlight = false
	if response.Failed {
		t.handleFailedCall(now, call.total)
	} else {
		t.handleValidResponse(now, call, &response)
	}
	return t.actions
}

// handleFailedCall handles a call without a valid response, and queues its total again. The shard
// may have executed the call; writing the same entries again is harmless.
func (t *Tracker) handleFailedCall(now time.Time, total *windowTotal) {
	t.countFailedCall(now, t.shardOf(total))
	t.queueCall(now, total)
}

// handleValidResponse updates the shard's health, merges the entries of the response and queues
// the total again if it has changed or the counter still lacks entries.
func (t *Tracker) handleValidResponse(now time.Time, call *inFlightCall, response *CounterResponse) {
	total := call.total
	t.updateShardHealth(now, total, response)
	for _, entry := range response.Entries {
		t.mergeConfirmed(now, total, entry)
	}
	for _, raised := range call.raised { // the call wrote these after it read the response's entries
		if entry := total.entries[raised.Writer]; entry != nil {
			entry.confirmed = raised.Units
		}
	}
	total.respondedAt = now
	t.queueStorage(total)
	t.updateLevel(now, total, response.Level)
	if total.changedSinceCall || t.hasUnconfirmed(total) {
		t.queueCall(now, total)
	}
}
