package virtual

import (
	"bytes"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"yardcleat.example/yardcleat/day"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// defects are builds with a defence taken out, to see whether it would be found.
var defects = map[string]func(*day.VirtualEnvironment){
	// Rule 1.
	"patience-not-read": edit("clients {", "clients {\n patience_header = \"x-none\""),
	"stalls-not-seen": func(b *day.VirtualEnvironment) {
		b.Pause = ways[Ways[0]].stall
		// What its client has left is taken back where it is still on its way, which
		// hides most of it: that defence goes, too.
		b.WrapUpstream = func(u node.Upstream) node.Upstream { return sendsAll{u} }
	},
	// Rule 2.
	"keyed-taken-for-safe":  edit(`effect = "keyed"`, `effect = "safe"`),
	"unsafe-taken-for-safe": edit(`effect = "unsafe"`, `effect = "safe"`),
	"group-too-wide":        edit(`group = "cell"`, `group = "all"`),
	"window-too-long": func(b *day.VirtualEnvironment) {
		b.EditConfig = func(cfg []byte) []byte { return windows.ReplaceAll(cfg, []byte(`window = "20s"`)) }
	},
	// Rule 3.
	"drains-not-heard": deafen(func(s *node.Endpoint) { s.State = policy.Running }),
	// Rule 4.
	"cold-taken-for-warm": deafen(func(s *node.Endpoint) { s.StartTime = time.Time{} }),
	// Rule 5.
	// (A quota keeps a customer well below its ceiling as long as it holds.)
	"ceiling-too-high": edit(quotas, "rate = 100\n  burst = 100\n  open = 0\n  hard_rate = 21\n  hard_burst = 36"),
	"ceiling-unknown":  edit(quotas, "rate = 100\n  burst = 100\n  open = 0"),
}

// sendsAll sends whatever it was given, whoever has left meanwhile.
type sendsAll struct{ node.Upstream }

func (u sendsAll) Start(a node.Attempt, done func(node.Result)) node.OutgoingAttempt {
	return goesOn{u.Upstream.Start(a, done)}
}

type goesOn struct{ node.OutgoingAttempt }

func (goesOn) Withdraw() bool { return false }

// Ways of living through stalls, as weighed: what is read to its end before
// anything is sent, and from when what was read counts.
var Ways = []string{"nothing", "read first", "age by the gap", "age by stamps", "read first, age by the gap",
	"read first, age by stamps"}

var ways = func() map[string]struct {
	stall    pause.Settings
	noStamps bool
} {
	type way = struct {
		stall    pause.Settings
		noStamps bool
	}
	none, read, age, both := pause.DefaultSettings(), pause.DefaultSettings(), pause.DefaultSettings(), pause.DefaultSettings()
	none.MinPause, none.IgnoreArrivalTimes = time.Hour, true
	read.IgnoreArrivalTimes = true
	age.MaxBarrier = 1
	return map[string]way{Ways[0]: {none, true}, Ways[1]: {read, true}, Ways[2]: {age, true}, Ways[3]: {age, false},
		Ways[4]: {both, true}, Ways[5]: {both, false}}
}()

const quotas = "rate = 8\n  burst = 16\n  open = 6\n  hard_rate = 14\n  hard_burst = 24"

var windows = regexp.MustCompile(`window = "(2s|500ms)"`)

// Defects lists them.
func Defects() []string { return slices.Sorted(maps.Keys(defects)) }

func edit(old, new string) func(*day.VirtualEnvironment) {
	return func(b *day.VirtualEnvironment) {
		b.EditConfig = func(cfg []byte) []byte { return bytes.ReplaceAll(cfg, []byte(old), []byte(new)) }
	}
}

func deafen(change func(*node.Endpoint)) func(*day.VirtualEnvironment) {
	return func(b *day.VirtualEnvironment) {
		b.TransformEndpoints = func(list []node.Endpoint) []node.Endpoint {
			for i := range list {
				change(&list[i])
			}
			return list
		}
	}
}

func defect(b *day.VirtualEnvironment, name string) error {
	if name == "" {
		return nil
	}
	take, ok := defects[name]
	if !ok {
		return fmt.Errorf("there is no defect %q; there are %s", name, strings.Join(Defects(), ", "))
	}
	take(b)
	return nil
}
