package day

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/config"
)

// The report that `day --json` prints has exactly these fields.
func TestReportHasGoldenJSON(t *testing.T) {
	row := OutcomeCounts{Name: "basic", Requests: 5, Served: 2, Rejected: map[string]int{"quota": 1}, Failed: map[string]int{"server-late": 1}, NoResponse: 1}
	for _, c := range []struct {
		name   string
		report Report
		golden string
	}{
		{"all fields set", Report{Seconds: 30.5, Requests: 5, Goodput: 1.5, Plans: []OutcomeCounts{row}, Fronts: []OutcomeCounts{{Name: "http1"}},
			Classes:        []LatencySummary{{Class: "lookup", Served: 2, WithinObjective: 0.5, P50: 1.5, P90: 2.5, P99: 3.5, Max: 4.5}},
			ServerAttempts: 4, CounterTotals: &CounterComparison{Received: 4, Counted: 5, Missing: 1, Excess: 2},
			Rules: []audit.RuleResult{{Rule: 1, Name: "n", Checked: 7, Violations: []string{"b"}}}, Margins: []audit.Margin{{Rule: 1, Used: 0.5}},
			InFlight: []audit.InFlightPeak{{Customer: "c", Peak: 3, Cap: 4}}, ServedWithinObjective: 2, Pauses: &PauseSummary{Requests: 4, SentTooLate: 1, AvoidableRejections: 2, Served: 3},
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

// A script with all fields set is parsed from, and formatted as, exactly this text.
func TestScriptHasGoldenText(t *testing.T) {
	const golden = `length          = "30s"
seed            = 7
nodes           = 4
spares          = 1
mail_per_second = 150

servers {
  count         = 10
  cores         = 2
  queue         = 16
  racks         = 2
  cold_share    = 0.21
  warm_within   = "8s"
  fall_multiple = 1.5
  fall_time     = "1s"
  drain_grace   = "250ms"
  told_late     = "400ms"
}

clients {
  retries = 2
  wait    = "200ms"
  proxied = 0.3
  http2   = 0.2
}

counter {
  parts            = 2
  calls_per_second = 400
}

class "loan-change" {
  method        = "POST"
  path          = "/loans/"
  effect        = "keyed"
  group         = "cell"
  window        = "2s"
  aim           = "600ms"
  deadline      = "2s"
  work          = "40ms"
  share         = 0.3
  units         = 1.5
  authorisation = "refuse"
}

plan "basic" {
  rate       = 8
  burst      = 16
  open       = 6
  hard_rate  = 14
  hard_burst = 24
}

customers "town" {
  plan  = "basic"
  count = 5
  use   = 0.8
}

fault "server-slow" {
  at     = "5s"
  for    = "2s"
  target = 1
  arg    = "3"
}
`
	s, err := Parse([]byte(golden), "golden.hcl")
	if err != nil {
		t.Fatal(err)
	}
	checkAllSet(t, "script", reflect.ValueOf(*s))
	if got := string(s.Format()); got != golden {
		t.Errorf("formatted as\n%s\nwant\n%s", got, golden)
	}
}

// checkAllSet reports exported fields that have their zero value. It skips Extends, which the
// golden script does not set.
func checkAllSet(t *testing.T, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		checkAllSet(t, path, v.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			checkAllSet(t, path, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Name != "Extends" {
				checkAllSet(t, path+"."+f.Name, v.Field(i))
			}
		}
	default:
	}
	if v.IsZero() {
		t.Errorf("%s is not set", path)
	}
}

// The template of the node configuration refers to the fields of scripts by their names. It must give
// a valid configuration for each built-in script.
func TestNodeConfigurationsOfAllScripts(t *testing.T) {
	for _, name := range ScriptNames() {
		s, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		err = nodeConfigTemplate.Execute(&b, map[string]any{"S": s, "Number": 0, "Zone": "room-0", "Dir": "/d", "HTTP": "10.0.0.1:80",
			"HTTP2": "10.0.0.1:82", "ExtAuthz": "10.0.0.1:81", "Peer": "10.0.0.1:70", "Peers": map[int]string{1: "10.0.0.2:70"},
			"Key": strings.Repeat("ab", 32), "Auth": "10.0.0.9:80", "EDS": "10.0.0.8:80", "Customers": customers(s),
			"Counters": []string{"10.0.0.7:80"}, "Roster": false})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		cfg, err := config.Parse(b.Bytes(), name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(cfg.Classes) != len(s.Classes) || len(cfg.Plans) != len(s.Plans) || len(cfg.Customers) != len(customers(s)) {
			t.Errorf("%s: %d classes, %d plans, %d customers", name, len(cfg.Classes), len(cfg.Plans), len(cfg.Customers))
		}
	}
}
