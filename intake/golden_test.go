package intake

import (
	"slices"
	"testing"
	"time"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// Clients depend on the text of each reason and on the HTTP statuses of its rejections and failures.
func TestReasonsHaveGoldenTextAndStatus(t *testing.T) {
	m := New(&config.Config{})
	for _, c := range []struct {
		reason   node.Reason
		text     string
		rejected int
		failed   int
	}{
		{node.ReasonBadRequest, "bad-request", 400, 502}, {node.ReasonTooLarge, "too-large", 413, 502}, {node.ReasonUnknownKey, "unknown-key", 401, 502},
		{node.ReasonNoRoute, "no-route", 404, 502}, {node.ReasonQuota, "quota", 429, 502}, {node.ReasonInFlightLimit, "open-cap", 429, 502},
		{node.ReasonCeiling, "ceiling", 429, 502}, {node.ReasonLoadShed, "shed", 503, 502}, {node.ReasonNoServer, "no-server", 503, 502},
		{node.ReasonNoTime, "no-time", 503, 504}, {node.ReasonQuotaUnknown, "quota-unknown", 503, 502}, {node.ReasonServerGone, "server-gone", 503, 502},
		{node.ReasonServerError, "server-error", 503, 502}, {node.ReasonServerRejected, "server-full", 503, 502}, {node.ReasonServerTimeout, "server-late", 503, 504},
		{node.ReasonAuthorizationDenied, "authorisation-denied", 403, 502}, {node.ReasonAuthorizationTimeout, "authorisation-late", 503, 502},
		{node.ReasonAuthorizationUnreachable, "authorisation-unreachable", 503, 502}, {node.ReasonOverload, "overload", 503, 502},
		{node.ReasonDraining, "draining", 503, 502}, {node.ReasonInternal, "internal", 503, 502},
	} {
		rejection := m.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: c.reason})
		failure := m.Render(nil, node.FinalResponse{Kind: node.Failed, Reason: c.reason})
		if string(c.reason) != c.text || rejection.Status != c.rejected || failure.Status != c.failed {
			t.Errorf("%q: status %d if rejected, %d if failed; want %q, %d, %d", c.reason, rejection.Status, failure.Status, c.text, c.rejected, c.failed)
		}
		if got := rejection.Header.Get("X-Yardcleat-Reason"); got != c.text {
			t.Errorf("%s: X-Yardcleat-Reason is %q", c.text, got)
		}
	}
	if node.ReasonClientDisconnected != "client-gone" {
		t.Errorf("ReasonClientDisconnected is %q", node.ReasonClientDisconnected)
	}
}

// Clients depend on the body and the header fields of a problem response.
func TestProblemHasGoldenBytes(t *testing.T) {
	m := New(&config.Config{Plans: []policy.Plan{{Name: "basic", Rate: 2, Burst: 8}}})
	response := m.Render(&node.Request{Trace: "t-1", Plan: "basic"},
		node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonQuota, Detail: "d", RetryAfter: 1500 * time.Millisecond})
	const body = `{"type":"urn:yardcleat:reason:quota","title":"The customer's quota is used up.","status":429,"detail":"d",` +
		`"reason":"quota","retry_is_harmless":true}` + "\n"
	if string(response.Body) != body {
		t.Errorf("body %s, want %s", response.Body, body)
	}
	want := http1.Header{{Name: "Retry-After", Value: "2"}, {Name: "Ratelimit-Policy", Value: `"basic";q=8;w=4`},
		{Name: "Ratelimit", Value: `"basic";r=0;t=2`}, {Name: "Content-Type", Value: "application/problem+json"},
		{Name: "X-Request-Id", Value: "t-1"}, {Name: "X-Yardcleat-Reason", Value: "quota"}}
	if !slices.Equal(response.Header, want) {
		t.Errorf("header %v, want %v", response.Header, want)
	}
}
