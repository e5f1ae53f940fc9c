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

// Each reason has exactly this text, and a refusal for it this status.
func TestReasonsHaveGoldenTextAndStatus(t *testing.T) {
	in := New(&config.Config{})
	for _, c := range []struct {
		reason  node.Reason
		text    string
		refused int
		failed  int
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
		refusal := in.Render(nil, node.FinalResponse{Kind: node.Rejected, Reason: c.reason})
		failure := in.Render(nil, node.FinalResponse{Kind: node.Failed, Reason: c.reason})
		if string(c.reason) != c.text || refusal.Status != c.refused || failure.Status != c.failed {
			t.Errorf("%q: %d refused, %d failed; want %q, %d, %d", c.reason, refusal.Status, failure.Status, c.text, c.refused, c.failed)
		}
		if got := refusal.Header.Get("X-Yardcleat-Reason"); got != c.text {
			t.Errorf("%s: header %q", c.text, got)
		}
	}
	if node.ReasonClientDisconnected != "client-gone" {
		t.Errorf("client gone: %q", node.ReasonClientDisconnected)
	}
}

// A problem has exactly these bytes and header fields.
func TestProblemHasGoldenBytes(t *testing.T) {
	in := New(&config.Config{Plans: []policy.Plan{{Name: "basic", Rate: 2, Burst: 8}}})
	res := in.Render(&node.Request{Trace: "t-1", Plan: "basic"},
		node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonQuota, Detail: "d", RetryAfter: 1500 * time.Millisecond})
	const body = `{"type":"urn:yardcleat:reason:quota","title":"The customer's quota is used up.","status":429,"detail":"d",` +
		`"reason":"quota","retry_is_harmless":true}` + "\n"
	if string(res.Body) != body {
		t.Errorf("%s, want %s", res.Body, body)
	}
	want := http1.Header{{Name: "Retry-After", Value: "2"}, {Name: "Ratelimit-Policy", Value: `"basic";q=8;w=4`},
		{Name: "Ratelimit", Value: `"basic";r=0;t=2`}, {Name: "Content-Type", Value: "application/problem+json"},
		{Name: "X-Request-Id", Value: "t-1"}, {Name: "X-Yardcleat-Reason", Value: "quota"}}
	if !slices.Equal(res.Header, want) {
		t.Errorf("%v, want %v", res.Header, want)
	}
}
