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

// Report is the result of a scenario run.
type Report struct {
	Seconds               float64              `json:"seconds"`
	Requests              int                  `json:"tries"`
	Goodput               float64              `json:"goodput"` // responses within the latency objective, per second
	Plans                 []OutcomeCounts      `json:"plans"`
	Fronts                []OutcomeCounts      `json:"fronts"`
	Classes               []LatencySummary     `json:"classes"`
	ServerAttempts        int                  `json:"attempts"` // attempts that servers received
	CounterTotals         *CounterComparison   `json:"tally,omitempty"`
	Rules                 []audit.RuleResult   `json:"rules"`
	Margins               []audit.Margin       `json:"near"`  // how much of the margin of each rule was used
	InFlight              []audit.InFlightPeak `json:"open"`  // peak in-flight attempts of customers with an in-flight cap, highest first
	ServedWithinObjective float64              `json:"worth"` // number of responses within the latency objective
	Pauses                *PauseSummary        `json:"stops,omitempty"`
	Errors                []string             `json:"errors"` // of the run itself, such as faults that could not be injected
}

// PauseSummary counts the requests that were in flight while their node was suspended, or were sent
// during the suspension or within 5 s after it. Requests that were sent before the suspension and timed
// out during it are left out.
type PauseSummary struct {
	Requests            int `json:"tries"`
	SentTooLate         int `json:"late"`     // attempts that arrived at a server after the client timeout
	AvoidableRejections int `json:"needless"` // rejected or failed for lack of time, with more than 200 ms left
	Served              int `json:"served"`
}

func (run *scenarioRun) summarizePauses() *PauseSummary {
	const recovery, minRemaining = 5 * time.Second, 200 * time.Millisecond
	summary := &PauseSummary{}
	affected := map[string]*audit.RequestRecord{}
	for i := range run.record.Requests {
		request := &run.record.Requests[i]
		for _, downtime := range run.record.Downtimes {
			if downtime.Killed || downtime.Node != request.Node || request.TimesOutAt.Before(downtime.From) || request.SentAt.After(downtime.To.Add(recovery)) || request.TimesOutAt.Before(downtime.To) && request.SentAt.Before(downtime.From) {
				continue
			}
			summary.Requests++
			affected[request.Trace] = request
			switch {
			case request.Outcome == "served":
				summary.Served++
			case request.Reason == string(node.ReasonNoTime) && request.TimesOutAt.Sub(request.RespondedAt) > minRemaining:
				summary.AvoidableRejections++
			}
			break
		}
	}
	if len(affected) == 0 {
		return nil
	}
	for _, attempt := range run.record.Attempts {
		if request := affected[attempt.Trace]; request != nil && attempt.ArrivedAt.Sub(request.TimesOutAt) > run.record.Tolerance {
			summary.SentTooLate++
		}
	}
	return summary
}

// Features returns the features that the run covered: the reasons of rejections and failures by plan
// and by front, and how much of the margin of each rule was used, in tenths.
func (r *Report) Features() []string {
	var features []string
	for _, row := range append(slices.Clone(r.Plans), r.Fronts...) {
		for reason := range row.Rejected {
			features = append(features, row.Name+" refused "+reason)
		}
		for reason := range row.Failed {
			features = append(features, row.Name+" failed "+reason)
		}
	}
	for _, margin := range r.Margins {
		features = append(features, fmt.Sprintf("rule %d at %d tenths", margin.Rule, int(min(margin.Used, 1.2)*10)))
	}
	slices.Sort(features)
	return features
}

// CounterComparison compares the final totals of the shared counter with the units of the requests
// that servers received, each counted once. The counter includes requests that were sent but
// did not arrive, so its totals may be higher.
type CounterComparison struct {
	Received float64 `json:"arrived"`
	Counted  float64 `json:"counted"`
	Missing  float64 `json:"below"` // units, summed over the customers whose total is too low
	Excess   float64 `json:"above"`
}

// OutcomeCounts counts requests by outcome.
type OutcomeCounts struct {
	Name       string         `json:"name"`
	Requests   int            `json:"tries"`
	Served     int            `json:"served"`
	Rejected   map[string]int `json:"refused"` // by reason
	Failed     map[string]int `json:"failed"`
	NoResponse int            `json:"no_answer"` // the node was killed, suspended or not reachable
}

// LatencySummary summarizes the latency of the served requests of a class, in milliseconds.
type LatencySummary struct {
	Class           string  `json:"class"`
	Served          int     `json:"served"`
	WithinObjective float64 `json:"within_aim"` // fraction
	P50             float64 `json:"p50_ms"`
	P90             float64 `json:"p90_ms"`
	P99             float64 `json:"p99_ms"`
	Max             float64 `json:"max_ms"`
}

// Passed reports whether no rule was violated and the run had no errors.
func (r *Report) Passed() bool {
	return len(r.Errors) == 0 && !slices.ContainsFunc(r.Rules, func(result audit.RuleResult) bool { return len(result.Violations) > 0 })
}

func (run *scenarioRun) newReport() *Report {
	run.mu.Lock()
	defer run.mu.Unlock()
	r := &Report{Seconds: toDuration(run.script.Length).Seconds(), Requests: len(run.record.Requests), ServerAttempts: len(run.record.Attempts)}
	plans, fronts := map[string]*OutcomeCounts{}, map[string]*OutcomeCounts{}
	totalWithinObjective := 0
	for _, class := range run.script.Classes {
		histogram := hdrhistogram.New(1, 60_000_000, 3) // microseconds
		withinObjective := 0
		for _, request := range run.record.Requests {
			if request.Class != class.Name || request.Outcome != "served" {
				continue
			}
			latency := request.RespondedAt.Sub(request.SentAt)
			histogram.RecordValue(max(1, latency.Microseconds()))
			if latency <= toDuration(class.LatencyObjective) {
				withinObjective++
			}
		}
		totalWithinObjective += withinObjective
		milliseconds := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
		n := int(histogram.TotalCount())
		r.Classes = append(r.Classes, LatencySummary{class.Name, n, float64(withinObjective) / float64(max(1, n)), milliseconds(50), milliseconds(90), milliseconds(99), milliseconds(100)})
	}
	for i := range run.record.Requests {
		request := &run.record.Requests[i]
		countOutcome(plans, request.Plan, request)
		countOutcome(fronts, request.Frontend, request)
	}
	r.Goodput = float64(totalWithinObjective) / r.Seconds
	r.Plans, r.Fronts = sortedOutcomeCounts(plans), sortedOutcomeCounts(fronts)
	r.CounterTotals = run.compareCounter()
	r.Rules = audit.Check(&run.record)
	r.ServedWithinObjective = float64(totalWithinObjective)
	r.Pauses = run.summarizePauses()
	peakColdLoad := 0.0
	for _, server := range run.coldServers {
		peakColdLoad = max(peakColdLoad, server.PeakColdLoad())
	}
	r.Margins = audit.Margins(&run.record, peakColdLoad)
	caps := map[string]int{}
	for _, plan := range run.script.Plans {
		caps[plan.Name] = plan.MaxInFlight
	}
	r.InFlight = audit.InFlightPeaks(&run.record, caps)
	r.InFlight = r.InFlight[:min(5, len(r.InFlight))]
	for _, err := range run.errs {
		r.Errors = append(r.Errors, err.Error())
	}
	return r
}

func (run *scenarioRun) compareCounter() *CounterComparison {
	if len(run.counters) == 0 {
		return nil
	}
	received, counted := map[string]float64{}, map[string]float64{}
	requests := map[string]*audit.RequestRecord{}
	for i := range run.record.Requests {
		requests[run.record.Requests[i].Trace] = &run.record.Requests[i]
	}
	seen := map[string]bool{}
	for _, attempt := range run.record.Attempts {
		if request := requests[attempt.Trace]; request != nil && !seen[attempt.Trace] {
			seen[attempt.Trace] = true
			received[request.Customer] += request.Units
		}
	}
	for _, c := range run.counters {
		for key, milli := range c.Totals("yt:{") {
			name, _, _ := strings.Cut(strings.TrimPrefix(key, "yt:{"), "}")
			counted[name] += float64(milli) / 1000
		}
	}
	totals := &CounterComparison{}
	for _, cust := range customers(run.script) {
		r, c := received[cust.Name], counted[cust.Name]
		totals.Received, totals.Counted = totals.Received+r, totals.Counted+c
		totals.Missing, totals.Excess = totals.Missing+max(0, r-c), totals.Excess+max(0, c-r)
	}
	return totals
}

func countOutcome(rows map[string]*OutcomeCounts, name string, request *audit.RequestRecord) {
	row := rows[name]
	if row == nil {
		row = &OutcomeCounts{Name: name, Rejected: map[string]int{}, Failed: map[string]int{}}
		rows[name] = row
	}
	row.Requests++
	reason := cmp.Or(request.Reason, fmt.Sprint("status-", request.Status))
	switch request.Outcome {
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
		r.Requests, r.Seconds, r.ServerAttempts, r.Goodput)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "plan or front\ttries\tserved\trefused\tfailed\tno answer\treasons")
	for _, row := range append(slices.Clone(r.Plans), r.Fronts...) {
		rejected, failed, reasons := 0, 0, ""
		for _, m := range []map[string]int{row.Rejected, row.Failed} {
			for _, reason := range slices.Sorted(maps.Keys(m)) {
				reasons += fmt.Sprintf("%s %d  ", reason, m[reason])
			}
		}
		for _, n := range row.Rejected {
			rejected += n
		}
		for _, n := range row.Failed {
			failed += n
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", row.Name, row.Requests, row.Served, rejected, failed, row.NoResponse, reasons)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "class\tserved\twithin aim\tp50\tp90\tp99\tmax")
	for _, l := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%.1f%%\t%s\t%s\t%s\t%s\n", l.Class, l.Served, 100*l.WithinObjective, formatMilliseconds(l.P50), formatMilliseconds(l.P90), formatMilliseconds(l.P99), formatMilliseconds(l.Max))
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "rule\tchecked\tbroken\tnearest to its edge")
	for i, result := range r.Rules {
		margin := ""
		if i < len(r.Margins) {
			margin = fmt.Sprintf("%.2f", r.Margins[i].Used)
		}
		fmt.Fprintf(table, "%d %s\t%d\t%d\t%s\n", result.Rule, result.Name, result.Checked, len(result.Violations), margin)
	}
	table.Flush()
	if r.CounterTotals != nil {
		fmt.Fprintf(w, "\ncounter: %.0f units, %.0f arrived at servers; %.0f missing, %.0f more (sent, not arrived)\n", r.CounterTotals.Counted,
			r.CounterTotals.Received, r.CounterTotals.Missing, r.CounterTotals.Excess)
	}
	const maxShown = 10
	for _, result := range r.Rules {
		for i, violation := range result.Violations {
			if i == maxShown {
				fmt.Fprintf(w, "rule %d: and %d more\n", result.Rule, len(result.Violations)-maxShown)
				break
			}
			fmt.Fprintf(w, "rule %d: %s\n", result.Rule, violation)
		}
	}
	for _, e := range r.Errors {
		fmt.Fprintln(w, "error:", e)
	}
}

func formatMilliseconds(v float64) string {
	return time.Duration(v * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}
