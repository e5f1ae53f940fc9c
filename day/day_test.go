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

// inBubble plays a script in virtual time.
func runVirtual(t *testing.T, src []byte, defect func(*VirtualEnvironment)) *Report {
	t.Helper()
	s, err := Parse(src, "test.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var r *Report
	synctest.Test(t, func(t *testing.T) {
		env := &VirtualEnvironment{Memory: network.NewMemory(time.Millisecond, 1), TempDir: t.TempDir(), Log: io.Discard, Seed: 1}
		if defect != nil {
			defect(env)
		}
		if r, err = Run(context.Background(), s, Options{Environment: env}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // timers of what was closed run out
	})
	return r
}

// The whole bad day keeps all rules, in virtual time.
func TestDefaultScenario(t *testing.T) {
	r := runVirtual(t, scriptSource(t, DefaultScript), nil)
	if !r.Passed() {
		r.Write(t.Output())
		t.Error("a rule was broken")
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
	if served < r.ClientAttempts/3 {
		t.Errorf("%d served of %d tries", served, r.ClientAttempts)
	}
}

// coldServerScript has few servers, all busy, one of which returns very cold.
var coldServerScript = func() []byte {
	b, err := Source("base")
	if err != nil {
		panic(err)
	}
	for _, e := range [][2]string{{`"30s"`, `"10s"`}, {"count         = 10", "count         = 3"}, {"cold_share    = 0.21", "cold_share    = 0.05"},
		{`told_late     = "400ms"`, `told_late     = "50ms"`},
		{"cores         = 2", "cores         = 4"}, {"count = 5\n  use   = 0.8\n}\n\ncounter", "count = 9\n  use   = 0.8\n}\n\ncounter"}, {"queue         = 16", "queue         = 40"}} {
		if !bytes.Contains(b, []byte(e[0])) {
			panic(e[0] + " does not stand in the default script")
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
		t.Error("a rule was broken")
	}
}

// With one defence taken out of the nodes, the audit finds its rule broken.
func TestMutations(t *testing.T) {
	edit := func(old, new string) func(*VirtualEnvironment) {
		return func(b *VirtualEnvironment) {
			b.EditConfig = func(cfg []byte) []byte {
				out := bytes.ReplaceAll(cfg, []byte(old), []byte(new))
				if bytes.Equal(out, cfg) {
					t.Errorf("%q does not stand in the configuration", old)
				}
				return out
			}
		}
	}
	for _, c := range []struct {
		rule   int
		what   string
		defect func(*VirtualEnvironment)
		script []byte
	}{
		{1, "the client's patience is not read",
			edit("clients {", "clients {\n patience_header = \"x-none\""), scriptSource(t, DefaultScript)},
		{2, "keyed requests are taken for safe", edit(`effect = "keyed"`, `effect = "safe"`), scriptSource(t, DefaultScript)},
		{3, "drains are not heard of", func(b *VirtualEnvironment) {
			b.TransformEndpoints = func(list []node.Endpoint) []node.Endpoint {
				for i := range list {
					list[i].State = policy.Running
				}
				return list
			}
		}, scriptSource(t, DefaultScript)},
		{4, "cold servers are taken for warm", func(b *VirtualEnvironment) {
			b.TransformEndpoints = func(list []node.Endpoint) []node.Endpoint {
				for i := range list {
					list[i].StartTime = time.Time{}
				}
				return list
			}
		}, coldServerScript},
		{5, "neither quota nor ceiling is known", edit("rate = 8\n  burst = 16\n  open = 6\n  hard_rate = 14\n  hard_burst = 24",
			"rate = 100\n  burst = 100\n  open = 0"), scriptSource(t, DefaultScript)},
	} {
		t.Run(c.what, func(t *testing.T) {
			r := runVirtual(t, c.script, c.defect)
			if len(r.Rules[c.rule-1].Violations) == 0 {
				r.Write(t.Output())
				t.Errorf("rule %d was not found broken", c.rule)
			}
		})
	}
}

// Each fault of the authoriser: every item ends once, whatever it does.
func TestAuthorizerFaults(t *testing.T) {
	for _, name := range ScriptNames() {
		if !strings.HasPrefix(name, "authoriser-") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			r := runVirtual(t, scriptSource(t, name), nil)
			if !r.Passed() {
				r.Write(t.Output())
				t.Error("a rule was broken")
			}
			for _, c := range r.Classes {
				t.Logf("%s: %d served, p99 %.0f ms", c.Class, c.Served, c.P99)
			}
		})
	}
}

// Each fault of the counter: all rules hold, no request waits for it, and the
// counter ends with all that arrived but what a killed node had not stored.
func TestCounterFaults(t *testing.T) {
	for _, name := range ScriptNames() {
		if !strings.HasPrefix(name, "counter-") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			r := runVirtual(t, scriptSource(t, name), nil)
			if !r.Passed() {
				r.Write(t.Output())
				t.Error("a rule was broken")
			}
			if r.CounterTotals.Missing > 0.03*r.CounterTotals.Received || r.CounterTotals.Received == 0 {
				t.Errorf("%+v", *r.CounterTotals)
			}
			t.Logf("%+v", *r.CounterTotals)
		})
	}
}

// Nodes stopped over each other: what came while they stood still is not sent on
// for clients that have left, with the kernel's word on when it came or without.
func TestNodePauses(t *testing.T) {
	for _, stamps := range []bool{true, false} {
		r := runVirtual(t, scriptSource(t, "stops"), func(b *VirtualEnvironment) { b.Memory.NoTimestamps = !stamps })
		if !r.Passed() {
			r.Write(t.Output())
			t.Errorf("stamps %v: a rule was broken", stamps)
		}
	}
}

// A fleet grows, shrinks and grows again under faults, without a restart.
func TestMembershipChanges(t *testing.T) {
	var logs bytes.Buffer
	r := runVirtual(t, scriptSource(t, "fleet"), func(b *VirtualEnvironment) { b.Log = &logs })
	if !r.Passed() {
		r.Write(t.Output())
		t.Error("a rule was broken")
	}
	for _, epoch := range []string{"2", "3", "4"} {
		completed := regexp.MustCompile(`msg="membership change completed" node=\d+ epoch=` + epoch + " ")
		if n := len(completed.FindAll(logs.Bytes(), -1)); n < 3 {
			t.Errorf("%d nodes say that the change to epoch %s is complete", n, epoch)
		}
	}
}
