package day

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/node"
)

// Report is what came of a day.
type Report struct {
	Seconds               float64              `json:"seconds"`
	ClientAttempts        int                  `json:"tries"`
	Goodput               float64              `json:"goodput"` // answers within the aim, a second
	Plans                 []OutcomeCounts      `json:"plans"`
	Fronts                []OutcomeCounts      `json:"fronts"`
	Classes               []LatencySummary     `json:"classes"`
	ServerAttempts        int                  `json:"attempts"` // that reached servers
	CounterTotals         *CounterComparison   `json:"tally,omitempty"`
	Rules                 []audit.RuleResult   `json:"rules"`
	Margins               []audit.Margin       `json:"near"`  // how near each rule came to being broken
	InFlight              []audit.InFlightPeak `json:"open"`  // of customers with a cap, the most out at once; the worst first
	ServedWithinObjective float64              `json:"worth"` // answers served within their aim
	Pauses                *PauseSummary        `json:"stops,omitempty"`
	Errors                []string             `json:"errors"` // of the day itself
}

// PauseSummary is what came of tries that a stop of their node met, and of those within
// 5 s after it.
type PauseSummary struct {
	Attempts            int `json:"tries"`
	SentTooLate         int `json:"late"`     // attempts sent after their client had left
	AvoidableRejections int `json:"needless"` // refused or failed for want of time, with 200 ms and more left
	Served              int `json:"served"`
}

func (d *scenarioRun) summarizePauses() *PauseSummary {
	const after, left = 5 * time.Second, 200 * time.Millisecond
	out := &PauseSummary{}
	met := map[string]*audit.RequestRecord{}
	for i := range d.record.Requests {
		t := &d.record.Requests[i]
		for _, w := range d.record.Downtimes {
			if w.Killed || w.Node != t.Node || t.TimesOutAt.Before(w.From) || t.SentAt.After(w.To.Add(after)) || t.TimesOutAt.Before(w.To) && t.SentAt.Before(w.From) {
				continue
			}
			out.Attempts++
			met[t.Trace] = t
			switch {
			case t.Outcome == "served":
				out.Served++
			case t.Reason == string(node.ReasonNoTime) && t.TimesOutAt.Sub(t.RespondedAt) > left:
				out.AvoidableRejections++
			}
			break
		}
	}
	if len(met) == 0 {
		return nil
	}
	for _, s := range d.record.Attempts {
		if t := met[s.Trace]; t != nil && s.ArrivedAt.Sub(t.TimesOutAt) > d.record.Tolerance {
			out.SentTooLate++
		}
	}
	return out
}

// Features names what the day reached: answers by front, class and reason, and
// pairs of them with what went on.
func (r *Report) Features() []string {
	var out []string
	for _, row := range append(slices.Clone(r.Plans), r.Fronts...) {
		for reason := range row.Rejected {
			out = append(out, row.Name+" refused "+reason)
		}
		for reason := range row.Failed {
			out = append(out, row.Name+" failed "+reason)
		}
	}
	for _, m := range r.Margins {
		out = append(out, fmt.Sprintf("rule %d at %d tenths", m.Rule, int(min(m.Used, 1.2)*10)))
	}
	slices.Sort(out)
	return out
}

// CounterComparison compares the counter at the end with what servers received: units of
// first attempts. What was sent and never arrived counts, too, so the counter may
// be above.
type CounterComparison struct {
	Received float64 `json:"arrived"`
	Counted  float64 `json:"counted"`
	Missing  float64 `json:"below"` // units missing, over customers that are below
	Excess   float64 `json:"above"`
}

// OutcomeCounts counts tries by what came of them.
type OutcomeCounts struct {
	Name       string         `json:"name"`
	Attempts   int            `json:"tries"`
	Served     int            `json:"served"`
	Rejected   map[string]int `json:"refused"` // by reason
	Failed     map[string]int `json:"failed"`
	NoResponse int            `json:"no_answer"` // the node was killed or stopped, or not reached
}

// LatencySummary is of the answers served, in milliseconds.
type LatencySummary struct {
	Class           string  `json:"class"`
	Served          int     `json:"served"`
	WithinObjective float64 `json:"within_aim"` // share
	P50             float64 `json:"p50_ms"`
	P90             float64 `json:"p90_ms"`
	P99             float64 `json:"p99_ms"`
	Max             float64 `json:"max_ms"`
}

// Passed tells whether all rules were kept.
func (r *Report) Passed() bool {
	return len(r.Errors) == 0 && !slices.ContainsFunc(r.Rules, func(f audit.RuleResult) bool { return len(f.Violations) > 0 })
}

func (d *scenarioRun) newReport() *Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &Report{Seconds: parseDuration(d.script.Length).Seconds(), ClientAttempts: len(d.record.Requests), ServerAttempts: len(d.record.Attempts)}
	plans, fronts := map[string]*OutcomeCounts{}, map[string]*OutcomeCounts{}
	good := 0
	for _, c := range d.script.Classes {
		h := hdrhistogram.New(1, 60_000_000, 3) // microseconds
		in := 0
		for _, t := range d.record.Requests {
			if t.Class != c.Name || t.Outcome != "served" {
				continue
			}
			took := t.RespondedAt.Sub(t.SentAt)
			h.RecordValue(max(1, took.Microseconds()))
			if took <= parseDuration(c.LatencyObjective) {
				in++
			}
		}
		good += in
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		n := int(h.TotalCount())
		r.Classes = append(r.Classes, LatencySummary{c.Name, n, float64(in) / float64(max(1, n)), ms(50), ms(90), ms(99), ms(100)})
	}
	for i := range d.record.Requests {
		t := &d.record.Requests[i]
		countOutcome(plans, t.Plan, t)
		countOutcome(fronts, t.Frontend, t)
	}
	r.Goodput = float64(good) / r.Seconds
	r.Plans, r.Fronts = sortedOutcomeCounts(plans), sortedOutcomeCounts(fronts)
	r.CounterTotals = d.compareCounter()
	r.Rules = audit.Check(&d.record)
	r.ServedWithinObjective = float64(good)
	r.Pauses = d.summarizePauses()
	cold := 0.0
	for _, n := range d.coldServers {
		cold = max(cold, n.PeakColdLoad())
	}
	r.Margins = audit.Margins(&d.record, cold)
	caps := map[string]int{}
	for _, p := range d.script.Plans {
		caps[p.Name] = p.MaxInFlight
	}
	r.InFlight = audit.InFlightPeaks(&d.record, caps)
	r.InFlight = r.InFlight[:min(5, len(r.InFlight))]
	for _, err := range d.errs {
		r.Errors = append(r.Errors, err.Error())
	}
	return r
}

func (d *scenarioRun) compareCounter() *CounterComparison {
	if len(d.counters) == 0 {
		return nil
	}
	arrived, counted := map[string]float64{}, map[string]float64{}
	tries := map[string]*audit.RequestRecord{}
	for i := range d.record.Requests {
		tries[d.record.Requests[i].Trace] = &d.record.Requests[i]
	}
	seen := map[string]bool{}
	for _, s := range d.record.Attempts {
		if t := tries[s.Trace]; t != nil && !seen[s.Trace] {
			seen[s.Trace] = true
			arrived[t.Customer] += t.Units
		}
	}
	for _, c := range d.counters {
		for key, milli := range c.Totals("yt:{") {
			name, _, _ := strings.Cut(strings.TrimPrefix(key, "yt:{"), "}")
			counted[name] += float64(milli) / 1000
		}
	}
	t := &CounterComparison{}
	for _, who := range customers(d.script) {
		a, c := arrived[who.Name], counted[who.Name]
		t.Received, t.Counted = t.Received+a, t.Counted+c
		t.Missing, t.Excess = t.Missing+max(0, a-c), t.Excess+max(0, c-a)
	}
	return t
}

func countOutcome(rows map[string]*OutcomeCounts, name string, t *audit.RequestRecord) {
	row := rows[name]
	if row == nil {
		row = &OutcomeCounts{Name: name, Rejected: map[string]int{}, Failed: map[string]int{}}
		rows[name] = row
	}
	row.Attempts++
	reason := cmp.Or(t.Reason, fmt.Sprint("status-", t.Status))
	switch t.Outcome {
	case "served":
		row.Served++
	case "refused":
		row.Rejected[reason]++
	case "failed":
		row.Failed[reason]++
	default:
		row.NoResponse++
	}
}

func sortedOutcomeCounts(m map[string]*OutcomeCounts) []OutcomeCounts {
	var out []OutcomeCounts
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, *m[name])
	}
	return out
}

// Write prints the report as tables.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d tries in %.0f s, %d attempts at servers, %.1f answers within their aim a second\n\n",
		r.ClientAttempts, r.Seconds, r.ServerAttempts, r.Goodput)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "plan or front\ttries\tserved\trefused\tfailed\tno answer\treasons")
	for _, row := range append(slices.Clone(r.Plans), r.Fronts...) {
		refused, failed, why := 0, 0, ""
		for _, m := range []map[string]int{row.Rejected, row.Failed} {
			for _, reason := range slices.Sorted(maps.Keys(m)) {
				why += fmt.Sprintf("%s %d  ", reason, m[reason])
			}
		}
		for _, n := range row.Rejected {
			refused += n
		}
		for _, n := range row.Failed {
			failed += n
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", row.Name, row.Attempts, row.Served, refused, failed, row.NoResponse, why)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "class\tserved\twithin aim\tp50\tp90\tp99\tmax")
	for _, l := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%.1f%%\t%s\t%s\t%s\t%s\n", l.Class, l.Served, 100*l.WithinObjective, formatMilliseconds(l.P50), formatMilliseconds(l.P90), formatMilliseconds(l.P99), formatMilliseconds(l.Max))
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "rule\tchecked\tbroken\tnearest to its edge")
	for i, f := range r.Rules {
		near := ""
		if i < len(r.Margins) {
			near = fmt.Sprintf("%.2f", r.Margins[i].Used)
		}
		fmt.Fprintf(t, "%d %s\t%d\t%d\t%s\n", f.Rule, f.Name, f.Checked, len(f.Violations), near)
	}
	t.Flush()
	if r.CounterTotals != nil {
		fmt.Fprintf(w, "\ncounter: %.0f units, %.0f arrived at servers; %.0f missing, %.0f more (sent, not arrived)\n", r.CounterTotals.Counted,
			r.CounterTotals.Received, r.CounterTotals.Missing, r.CounterTotals.Excess)
	}
	const most = 10
	for _, f := range r.Rules {
		for i, b := range f.Violations {
			if i == most {
				fmt.Fprintf(w, "rule %d: and %d more\n", f.Rule, len(f.Violations)-most)
				break
			}
			fmt.Fprintf(w, "rule %d: %s\n", f.Rule, b)
		}
	}
	for _, e := range r.Errors {
		fmt.Fprintln(w, "error:", e)
	}
}

func formatMilliseconds(v float64) string {
	return time.Duration(v * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}
