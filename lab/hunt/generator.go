package hunt

import (
	"math/rand/v2"
	"slices"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/day"
)

// Outcome is what came of a day.
type Outcome struct {
	Features              []string // reasons, states and messages that it reached
	Margins               []audit.Margin
	ViolatedRules         []int // rules; 0 stands for a day that did not go to its end
	ServedWithinObjective float64
}

// Generator draws the next days from what came of the earlier ones.
type Generator struct {
	sampler       sampler
	guided        bool
	featureCounts map[string]int // features, and on how many days
	corpus        []corpusEntry
	maxMargins    [6]float64 // nearest to each rule's edge so far
}

// corpusEntry is a day worth going on from.
type corpusEntry struct {
	scenario Scenario
	score    float64
	picks    int
}

// New returns a Hunter. Without being led each day is drawn alone. Equal seeds and
// outcomes give equal days.
func New(base *day.Script, lim Limits, seed uint64, led bool) *Generator {
	return &Generator{sampler: sampler{rng: rand.New(rand.NewPCG(seed, 0x6875_6e74)), base: base, limits: lim}, guided: led, featureCounts: map[string]int{}}
}

// freshShare is the share of days that are drawn anew all the same.
const freshShare = 0.35

// Next is a day to play.
func (h *Generator) Next() Scenario {
	if !h.guided || len(h.corpus) == 0 || h.sampler.rng.Float64() < freshShare {
		return h.sampler.scenario()
	}
	var all float64
	weight := func(e *corpusEntry) float64 { return e.score / float64(1+e.picks) }
	for i := range h.corpus {
		all += weight(&h.corpus[i])
	}
	at := h.sampler.rng.Float64() * all
	pick := &h.corpus[len(h.corpus)-1]
	for i := range h.corpus {
		if at -= weight(&h.corpus[i]); at < 0 {
			pick = &h.corpus[i]
			break
		}
	}
	pick.picks++
	return h.sampler.mutate(pick.scenario)
}

const maxCorpusSize = 200

// Learn takes in what came of a day, and returns how much of it was new: features,
// pairs of them, and steps nearer to a rule's edge.
func (h *Generator) Learn(d Scenario, o Outcome) (news int) {
	score := 0.0
	note := func(f string) {
		if h.featureCounts[f]++; h.featureCounts[f] == 1 {
			news++
			score++
		}
	}
	kinds := map[string]bool{}
	for _, f := range d.Script.Faults {
		kinds[f.Kind] = true
	}
	for _, f := range o.Features {
		note(f)
		for k := range kinds {
			note(k + " with " + f)
		}
	}
	for _, m := range o.Margins {
		if m.Rule < len(h.maxMargins) && m.Used > h.maxMargins[m.Rule]+0.01 {
			h.maxMargins[m.Rule] = m.Used
			news++
			score += 20
		}
		score += 2 * min(m.Used, 1.5)
	}
	if news > 0 || len(o.ViolatedRules) > 0 {
		h.corpus = append(h.corpus, corpusEntry{scenario: d, score: score})
		if len(h.corpus) > maxCorpusSize {
			least := 0
			for i := range h.corpus {
				if h.corpus[i].score/float64(1+h.corpus[i].picks) < h.corpus[least].score/float64(1+h.corpus[least].picks) {
					least = i
				}
			}
			h.corpus = slices.Delete(h.corpus, least, least+1)
		}
	}
	return news
}

// Coverage is how many different features and pairs were seen, and how near the
// days came to each rule's edge, from rule 1 on.
func (h *Generator) Coverage() (features int, near []float64) {
	return len(h.featureCounts), h.maxMargins[1:]
}

// InteractionCost is how much less a day of several faults was worth than its faults, one
// at a time, cost together: as a part of the day without any. Above 0 the faults
// are worse together.
func InteractionCost(none float64, alone []float64, all float64) float64 {
	if none <= 0 {
		return 0
	}
	want := none
	for _, v := range alone {
		want -= max(0, none-v)
	}
	return (max(0, want) - all) / none
}

// WithFaults is a day with the faults whose numbers are given.
func (d Scenario) WithFaults(faults ...int) Scenario {
	s := cloneScript(d.Script)
	s.Faults = nil
	for _, i := range faults {
		s.Faults = append(s.Faults, d.Script.Faults[i])
	}
	d.Script = s
	return d
}
