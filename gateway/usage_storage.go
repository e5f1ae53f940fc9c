package gateway

import (
	"context"

	"yardcleat.example/yardcleat/storage"
	"yardcleat.example/yardcleat/usage"
)

// usageStorage saves the changes of a tracker, which belongs to the node's loop, in a
// database. Requests wait for no more than the loop's turns that collect the changes.
type usageStorage struct {
	gateway *Gateway
	tracker *usage.Tracker
	store   *storage.Store
	unsaved []usage.CounterEntry // that could not be saved; used by save alone
}

// save saves what has changed, some totals at a time, until nothing is left or the context
// ends. It must not run in the loop, nor in two goroutines at once. Changes that could not
// be saved are saved with the next call.
func (s *usageStorage) save(ctx context.Context) {
	for {
		changes, more, err := s.collect(ctx)
		if err != nil {
			return
		}
		s.unsaved = append(s.unsaved, changes...)
		if !s.saveUnsaved() || !more {
			return
		}
	}
}

// saveUnsaved saves the changes that were collected, if any, and reports whether none is left.
func (s *usageStorage) saveUnsaved() bool {
	if len(s.unsaved) == 0 {
		return true
	}
	if err := s.store.Save(s.unsaved); err != nil {
		s.gateway.options.Log.Error("saving usage failed; retrying with the next save", "error", err)
		return false
	}
	s.unsaved = nil
	return true
}

// collect takes changes from the tracker, in the loop. The error is the context's.
func (s *usageStorage) collect(ctx context.Context) (changes []usage.CounterEntry, more bool, err error) {
	type result struct {
		changes []usage.CounterEntry
		more    bool
	}
	results := make(chan result, 1)
	s.gateway.node.Do(func() {
		changes, more := s.tracker.StorageChanges(s.gateway.options.WallClock(), maxTotalsPerSave)
		results <- result{changes, more}
	})
	select {
	case r := <-results:
		return r.changes, r.more, nil
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// close closes the database. What could not be saved is lost.
func (s *usageStorage) close() {
	// An error is of no consequence: what Save has stored is on disk.
	_ = s.store.Close()
}
