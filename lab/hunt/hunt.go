package hunt

import (
	"math/rand/v2"
	"slices"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/day"
)

// Outcome is what came of a day.
type Outcome struct {
	Features []string // reasons, states and messages that it reached
	Near     []audit.Margin
	Broken   []int // rules; 0 stands for a day that did not go to its end
	Worth    float64
}

// Hunter draws the next days from what came of the earlier ones.
type Hunter struct {
	g      drawer
	led    bool
	seen   map[string]int // features, and on how many days
	corpus []entry
	best   [6]float64 // nearest to each rule's edge so far
}

// entry is a day worth going on from.
type entry struct {
	day   Day
	score float64
	used  int
}

// New returns a Hunter. Without being led each day is drawn alone. Equal seeds and
// outcomes give equal days.
func New(base *day.Script, lim Limits, seed uint64, led bool) *Hunter {
	return &Hunter{g: drawer{rng: rand.New(rand.NewPCG(seed, 0x6875_6e74)), base: base, lim: lim}, led: led, seen: map[string]int{}}
}

// explore is the share of days that are drawn anew all the same.
const explore = 0.35

// Next is a day to play.
func (h *Hunter) Next() Day {
	if !h.led || len(h.corpus) == 0 || h.g.rng.Float64() < explore {
		return h.g.day()
	}
	var all float64
	weight := func(e *entry) float64 { return e.score / float64(1+e.used) }
	for i := range h.corpus {
		all += weight(&h.corpus[i])
	}
	at := h.g.rng.Float64() * all
	pick := &h.corpus[len(h.corpus)-1]
	for i := range h.corpus {
		if at -= weight(&h.corpus[i]); at < 0 {
			pick = &h.corpus[i]
			break
		}
	}
	pick.used++
	return h.g.mutate(pick.day)
}

const mostCorpus = 200

// Learn takes in what came of a day, and returns how much of it was new: features,
// pairs of them, and steps nearer to a rule's edge.
func (h *Hunter) Learn(d Day, o Outcome) (news int) {
	score := 0.0
	note := func(f string) {
		if h.seen[f]++; h.seen[f] == 1 {
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
	for _, m := range o.Near {
		if m.Rule < len(h.best) && m.Used > h.best[m.Rule]+0.01 {
			h.best[m.Rule] = m.Used
			news++
			score += 20
		}
		score += 2 * min(m.Used, 1.5)
	}
	if news > 0 || len(o.Broken) > 0 {
		h.corpus = append(h.corpus, entry{day: d, score: score})
		if len(h.corpus) > mostCorpus {
			least := 0
			for i := range h.corpus {
				if h.corpus[i].score/float64(1+h.corpus[i].used) < h.corpus[least].score/float64(1+h.corpus[least].used) {
					least = i
				}
			}
			h.corpus = slices.Delete(h.corpus, least, least+1)
		}
	}
	return news
}

// Reached is how many different features and pairs were seen, and how near the
// days came to each rule's edge, from rule 1 on.
func (h *Hunter) Reached() (features int, near []float64) { return len(h.seen), h.best[1:] }

// Regret is how much less a day of several faults was worth than its faults, one
// at a time, cost together: as a part of the day without any. Above 0 the faults
// are worse together.
func Regret(none float64, alone []float64, all float64) float64 {
	if none <= 0 {
		return 0
	}
	want := none
	for _, v := range alone {
		want -= max(0, none-v)
	}
	return (max(0, want) - all) / none
}

// Only is a day with the faults whose numbers are given.
func (d Day) Only(faults ...int) Day {
	s := clone(d.Script)
	s.Faults = nil
	for _, i := range faults {
		s.Faults = append(s.Faults, d.Script.Faults[i])
	}
	d.Script = s
	return d
}
