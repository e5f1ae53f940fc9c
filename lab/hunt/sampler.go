// Package hunt searches for days of trouble that break a rule. It draws days from
// a grammar of faults, is led by what days reached, and shrinks a day that breaks
// a rule to the least that still does. It has no I/O: whoever plays the days tells
// what came of them.
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

// Scenario is a day to play.
type Scenario struct {
	Script              *day.Script
	Seed                uint64 // of the network's and the nodes' chance
	NoReceiveTimestamps bool   // the kernel does not say when bytes came in
}

// Limits bounds what is drawn.
type Limits struct {
	Nodes  [2]int // from and to
	Faults [2]int
	Length [2]time.Duration
	Kinds  []string // of faults; nil: all
}

// DefaultLimits draws fleets of 2 to 12 nodes with 3 to 14 faults.
func DefaultLimits() Limits {
	return Limits{Nodes: [2]int{2, 12}, Faults: [2]int{3, 14}, Length: [2]time.Duration{10 * time.Second, 20 * time.Second}}
}

// faultTemplate is how faults of a kind are drawn.
type faultTemplate struct {
	kind                     string
	weight                   float64
	minDuration, maxDuration time.Duration // how long it lasts
	drawArg                  func(g *sampler, s *day.Script) string
}

func oneOf(list ...string) func(*sampler, *day.Script) string {
	return func(g *sampler, _ *day.Script) string { return list[g.rng.IntN(len(list))] }
}

func spareCount(g *sampler, s *day.Script) string {
	return strconv.Itoa(1 + g.rng.IntN(max(1, s.Spares)))
}

func durationBetween(from, to time.Duration) func(*sampler, *day.Script) string {
	return func(g *sampler, _ *day.Script) string { return g.logUniform(from, to).String() }
}

// grammar is what days are drawn from. The weights favour what holds state up.
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
	{"server-fail", 1, 500 * time.Millisecond, 5 * time.Second, func(g *sampler, s *day.Script) string {
		return s.Classes[g.rng.IntN(len(s.Classes))].Name
	}},
	{"server-slow", 2, 500 * time.Millisecond, 6 * time.Second, oneOf("2", "4", "10", "40")},
	{"server-flap", 2, 50 * time.Millisecond, 2 * time.Second, nil},
	{"peers-lose", 2, 500 * time.Millisecond, 8 * time.Second, oneOf("0.1", "0.4", "0.8", "1")},
	{"peers-cut", 2, 500 * time.Millisecond, 8 * time.Second, func(g *sampler, s *day.Script) string {
		return strconv.Itoa(g.rng.IntN(s.Nodes))
	}},
	{"proxy-kill", 1, 100 * time.Millisecond, 2 * time.Second, nil},
	{"discovery-silent", 1, 500 * time.Millisecond, 4 * time.Second, nil},
	{"discovery-bad", 1, 0, 0, nil},
	{"discovery-cut", 1, 0, 0, nil},
	{"clock-set", 1, 200 * time.Millisecond, 8 * time.Second, oneOf("1h", "-1h", "30s", "-30s", "2s", "-2s")},
	{"fleet-grow", 2, 100 * time.Millisecond, 3 * time.Second, spareCount},
	{"fleet-shrink", 2, 100 * time.Millisecond, 3 * time.Second, spareCount},
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

// FaultKinds lists the kinds of fault that are drawn.
func FaultKinds() (out []string) {
	for _, s := range grammar {
		out = append(out, s.kind)
	}
	return out
}

type sampler struct {
	rng    *rand.Rand
	base   *day.Script
	limits Limits
}

// logUniform draws a duration, as often near the lower end as near the upper by ratio.
func (g *sampler) logUniform(from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	d := float64(from) * math.Pow(float64(to)/float64(from), g.rng.Float64())
	return time.Duration(d).Round(10 * time.Millisecond)
}

func (g *sampler) intWithin(r [2]int) int { return r[0] + g.rng.IntN(r[1]-r[0]+1) }

// cloneScript copies a script as far as days differ.
func cloneScript(s *day.Script) *day.Script {
	c := *s
	c.Customers, c.Faults, c.Classes = slices.Clone(s.Customers), slices.Clone(s.Faults), slices.Clone(s.Classes)
	return &c
}

// scenario draws a whole scenario.
func (g *sampler) scenario() Scenario {
	s := cloneScript(g.base)
	s.Extends, s.Faults = "", nil
	s.Seed = 1 + g.rng.IntN(1<<20)
	s.Length = time.Duration(g.logUniform(g.limits.Length[0], g.limits.Length[1])).Round(time.Second).String()
	// Small fleets are cheap to play, and most faults show there.
	s.Nodes = g.limits.Nodes[0]
	for s.Nodes < g.limits.Nodes[1] && g.rng.Float64() < 0.6 {
		s.Nodes++
	}
	if s.Spares = 0; g.rng.IntN(5) < 2 {
		s.Spares = 1 + g.rng.IntN(4)
	}
	g.drawWorkload(s)
	for n := g.intWithin(g.limits.Faults); n > 0; n-- {
		g.addFault(s)
	}
	return Scenario{Script: s, Seed: 1 + g.rng.Uint64N(1<<32), NoReceiveTimestamps: g.rng.IntN(4) == 0}
}

// drawWorkload draws who asks for what, by which front.
func (g *sampler) drawWorkload(s *day.Script) {
	s.Servers.Count = 4 + g.rng.IntN(7)
	switch g.rng.IntN(4) {
	case 0:
		s.Clients.ProxyShare, s.Clients.HTTP2Share = 0.8, 0.1
	case 1:
		s.Clients.ProxyShare, s.Clients.HTTP2Share = 0.1, 0.8
	case 2:
		s.Clients.ProxyShare, s.Clients.HTTP2Share = 0.1, 0.1
	}
	s.Servers.Cores, s.Servers.QueueLength, s.Servers.InitialCapacity, s.Servers.UpdateDelay = g.base.Servers.Cores, g.base.Servers.QueueLength,
		g.base.Servers.InitialCapacity, g.base.Servers.UpdateDelay
	if g.rng.IntN(4) == 0 {
		// Few servers, all busy, and starting very cold.
		s.Servers.Count, s.Servers.Cores, s.Servers.QueueLength, s.Servers.InitialCapacity, s.Servers.UpdateDelay = 3, 4, 40, 0.05, "50ms"
	}
	for i := range s.Classes {
		if s.Classes[i].DedupWindow != "" {
			s.Classes[i].DedupWindow = []string{"2s", "2s", "500ms"}[g.rng.IntN(3)]
		}
	}
	load := []float64{0.4, 1, 1, 1.6}[g.rng.IntN(4)]
	for i := range s.Customers {
		s.Customers[i].Demand = math.Round(s.Customers[i].Demand*load*100) / 100
	}
	s.Clients.Retries = g.rng.IntN(4)
}

// drawFault draws one; one time in three it comes close upon another, which is where
// states meet.
func (g *sampler) drawFault(s *day.Script) day.Fault {
	var all float64
	var shapes []faultTemplate
	for _, sh := range grammar {
		if g.limits.Kinds == nil || slices.Contains(g.limits.Kinds, sh.kind) {
			shapes = append(shapes, sh)
			all += sh.weight
		}
	}
	at := g.rng.Float64() * all
	sh := shapes[len(shapes)-1]
	for _, one := range shapes {
		if at -= one.weight; at < 0 {
			sh = one
			break
		}
	}
	length, _ := time.ParseDuration(s.Length)
	f := day.Fault{Kind: sh.kind}
	f.At = g.formatTime(time.Duration((0.03 + 0.85*g.rng.Float64()) * float64(length)))
	if len(s.Faults) > 0 && g.rng.IntN(3) == 0 {
		o := s.Faults[g.rng.IntN(len(s.Faults))]
		near, _ := time.ParseDuration(o.At)
		last, _ := time.ParseDuration(o.Duration)
		if g.rng.IntN(2) == 0 {
			near += last
		}
		f.At = g.formatTime(near + time.Duration(g.rng.Int64N(int64(300*time.Millisecond))) - 100*time.Millisecond)
		f.Target = o.Target
	}
	if sh.kind == "server-return" && g.rng.IntN(8) > 0 {
		g.aimReturn(s, &f)
		return f
	}
	if sh.kind == "fleet-shrink" && s.Spares > 0 {
		for _, o := range s.Faults {
			if o.Kind == "fleet-grow" { // those that joined leave again
				at, _ := time.ParseDuration(o.At)
				last, _ := time.ParseDuration(o.Duration)
				f.At, f.Argument = g.formatTime(at+last+day.MembershipChangeTime+g.logUniform(50*time.Millisecond, 4*time.Second)), o.Argument
			}
		}
	}
	if sh.minDuration > 0 {
		f.Duration = g.logUniform(sh.minDuration, sh.maxDuration).String()
	}
	if f.Target == 0 || g.rng.IntN(2) == 0 {
		n := max(s.Nodes, s.Servers.Count)
		switch day.TargetKind(sh.kind) {
		case "node":
			n = s.Nodes
		case "server":
			n = s.Servers.Count
		case "part":
			n = s.Counter.Shards
		case "":
			n = 1
		}
		f.Target = g.rng.IntN(n)
	}
	if sh.drawArg != nil && f.Argument == "" {
		f.Argument = sh.drawArg(g, s)
	}
	return f
}

// aimReturn aims a return at a server that an earlier fault took away.
func (g *sampler) aimReturn(s *day.Script, f *day.Fault) {
	var gone []day.Fault
	for _, o := range s.Faults {
		if o.Kind == "server-drain" || o.Kind == "server-vanish" {
			gone = append(gone, o)
		}
	}
	if len(gone) == 0 {
		return // it will not do, and another is drawn
	}
	o := gone[g.rng.IntN(len(gone))]
	at, _ := time.ParseDuration(o.At)
	last, _ := time.ParseDuration(o.Duration)
	f.Target, f.At = o.Target, g.formatTime(at+last+g.logUniform(50*time.Millisecond, 4*time.Second))
}

func (g *sampler) formatTime(d time.Duration) string {
	return max(0, d).Round(10 * time.Millisecond).String()
}

// addFault adds a fault that can happen among the others; it may find none.
func (g *sampler) addFault(s *day.Script) bool {
	for range 8 {
		s.Faults = append(s.Faults, g.drawFault(s))
		if s.Validate() == nil {
			return true
		}
		s.Faults = s.Faults[:len(s.Faults)-1]
	}
	return false
}

// mutate changes a day a little.
func (g *sampler) mutate(d Scenario) Scenario {
	for range 20 {
		m := d
		m.Script = cloneScript(d.Script)
		s := m.Script
		for range 1 + g.rng.IntN(3) {
			g.applyMutation(&m, s)
		}
		if s.Validate() == nil {
			return m
		}
	}
	return g.scenario()
}

func (g *sampler) applyMutation(m *Scenario, s *day.Script) {
	i := 0
	if len(s.Faults) > 0 {
		i = g.rng.IntN(len(s.Faults))
	}
	switch what := g.rng.IntN(8); {
	case what == 0:
		m.Seed = 1 + g.rng.Uint64N(1<<32)
	case what == 1:
		g.drawWorkload(s)
	case what == 2 && s.Nodes < g.limits.Nodes[1]:
		s.Nodes++
	case len(s.Faults) == 0 || what <= 3 && len(s.Faults) < g.limits.Faults[1]:
		g.addFault(s)
	case what == 4 && len(s.Faults) > 1:
		s.Faults = slices.Delete(s.Faults, i, i+1)
	case what == 5:
		f := &s.Faults[i]
		at, _ := time.ParseDuration(f.At)
		f.At = g.formatTime(at + time.Duration((g.rng.Float64()-0.5)*float64(2*time.Second)))
	case what == 6 && s.Faults[i].Duration != "":
		f := &s.Faults[i]
		last, _ := time.ParseDuration(f.Duration)
		f.Duration = g.formatTime(time.Duration(float64(last) * (0.5 + 1.5*g.rng.Float64())))
	default:
		s.Faults[i] = g.drawFault(s)
	}
}

// Summary is a line that names a day's faults.
func (d Scenario) Summary() string {
	out := fmt.Sprintf("%d nodes, %s:", d.Script.Nodes, d.Script.Length)
	for _, f := range d.Script.Faults {
		out += fmt.Sprintf(" %s@%s", f.Kind, f.At)
		if f.Duration != "" {
			out += "+" + f.Duration
		}
	}
	return out
}
