package day

import (
	"bytes"
	"context"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// runVirtual runs a scenario in virtual time.
func runVirtual(t *testing.T, src []byte, mutate func(*VirtualEnvironment)) *Report {
	t.Helper()
	s, err := Parse(src, "test.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var r *Report
	synctest.Test(t, func(t *testing.T) {
		env := &VirtualEnvironment{Memory: network.NewMemory(time.Millisecond, 1), TempDir: t.TempDir(), Log: io.Discard, Seed: 1}
		if mutate != nil {
			mutate(env)
		}
		if r, err = Run(context.Background(), s, Options{Environment: env}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // lets the timers of closed components expire
	})
	return r
}

// The default scenario violates no rule, checks each rule, and serves at least a third of the requests.
func TestDefaultScenario(t *testing.T) {
	r := runVirtual(t, scriptSource(t, DefaultScript), nil)
	if !r.Passed() {
		r.Write(t.Output())
		t.Error("a rule was violated")
	}
	for _, f := range r.Rules {
		if f.Checked == 0 {
			t.Errorf("rule %d: nothing was checked", f.Rule)
		}
	}
	served := 0
	for _, row := range r.Plans {
		served += row.Served
	}
	if served < r.Requests/3 {
		t.Errorf("%d of %d requests were served", served, r.Requests)
	}
}

// coldServerScript has few servers, all busy, one of which is started again with a very low initial
// capacity.
var coldServerScript = func() []byte {
	b, err := Source("base")
	if err != nil {
		panic(err)
	}
	for _, e := range [][2]string{{`"30s"`, `"10s"`}, {"count         = 10", "count         = 3"}, {"cold_share    = 0.21", "cold_share    = 0.05"},
		{`told_late     = "400ms"`, `told_late     = "50ms"`},
		{"cores         = 2", "cores         = 4"}, {"count = 5\n  use   = 0.8\n}\n\ncounter", "count = 9\n  use   = 0.8\n}\n\ncounter"}, {"queue         = 16", "queue         = 40"}} {
		if !bytes.Contains(b, []byte(e[0])) {
			panic(e[0] + " is not in the base script")
		}
		b = bytes.Replace(b, []byte(e[0]), []byte(e[1]), 1)
	}
	return append(b, []byte(`fault "server-drain" {
  at     = "1s"
  for    = "1s"
  target = 2
}
fault "server-return" {
  at     = "5s"
  target = 2
}
`)...)
}()

func scriptSource(t *testing.T, name string) []byte {
	t.Helper()
	b, err := Source(name)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestColdServer(t *testing.T) {
	if r := runVirtual(t, coldServerScript, nil); !r.Passed() {
		r.Write(t.Output())
		t.Error("a rule was violated")
	}
}

// Each mutation removes one defence from the nodes. The audit must detect violations of its rule.
func TestMutations(t *testing.T) {
	edit := func(old, new string) func(*VirtualEnvironment) {
		return func(env *VirtualEnvironment) {
			env.EditConfig = func(cfg []byte) []byte {
				out := bytes.ReplaceAll(cfg, []byte(old), []byte(new))
				if bytes.Equal(out, cfg) {
					t.Errorf("%q is not in the configuration", old)
				}
				return out
			}
		}
	}
	for _, c := range []struct {
		rule   int
		what   string
		mutate func(*VirtualEnvironment)
		script []byte
	}{
		{1, "the client timeout is not read",
			edit("clients {", "clients {\n patience_header = \"x-none\""), scriptSource(t, DefaultScript)},
		{2, "requests that are idempotent with a key are treated as idempotent", edit(`effect = "keyed"`, `effect = "safe"`), scriptSource(t, DefaultScript)},
		{3, "draining servers are treated as running", func(env *VirtualEnvironment) {
			env.TransformEndpoints = func(list []node.Endpoint) []node.Endpoint {
				for i := range list {
					list[i].State = policy.Running
				}
				return list
			}
		}, scriptSource(t, DefaultScript)},
		{4, "cold servers are treated as warm", func(env *VirtualEnvironment) {
			env.TransformEndpoints = func(list []node.Endpoint) []node.Endpoint {
				for i := range list {
					list[i].StartTime = time.Time{}
				}
				return list
			}
		}, coldServerScript},
		{5, "quotas are far higher, and there is no hard ceiling", edit("rate = 8\n  burst = 16\n  open = 6\n  hard_rate = 14\n  hard_burst = 24",
			"rate = 100\n  burst = 100\n  open = 0"), scriptSource(t, DefaultScript)},
	} {
		t.Run(c.what, func(t *testing.T) {
			r := runVirtual(t, c.script, c.mutate)
			if len(r.Rules[c.rule-1].Violations) == 0 {
				r.Write(t.Output())
				t.Errorf("no violation of rule %d was found", c.rule)
			}
		})
	}
}

// With each fault of the authorizer, no rule is violated: each request is completed once, whatever the
// authorizer does.
func TestAuthorizerFaults(t *testing.T) {
	for _, name := range ScriptNames() {
		if !strings.HasPrefix(name, "authoriser-") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			r := runVirtual(t, scriptSource(t, name), nil)
			if !r.Passed() {
				r.Write(t.Output())
				t.Error("a rule was violated")
			}
			for _, c := range r.Classes {
				t.Logf("%s: %d served, p99 %.0f ms", c.Class, c.Served, c.P99)
			}
		})
	}
}

// With each fault of the counter, no rule is violated, so that no request waits for the counter for too long.
// The final totals of the counter contain the units that servers received, except for at most 3%, which a
// killed node had not stored.
func TestCounterFaults(t *testing.T) {
	for _, name := range ScriptNames() {
		if !strings.HasPrefix(name, "counter-") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			r := runVirtual(t, scriptSource(t, name), nil)
			if !r.Passed() {
				r.Write(t.Output())
				t.Error("a rule was violated")
			}
			if r.CounterTotals.Missing > 0.03*r.CounterTotals.Received || r.CounterTotals.Received == 0 {
				t.Errorf("%+v", *r.CounterTotals)
			}
			t.Logf("%+v", *r.CounterTotals)
		})
	}
}

// Nodes are suspended at overlapping times. Requests that arrived during a suspension are not forwarded
// if their clients have timed out or disconnected, both with and without receive timestamps of the kernel.
func TestNodePauses(t *testing.T) {
	for _, timestamps := range []bool{true, false} {
		r := runVirtual(t, scriptSource(t, "stops"), func(env *VirtualEnvironment) { env.Memory.NoTimestamps = !timestamps })
		if !r.Passed() {
			r.Write(t.Output())
			t.Errorf("receive timestamps %v: a rule was violated", timestamps)
		}
	}
}

// A fleet grows, shrinks and grows again under faults, without a restart of the whole fleet. At least
// three nodes complete each membership change.
func TestMembershipChanges(t *testing.T) {
	var logs bytes.Buffer
	r := runVirtual(t, scriptSource(t, "fleet"), func(env *VirtualEnvironment) { env.Log = &logs })
	if !r.Passed() {
		r.Write(t.Output())
		t.Error("a rule was violated")
	}
	for _, epoch := range []string{"2", "3", "4"} {
		completed := regexp.MustCompile(`msg="membership change completed" node=\d+ epoch=` + epoch + " ")
		if n := len(completed.FindAll(logs.Bytes(), -1)); n < 3 {
			t.Errorf("%d nodes completed the membership change to epoch %s, want at least 3", n, epoch)
		}
	}
}
