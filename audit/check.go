package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// RuleResult is what was found of one rule.
type RuleResult struct {
	Rule       int      `json:"rule"`
	Name       string   `json:"name"`
	Checked    int      `json:"checked"` // cases that could have broken it
	Violations []string `json:"broken"`
}

// Check checks the five rules.
func Check(r *Record) []RuleResult {
	c := newChecker(r)
	out := []RuleResult{
		{Rule: 1, Name: "one final answer in time, nothing sent after"},
		{Rule: 2, Name: "no effect twice, one attempt at a time"},
		{Rule: 3, Name: "drains kept"},
		{Rule: 4, Name: "no cold server pushed over"},
		{Rule: 5, Name: "hard ceilings kept"},
	}
	for i, check := range []func(*RuleResult){c.answers, c.effects, c.drains, c.cold, c.ceilings} {
		check(&out[i])
	}
	return out
}

func newChecker(r *Record) *checker {
	c := &checker{r: r, tries: map[string]*RequestRecord{}, attempts: map[string][]*AttemptRecord{}}
	for i := range r.Requests {
		c.tries[r.Requests[i].Trace] = &r.Requests[i]
	}
	for i := range r.Attempts {
		c.attempts[r.Attempts[i].Trace] = append(c.attempts[r.Attempts[i].Trace], &r.Attempts[i])
	}
	for trace, list := range c.attempts {
		slices.SortStableFunc(list, func(a, b *AttemptRecord) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
		c.traces = append(c.traces, trace)
	}
	slices.Sort(c.traces)
	return c
}

type checker struct {
	r        *Record
	tries    map[string]*RequestRecord
	attempts map[string][]*AttemptRecord // by trace, as they arrived
	traces   []string
}

func (f *RuleResult) broken(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// ran tells whether a node ran during a whole time.
func (c *checker) ran(node int, from, to time.Time) bool {
	return !overlaps(c.r.Downtimes, node, from, to)
}

func overlaps(list []Downtime, node int, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(d Downtime) bool { return d.Node == node && d.From.Before(to) && d.To.After(from) })
}

func (c *checker) answers(f *RuleResult) {
	for i := range c.r.Requests {
		t := &c.r.Requests[i]
		if t.NotAccepted || !c.ran(t.Node, t.SentAt, t.TimesOutAt) || t.Frontend == "proxy" && overlaps(c.r.ProxyDowntimes, t.Node, t.SentAt, t.TimesOutAt) {
			continue
		}
		f.Checked++
		switch {
		case t.Outcome == "":
			f.broken("%s: %s of %s at node %d by %s got no answer in %v", t.Trace, t.Class, t.Customer, t.Node, t.Frontend,
				t.TimesOutAt.Sub(t.SentAt))
		case t.Mismatched:
			f.broken("%s: got the answer of another request", t.Trace)
		}
	}
	for _, trace := range c.traces {
		t := c.tries[trace]
		for _, s := range c.attempts[trace] {
			if t == nil {
				f.broken("%s: %s took an attempt that no client asked for", trace, s.Server)
				continue
			}
			end := t.TimesOutAt
			if !t.RespondedAt.IsZero() && t.RespondedAt.Before(end) {
				end = t.RespondedAt
			}
			if late := s.ArrivedAt.Sub(end); late > c.r.Tolerance {
				f.broken("%s: sent to %s %v after the end of the request (%s %s)", trace, s.Server, late, t.Outcome, t.Reason)
			}
		}
	}
}

func (c *checker) effects(f *RuleResult) {
	effects := map[string]int{}
	for _, trace := range c.traces {
		list := c.attempts[trace]
		class := c.r.Classes[list[0].Class]
		f.Checked++
		var ran *AttemptRecord // the first that may have run
		for i, s := range list {
			if i > 0 && list[i-1].EndedAt.Sub(s.ArrivedAt) > c.r.Tolerance {
				f.broken("%s: attempts at %s and %s out together for %v", trace, list[i-1].Server, s.Server,
					list[i-1].EndedAt.Sub(s.ArrivedAt))
			}
			if ran != nil {
				switch {
				case class.Effect == "unsafe":
					f.broken("%s: unsafe, sent to %s after %s may have run it", trace, s.Server, ran.Server)
				case class.Effect == "keyed" && !class.GlobalDedup && s.DedupScope != ran.DedupScope:
					f.broken("%s: keyed, sent to rack %s after rack %s may have run it", trace, s.DedupScope, ran.DedupScope)
				case class.Effect == "keyed" && s.ArrivedAt.Sub(ran.ArrivedAt) > class.DedupWindow+c.r.Tolerance:
					f.broken("%s: keyed, sent again after %v", trace, s.ArrivedAt.Sub(ran.ArrivedAt))
				}
			}
			if ran == nil && !s.Rejected {
				ran = s
			}
			if s.TookEffect && class.Effect != "safe" {
				effects[cmp.Or(s.Key, trace)]++
			}
		}
		t := c.tries[trace]
		if t != nil && t.Outcome == "refused" && ran != nil && class.Effect != "safe" && !(class.Effect == "keyed" && class.GlobalDedup) {
			f.broken("%s: %s refused as harmless to retry (%s) after %s may have run it", trace, class.Effect, t.Reason, ran.Server)
		}
	}
	for key, n := range effects {
		if n > 1 {
			f.broken("key %s: took effect %d times", key, n)
		}
	}
	slices.Sort(f.Violations)
}

func (c *checker) drains(f *RuleResult) {
	for _, trace := range c.traces {
		t := c.tries[trace]
		if t == nil {
			continue
		}
		for _, s := range c.attempts[trace] {
			if told, down := c.told(t.Node, s.Server, s.ArrivedAt); down {
				f.Checked++
				if late := s.ArrivedAt.Sub(told); late > c.r.DrainGrace+c.r.Tolerance {
					f.broken("%s: sent to %s %v after node %d was told that it drains or is gone", trace, s.Server, late, t.Node)
				}
			}
		}
	}
	// Every word that a server is down is a case, too, sent to or not.
	for _, w := range c.r.EndpointUpdates {
		if w.Unavailable {
			f.Checked++
		}
	}
}

// told is since when a running node has last been told that a server is down.
func (c *checker) told(node int, server string, at time.Time) (since time.Time, down bool) {
	for _, w := range c.r.EndpointUpdates {
		if w.Node != node || w.Server != server {
			continue
		}
		heard := w.At
		forgotten := false
		for _, d := range c.r.Downtimes {
			if d.Node != node || at.Before(d.From) {
				continue
			}
			switch {
			case d.Killed && !w.At.After(d.To):
				forgotten = true
			case !d.Killed && !heard.Before(d.From) && heard.Before(d.To):
				heard = d.To
			}
		}
		if forgotten || heard.After(at) {
			continue
		}
		if w.Unavailable && !down {
			since = heard
		}
		down = w.Unavailable
	}
	return since, down
}

func (c *checker) cold(f *RuleResult) {
	f.Checked = len(c.r.Attempts)
	for _, fell := range c.r.ColdOverloads {
		f.broken("%s fell over while cold", fell.Server)
	}
}

func (c *checker) ceilings(f *RuleResult) {
	c.overCeilings(f)
	slices.Sort(f.Violations)
}

// overCeilings returns the most that a customer used up of its ceiling's store and
// the slack. f, where it is not nil, takes in what breaks the rule.
func (c *checker) overCeilings(f *RuleResult) (worst float64) {
	type first struct {
		at    time.Time
		units float64
	}
	firsts := map[string][]first{}
	plans := map[string]Ceiling{}
	for _, trace := range c.traces {
		t := c.tries[trace]
		if t == nil {
			continue
		}
		if ceiling, ok := c.r.Ceilings[t.Plan]; ok {
			firsts[t.Customer] = append(firsts[t.Customer], first{c.attempts[trace][0].ArrivedAt, t.Units})
			plans[t.Customer] = ceiling
		}
	}
	for customer, list := range firsts {
		slices.SortFunc(list, func(a, b first) int { return a.at.Compare(b.at) })
		ceiling := plans[customer]
		level, at := ceiling.Burst, list[0].at
		for _, e := range list {
			level = min(ceiling.Burst, level+ceiling.Rate*e.at.Sub(at).Seconds()) - e.units
			at = e.at
			worst = max(worst, (ceiling.Burst-level)/(ceiling.Burst+ceiling.Slack))
			if f == nil {
				continue
			}
			f.Checked++
			if level < -ceiling.Slack {
				f.broken("%s: %.1f units beyond the ceiling, %.1f allowed", customer, -level, ceiling.Slack)
				break
			}
		}
	}
	return worst
}
