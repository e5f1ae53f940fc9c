package protocol

import (
	"errors"
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

var testSettings = policy.Settings{Gateways: 3, MaxRequestUnits: 4, MaxRetryAfter: 500 * time.Millisecond,
	Classes: []policy.Class{{Name: "lookup", Idempotency: policy.Idempotent, Deadline: 3 * time.Second},
		{Name: "loan-change", Idempotency: policy.IdempotentWithKey, Deadline: 2 * time.Second}},
	Plans: []policy.Plan{{Name: "basic"}}}

func noMetrics() []byte { return nil }

func alwaysReady() bool { return true }

// validRequest returns a valid request of an idempotent class, or of one that is idempotent with a
// key.
func validRequest(withKey bool) node.HTTPRequest {
	c := node.HTTPRequest{Method: "GET", Target: "/api?x=1", Header: http1.Header{{Name: "X-Correlation-Id", Value: "9b1f03aa5c7e2d41"},
		{Name: "X-Service-Class", Value: "lookup"}, {Name: "X-Plan", Value: "basic"}, {Name: "Cookie", Value: "key=00000000b4d65521"},
		{Name: "X-Time-Left-Ms", Value: "480"}, {Name: "X-Quota", Value: "units=2,spread=3,first=1"}, {Name: "Accept", Value: "*/*"}}}
	if withKey {
		c.Method, c.Body = "POST", []byte("body")
		c.Header.Set("X-Service-Class", "loan-change")
		c.Header.Set("Idempotency-Key", "k1")
	}
	return c
}

func TestAdmitMapsValidRequests(t *testing.T) {
	for _, withKey := range []bool{false, true} {
		r, final := New(testSettings, alwaysReady, noMetrics).Admit(validRequest(withKey), "")
		if final != nil {
			t.Fatalf("rejected: %+v", final)
		}
		if r.Trace != "9b1f03aa5c7e2d41" || r.Customer != "00000000b4d65521" || r.Plan != "basic" || r.Units != 2 || r.GatewaySpread != 3 ||
			r.FirstGateway != 1 || r.ClientTimeout != 480*time.Millisecond || r.ClientRetry {
			t.Errorf("%+v", r)
		}
		h := r.HTTP.Header
		if h.Get("X-Correlation-Id") == "" || h.Get("Accept") == "" || withKey != h.Has("Idempotency-Key") {
			t.Errorf("a field is not forwarded: %v", h)
		}
		for _, name := range []string{"X-Time-Left-Ms", "Cookie", "X-Quota", "X-Plan"} {
			if h.Has(name) {
				t.Errorf("%s is forwarded", name)
			}
		}
	}
	c := validRequest(false)
	c.Header.Set("X-Repeat", "1")
	c.Header.Set("X-Time-Left-Ms", "99999999")
	if r, final := New(testSettings, alwaysReady, noMetrics).Admit(c, ""); final != nil || !r.ClientRetry || r.ClientTimeout != 3*time.Second {
		t.Errorf("%+v, %+v", r, final)
	}
}

// Every violation of the protocol must get a status 4xx other than 429, which would invite a retry.
func TestAdmitRejectsProtocolViolations(t *testing.T) {
	for _, c := range []struct {
		name, field string
		withKey     bool
		values      []string // "" removes the field
	}{
		{"id", "X-Correlation-Id", false, []string{"", strings.Repeat("a", 65), "a b", "a\x80"}},
		{"class", "X-Service-Class", false, []string{"", "nothing", "loan-change"}},
		{"class of another method", "X-Service-Class", true, []string{"lookup"}},
		{"plan", "X-Plan", false, []string{"", "gold", "basic "}},
		{"customer", "Cookie", false, []string{"", "key=", "key=b4d65521", "key=00000002b4d65521", "key=-0000000b4d65521", "other=00000000b4d65521",
			"key=00000000b4d65521; key=00000000b4d65522"}},
		{"deadline", "X-Time-Left-Ms", false, []string{"", "0", "-5", "1.5", "soon", "99999999999999999999", "NaN", "0x10"}},
		{"idempotency key", "Idempotency-Key", true, []string{"", "a b", strings.Repeat("k", 65)}},
		{"client retry", "X-Repeat", false, []string{"0", "yes"}},
		{"quota", "X-Quota", false, []string{"", "units=0,spread=3,first=1", "units=5,spread=3,first=1", "units=-1,spread=3,first=1",
			"units=NaN,spread=3,first=1", "units=Inf,spread=3,first=1", "units=1,spread=0,first=1", "units=1,spread=4,first=1",
			"units=1,spread=1.5,first=1", "units=1,spread=1,first=3", "units=1,spread=1,first=-1", "units=1,spread=1", "units=1,units=1,spread=1,first=0",
			"units=1,spread=1,first=0,more=1", "units,spread,first", "units=x,spread=1,first=0"}},
	} {
		for _, v := range c.values {
			request := validRequest(c.withKey)
			request.Header.Del(c.field)
			if v != "" {
				request.Header.Add(c.field, v)
			}
			mapper := New(testSettings, alwaysReady, noMetrics)
			r, final := mapper.Admit(request, "")
			if final == nil {
				t.Errorf("%s %q was accepted: %+v", c.name, v, r)
				continue
			}
			if res := mapper.Render(r, *final); res.Status < 400 || res.Status > 499 || res.Status == 429 {
				t.Errorf("%s %q: status %d", c.name, v, res.Status)
			}
		}
	}
	for name, change := range map[string]func(*node.HTTPRequest){
		"GET with a body": func(c *node.HTTPRequest) { c.Body = []byte("x") },
		"unknown method":  func(c *node.HTTPRequest) { c.Method = "PUT" },
		"duplicate field": func(c *node.HTTPRequest) { c.Header.Add("X-Plan", "basic") },
	} {
		request := validRequest(false)
		change(&request)
		if _, final := New(testSettings, alwaysReady, noMetrics).Admit(request, ""); final == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

func TestBadRequestDetail(t *testing.T) {
	m := New(testSettings, alwaysReady, noMetrics)
	badPlan := func() node.HTTPRequest {
		request := validRequest(false)
		request.Header.Set("X-Plan", "gold")
		return request
	}
	request := badPlan()
	err := m.readRequest(&node.Request{}, &request)
	var e RequestError
	if !errors.As(err, &e) || e != "the field X-Plan names no plan" {
		t.Errorf("%v", err)
	}
	_, final := m.Admit(badPlan(), "")
	if final == nil || final.Kind != node.Failed || final.Reason != node.ReasonBadRequest || final.Detail != "the field X-Plan names no plan" {
		t.Errorf("%+v", final)
	}
}

func TestReadiness(t *testing.T) {
	ready := false
	mapper := New(testSettings, func() bool { return ready }, noMetrics)
	for _, want := range []int{503, 200} {
		r, final := mapper.Admit(node.HTTPRequest{Method: "GET", Target: "/up"}, "")
		if final == nil || mapper.Render(r, *final).Status != want {
			t.Errorf("%+v, want status %d", final, want)
		}
		ready = true
	}
}

func TestRenderStatusAndRetryAfter(t *testing.T) {
	mapper := New(testSettings, alwaysReady, noMetrics)
	for _, c := range []struct {
		final  node.FinalResponse
		status int
		after  string
	}{
		{node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonQuota, RetryAfter: 123 * time.Millisecond}, 429, "0.123"},
		{node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonLoadShed, RetryAfter: 9 * time.Second}, 503, "0.500"},
		{node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonNoServer}, 503, ""},
		{node.FinalResponse{Kind: node.Failed, Reason: node.ReasonServerGone}, 502, ""},
		{node.FinalResponse{Kind: node.Failed, Reason: node.ReasonServerTimeout}, 504, ""},
		{node.FinalResponse{Kind: node.Failed, Reason: node.ReasonInternal}, 502, ""},
	} {
		res := mapper.Render(&node.Request{}, c.final)
		if res.Status != c.status || res.Header.Get("Retry-After") != c.after {
			t.Errorf("%+v: status %d, header %v", c.final, res.Status, res.Header)
		}
	}
}

func FuzzAdmit(f *testing.F) {
	f.Add("GET", "id", "lookup", "basic", "key=00000000b4d65521", "480", "units=2,spread=3,first=1", "", "")
	f.Add("POST", "id", "loan-change", "basic", "a=b; key=00000000b4d65521", "1", "first=0,spread=1,units=0.5", "k", "1")
	f.Fuzz(func(t *testing.T, method, id, class, plan, cookies, timeout, quota, key, retry string) {
		c := node.HTTPRequest{Method: method, Target: "/"}
		for i, v := range []string{id, class, plan, quota, retry, timeout, key, cookies} {
			c.Header.Add(singleHeaders[i], v)
		}
		r, final := New(testSettings, alwaysReady, noMetrics).Admit(c, "")
		if final != nil {
			return
		}
		if r.Units <= 0 || r.Units > 4 || r.GatewaySpread < 1 || r.GatewaySpread > 3 || r.FirstGateway < 0 || r.FirstGateway > 2 ||
			r.ClientTimeout <= 0 || r.ClientTimeout > 3*time.Second || r.Trace == "" || len(r.Customer) != 16 {
			t.Fatalf("%+v", r)
		}
	})
}
