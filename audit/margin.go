package audit

import (
	"slices"
	"time"
)

// Margin states how much of the margin of a rule a run used: 0 is none, 1 is all of it, and more
// than 1 is a violation. It guides the fault search.
type Margin struct {
	Rule int     `json:"rule"`
	Used float64 `json:"near"`
}

// Margins returns how much of the margin of each rule a run used. peakColdLoad is the highest load
// that a cold server received, as a fraction of the load that overloads it.
func Margins(r *Record, peakColdLoad float64) []Margin {
	c := newChecker(r)
	used := [5]float64{3: peakColdLoad}
	raise := func(rule int, v float64) { used[rule-1] = max(used[rule-1], v) }
	fraction := func(d, of time.Duration) float64 { return float64(d) / float64(max(of, time.Millisecond)) }
	for i := range r.Requests {
		request := &r.Requests[i]
		if !request.RespondedAt.IsZero() {
			raise(1, min(1, fraction(request.RespondedAt.Sub(request.SentAt), request.TimesOutAt.Sub(request.SentAt))))
		}
	}
	for _, trace := range c.traces {
		request := c.requests[trace]
		attempts := c.attempts[trace]
		class := r.Classes[attempts[0].Class]
		for i, attempt := range attempts {
			if request != nil {
				end := request.TimesOutAt
				if !request.RespondedAt.IsZero() && request.RespondedAt.Before(end) {
					end = request.RespondedAt
				}
				if late := attempt.ArrivedAt.Sub(end); late > 0 {
					raise(1, fraction(late, r.Tolerance))
				}
				if since, unavailable := c.unavailableSince(request.Node, attempt.Server, attempt.ArrivedAt); unavailable {
					raise(3, fraction(attempt.ArrivedAt.Sub(since), r.DrainGrace+r.Tolerance))
				}
			}
			if i > 0 {
				raise(2, fraction(attempts[i-1].EndedAt.Sub(attempt.ArrivedAt), r.Tolerance))
				if mayHaveRun := firstThatMayHaveRun(attempts[:i]); class.Effect == "keyed" && mayHaveRun != nil {
					raise(2, fraction(attempt.ArrivedAt.Sub(mayHaveRun.ArrivedAt), class.DedupWindow+r.Tolerance))
				}
			}
		}
	}
	raise(5, c.replayCeilings(nil))
	margins := make([]Margin, len(used))
	for i, v := range used {
		margins[i] = Margin{i + 1, v}
	}
	return margins
}

// InFlightPeak is the highest number of attempts that a customer had in flight over all servers, and
// the in-flight cap of its plan. Gateways enforce the caps from load reports, so that a peak may
// exceed its cap: caps are not hard ceilings.
type InFlightPeak struct {
	Customer string `json:"customer"`
	Peak     int    `json:"most"`
	Cap      int    `json:"cap"`
}

// InFlightPeaks returns the peak of each customer whose plan has an in-flight cap, highest first. The
// keys of caps are plan names.
func InFlightPeaks(r *Record, caps map[string]int) []InFlightPeak {
	type change struct {
		at    time.Time
		delta int
	}
	changes := map[string][]change{}
	capOf := map[string]int{}
	requests := map[string]*RequestRecord{}
	for i := range r.Requests {
		requests[r.Requests[i].Trace] = &r.Requests[i]
	}
	for _, attempt := range r.Attempts {
		request := requests[attempt.Trace]
		if request == nil || caps[request.Plan] == 0 {
			continue
		}
		capOf[request.Customer] = caps[request.Plan]
		changes[request.Customer] = append(changes[request.Customer], change{attempt.ArrivedAt, 1}, change{attempt.EndedAt, -1})
	}
	var peaks []InFlightPeak
	for customer, list := range changes {
		slices.SortFunc(list, func(a, b change) int {
			if c := a.at.Compare(b.at); c != 0 {
				return c
			}
			return a.delta - b.delta
		})
		inFlight, peak := 0, 0
		for _, next := range list {
			inFlight += next.delta
			peak = max(peak, inFlight)
		}
		peaks = append(peaks, InFlightPeak{customer, peak, capOf[customer]})
	}
	slices.SortFunc(peaks, func(a, b InFlightPeak) int { return b.Peak - a.Peak })
	return peaks
}
