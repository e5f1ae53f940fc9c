// Package hunt searches for fault scenarios that violate a rule. It generates scenarios
// from a grammar of faults, guided by the features that earlier scenarios reached, and
// shrinks a scenario that violates a rule to a smaller one that still violates it. It does
// no I/O: the caller runs the scenarios and passes their outcomes in.
package hunt

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"yardcleat.example/yardcleat/day"
)

// Scenario is a script to run, with the conditions of the run.
type Scenario struct {
	Script       *day.Script
	Seed         uint64 // of the random numbers of the network and the nodes
	NoTimestamps bool   // the kernel gives no receive timestamps
}

// Limits bounds the scenarios that are generated.
type Limits struct {
	Nodes  [2]int // lowest and highest number
	Faults [2]int
	Length [2]time.Duration
	Kinds  []string // kinds of fault; nil: all
}

// DefaultLimits returns limits of 2 to 12 nodes and 3 to 14 faults.
func DefaultLimits() Limits {
	return Limits{Nodes: [2]int{2, 12}, Faults: [2]int{3, 14}, Length: [2]time.Duration{10 * time.Second, 20 * time.Second}}
}

// faultTemplate describes how faults of a kind are drawn.
type faultTemplate struct {
	kind                     string
	weight                   float64
	minDuration, maxDuration time.Duration // 0: the fault has no duration
	drawArg                  func(s *sampler, script *day.Script) string
}

func oneOf(values ...string) func(*sampler, *day.Script) string {
	return func(s *sampler, _ *day.Script) string { return values[s.rng.IntN(len(values))] }
}

// spares draws a number of spare nodes.
func spares(s *sampler, d *day.Script) string { return strconv.Itoa(1 + s.rng.IntN(max(1, d.Spares))) }

func durationBetween(shortest, longest time.Duration) func(*sampler, *day.Script) string {
	return func(s *sampler, _ *day.Script) string { return s.logUniform(shortest, longest).String() }
}

// grammar lists the faults that scenarios are drawn from. The weights favour faults that delay updates of state.
var grammar = []faultTemplate{
	{"node-kill", 3, 100 * time.Millisecond, 3 * time.Second, nil},
	{"node-kill-start", 1, 100 * time.Millisecond, time.Second, durationBetween(time.Millisecond, 300*time.Millisecond)},
	{"node-stop", 5, 100 * time.Millisecond, 8 * time.Second, nil},
	{"server-drain", 3, 100 * time.Millisecond, 3 * time.Second, nil},
	{"server-vanish", 2, 100 * time.Millisecond, 3 * time.Second, nil},
	{"server-return", 4, 0, 0, nil},
	{"server-hang", 2, 500 * time.Millisecond, 6 * time.Second, nil},
	{"server-half-close", 1, 500 * time.Millisecond, 3 * time.Second, nil},
	{"server-reset", 1, 200 * time.Millisecond, 3 * time.Second, nil},
	{"server-twice", 1, 200 * time.Millisecond, 3 * time.Second, nil},
	{"server-fail", 1, 500 * time.Millisecond, 5 * time.Second, func(s *sampler, script *day.Script) string {
		return script.Classes[s.rng.IntN(len(script.Classes))].Name
	}},
	{"server-slow", 2, 500 * time.Millisecond, 6 * time.Second, oneOf("2", "4", "10", "40")},
	{"server-flap", 2, 50 * time.Millisecond, 2 * time.Second, nil},
	{"peers-lose", 2, 500 * time.Millisecond, 8 * time.Second, oneOf("0.1", "0.4", "0.8", "1")},
	{"peers-cut", 2, 500 * time.Millisecond, 8 * time.Second, func(s *sampler, script *day.Script) string {
		return strconv.Itoa(s.rng.IntN(script.Nodes))
	}},
	{"proxy-kill", 1, 100 * time.Millisecond, 2 * time.Second, nil},
	{"discovery-silent", 1, 500 * time.Millisecond, 4 * time.Second, nil},
	{"discovery-bad", 1, 0, 0, nil},
	{"discovery-cut", 1, 0, 0, nil},
	{"clock-set", 1, 200 * time.Millisecond, 8 * time.Second, oneOf("1h", "-1h", "30s", "-30s", "2s", "-2s")},
	{"fleet-grow", 2, 100 * time.Millisecond, 3 * time.Second, spares},
	{"fleet-shrink", 2, 100 * time.Millisecond, 3 * time.Second, spares},
	{"authoriser-slow", 2, 500 * time.Millisecond, 5 * time.Second, oneOf("50ms", "120ms", "190ms", "1s")},
	{"authoriser-silent", 1, 500 * time.Millisecond, 5 * time.Second, nil},
	{"counter-silent", 1, 500 * time.Millisecond, 6 * time.Second, nil},
	{"counter-refuse", 1, 500 * time.Millisecond, 6 * time.Second, nil},
	{"counter-lose", 1, 500 * time.Millisecond, 6 * time.Second, nil},
	{"counter-slow", 1, 500 * time.Millisecond, 6 * time.Second, oneOf("50ms", "300ms", "2s")},
	{"counter-empty", 1, 0, 0, nil},
	{"counter-save", 1, 0, 0, nil},
	{"counter-restore", 1, 0, 0, nil},
	{"counter-split", 1, 0, 0, nil},
	{"counter-heal", 1, 0, 0, oneOf("first", "second", "both")},
}

// FaultKinds lists the kinds of fault that are generated.
func FaultKinds() (kinds []string) {
	for _, template := range grammar {
		kinds = append(kinds, template.kind)
	}
	return kinds
}

type sampler struct {
	rng    *rand.Rand
	base   *day.Script
	limits Limits
}

// logUniform draws a duration from a log-uniform distribution, rounded to 10 ms.
func (s *sampler) logUniform(shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	duration := float64(shortest) * math.Pow(float64(longest)/float64(shortest), s.rng.Float64())
	return time.Duration(duration).Round(10 * time.Millisecond)
}

func (s *sampler) intWithin(bounds [2]int) int { return bounds[0] + s.rng.IntN(bounds[1]-bounds[0]+1) }

// cloneScript copies a script, and those of its parts that scenarios change.
func cloneScript(script *day.Script) *day.Script {
	copied := *script
	copied.Customers, copied.Faults, copied.Classes = slices.Clone(script.Customers), slices.Clone(script.Faults), slices.Clone(script.Classes)
	return &copied
}

// scenario draws a new scenario.
func (s *sampler) scenario() Scenario {
	script := cloneScript(s.base)
	script.Extends, script.Faults = "", nil
	script.Seed = 1 + s.rng.IntN(1<<20)
	script.Length = time.Duration(s.logUniform(s.limits.Length[0], s.limits.Length[1])).Round(time.Second).String()
	// Small fleets are cheap to run, and reveal most defects.
	script.Nodes = s.limits.Nodes[0]
	for script.Nodes < s.limits.Nodes[1] && s.rng.Float64() < 0.6 {
		script.Nodes++
	}
	if script.Spares = 0; s.rng.IntN(5) < 2 {
		script.Spares = 1 + s.rng.IntN(4)
	}
	s.drawWorkload(script)
	for remaining := s.intWithin(s.limits.Faults); remaining > 0; remaining-- {
		s.addFault(script)
	}
	return Scenario{Script: script, Seed: 1 + s.rng.Uint64N(1<<32), NoTimestamps: s.rng.IntN(4) == 0}
}

// drawWorkload draws the servers, the listener protocols, the dedup windows, the load and the client retries.
func (s *sampler) drawWorkload(script *day.Script) {
	script.Servers.Count = 4 + s.rng.IntN(7)
	switch s.rng.IntN(4) {
	case 0:
		script.Clients.ProxyShare, script.Clients.HTTP2Share = 0.8, 0.1
	case 1:
		script.Clients.ProxyShare, script.Clients.HTTP2Share = 0.1, 0.8
	case 2:
		script.Clients.ProxyShare, script.Clients.HTTP2Share = 0.1, 0.1
	}
	script.Servers.Cores, script.Servers.QueueLength, script.Servers.InitialCapacity, script.Servers.UpdateDelay = s.base.Servers.Cores, s.base.Servers.QueueLength,
		s.base.Servers.InitialCapacity, s.base.Servers.UpdateDelay
	if s.rng.IntN(4) == 0 {
		// Few servers, all busy, with a low initial capacity when cold.
		script.Servers.Count, script.Servers.Cores, script.Servers.QueueLength, script.Servers.InitialCapacity, script.Servers.UpdateDelay = 3, 4, 40, 0.05, "50ms"
	}
	for i := range script.Classes {
		if script.Classes[i].DedupWindow != "" {
			script.Classes[i].DedupWindow = []string{"2s", "2s", "500ms"}[s.rng.IntN(3)]
		}
	}
	load := []float64{0.4, 1, 1, 1.6}[s.rng.IntN(4)]
	for i := range script.Customers {
		script.Customers[i].Demand = math.Round(script.Customers[i].Demand*load*100) / 100
	}
	script.Clients.Retries = s.rng.IntN(4)
}

// drawFault draws a fault. One in three starts close to the start or end of an earlier
// fault, since state transitions interact there.
func (s *sampler) drawFault(script *day.Script) day.Fault {
	var totalWeight float64
	var templates []faultTemplate
	for _, template := range grammar {
		if s.limits.Kinds == nil || slices.Contains(s.limits.Kinds, template.kind) {
			templates = append(templates, template)
			totalWeight += template.weight
		}
	}
	draw := s.rng.Float64() * totalWeight
	template := templates[len(templates)-1]
	for _, candidate := range templates {
		if draw -= candidate.weight; draw < 0 {
			template = candidate
			break
		}
	}
	length, _ := time.ParseDuration(script.Length)
	fault := day.Fault{Kind: template.kind}
	fault.At = s.formatTime(time.Duration((0.03 + 0.85*s.rng.Float64()) * float64(length)))
	if len(script.Faults) > 0 && s.rng.IntN(3) == 0 {
		earlier := script.Faults[s.rng.IntN(len(script.Faults))]
		start, _ := time.ParseDuration(earlier.At)
		duration, _ := time.ParseDuration(earlier.Duration)
		if s.rng.IntN(2) == 0 {
			start += duration
		}
		fault.At = s.formatTime(start + time.Duration(s.rng.Int64N(int64(300*time.Millisecond))) - 100*time.Millisecond)
		fault.Target = earlier.Target
	}
	if template.kind == "server-return" && s.rng.IntN(8) > 0 {
		s.targetRemovedServer(script, &fault)
		return fault
	}
	if template.kind == "fleet-shrink" && script.Spares > 0 {
		for _, earlier := range script.Faults {
			if earlier.Kind == "fleet-grow" { // the fault removes the nodes that joined
				at, _ := time.ParseDuration(earlier.At)
				duration, _ := time.ParseDuration(earlier.Duration)
				fault.At, fault.Argument = s.formatTime(at+duration+day.MembershipChangeTime+s.logUniform(50*time.Millisecond, 4*time.Second)), earlier.Argument
			}
		}
	}
	if template.minDuration > 0 {
		fault.Duration = s.logUniform(template.minDuration, template.maxDuration).String()
	}
	if fault.Target == 0 || s.rng.IntN(2) == 0 {
		targets := max(script.Nodes, script.Servers.Count)
		switch day.TargetKind(template.kind) {
		case "node":
			targets = script.Nodes
		case "server":
			targets = script.Servers.Count
		case "part":
			targets = script.Counter.Shards
		case "":
			targets = 1
		}
		fault.Target = s.rng.IntN(targets)
	}
	if template.drawArg != nil && fault.Argument == "" {
		fault.Argument = template.drawArg(s, script)
	}
	return fault
}

// targetRemovedServer sets the target and the time of a server-return fault, so that it starts a server that
// an earlier fault removed.
func (s *sampler) targetRemovedServer(script *day.Script, fault *day.Fault) {
	var removals []day.Fault
	for _, removal := range script.Faults {
		if removal.Kind == "server-drain" || removal.Kind == "server-vanish" {
			removals = append(removals, removal)
		}
	}
	if len(removals) == 0 {
		return // validation of the script rejects this fault, and another is drawn
	}
	removal := removals[s.rng.IntN(len(removals))]
	at, _ := time.ParseDuration(removal.At)
	duration, _ := time.ParseDuration(removal.Duration)
	fault.Target, fault.At = removal.Target, s.formatTime(at+duration+s.logUniform(50*time.Millisecond, 4*time.Second))
}

func (s *sampler) formatTime(offset time.Duration) string {
	return max(0, offset).Round(10 * time.Millisecond).String()
}

// addFault adds a fault with which the script is still valid. It returns false if it found none.
func (s *sampler) addFault(script *day.Script) bool {
	for range 8 {
		script.Faults = append(script.Faults, s.drawFault(script))
		if script.Validate() == nil {
			return true
		}
		script.Faults = script.Faults[:len(script.Faults)-1]
	}
	return false
}

// vary returns a copy of a scenario with one to three changes, or a new scenario if none of the copies is valid.
func (s *sampler) vary(scenario Scenario) Scenario {
	for range 20 {
		variant := scenario
		variant.Script = cloneScript(scenario.Script)
		script := variant.Script
		for range 1 + s.rng.IntN(3) {
			s.applyChange(&variant, script)
		}
		if script.Validate() == nil {
			return variant
		}
	}
	return s.scenario()
}

func (s *sampler) applyChange(scenario *Scenario, script *day.Script) {
	i := 0
	if len(script.Faults) > 0 {
		i = s.rng.IntN(len(script.Faults))
	}
	switch change := s.rng.IntN(8); {
	case change == 0:
		scenario.Seed = 1 + s.rng.Uint64N(1<<32)
	case change == 1:
		s.drawWorkload(script)
	case change == 2 && script.Nodes < s.limits.Nodes[1]:
		script.Nodes++
	case len(script.Faults) == 0 || change <= 3 && len(script.Faults) < s.limits.Faults[1]:
		s.addFault(script)
	case change == 4 && len(script.Faults) > 1:
		script.Faults = slices.Delete(script.Faults, i, i+1)
	case change == 5:
		fault := &script.Faults[i]
		at, _ := time.ParseDuration(fault.At)
		fault.At = s.formatTime(at + time.Duration((s.rng.Float64()-0.5)*float64(2*time.Second)))
	case change == 6 && script.Faults[i].Duration != "":
		fault := &script.Faults[i]
		duration, _ := time.ParseDuration(fault.Duration)
		fault.Duration = s.formatTime(time.Duration(float64(duration) * (0.5 + 1.5*s.rng.Float64())))
	default:
		script.Faults[i] = s.drawFault(script)
	}
}

// Summary returns one line with the size, the length and the faults of a scenario.
func (scenario Scenario) Summary() string {
	summary := fmt.Sprintf("%d nodes, %s:", scenario.Script.Nodes, scenario.Script.Length)
	for _, fault := range scenario.Script.Faults {
		summary += fmt.Sprintf(" %s@%s", fault.Kind, fault.At)
		if fault.Duration != "" {
			summary += "+" + fault.Duration
		}
	}
	return summary
}
