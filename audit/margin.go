package audit

import (
	"slices"
	"time"
)

// Margin is how near a run came to breaking a rule: 0 not at all, 1 to its very
// edge, above 1 beyond it. A searcher is led by it.
type Margin struct {
	Rule int     `json:"rule"`
	Used float64 `json:"near"`
}

// Margins measures a run against each rule. cold is the most that a cold server was
// sent, as a part of what pushes it over.
func Margins(r *Record, cold float64) []Margin {
	c := newChecker(r)
	near := [5]float64{3: cold}
	up := func(rule int, v float64) { near[rule-1] = max(near[rule-1], v) }
	part := func(d, of time.Duration) float64 { return float64(d) / float64(max(of, time.Millisecond)) }
	for i := range r.Requests {
		t := &r.Requests[i]
		if !t.RespondedAt.IsZero() {
			up(1, min(1, part(t.RespondedAt.Sub(t.SentAt), t.TimesOutAt.Sub(t.SentAt))))
		}
	}
	for _, trace := range c.traces {
		t := c.tries[trace]
		list := c.attempts[trace]
		class := r.Classes[list[0].Class]
		for i, s := range list {
			if t != nil {
				end := t.TimesOutAt
				if !t.RespondedAt.IsZero() && t.RespondedAt.Before(end) {
					end = t.RespondedAt
				}
				if late := s.ArrivedAt.Sub(end); late > 0 {
					up(1, part(late, r.Tolerance))
				}
				if told, down := c.told(t.Node, s.Server, s.ArrivedAt); down {
					up(3, part(s.ArrivedAt.Sub(told), r.DrainGrace+r.Tolerance))
				}
			}
			if i > 0 {
				up(2, part(list[i-1].EndedAt.Sub(s.ArrivedAt), r.Tolerance))
				if class.Effect == "keyed" && !list[i-1].Rejected {
					up(2, part(s.ArrivedAt.Sub(list[i-1].ArrivedAt), class.DedupWindow+r.Tolerance))
				}
			}
		}
	}
	up(5, c.overCeilings(nil))
	out := make([]Margin, len(near))
	for i, v := range near {
		out[i] = Margin{i + 1, v}
	}
	return out
}

// InFlightPeak is the most attempts that a customer had out at once, over all servers,
// against its plan's cap: the caps are kept from reports, and are no hard ceiling.
type InFlightPeak struct {
	Customer string `json:"customer"`
	Peak     int    `json:"most"`
	Cap      int    `json:"cap"`
}

// InFlightPeaks returns, of each customer with a cap, the most that were out at once.
func InFlightPeaks(r *Record, caps map[string]int) []InFlightPeak {
	type edge struct {
		at time.Time
		d  int
	}
	edges := map[string][]edge{}
	capOf := map[string]int{}
	tries := map[string]*RequestRecord{}
	for i := range r.Requests {
		tries[r.Requests[i].Trace] = &r.Requests[i]
	}
	for _, s := range r.Attempts {
		t := tries[s.Trace]
		if t == nil || caps[t.Plan] == 0 {
			continue
		}
		capOf[t.Customer] = caps[t.Plan]
		edges[t.Customer] = append(edges[t.Customer], edge{s.ArrivedAt, 1}, edge{s.EndedAt, -1})
	}
	var out []InFlightPeak
	for who, list := range edges {
		slices.SortFunc(list, func(a, b edge) int {
			if c := a.at.Compare(b.at); c != 0 {
				return c
			}
			return a.d - b.d
		})
		now, most := 0, 0
		for _, e := range list {
			now += e.d
			most = max(most, now)
		}
		out = append(out, InFlightPeak{who, most, capOf[who]})
	}
	slices.SortFunc(out, func(a, b InFlightPeak) int { return b.Peak - a.Peak })
	return out
}
