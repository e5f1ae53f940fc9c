package virtual

import (
	"testing"

	"yardcleat.example/yardcleat/day"
	"yardcleat.example/yardcleat/lab/hunt"
)

func loadBaseScenario(t *testing.T) *day.Script {
	t.Helper()
	s, err := day.Load("base")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Drawn days keep all rules; lab hunt plays them by the thousand.
func TestDrawnDays(t *testing.T) {
	for seed := range uint64(6) {
		h := hunt.New(loadBaseScenario(t), hunt.DefaultLimits(), 100+seed, false)
		d := h.Next()
		d.Script.Nodes = min(d.Script.Nodes, 4)
		if d.Script.Validate() != nil {
			continue // a fault is aimed at a node that is no more
		}
		r := Run(t, Job{Source: d.Script.Format(), Seed: d.Seed, NoTimestamps: d.NoReceiveTimestamps})
		if r.Error != "" || !r.Report.Passed() {
			t.Errorf("%s: %s", d.Summary(), r.Error)
			if r.Report != nil {
				r.Report.Write(t.Output())
			}
		}
	}
}

// What the audit would see of a build that can't tell that it stood still.
func TestStallsAreFound(t *testing.T) {
	src, err := day.Source("stops")
	if err != nil {
		t.Fatal(err)
	}
	r := Run(t, Job{Source: src, Seed: 1, Mutation: "stalls-not-seen"})
	if r.Error != "" {
		t.Fatal(r.Error)
	}
	if len(r.Report.Rules[0].Violations) == 0 {
		t.Error("rule 1 was not found broken")
	}
}
