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
		{node.BadRequest, "bad-request", 400, 502}, {node.TooLarge, "too-large", 413, 502}, {node.UnknownKey, "unknown-key", 401, 502},
		{node.NoRoute, "no-route", 404, 502}, {node.Quota, "quota", 429, 502}, {node.OpenCap, "open-cap", 429, 502},
		{node.Ceiling, "ceiling", 429, 502}, {node.Shed, "shed", 503, 502}, {node.NoServer, "no-server", 503, 502},
		{node.NoTime, "no-time", 503, 504}, {node.QuotaUnknown, "quota-unknown", 503, 502}, {node.ServerGone, "server-gone", 503, 502},
		{node.ServerError, "server-error", 503, 502}, {node.ServerFull, "server-full", 503, 502}, {node.ServerLate, "server-late", 503, 504},
		{node.AuthorisationDenied, "authorisation-denied", 403, 502}, {node.AuthorisationLate, "authorisation-late", 503, 502},
		{node.AuthorisationUnreachable, "authorisation-unreachable", 503, 502}, {node.Overload, "overload", 503, 502},
		{node.Draining, "draining", 503, 502}, {node.Internal, "internal", 503, 502},
	} {
		refusal := in.Render(nil, node.Answer{Kind: node.Refused, Reason: c.reason})
		failure := in.Render(nil, node.Answer{Kind: node.Failed, Reason: c.reason})
		if string(c.reason) != c.text || refusal.Status != c.refused || failure.Status != c.failed {
			t.Errorf("%q: %d refused, %d failed; want %q, %d, %d", c.reason, refusal.Status, failure.Status, c.text, c.refused, c.failed)
		}
		if got := refusal.Header.Get("X-Yardcleat-Reason"); got != c.text {
			t.Errorf("%s: header %q", c.text, got)
		}
	}
	if node.ClientGone != "client-gone" {
		t.Errorf("client gone: %q", node.ClientGone)
	}
}

// A problem has exactly these bytes and header fields.
func TestProblemHasGoldenBytes(t *testing.T) {
	in := New(&config.Config{Plans: []policy.Plan{{Name: "basic", Rate: 2, Burst: 8}}})
	res := in.Render(&node.Try{Trace: "t-1", Plan: "basic"},
		node.Answer{Kind: node.Refused, Reason: node.Quota, Detail: "d", RetryAfter: 1500 * time.Millisecond})
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
