package day

import (
	"encoding/json"
	"testing"

	"yardcleat.example/yardcleat/audit"
)

// The report that `day --json` prints has exactly these fields.
func TestReportHasGoldenJSON(t *testing.T) {
	row := Row{Name: "basic", Tries: 5, Served: 2, Refused: map[string]int{"quota": 1}, Failed: map[string]int{"server-late": 1}, None: 1}
	for _, c := range []struct {
		name   string
		report Report
		golden string
	}{
		{"all fields set", Report{Seconds: 30.5, Tries: 5, Goodput: 1.5, Plans: []Row{row}, Fronts: []Row{{Name: "http1"}},
			Classes:  []Latency{{Class: "lookup", Served: 2, InAim: 0.5, P50: 1.5, P90: 2.5, P99: 3.5, Longest: 4.5}},
			Attempts: 4, Tally: &Tally{Arrived: 4, Counted: 5, Below: 1, Above: 2},
			Rules: []audit.Finding{{Rule: 1, Name: "n", Checked: 7, Broken: []string{"b"}}}, Near: []audit.Margin{{Rule: 1, Near: 0.5}},
			Open: []audit.Open{{Customer: "c", Most: 3, Cap: 4}}, Worth: 2, Stops: &Stops{Tries: 4, Late: 1, Needless: 2, Served: 3},
			Errors: []string{"e"}},
			`{"seconds":30.5,"tries":5,"goodput":1.5,` +
				`"plans":[{"name":"basic","tries":5,"served":2,"refused":{"quota":1},"failed":{"server-late":1},"no_answer":1}],` +
				`"fronts":[{"name":"http1","tries":0,"served":0,"refused":null,"failed":null,"no_answer":0}],` +
				`"classes":[{"class":"lookup","served":2,"within_aim":0.5,"p50_ms":1.5,"p90_ms":2.5,"p99_ms":3.5,"max_ms":4.5}],` +
				`"attempts":4,"tally":{"arrived":4,"counted":5,"below":1,"above":2},` +
				`"rules":[{"rule":1,"name":"n","checked":7,"broken":["b"]}],"near":[{"rule":1,"near":0.5}],` +
				`"open":[{"customer":"c","most":3,"cap":4}],"worth":2,"stops":{"tries":4,"late":1,"needless":2,"served":3},"errors":["e"]}`},
		{"no field set", Report{}, `{"seconds":0,"tries":0,"goodput":0,"plans":null,"fronts":null,"classes":null,"attempts":0,` +
			`"rules":null,"near":null,"open":null,"worth":0,"errors":null}`},
	} {
		if b, err := json.Marshal(c.report); err != nil || string(b) != c.golden {
			t.Errorf("%s: %s, %v; want %s", c.name, b, err, c.golden)
		}
	}
}
