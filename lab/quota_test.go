package lab

import (
	"reflect"
	"testing"
)

// Under every fault the ceiling is kept, and few are refused for nothing; the
// same seed gives the same figures.
func TestQuota(t *testing.T) {
	for _, fault := range Faults {
		e := Experiment{Nodes: 3, Way: WithTally, Fault: fault, Seed: 1}
		r, err := Quota(e)
		if err != nil {
			t.Fatal(err)
		}
		if r.WorstHard > 0.01 || r.WorstQuota > 0.05 || r.Under > 0.05 || r.Tally > 0.01 || r.Admitted == 0 {
			t.Errorf("%+v", r)
		}
		if again, _ := Quota(e); !reflect.DeepEqual(r, again) {
			t.Errorf("%s: another result from the same seed", fault)
		}
	}
}

// The experiment sees the ways fail that must.
func TestQuotaFindsFailures(t *testing.T) {
	open, err := Quota(Experiment{Nodes: 3, Way: AskOpen, Fault: "silent", Seed: 1})
	if err != nil || open.WorstHard < 0.05 {
		t.Errorf("%+v, %v", open, err)
	}
	closed, err := Quota(Experiment{Nodes: 3, Way: AskClosed, Fault: "silent", Seed: 1})
	if err != nil || closed.Under < 0.2 {
		t.Errorf("%+v, %v", closed, err)
	}
}
