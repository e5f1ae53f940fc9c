package node

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy"
)

// Requests that get the same cached denial must each get a response of their own: a frontend adds a header to it,
// and in a shared one that changed the responses that other clients were getting at the same moment.
func TestCachedDenialIsNotShared(t *testing.T) {
	authorizer := &fakeAuthorizer{}
	n, err := New(Options{
		Settings: policy.Settings{
			Gateways:   1,
			Resolution: time.Millisecond,
			Plans:      []policy.Plan{{Name: "basic"}},
			Classes:    []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: time.Second}},
		},
		Log:           slog.New(slog.DiscardHandler),
		MaxUnanswered: 10,
		AuthorizationDecider: authz.New(authz.Settings{Addresses: 1, Timeout: time.Second, MaxInFlight: 8,
			Classes: map[string]authz.Class{"read": {Mode: authz.FailClosed, LatencyObjective: time.Second, CacheTTL: time.Minute}}}),
		AuthorizationClient: authorizer,
	})
	if err != nil {
		t.Fatal(err)
	}
	denial := &Response{Status: 403, Header: http1.Header{{Name: "X-Why", Value: "role"}}, Body: []byte("no")}
	results := []AuthorizationResult{{Outcome: authz.Denied, Denial: denial}, {Outcome: authz.Unreachable}, {Outcome: authz.Unreachable}}
	var denials []*Response
	for number, result := range results {
		n.Submit(newRequest(), func(final FinalResponse) { denials = append(denials, final.Response) })
		n.refreshTime()
		n.handleEvents(n.takeQueue(nil))
		if len(authorizer.done) <= number {
			t.Fatalf("request %d was not checked", number)
		}
		authorizer.done[number](result)
		n.handleEvents(n.takeQueue(nil))
	}
	if len(denials) != len(results) || slices.Contains(denials, nil) {
		t.Fatalf("denials %v", denials)
	}
	for _, d := range denials {
		if d.Status != 403 || len(d.Header) != 1 || d.Header.Get("X-Why") != "role" || string(d.Body) != "no" {
			t.Errorf("unexpected denial %+v", d)
		}
		d.Header.Set("X-Why", "changed")
		d.Header.Add("X-More", "1")
		d.Body[0] = 'N'
	}
	if denial.Header.Get("X-Why") != "role" || string(denial.Body) != "no" {
		t.Errorf("a receiver has changed the cached denial: %+v", denial)
	}
}
