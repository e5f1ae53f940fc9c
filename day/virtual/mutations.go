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

// mutations holds, by name, the functions that remove a defence from the gateways of a scenario. They show
// whether the rules detect that the defence is missing.
var mutations = map[string]func(*day.VirtualEnvironment){
	// Rule 1.
	"patience-not-read": editConfig("clients {", "clients {\n patience_header = \"x-none\""),
	"stalls-not-seen": func(env *day.VirtualEnvironment) {
		env.Pause = pauseStrategySettings[PauseStrategies[0]].settings
		// Withdrawing the unsent attempts of disconnected clients, and the look at the client's connection
		// before an attempt is sent, would prevent most of the violations, so those defences are removed as well.
		env.WrapUpstream = func(u node.Upstream) node.Upstream { return disconnectIgnoringUpstream{u} }
	},
	// Rule 2.
	"keyed-taken-for-safe":  editConfig(`effect = "keyed"`, `effect = "safe"`),
	"unsafe-taken-for-safe": editConfig(`effect = "unsafe"`, `effect = "safe"`),
	"group-too-wide":        editConfig(`group = "cell"`, `group = "all"`),
	"window-too-long": func(env *day.VirtualEnvironment) {
		env.EditConfig = func(cfg []byte) []byte { return shortDedupWindows.ReplaceAll(cfg, []byte(`window = "20s"`)) }
	},
	// Rule 3.
	"drains-not-heard": editEndpoints(func(s *node.Endpoint) { s.State = policy.Running }),
	// Rule 4.
	"cold-taken-for-warm": editEndpoints(func(s *node.Endpoint) { s.StartTime = time.Time{} }),
	// Rule 5.
	// The quota and the in-flight cap are lifted as well: they would keep usage far below the ceiling.
	"ceiling-too-high": editConfig(quotaSettings, "rate = 100\n  burst = 100\n  open = 0\n  hard_rate = 21\n  hard_burst = 36"),
	"ceiling-unknown":  editConfig(quotaSettings, "rate = 100\n  burst = 100\n  open = 0"),
}

// disconnectIgnoringUpstream sends each attempt even if it is withdrawn or its client has disconnected.
type disconnectIgnoringUpstream struct{ node.Upstream }

func (u disconnectIgnoringUpstream) Start(attempt node.Attempt, done func(node.Result)) node.OutgoingAttempt {
	request := *attempt.Request
	request.Client = nil
	attempt.Request = &request
	return withdrawalIgnoringAttempt{u.Upstream.Start(attempt, done)}
}

type withdrawalIgnoringAttempt struct{ node.OutgoingAttempt }

func (withdrawalIgnoringAttempt) Withdraw() bool { return false }

// PauseStrategies lists the strategies that "lab stalls" compares for handling a pause of the process. They
// differ in whether all sockets are drained before anything is sent ("read first"), and in the
// arrival time assumed for the bytes read: the time of the read, an estimate from the pause ("age by
// the gap"), or the network's timestamp ("age by stamps"). With "nothing" pauses are not detected.
var PauseStrategies = []string{"nothing", "read first", "age by the gap", "age by stamps", "read first, age by the gap",
	"read first, age by stamps"}

// pauseStrategySettings holds the settings of each strategy, and whether the network gives no timestamps.
var pauseStrategySettings = func() map[string]struct {
	settings     pause.Settings
	noTimestamps bool
} {
	type strategy = struct {
		settings     pause.Settings
		noTimestamps bool
	}
	none, read, age, both := pause.DefaultSettings(), pause.DefaultSettings(), pause.DefaultSettings(), pause.DefaultSettings()
	none.MinPause, none.IgnoreArrivalTimes = time.Hour, true
	read.IgnoreArrivalTimes = true
	age.MaxBarrier = 1
	return map[string]strategy{PauseStrategies[0]: {none, true}, PauseStrategies[1]: {read, true}, PauseStrategies[2]: {age, true}, PauseStrategies[3]: {age, false},
		PauseStrategies[4]: {both, true}, PauseStrategies[5]: {both, false}}
}()

// quotaSettings is how the base scenario configures the quota and the hard ceiling of plan basic.
const quotaSettings = "rate = 8\n  burst = 16\n  open = 6\n  hard_rate = 14\n  hard_burst = 24"

// shortDedupWindows matches dedup windows in the configuration of a node.
var shortDedupWindows = regexp.MustCompile(`window = "(2s|500ms)"`)

// Mutations returns the names of all mutations, sorted.
func Mutations() []string { return slices.Sorted(maps.Keys(mutations)) }

// editConfig returns a mutation that replaces text in the configuration of each node.
func editConfig(old, new string) func(*day.VirtualEnvironment) {
	return func(env *day.VirtualEnvironment) {
		env.EditConfig = func(cfg []byte) []byte { return bytes.ReplaceAll(cfg, []byte(old), []byte(new)) }
	}
}

// editEndpoints returns a mutation that changes each endpoint that a node receives.
func editEndpoints(change func(*node.Endpoint)) func(*day.VirtualEnvironment) {
	return func(env *day.VirtualEnvironment) {
		env.TransformEndpoints = func(list []node.Endpoint) []node.Endpoint {
			for i := range list {
				change(&list[i])
			}
			return list
		}
	}
}

// applyMutation applies the mutation of the given name. An empty name is none.
func applyMutation(env *day.VirtualEnvironment, name string) error {
	if name == "" {
		return nil
	}
	apply, ok := mutations[name]
	if !ok {
		return fmt.Errorf("unknown defect %q; the defects are %s", name, strings.Join(Mutations(), ", "))
	}
	apply(env)
	return nil
}
