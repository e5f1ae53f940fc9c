package hunt

import (
	"fmt"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/day"
)

// Shrinker makes a day that breaks a rule smaller as long as it still does. Ask
// Next for a day, play it, and Report whether it broke the rule, until Next has no
// more.
type Shrinker struct {
	best      Scenario
	tried     map[string]bool
	runs      int
	maxRuns   int
	candidate Scenario
}

// NewShrinker starts from a day; most bounds the plays.
func NewShrinker(d Scenario, most int) *Shrinker {
	return &Shrinker{best: d, tried: map[string]bool{}, maxRuns: most}
}

// Best is the smallest day so far.
func (s *Shrinker) Best() Scenario { return s.best }

// candidates lists smaller days, the boldest first: half of the faults gone, one gone,
// a smaller fleet, a shorter day, shorter faults.
func (s *Shrinker) candidates() (out []Scenario) {
	d := s.best
	n := len(d.Script.Faults)
	all := func(keep func(int) bool) []int {
		var list []int
		for i := range n {
			if keep(i) {
				list = append(list, i)
			}
		}
		return list
	}
	for parts := 2; parts < n; parts *= 2 {
		for p := range parts {
			out = append(out, d.WithFaults(all(func(i int) bool { return i*parts/n != p })...))
		}
	}
	for i := range n {
		out = append(out, d.WithFaults(all(func(k int) bool { return k != i })...))
	}
	change := func(f func(*day.Script)) {
		c := d
		c.Script = cloneScript(d.Script)
		f(c.Script)
		out = append(out, c)
	}
	if d.Script.Nodes > 2 {
		for _, n := range []int{max(2, d.Script.Nodes/2), d.Script.Nodes - 1} {
			change(func(s *day.Script) { reduceFleet(s, n) })
		}
	}
	length, _ := time.ParseDuration(d.Script.Length)
	var last time.Duration
	for _, f := range d.Script.Faults {
		at, _ := time.ParseDuration(f.At)
		span, _ := time.ParseDuration(f.Duration)
		last = max(last, at+span)
	}
	if short := (last + 2*time.Second).Round(time.Second); short < length {
		change(func(s *day.Script) { s.Length = short.String() })
	}
	for i, f := range d.Script.Faults {
		if span, _ := time.ParseDuration(f.Duration); span >= 200*time.Millisecond {
			change(func(s *day.Script) { s.Faults[i].Duration = (span / 2).Round(10 * time.Millisecond).String() })
		}
	}
	return out
}

// reduceFleet makes a fleet smaller; what was aimed at nodes that are no more is aimed at
// others.
func reduceFleet(s *day.Script, nodes int) {
	s.Nodes = nodes
	for i := range s.Faults {
		f := &s.Faults[i]
		if day.TargetKind(f.Kind) != "node" {
			continue
		}
		f.Target %= nodes
		if to, err := strconv.Atoi(f.Argument); err == nil && f.Kind == "peers-cut" {
			if to %= nodes; to == f.Target {
				to = (to + 1) % nodes
			}
			f.Argument = strconv.Itoa(to)
		}
	}
}

// Next is a smaller day to try; false where there is none left, or the plays are
// used up.
func (s *Shrinker) Next() (Scenario, bool) {
	for _, c := range s.candidates() {
		if s.runs >= s.maxRuns {
			break
		}
		key := fmt.Sprint(c.Summary(), c.Script.Nodes, c.Script.Faults)
		if s.tried[key] || c.Script.Validate() != nil {
			continue
		}
		s.tried[key] = true
		s.runs++
		s.candidate = c
		return c, true
	}
	return Scenario{}, false
}

// Report says whether the day that Next gave still broke the rule.
func (s *Shrinker) Report(broke bool) {
	if broke {
		s.best = s.candidate
	}
}
