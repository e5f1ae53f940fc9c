package audit

import (
	"slices"
	"time"
)

// Margin is how near a run came to breaking a rule: 0 not at all, 1 to its very
// edge, above 1 beyond it. A searcher is led by it.
type Margin struct {
	Rule int     `json:"rule"`
	Near float64 `json:"near"`
}

// Near measures a run against each rule. cold is the most that a cold server was
// sent, as a part of what pushes it over.
func Near(r *Record, cold float64) []Margin {
	c := newChecker(r)
	near := [5]float64{3: cold}
	up := func(rule int, v float64) { near[rule-1] = max(near[rule-1], v) }
	part := func(d, of time.Duration) float64 { return float64(d) / float64(max(of, time.Millisecond)) }
	for i := range r.Tried {
		t := &r.Tried[i]
		if !t.Answered.IsZero() {
			up(1, min(1, part(t.Answered.Sub(t.Sent), t.GiveUp.Sub(t.Sent))))
		}
	}
	for _, trace := range c.traces {
		t := c.tries[trace]
		list := c.attempts[trace]
		class := r.Classes[list[0].Class]
		for i, s := range list {
			if t != nil {
				end := t.GiveUp
				if !t.Answered.IsZero() && t.Answered.Before(end) {
					end = t.Answered
				}
				if late := s.At.Sub(end); late > 0 {
					up(1, part(late, r.Slop))
				}
				if told, down := c.told(t.Node, s.Server, s.At); down {
					up(3, part(s.At.Sub(told), r.Grace+r.Slop))
				}
			}
			if i > 0 {
				up(2, part(list[i-1].End.Sub(s.At), r.Slop))
				if class.Effect == "keyed" && !list[i-1].Away {
					up(2, part(s.At.Sub(list[i-1].At), class.Window+r.Slop))
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

// Open is the most attempts that a customer had out at once, over all servers,
// against its plan's cap: the caps are kept from reports, and are no hard ceiling.
type Open struct {
	Customer string `json:"customer"`
	Most     int    `json:"most"`
	Cap      int    `json:"cap"`
}

// OpenCaps returns, of each customer with a cap, the most that were out at once.
func OpenCaps(r *Record, caps map[string]int) []Open {
	type edge struct {
		at time.Time
		d  int
	}
	edges := map[string][]edge{}
	capOf := map[string]int{}
	tries := map[string]*Tried{}
	for i := range r.Tried {
		tries[r.Tried[i].Trace] = &r.Tried[i]
	}
	for _, s := range r.Seen {
		t := tries[s.Trace]
		if t == nil || caps[t.Plan] == 0 {
			continue
		}
		capOf[t.Customer] = caps[t.Plan]
		edges[t.Customer] = append(edges[t.Customer], edge{s.At, 1}, edge{s.End, -1})
	}
	var out []Open
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
		out = append(out, Open{who, most, capOf[who]})
	}
	slices.SortFunc(out, func(a, b Open) int { return b.Most - a.Most })
	return out
}
