package main

import (
	"strings"
	"testing"

	"yardcleat.example/yardcleat/lab/hunt"
)

// runHunt runs lab hunt with arguments.
func runHunt(t *testing.T, arguments ...string) error {
	t.Helper()
	c := huntCommand()
	c.SetArgs(arguments)
	c.SetErr(t.Output())
	c.SetOut(t.Output())
	return c.Execute()
}

// Flags that can't be used must be reported, each by itself: an unknown defect would look like a broken rule, and a
// range that is not read searches other scenarios than those asked for.
func TestHuntReportsUnusableFlags(t *testing.T) {
	for _, c := range []struct {
		arguments []string
		want      string
	}{
		{[]string{"--defect", "nothing-such"}, `unknown defect "nothing-such"; the defects are ceiling-too-high`},
		{[]string{"--nodes", "5-2"}, `invalid range "5-2"`},
		{[]string{"--faults", "few"}, `invalid range "few"`},
		{[]string{"--nodes", "0-3", "--faults", "0-3"}, `invalid range "0-3"`},
		{[]string{"--kind", "flood"}, `unknown kind of fault "flood"`},
	} {
		err := runHunt(t, append(c.arguments, "--budget", "0")...)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.arguments, err, c.want)
		}
	}
}

// Equal ranges for nodes and faults must both be used.
func TestHuntUsesEqualRanges(t *testing.T) {
	h := &faultSearch{limits: hunt.DefaultLimits()}
	if err := h.setRanges("4-5", "4-5"); err != nil {
		t.Fatal(err)
	}
	if want := [2]int{4, 5}; h.limits.Nodes != want || h.limits.Faults != want {
		t.Errorf("nodes %v, faults %v, want both %v", h.limits.Nodes, h.limits.Faults, want)
	}
}
