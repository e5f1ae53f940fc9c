package day

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/hashicorp/hcl/v2/hclwrite"
)

// blockRanges notes where the blocks of a script stand, by type, in the order in
// which they are decoded.
func blockRanges(files []*hcl.File) map[string][]hcl.Range {
	at := map[string][]hcl.Range{}
	for _, f := range files {
		if body, ok := f.Body.(*hclsyntax.Body); ok {
			for _, b := range body.Blocks {
				at[b.Type] = append(at[b.Type], b.DefRange())
			}
		}
	}
	return at
}

// validator collects a script's mistakes, each with its place.
type validator struct {
	script *Script
	name   string
	errs   []error
}

func (c *validator) addError(block string, i int, format string, args ...any) {
	place := c.name
	if list := c.script.blockRanges[block]; i < len(list) {
		place = fmt.Sprintf("%s:%d", list[i].Filename, list[i].Start.Line)
	}
	c.errs = append(c.errs, fmt.Errorf("%s: %s", place, fmt.Sprintf(format, args...)))
}

// checkDuration checks one; "" stands for none.
func (c *validator) checkDuration(block string, i int, what string, d Duration) {
	if v, err := time.ParseDuration(d); d != "" && (err != nil || v < 0 && what != "arg") {
		c.addError(block, i, "%s: %q is not a duration such as \"250ms\"", what, d)
	}
}

func (s *Script) validate(name string) error {
	c := &validator{script: s, name: name}
	for what, d := range map[string]Duration{"warm_within": s.Servers.WarmupTime, "fall_time": s.Servers.ColdOverloadTime,
		"drain_grace": s.Servers.DrainGrace, "told_late": s.Servers.UpdateDelay} {
		c.checkDuration("servers", 0, what, d)
	}
	c.checkDuration("clients", 0, "wait", s.Clients.RetryDelay)
	c.checkDuration("", 0, "length", s.Length)
	for i, cl := range s.Classes {
		for what, d := range map[string]Duration{"aim": cl.LatencyObjective, "deadline": cl.Deadline, "work": cl.ServiceTime, "window": cl.DedupWindow} {
			c.checkDuration("class", i, what, d)
		}
	}
	for i, cu := range s.Customers {
		if !slices.ContainsFunc(s.Plans, func(p Plan) bool { return p.Name == cu.Plan }) {
			c.addError("customers", i, "customers %q: there is no plan %q", cu.Name, cu.Plan)
		}
	}
	if s.Spares < 0 || s.Spares > 1000 {
		c.addError("", 0, "spares: %d", s.Spares)
	}
	if s.Nodes < 1 || s.Servers.Count < 1 || s.Servers.DedupScopes < 1 || len(s.Classes) == 0 || len(s.Customers) == 0 {
		c.addError("", 0, "at least one node, server, rack, class and group of customers is needed")
	}
	for i, f := range s.Faults {
		c.checkFault(i, f)
	}
	if len(c.errs) == 0 {
		c.checkOrder()
	}
	return errors.Join(c.errs...)
}

// checkFault checks one checkFault by itself.
func (c *validator) checkFault(i int, f Fault) {
	s := c.script
	wrong := func(format string, args ...any) {
		c.addError("fault", i, "fault %q: "+format, append([]any{f.Kind}, args...)...)
	}
	k, known := faultKinds[f.Kind]
	if !known {
		wrong("there is no such kind")
		return
	}
	c.checkDuration("fault", i, "at", f.At)
	c.checkDuration("fault", i, "for", f.Duration)
	parts := 0
	if s.Counter != nil {
		parts = s.Counter.Shards
	}
	if n := map[string]int{"node": s.Nodes, "server": s.Servers.Count, "part": parts, "": 1}[k.target]; n == 0 {
		wrong("the script has no counter")
	} else if f.Target < 0 || f.Target >= n {
		wrong("target %d; the %ss are numbered 0 to %d", f.Target, k.target, n-1)
	}
	switch k.arg {
	case "factor", "share":
		if v, err := strconv.ParseFloat(f.Argument, 64); err != nil || v < 0 || k.arg == "share" && v > 1 || k.arg == "factor" && v == 0 {
			wrong("arg %q is not a %s", f.Argument, k.arg)
		}
	case "duration":
		if f.Argument == "" {
			wrong("arg: a duration is needed")
		}
		c.checkDuration("fault", i, "arg", f.Argument)
	case "count":
		if n, err := strconv.Atoi(f.Argument); err != nil || n < 1 || n > s.Spares {
			wrong("arg %q is not a number of the %d spares", f.Argument, s.Spares)
		}
	case "node":
		if n, err := strconv.Atoi(f.Argument); err != nil || n < 0 || n >= s.Nodes || n == f.Target {
			wrong("arg %q is not the number of another node", f.Argument)
		}
	case "first, second or both":
		if !slices.Contains([]string{"first", "second", "both"}, f.Argument) {
			wrong("arg %q is not first, second or both", f.Argument)
		}
	case "class":
		if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Argument }) {
			wrong("there is no class %q", f.Argument)
		}
	}
}

// NodeRestartTime is what a node may take from its start on until it takes connections.
const NodeRestartTime = 500 * time.Millisecond

// MembershipChangeTime is what a change of the fleet may take after all nodes have read it.
const MembershipChangeTime = 4 * time.Second

// checkOrder plays the faults through on paper, in checkOrder of time: one that can't
// happen when its turn comes is a mistake.
func (c *validator) checkOrder() {
	type state struct {
		what  string        // it is, where it is not simply running
		until time.Duration // for so long; after that it runs
		back  time.Duration // a server that is gone may return from then on
	}
	const ever = 1 << 62
	joined, changing := 0, time.Duration(0)
	nodes, servers, proxies := map[int]state{}, map[int]state{}, map[int]state{}
	turn := make([]int, len(c.script.Faults))
	for i := range turn {
		turn[i] = i
	}
	slices.SortStableFunc(turn, func(a, b int) int {
		return cmp.Compare(parseDuration(c.script.Faults[a].At), parseDuration(c.script.Faults[b].At))
	})
	for _, i := range turn {
		f := c.script.Faults[i]
		at, end := parseDuration(f.At), parseDuration(f.At)+parseDuration(f.Duration)
		k := faultKinds[f.Kind]
		now := map[string]map[int]state{"node": nodes, "server": servers}[k.target][f.Target]
		if f.Kind == "proxy-kill" {
			now = proxies[f.Target]
		}
		if now.until <= at {
			now = state{}
		}
		// A stopped node may be killed; all else needs what runs.
		if now.what != "" && f.Kind != "server-return" && !(strings.HasPrefix(f.Kind, "node-kill") && now.what == "stopped") &&
			f.Kind != "peers-cut" && f.Kind != "clock-set" {
			c.addError("fault", i, "fault %q at %s: %s %d is %s then", f.Kind, f.At, cmp.Or(k.target, "it"), f.Target, now.what)
			continue
		}
		if n, err := strconv.Atoi(f.Argument); strings.HasPrefix(f.Kind, "fleet-") && err == nil {
			if f.Kind == "fleet-shrink" {
				n = -n
			}
			if joined += n; joined < 0 || joined > c.script.Spares {
				c.addError("fault", i, "fault %q at %s: of %d spares %d would have joined", f.Kind, f.At, c.script.Spares, joined)
			}
			if at < changing {
				c.addError("fault", i, "fault %q at %s: the last change goes on until %v", f.Kind, f.At, changing)
			}
			changing = end + MembershipChangeTime
		}
		switch f.Kind {
		case "node-kill":
			nodes[f.Target] = state{"dead", end + NodeRestartTime, 0}
		case "node-kill-start":
			nodes[f.Target] = state{"dead", end + parseDuration(f.Argument) + parseDuration(f.Duration) + 2*NodeRestartTime, 0}
		case "node-stop":
			nodes[f.Target] = state{"stopped", end, 0}
		case "proxy-kill":
			proxies[f.Target] = state{"dead", end, 0}
		case "server-drain", "server-vanish":
			what := "gone"
			if f.Kind == "server-drain" {
				what = "draining or gone"
			}
			servers[f.Target] = state{what, ever, end}
		case "server-flap":
			servers[f.Target] = state{"off the list", end, ever}
		case "server-return":
			switch {
			case now.what == "":
				c.addError("fault", i, "fault %q at %s: server %d runs then", f.Kind, f.At, f.Target)
			case at <= now.back:
				c.addError("fault", i, "fault %q at %s: server %d is not gone from the list before %v", f.Kind, f.At, f.Target, now.back)
			default:
				delete(servers, f.Target)
			}
		}
	}
}

// Format writes a script as a file that Parse reads back.
func (s *Script) Format() []byte {
	f := hclwrite.NewEmptyFile()
	gohcl.EncodeIntoBody(s, f.Body())
	var out []string
	for line := range strings.SplitSeq(string(f.Bytes()), "\n") {
		if !strings.HasSuffix(line, `= ""`) && strings.TrimSpace(line) != `= null` {
			out = append(out, line)
		}
	}
	return hclwrite.Format([]byte(strings.Join(out, "\n")))
}

// Validate tells what is wrong with a script that was not read from a file.
func (s *Script) Validate() error { return s.validate("the day") }

// TargetKind tells what a kind of fault is aimed at: node, server, part of the
// counter, or nothing.
func TargetKind(kind string) string { return faultKinds[kind].target }
