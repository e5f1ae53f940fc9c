package usage

import "maps"

// fakeShard is an in-memory fake of a shard of the counter.
type fakeShard struct {
	epoch  string
	totals map[TotalKey]map[WriterID]MilliUnits
	levels map[string]Level
}

func newFakeShard(epoch string) *fakeShard {
	return &fakeShard{epoch, map[TotalKey]map[WriterID]MilliUnits{}, map[string]Level{}}
}

func (s *fakeShard) clone() *fakeShard {
	clone := newFakeShard(s.epoch)
	for key, entries := range s.totals {
		clone.totals[key] = maps.Clone(entries)
	}
	clone.levels = maps.Clone(s.levels)
	return clone
}

// total returns the entries of a total, and creates the total if it is missing.
func (s *fakeShard) total(key TotalKey) map[WriterID]MilliUnits {
	if s.totals[key] == nil {
		s.totals[key] = map[WriterID]MilliUnits{}
	}
	return s.totals[key]
}

// execute executes a call like a shard of the counter.
func (s *fakeShard) execute(call CounterCall) CounterResponse {
	total := s.total(call.Key)
	response := CounterResponse{Level: s.levels[call.Key.Customer]}
	if call.ReadEpoch {
		response.Epoch = s.epoch
	}
	for writer, units := range total {
		response.Entries = append(response.Entries, CounterEntry{call.Key, writer, units})
	}
	for _, entry := range call.Raise {
		total[entry.Writer] = entry.Units
	}
	for _, entry := range call.AddIfMissing {
		if _, present := total[entry.Writer]; !present {
			total[entry.Writer] = entry.Units
		}
	}
	if !call.Level.At.IsZero() {
		s.levels[call.Key.Customer] = call.Level
	}
	return response
}

// merge merges the totals of another shard by maximum.
func (s *fakeShard) merge(other *fakeShard) {
	for key, entries := range other.totals {
		total := s.total(key)
		for writer, units := range entries {
			total[writer] = max(total[writer], units)
		}
	}
}
