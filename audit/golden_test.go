package audit

import (
	"encoding/json"
	"testing"
	"time"
)

// The records that fakes write to standard output, and the results of the rules in the report of a
// scenario, have exactly these JSON fields.
func TestRecordsHaveGoldenJSON(t *testing.T) {
	at := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name   string
		record any
		golden string
	}{
		{"attempt", AttemptRecord{Trace: "t", Server: "s", DedupScope: "r", Class: "c", Key: "k", ArrivedAt: at, EndedAt: at.Add(time.Second),
			Rejected: true, TookEffect: true, Deduplicated: true, Responded: true},
			`{"Trace":"t","Server":"s","Rack":"r","Class":"c","Key":"k","At":"2026-12-02T08:00:00Z","End":"2026-12-02T08:00:01Z",` +
				`"Away":true,"Ran":true,"Dropped":true,"Answered":true}`},
		{"endpoint update", EndpointUpdate{Node: 3, Server: "s", At: at, Unavailable: true},
			`{"Node":3,"Server":"s","At":"2026-12-02T08:00:00Z","Down":true}`},
		{"cold overload", ColdOverload{Server: "s", At: at}, `{"Server":"s","At":"2026-12-02T08:00:00Z"}`},
		{"zero values are written", AttemptRecord{}, `{"Trace":"","Server":"","Rack":"","Class":"","Key":"","At":"0001-01-01T00:00:00Z",` +
			`"End":"0001-01-01T00:00:00Z","Away":false,"Ran":false,"Dropped":false,"Answered":false}`},
		{"rule result", RuleResult{Rule: 2, Name: "n", Checked: 7, Violations: []string{"b"}}, `{"rule":2,"name":"n","checked":7,"broken":["b"]}`},
		{"margin", Margin{Rule: 2, Used: 0.5}, `{"rule":2,"near":0.5}`},
		{"in-flight peak", InFlightPeak{Customer: "c", Peak: 3, Cap: 4}, `{"customer":"c","most":3,"cap":4}`},
	} {
		if b, err := json.Marshal(c.record); err != nil || string(b) != c.golden {
			t.Errorf("%s: %s, %v; want %s", c.name, b, err, c.golden)
		}
	}
}
