package lab

import (
	"reflect"
	"testing"
)

// Under every fault the ceiling is kept, and few are refused for nothing; the
// same seed gives the same figures.
func TestQuota(t *testing.T) {
	for _, fault := range Faults {
		e := Experiment{Nodes: 3, Method: ReportsAndTracker, Fault: fault, Seed: 1}
		r, err := RunQuota(e)
		if err != nil {
			t.Fatal(err)
		}
		if r.WorstOverCeiling > 0.01 || r.WorstOverQuota > 0.05 || r.Shortfall > 0.05 || r.CounterError > 0.01 || r.Admitted == 0 {
			t.Errorf("%+v", r)
		}
		if again, _ := RunQuota(e); !reflect.DeepEqual(r, again) {
			t.Errorf("%s: another result from the same seed", fault)
		}
	}
}

// The experiment sees the ways fail that must.
func TestQuotaFindsFailures(t *testing.T) {
	open, err := RunQuota(Experiment{Nodes: 3, Method: CounterFailOpen, Fault: "silent", Seed: 1})
	if err != nil || open.WorstOverCeiling < 0.05 {
		t.Errorf("%+v, %v", open, err)
	}
	closed, err := RunQuota(Experiment{Nodes: 3, Method: CounterFailClosed, Fault: "silent", Seed: 1})
	if err != nil || closed.Shortfall < 0.2 {
		t.Errorf("%+v, %v", closed, err)
	}
}
