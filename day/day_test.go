package day

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
)

// inBubble plays a script in virtual time.
func playInBubble(t *testing.T, src []byte) *Report {
	t.Helper()
	s, err := Parse(src, "test.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var r *Report
	synctest.Test(t, func(t *testing.T) {
		env := &Bubble{Memory: network.NewMemory(time.Millisecond, 1), Temp: t.TempDir(), Log: io.Discard, Seed: 1}
		if r, err = Run(context.Background(), s, Options{Env: env}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // timers of what was closed run out
	})
	return r
}

// The whole bad day keeps all rules, in virtual time.
func TestDefaultDay(t *testing.T) {
	r := playInBubble(t, Default)
	if !r.Kept() {
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
	if served < r.Tries/3 {
		t.Errorf("%d served of %d tries", served, r.Tries)
	}
}
