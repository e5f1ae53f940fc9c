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

// mutations are builds with a defence taken out, to see whether it would be found.
var mutations = map[string]func(*day.VirtualEnvironment){
	// Rule 1.
	"patience-not-read": editConfig("clients {", "clients {\n patience_header = \"x-none\""),
	"stalls-not-seen": func(b *day.VirtualEnvironment) {
		b.Pause = pauseStrategies[PauseStrategies[0]].stall
		// What its client has left is taken back where it is still on its way, which
		// hides most of it: that defence goes, too.
		b.WrapUpstream = func(u node.Upstream) node.Upstream { return withdrawalIgnoringUpstream{u} }
	},
	// Rule 2.
	"keyed-taken-for-safe":  editConfig(`effect = "keyed"`, `effect = "safe"`),
	"unsafe-taken-for-safe": editConfig(`effect = "unsafe"`, `effect = "safe"`),
	"group-too-wide":        editConfig(`group = "cell"`, `group = "all"`),
	"window-too-long": func(b *day.VirtualEnvironment) {
		b.EditConfig = func(cfg []byte) []byte { return shortDedupWindows.ReplaceAll(cfg, []byte(`window = "20s"`)) }
	},
	// Rule 3.
	"drains-not-heard": editEndpoints(func(s *node.Endpoint) { s.State = policy.Running }),
	// Rule 4.
	"cold-taken-for-warm": editEndpoints(func(s *node.Endpoint) { s.StartTime = time.Time{} }),
	// Rule 5.
	// (A quota keeps a customer well below its ceiling as long as it holds.)
	"ceiling-too-high": editConfig(quotaSettings, "rate = 100\n  burst = 100\n  open = 0\n  hard_rate = 21\n  hard_burst = 36"),
	"ceiling-unknown":  editConfig(quotaSettings, "rate = 100\n  burst = 100\n  open = 0"),
}

// withdrawalIgnoringUpstream sends whatever it was given, whoever has left meanwhile.
type withdrawalIgnoringUpstream struct{ node.Upstream }

func (u withdrawalIgnoringUpstream) Start(a node.Attempt, done func(node.Result)) node.OutgoingAttempt {
	return withdrawalIgnoringAttempt{u.Upstream.Start(a, done)}
}

type withdrawalIgnoringAttempt struct{ node.OutgoingAttempt }

func (withdrawalIgnoringAttempt) Withdraw() bool { return false }

// PauseStrategies of living through stalls, as weighed: what is read to its end before
// anything is sent, and from when what was read counts.
var PauseStrategies = []string{"nothing", "read first", "age by the gap", "age by stamps", "read first, age by the gap",
	"read first, age by stamps"}

var pauseStrategies = func() map[string]struct {
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
	return map[string]way{PauseStrategies[0]: {none, true}, PauseStrategies[1]: {read, true}, PauseStrategies[2]: {age, true}, PauseStrategies[3]: {age, false},
		PauseStrategies[4]: {both, true}, PauseStrategies[5]: {both, false}}
}()

const quotaSettings = "rate = 8\n  burst = 16\n  open = 6\n  hard_rate = 14\n  hard_burst = 24"

var shortDedupWindows = regexp.MustCompile(`window = "(2s|500ms)"`)

// Mutations lists them.
func Mutations() []string { return slices.Sorted(maps.Keys(mutations)) }

func editConfig(old, new string) func(*day.VirtualEnvironment) {
	return func(b *day.VirtualEnvironment) {
		b.EditConfig = func(cfg []byte) []byte { return bytes.ReplaceAll(cfg, []byte(old), []byte(new)) }
	}
}

func editEndpoints(change func(*node.Endpoint)) func(*day.VirtualEnvironment) {
	return func(b *day.VirtualEnvironment) {
		b.TransformEndpoints = func(list []node.Endpoint) []node.Endpoint {
			for i := range list {
				change(&list[i])
			}
			return list
		}
	}
}

func applyMutation(b *day.VirtualEnvironment, name string) error {
	if name == "" {
		return nil
	}
	take, ok := mutations[name]
	if !ok {
		return fmt.Errorf("there is no defect %q; there are %s", name, strings.Join(Mutations(), ", "))
	}
	take(b)
	return nil
}
