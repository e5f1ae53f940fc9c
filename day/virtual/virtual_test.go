package virtual

import (
	"testing"

	"yardcleat.example/yardcleat/day"
	"yardcleat.example/yardcleat/lab/hunt"
)

func loadBaseScenario(t *testing.T) *day.Script {
	t.Helper()
	script, err := day.Load("base")
	if err != nil {
		t.Fatal(err)
	}
	return script
}

// Generated scenarios violate no rule. A fault in a gateway that violates a rule in many scenarios is
// found here with a few of them; "lab hunt" runs thousands to find rarer ones.
func TestGeneratedScenariosKeepAllRules(t *testing.T) {
	for seed := range uint64(6) {
		generator := hunt.New(loadBaseScenario(t), hunt.DefaultLimits(), 100+seed, false)
		scenario := generator.Next()
		scenario.Script.Nodes = min(scenario.Script.Nodes, 4)
		if scenario.Script.Validate() != nil {
			continue // a fault has a target node beyond the reduced fleet
		}
		result := Run(t, Job{Source: scenario.Script.Format(), Seed: scenario.Seed, NoTimestamps: scenario.NoTimestamps})
		if result.Error != "" || !result.Report.Passed() {
			t.Errorf("a rule was violated or the run failed: %s: %s", scenario.Summary(), result.Error)
			if result.Report != nil {
				result.Report.Write(t.Output())
			}
		}
	}
}

// The rules detect gateways that do not notice their own pauses: after a pause such a gateway forwards
// requests whose clients have timed out or disconnected, which violates rule 1.
func TestUndetectedPausesViolateRule1(t *testing.T) {
	source, err := day.Source("stops")
	if err != nil {
		t.Fatal(err)
	}
	result := Run(t, Job{Source: source, Seed: 1, Mutation: "stalls-not-seen"})
	if result.Error != "" {
		t.Fatal(result.Error)
	}
	if len(result.Report.Rules[0].Violations) == 0 {
		t.Error("no violation of rule 1 was found")
	}
}
