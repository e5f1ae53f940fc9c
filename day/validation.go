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

// blockRanges returns the positions of the blocks of a script, by type, in the order in which they are
// decoded.
func blockRanges(files []*hcl.File) map[string][]hcl.Range {
	ranges := map[string][]hcl.Range{}
	for _, f := range files {
		if body, ok := f.Body.(*hclsyntax.Body); ok {
			for _, b := range body.Blocks {
				ranges[b.Type] = append(ranges[b.Type], b.DefRange())
			}
		}
	}
	return ranges
}

// validator collects the errors of a script, each with its position.
type validator struct {
	s    *Script
	name string
	errs []error
}

func (c *validator) addError(block string, i int, format string, args ...any) {
	place := c.name
	if ranges := c.s.blockRanges[block]; i < len(ranges) {
		place = fmt.Sprintf("%s:%d", ranges[i].Filename, ranges[i].Start.Line)
	}
	c.errs = append(c.errs, fmt.Errorf("%s: %s", place, fmt.Sprintf(format, args...)))
}

// checkDuration checks an optional duration; "" means that it is not set. Only an argument may be negative.
func (c *validator) checkDuration(block string, i int, what string, d Duration) {
	if v, err := time.ParseDuration(d); d != "" && (err != nil || v < 0 && what != "arg") {
		c.addError(block, i, "%s: %q is not a duration such as \"250ms\"", what, d)
	}
}

func (s *Script) validate(name string) error {
	c := &validator{s: s, name: name}
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

// checkFault checks one fault independently of the others.
func (c *validator) checkFault(i int, f Fault) {
	s := c.s
	addError := func(format string, args ...any) {
		c.addError("fault", i, "fault %q: "+format, append([]any{f.Kind}, args...)...)
	}
	kind, known := faultKinds[f.Kind]
	if !known {
		addError("there is no such kind")
		return
	}
	c.checkDuration("fault", i, "at", f.At)
	c.checkDuration("fault", i, "for", f.Duration)
	shards := 0
	if s.Counter != nil {
		shards = s.Counter.Shards
	}
	if n := map[string]int{"node": s.Nodes, "server": s.Servers.Count, "part": shards, "": 1}[kind.target]; n == 0 {
		addError("the script has no counter")
	} else if f.Target < 0 || f.Target >= n {
		addError("target %d; the %ss are numbered 0 to %d", f.Target, kind.target, n-1)
	}
	switch kind.arg {
	case "factor", "share":
		if v, err := strconv.ParseFloat(f.Argument, 64); err != nil || v < 0 || kind.arg == "share" && v > 1 || kind.arg == "factor" && v == 0 {
			addError("arg %q is not a %s", f.Argument, kind.arg)
		}
	case "duration":
		if f.Argument == "" {
			addError("arg: a duration is needed")
		}
		c.checkDuration("fault", i, "arg", f.Argument)
	case "count":
		if n, err := strconv.Atoi(f.Argument); err != nil || n < 1 || n > s.Spares {
			addError("arg %q is not a number of the %d spares", f.Argument, s.Spares)
		}
	case "node":
		if n, err := strconv.Atoi(f.Argument); err != nil || n < 0 || n >= s.Nodes || n == f.Target {
			addError("arg %q is not the number of another node", f.Argument)
		}
	case "first, second or both":
		if !slices.Contains([]string{"first", "second", "both"}, f.Argument) {
			addError("arg %q is not first, second or both", f.Argument)
		}
	case "class":
		if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Argument }) {
			addError("there is no class %q", f.Argument)
		}
	}
}

// NodeRestartTime is how long a node may take to accept connections after its start.
const NodeRestartTime = 500 * time.Millisecond

// MembershipChangeTime is how long a membership change may take after all nodes have read the roster.
const MembershipChangeTime = 4 * time.Second

// checkOrder replays the faults in order of time, and tracks the states of nodes, proxies and servers. A
// fault that is impossible in the state at its time is an error.
func (c *validator) checkOrder() {
	type state struct {
		status      string        // empty if running
		until       time.Duration // when it runs again
		returnAfter time.Duration // when a removed server may be started again
	}
	const forever = 1 << 62
	joined, changeEnd := 0, time.Duration(0)
	nodes, servers, proxies := map[int]state{}, map[int]state{}, map[int]state{}
	order := make([]int, len(c.s.Faults))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(toDuration(c.s.Faults[a].At), toDuration(c.s.Faults[b].At)) })
	for _, i := range order {
		f := c.s.Faults[i]
		at, end := toDuration(f.At), toDuration(f.At)+toDuration(f.Duration)
		kind := faultKinds[f.Kind]
		current := map[string]map[int]state{"node": nodes, "server": servers}[kind.target][f.Target]
		if f.Kind == "proxy-kill" {
			current = proxies[f.Target]
		}
		if current.until <= at {
			current = state{}
		}
		// A suspended node may be killed; most other faults need a running target.
		if current.status != "" && f.Kind != "server-return" && !(strings.HasPrefix(f.Kind, "node-kill") && current.status == "stopped") &&
			f.Kind != "peers-cut" && f.Kind != "clock-set" {
			c.addError("fault", i, "fault %q at %s: %s %d is %s then", f.Kind, f.At, cmp.Or(kind.target, "it"), f.Target, current.status)
			continue
		}
		if n, err := strconv.Atoi(f.Argument); strings.HasPrefix(f.Kind, "fleet-") && err == nil {
			if f.Kind == "fleet-shrink" {
				n = -n
			}
			if joined += n; joined < 0 || joined > c.s.Spares {
				c.addError("fault", i, "fault %q at %s: of %d spares %d would have joined", f.Kind, f.At, c.s.Spares, joined)
			}
			if at < changeEnd {
				c.addError("fault", i, "fault %q at %s: the last change goes on until %v", f.Kind, f.At, changeEnd)
			}
			changeEnd = end + MembershipChangeTime
		}
		switch f.Kind {
		case "node-kill":
			nodes[f.Target] = state{"dead", end + NodeRestartTime, 0}
		case "node-kill-start":
			nodes[f.Target] = state{"dead", end + toDuration(f.Argument) + toDuration(f.Duration) + 2*NodeRestartTime, 0}
		case "node-stop":
			nodes[f.Target] = state{"stopped", end, 0}
		case "proxy-kill":
			proxies[f.Target] = state{"dead", end, 0}
		case "server-drain", "server-vanish":
			status := "gone"
			if f.Kind == "server-drain" {
				status = "draining or gone"
			}
			servers[f.Target] = state{status, forever, end}
		case "server-flap":
			servers[f.Target] = state{"off the list", end, forever}
		case "server-return":
			switch {
			case current.status == "":
				c.addError("fault", i, "fault %q at %s: server %d runs then", f.Kind, f.At, f.Target)
			case at <= current.returnAfter:
				c.addError("fault", i, "fault %q at %s: server %d is not gone from the list before %v", f.Kind, f.At, f.Target, current.returnAfter)
			default:
				delete(servers, f.Target)
			}
		}
	}
}

// Format returns the script as text that Parse accepts.
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

// Validate returns the errors of a script that was not read from a file.
func (s *Script) Validate() error { return s.validate("scenario") }

// TargetKind returns the kind of target of a kind of fault: node, server, part (a shard of the
// counter), or "" if it has none.
func TargetKind(kind string) string { return faultKinds[kind].target }
