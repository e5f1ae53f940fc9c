package hunt

import (
	"reflect"
	"slices"
	"testing"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/day"
)

func baseScript(t *testing.T) *day.Script {
	t.Helper()
	script, err := day.Load("base")
	if err != nil {
		t.Fatal(err)
	}
	return script
}

// generate runs a search in which the outcome of each scenario follows from its faults,
// without running the scenarios.
func generate(t *testing.T, seed uint64, guided bool, n int) (scenarios []Scenario) {
	generator := New(baseScript(t), DefaultLimits(), seed, guided)
	for range n {
		scenario := generator.Next()
		scenarios = append(scenarios, scenario)
		generator.Learn(scenario, Outcome{Features: []string{scenario.Script.Faults[0].Kind}, Margins: []audit.Margin{{Rule: 1, Used: float64(len(scenario.Script.Faults)) / 20}}})
	}
	return scenarios
}

// Every generated scenario passes validation, is unchanged after its script was written
// and parsed, and depends on the seed alone. All kinds of fault are generated.
func TestScenarios(t *testing.T) {
	kinds := map[string]bool{}
	for _, guided := range []bool{false, true} {
		scenarios := generate(t, 5, guided, 150)
		if again := generate(t, 5, guided, 150); !reflect.DeepEqual(summaries(scenarios), summaries(again)) {
			t.Error("equal seeds generate different scenarios")
		}
		if other := generate(t, 6, guided, 150); reflect.DeepEqual(summaries(scenarios), summaries(other)) {
			t.Error("different seeds generate equal scenarios")
		}
		for _, scenario := range scenarios {
			if err := scenario.Script.Validate(); err != nil {
				t.Fatalf("%s: %v", scenario.Summary(), err)
			}
			parsed, err := day.Parse(scenario.Script.Format(), "parsed.hcl")
			if err != nil {
				t.Fatalf("%v\n%s", err, scenario.Script.Format())
			}
			if !reflect.DeepEqual(parsed.Faults, scenario.Script.Faults) || parsed.Nodes != scenario.Script.Nodes || !reflect.DeepEqual(parsed.Servers, scenario.Script.Servers) ||
				!reflect.DeepEqual(parsed.Classes, scenario.Script.Classes) || parsed.Clients != scenario.Script.Clients {
				t.Fatalf("the parsed script differs from the written one:\n%s", scenario.Script.Format())
			}
			for _, fault := range scenario.Script.Faults {
				kinds[fault.Kind] = true
			}
		}
	}
	for _, kind := range FaultKinds() {
		if !kinds[kind] {
			t.Errorf("%s was never generated", kind)
		}
	}
}

func summaries(scenarios []Scenario) (lines []string) {
	for _, scenario := range scenarios {
		lines = append(lines, scenario.Summary())
	}
	return lines
}

// A scenario is shrunk to exactly the faults that the violation needs, and to the smallest fleet.
func TestShrink(t *testing.T) {
	for _, scenario := range generate(t, 9, false, 40) {
		kinds := map[string]bool{}
		for _, fault := range scenario.Script.Faults {
			kinds[fault.Kind] = true
		}
		if len(kinds) < 2 {
			continue
		}
		first, second := scenario.Script.Faults[0].Kind, ""
		for _, fault := range scenario.Script.Faults {
			if fault.Kind != first && fault.Kind != "server-return" {
				second = fault.Kind
			}
		}
		if first == "server-return" || second == "" {
			continue
		}
		violates := func(scenario Scenario) bool {
			has := func(kind string) bool {
				return slices.ContainsFunc(scenario.Script.Faults, func(fault day.Fault) bool { return fault.Kind == kind })
			}
			return has(first) && has(second)
		}
		shrinker := NewShrinker(scenario, 400)
		for {
			candidate, ok := shrinker.Next()
			if !ok {
				break
			}
			shrinker.Report(violates(candidate))
		}
		if best := shrinker.Best(); !violates(best) || len(best.Script.Faults) != 2 || best.Script.Nodes != 2 {
			t.Errorf("%s and %s: %s", first, second, best.Summary())
		}
	}
}

// A guided search finds a combination of four kinds of fault after fewer scenarios than an
// unguided one, since margins rise with each kind.
func TestGuidance(t *testing.T) {
	find := func(seed uint64, guided bool) int {
		generator := New(baseScript(t), DefaultLimits(), seed, guided)
		for n := 1; n <= 1500; n++ {
			scenario := generator.Next()
			matched := 0
			for _, kind := range []string{"proxy-kill", "clock-set", "discovery-cut", "node-kill-start"} {
				if slices.ContainsFunc(scenario.Script.Faults, func(fault day.Fault) bool { return fault.Kind == kind }) {
					matched++
				}
			}
			if matched == 4 {
				return n
			}
			generator.Learn(scenario, Outcome{Margins: []audit.Margin{{Rule: 2, Used: float64(matched) / 4}}})
		}
		return 1500
	}
	guided, unguided := 0, 0
	for seed := range uint64(8) {
		guided, unguided = guided+find(seed, true), unguided+find(seed, false)
	}
	t.Logf("scenarios until found, total of 8 searches: %d guided, %d unguided", guided, unguided)
	if guided >= unguided {
		t.Error("the guided searches needed no fewer scenarios than the unguided ones")
	}
}

func TestInteractionCost(t *testing.T) {
	for _, c := range []struct {
		none  float64
		alone []float64
		all   float64
		want  float64
	}{{100, []float64{90, 80}, 70, 0}, {100, []float64{90, 80}, 40, 0.3}, {100, []float64{10, 20}, 0, 0}, {0, nil, 0, 0}} {
		if got := InteractionCost(c.none, c.alone, c.all); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
