package hunt

import (
	"math/rand/v2"
	"slices"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/day"
)

// Outcome is the outcome of a scenario.
type Outcome struct {
	Features              []string // features that the scenario reached, such as reasons of rejections and log messages
	Margins               []audit.Margin
	ViolatedRules         []int   // 0 stands for errors, or a scenario that did not run to its end
	ServedWithinObjective float64 // requests served within their latency objective
}

// Generator generates scenarios, guided by the outcomes of earlier ones.
type Generator struct {
	sampler sampler
	guided  bool
	seen    map[string]int // features and pairs, with the number of scenarios that reached them
	corpus  []corpusEntry
	margins [6]float64 // highest used margin of each rule so far, by rule number; more than 1 is a violation
}

// corpusEntry is a scenario from which variants are made.
type corpusEntry struct {
	scenario Scenario
	score    float64
	picks    int
}

// New returns a Generator. If it is not guided, it generates each scenario independently
// of the earlier ones. Equal seeds and outcomes give equal scenarios.
func New(base *day.Script, limits Limits, seed uint64, guided bool) *Generator {
	return &Generator{sampler: sampler{rng: rand.New(rand.NewPCG(seed, 0x6875_6e74)), base: base, limits: limits}, guided: guided, seen: map[string]int{}}
}

// newScenarioFraction is the fraction of new scenarios, rather than variants, in a guided search.
const newScenarioFraction = 0.35

// Next returns the next scenario to run.
func (g *Generator) Next() Scenario {
	if !g.guided || len(g.corpus) == 0 || g.sampler.rng.Float64() < newScenarioFraction {
		return g.sampler.scenario()
	}
	var totalWeight float64
	weight := func(entry *corpusEntry) float64 { return entry.score / float64(1+entry.picks) }
	for i := range g.corpus {
		totalWeight += weight(&g.corpus[i])
	}
	draw := g.sampler.rng.Float64() * totalWeight
	picked := &g.corpus[len(g.corpus)-1]
	for i := range g.corpus {
		if draw -= weight(&g.corpus[i]); draw < 0 {
			picked = &g.corpus[i]
			break
		}
	}
	picked.picks++
	return g.sampler.vary(picked.scenario)
}

const maxCorpusSize = 200

// Learn records the outcome of a scenario. It returns the number of new features, new
// pairs of a fault kind and a feature, and margins that rose.
func (g *Generator) Learn(scenario Scenario, outcome Outcome) (novelty int) {
	score := 0.0
	record := func(feature string) {
		if g.seen[feature]++; g.seen[feature] == 1 {
			novelty++
			score++
		}
	}
	kinds := map[string]bool{}
	for _, fault := range scenario.Script.Faults {
		kinds[fault.Kind] = true
	}
	for _, feature := range outcome.Features {
		record(feature)
		for kind := range kinds {
			record(kind + " with " + feature)
		}
	}
	for _, margin := range outcome.Margins {
		if margin.Rule < len(g.margins) && margin.Used > g.margins[margin.Rule]+0.01 {
			g.margins[margin.Rule] = margin.Used
			novelty++
			score += 20
		}
		score += 2 * min(margin.Used, 1.5)
	}
	if novelty > 0 || len(outcome.ViolatedRules) > 0 {
		g.corpus = append(g.corpus, corpusEntry{scenario: scenario, score: score})
		if len(g.corpus) > maxCorpusSize {
			lowest := 0
			for i := range g.corpus {
				if g.corpus[i].score/float64(1+g.corpus[i].picks) < g.corpus[lowest].score/float64(1+g.corpus[lowest].picks) {
					lowest = i
				}
			}
			g.corpus = slices.Delete(g.corpus, lowest, lowest+1)
		}
	}
	return novelty
}

// Coverage returns the number of distinct features and pairs reached, and the highest
// used margin of each rule, from rule 1 on.
func (g *Generator) Coverage() (features int, margins []float64) { return len(g.seen), g.margins[1:] }

// InteractionCost compares the value of a scenario with all its faults to the value expected
// if the costs of the single faults add up. It returns the difference as a fraction of the
// value without faults. Above 0, the faults cost more together than one at a time.
func InteractionCost(none float64, alone []float64, all float64) float64 {
	if none <= 0 {
		return 0
	}
	expected := none
	for _, value := range alone {
		expected -= max(0, none-value)
	}
	return (max(0, expected) - all) / none
}

// WithFaults returns the scenario with only the faults of the given indices.
func (scenario Scenario) WithFaults(indices ...int) Scenario {
	script := cloneScript(scenario.Script)
	script.Faults = nil
	for _, i := range indices {
		script.Faults = append(script.Faults, scenario.Script.Faults[i])
	}
	scenario.Script = script
	return scenario
}
