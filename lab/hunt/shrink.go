package hunt

import (
	"fmt"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/day"
)

// Shrinker reduces a scenario that violates a rule to a smaller one that still violates it. The caller
// runs the scenario that Next returns, and passes to Report whether it violated the rule,
// until Next returns false.
type Shrinker struct {
	best      Scenario
	tried     map[string]bool
	runs      int
	maxRuns   int
	candidate Scenario
}

// NewShrinker returns a Shrinker that starts with a scenario and does at most maxRuns runs.
func NewShrinker(scenario Scenario, maxRuns int) *Shrinker {
	return &Shrinker{best: scenario, tried: map[string]bool{}, maxRuns: maxRuns}
}

// Best returns the smallest scenario so far that violates the rule.
func (s *Shrinker) Best() Scenario { return s.best }

// candidates lists smaller scenarios, starting with the largest reduction: without a half, a
// quarter and so on of the faults, without one fault, with a smaller fleet, with a shorter
// length, with a shorter fault.
func (s *Shrinker) candidates() (smaller []Scenario) {
	best := s.best
	n := len(best.Script.Faults)
	selectFaults := func(keep func(int) bool) []int {
		var indices []int
		for i := range n {
			if keep(i) {
				indices = append(indices, i)
			}
		}
		return indices
	}
	for parts := 2; parts < n; parts *= 2 {
		for part := range parts {
			smaller = append(smaller, best.WithFaults(selectFaults(func(i int) bool { return i*parts/n != part })...))
		}
	}
	for i := range n {
		smaller = append(smaller, best.WithFaults(selectFaults(func(k int) bool { return k != i })...))
	}
	change := func(apply func(*day.Script)) {
		copied := best
		copied.Script = cloneScript(best.Script)
		apply(copied.Script)
		smaller = append(smaller, copied)
	}
	if best.Script.Nodes > 2 {
		for _, n := range []int{max(2, best.Script.Nodes/2), best.Script.Nodes - 1} {
			change(func(script *day.Script) { reduceFleet(script, n) })
		}
	}
	length, _ := time.ParseDuration(best.Script.Length)
	var end time.Duration
	for _, fault := range best.Script.Faults {
		at, _ := time.ParseDuration(fault.At)
		duration, _ := time.ParseDuration(fault.Duration)
		end = max(end, at+duration)
	}
	if short := (end + 2*time.Second).Round(time.Second); short < length {
		change(func(script *day.Script) { script.Length = short.String() })
	}
	for i, fault := range best.Script.Faults {
		if duration, _ := time.ParseDuration(fault.Duration); duration >= 200*time.Millisecond {
			change(func(s *day.Script) { s.Faults[i].Duration = (duration / 2).Round(10 * time.Millisecond).String() })
		}
	}
	return smaller
}

// reduceFleet makes a fleet smaller, and redirects the faults of removed nodes to remaining ones.
func reduceFleet(script *day.Script, nodes int) {
	script.Nodes = nodes
	for i := range script.Faults {
		fault := &script.Faults[i]
		if day.TargetKind(fault.Kind) != "node" {
			continue
		}
		fault.Target %= nodes
		if peer, err := strconv.Atoi(fault.Argument); err == nil && fault.Kind == "peers-cut" {
			if peer %= nodes; peer == fault.Target {
				peer = (peer + 1) % nodes
			}
			fault.Argument = strconv.Itoa(peer)
		}
	}
}

// Next returns a smaller scenario to run, or false if none is left or the maximum number
// of runs is reached.
func (s *Shrinker) Next() (Scenario, bool) {
	for _, candidate := range s.candidates() {
		if s.runs >= s.maxRuns {
			break
		}
		key := fmt.Sprint(candidate.Summary(), candidate.Script.Nodes, candidate.Script.Faults)
		if s.tried[key] || candidate.Script.Validate() != nil {
			continue
		}
		s.tried[key] = true
		s.runs++
		s.candidate = candidate
		return candidate, true
	}
	return Scenario{}, false
}

// Report records whether the scenario that Next returned violated the rule.
func (s *Shrinker) Report(violated bool) {
	if violated {
		s.best = s.candidate
	}
}
