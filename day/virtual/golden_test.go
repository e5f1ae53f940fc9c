package virtual

import (
	"encoding/json"
	"testing"

	"yardcleat.example/yardcleat/day"
)

// The jobs sent to worker processes, and the results that they send, have exactly these JSON fields.
func TestWorkerMessagesHaveGoldenJSON(t *testing.T) {
	for _, c := range []struct {
		name    string
		message any
		golden  string
	}{
		{"job", Job{Source: []byte("x"), Seed: 7, NoTimestamps: true, Mutation: "d", PauseStrategy: "w"},
			`{"source":"eA==","seed":7,"no_stamps":true,"defect":"d","way":"w"}`},
		{"result", Result{Report: &day.Report{}, Features: []string{"f"}, Error: "e", Stacks: "s"},
			`{"report":{"seconds":0,"tries":0,"goodput":0,"plans":null,"fronts":null,"classes":null,"attempts":0,` +
				`"rules":null,"near":null,"open":null,"worth":0,"errors":null},"features":["f"],"error":"e","stacks":"s"}`},
		{"empty job", Job{}, `{"source":null,"seed":0}`},
		{"empty result", Result{}, `{}`},
	} {
		if b, err := json.Marshal(c.message); err != nil || string(b) != c.golden {
			t.Errorf("%s: %s, %v; want %s", c.name, b, err, c.golden)
		}
	}
}
