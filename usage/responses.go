package usage

import "time"

// HandleResponse takes the result of the CounterCall with an ID. An unknown ID is ignored.
func (t *Tracker) HandleResponse(now time.Time, id uint64, response CounterResponse) []Action {
	t.actions = nil
	call := t.inFlight[id]
	if call == nil {
		return nil
	}
	delete(t.inFlight, id)
	call.total.callInFlight = false
	if response.Failed {
		t.handleFailure(now, call.total)
	} else {
		t.handleSuccess(now, call, &response)
	}
	return t.actions
}

// handleFailure records a call without a valid response. It may have been carried out;
// writing the same entries again is harmless.
func (t *Tracker) handleFailure(now time.Time, total *windowTotal) {
	t.recordFailure(now, t.shardOf(total))
	t.queueCall(now, total)
}

// handleSuccess records a valid response.
func (t *Tracker) handleSuccess(now time.Time, call *inFlightCall, response *CounterResponse) {
	total := call.total
	t.assessResponse(now, total, response)
	for _, entry := range response.Entries {
		t.mergeConfirmed(now, total, entry)
	}
	for _, raised := range call.raised { // after the response's entries were read
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
