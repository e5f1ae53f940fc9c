package gateway

import (
	"context"

	"yardcleat.example/yardcleat/storage"
	"yardcleat.example/yardcleat/usage"
)

// usageStorage saves the changes of a tracker in a database. The changes are collected in the node's
// event loop, which owns the tracker, and written outside it, so that requests do not wait for the
// database.
type usageStorage struct {
	gateway *Gateway
	tracker *usage.Tracker
	store   *storage.Store
	unsaved []usage.CounterEntry // collected but not saved yet; used only by save
}

// save saves all changes, examining at most maxTotalsPerSave totals at a time, until none is left or
// the context ends. It must not be called in the node's event loop, nor from two goroutines at once.
// Changes that can't be saved are saved by the next call.
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

// saveUnsaved saves the collected changes, if any, and reports whether all are saved.
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

// collect takes changes from the tracker in the node's event loop. The error is that of the context.
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

// close closes the database. Changes that could not be saved are lost.
func (s *usageStorage) close() {
	// The error can be ignored: what Save has stored is on disk already.
	_ = s.store.Close()
}
