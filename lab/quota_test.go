package lab

import (
	"reflect"
	"testing"
)

// Under every fault nearly nothing is admitted beyond the hard ceiling, and few requests
// within the quota are rejected. Equal seeds give equal results.
func TestQuota(t *testing.T) {
	for _, fault := range Faults {
		experiment := Experiment{Nodes: 3, Method: ReportsAndTracker, Fault: fault, Seed: 1}
		result, err := RunQuota(experiment)
		if err != nil {
			t.Fatal(err)
		}
		if result.WorstOverCeiling > 0.01 || result.WorstOverQuota > 0.05 || result.Shortfall > 0.05 || result.CounterError > 0.01 || result.Admitted == 0 {
			t.Errorf("%+v", result)
		}
		if again, _ := RunQuota(experiment); !reflect.DeepEqual(result, again) {
			t.Errorf("%s: different results with the same seed", fault)
		}
	}
}

// The experiment shows the expected failures of the methods that depend on the counter.
func TestQuotaFindsFailures(t *testing.T) {
	failOpen, err := RunQuota(Experiment{Nodes: 3, Method: CounterFailOpen, Fault: "silent", Seed: 1})
	if err != nil || failOpen.WorstOverCeiling < 0.05 {
		t.Errorf("%+v, %v", failOpen, err)
	}
	failClosed, err := RunQuota(Experiment{Nodes: 3, Method: CounterFailClosed, Fault: "silent", Seed: 1})
	if err != nil || failClosed.Shortfall < 0.2 {
		t.Errorf("%+v, %v", failClosed, err)
	}
}
