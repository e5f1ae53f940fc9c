package authz

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") } // the same verdict every time

// Whatever comes: Checks out keep to the bound, a budget leaves half of what
// the client still waits, and a class that needs an answer never passes without.
func TestDecider(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, timeout = 4, 200 * time.Millisecond
		classes := map[string]Mode{"skip": Skip, "refuse": Refuse, "allow": Allow}
		d := New(classes, timeout, most)
		var out []string
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				class := rapid.SampledFrom([]string{"skip", "refuse", "allow"}).Draw(t, "class")
				left := time.Duration(rapid.Int64Range(-int64(time.Second), int64(3*time.Second)).Draw(t, "left"))
				step, budget := d.Begin(class, left)
				switch {
				case step == Ask:
					out = append(out, class)
					if budget <= 0 || budget > timeout || budget > left/2 || class == "skip" {
						t.Fatalf("class %s: budget %v of %v", class, budget, left)
					}
				case step == Pass && class == "refuse":
					t.Fatal("passed unasked")
				case step != Pass && class != "refuse":
					t.Fatalf("class %s: step %d", class, step)
				}
			},
			"end": func(t *rapid.T) {
				if len(out) == 0 {
					return
				}
				class := out[0]
				out = out[1:]
				v := rapid.SampledFrom([]Verdict{Allowed, Denied, Late, Unreachable}).Draw(t, "verdict")
				want := map[Verdict]Step{Allowed: Pass, Denied: Deny, Late: RefuseLate, Unreachable: RefuseError}[v]
				if class == "allow" && v != Denied {
					want = Pass
				}
				if got := d.End(class, v); got != want {
					t.Fatalf("%s, verdict %d: step %d, want %d", class, v, got, want)
				}
			},
			"": func(t *rapid.T) {
				if d.Out() != len(out) || len(out) > most {
					t.Fatalf("%d out, %d counted", len(out), d.Out())
				}
			},
		})
	})
}
