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

func alwaysReady() bool { return true }

// validRequest is a request as clients send it, keyed or safe.
func validRequest(keyed bool) node.HTTPRequest {
	c := node.HTTPRequest{Method: "GET", Target: "/api?x=1", Header: http1.Header{{Name: "X-Correlation-Id", Value: "9b1f03aa5c7e2d41"},
		{Name: "X-Service-Class", Value: "lookup"}, {Name: "X-Plan", Value: "basic"}, {Name: "Cookie", Value: "key=00000000b4d65521"},
		{Name: "X-Time-Left-Ms", Value: "480"}, {Name: "X-Quota", Value: "units=2,spread=3,first=1"}, {Name: "Accept", Value: "*/*"}}}
	if keyed {
		c.Method, c.Body = "POST", []byte("body")
		c.Header.Set("X-Service-Class", "loan-change")
		c.Header.Set("Idempotency-Key", "k1")
	}
	return c
}

func TestAdmitMapsValidRequests(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		r, a := New(testSettings, alwaysReady).Admit(validRequest(keyed), "")
		if a != nil {
			t.Fatalf("answered at once: %+v", a)
		}
		if r.Trace != "9b1f03aa5c7e2d41" || r.Customer != "00000000b4d65521" || r.Plan != "basic" || r.Units != 2 || r.GatewaySpread != 3 ||
			r.FirstGateway != 1 || r.ClientTimeout != 480*time.Millisecond || r.ClientRetry {
			t.Errorf("%+v", r)
		}
		h := r.HTTP.Header
		if h.Get("X-Correlation-Id") == "" || h.Get("Accept") == "" || keyed != h.Has("Idempotency-Key") {
			t.Errorf("a field is not passed on: %v", h)
		}
		for _, name := range []string{"X-Time-Left-Ms", "Cookie", "X-Quota", "X-Plan"} {
			if h.Has(name) {
				t.Errorf("%s is passed on", name)
			}
		}
	}
	c := validRequest(false)
	c.Header.Set("X-Repeat", "1")
	c.Header.Set("X-Time-Left-Ms", "99999999")
	if r, a := New(testSettings, alwaysReady).Admit(c, ""); a != nil || !r.ClientRetry || r.ClientTimeout != 3*time.Second {
		t.Errorf("%+v, %+v", r, a)
	}
}

// What is not the protocol is a failure with 4xx, whoever it claims to be from.
func TestAdmitRejectsProtocolViolations(t *testing.T) {
	for _, c := range []struct {
		name, field string
		keyed       bool
		values      []string // "" takes the field out
	}{
		{"id", "X-Correlation-Id", false, []string{"", strings.Repeat("a", 65), "a b", "a\x80"}},
		{"class", "X-Service-Class", false, []string{"", "nothing", "loan-change"}},
		{"class of another method", "X-Service-Class", true, []string{"lookup"}},
		{"plan", "X-Plan", false, []string{"", "gold", "basic "}},
		{"customer", "Cookie", false, []string{"", "key=", "key=b4d65521", "key=00000002b4d65521", "key=-0000000b4d65521", "other=00000000b4d65521",
			"key=00000000b4d65521; key=00000000b4d65522"}},
		{"deadline", "X-Time-Left-Ms", false, []string{"", "0", "-5", "1.5", "soon", "99999999999999999999", "NaN", "0x10"}},
		{"key", "Idempotency-Key", true, []string{"", "a b", strings.Repeat("k", 65)}},
		{"repeat", "X-Repeat", false, []string{"0", "yes"}},
		{"quota", "X-Quota", false, []string{"", "units=0,spread=3,first=1", "units=5,spread=3,first=1", "units=-1,spread=3,first=1",
			"units=NaN,spread=3,first=1", "units=Inf,spread=3,first=1", "units=1,spread=0,first=1", "units=1,spread=4,first=1",
			"units=1,spread=1.5,first=1", "units=1,spread=1,first=3", "units=1,spread=1,first=-1", "units=1,spread=1", "units=1,units=1,spread=1,first=0",
			"units=1,spread=1,first=0,more=1", "units,spread,first", "units=x,spread=1,first=0"}},
	} {
		for _, v := range c.values {
			call := validRequest(c.keyed)
			call.Header.Del(c.field)
			if v != "" {
				call.Header.Add(c.field, v)
			}
			in := New(testSettings, alwaysReady)
			r, a := in.Admit(call, "")
			if a == nil {
				t.Errorf("%s %q was taken: %+v", c.name, v, r)
				continue
			}
			if res := in.Render(r, *a); res.Status < 400 || res.Status > 499 || res.Status == 429 {
				t.Errorf("%s %q: status %d", c.name, v, res.Status)
			}
		}
	}
	for name, change := range map[string]func(*node.HTTPRequest){
		"a body with GET": func(c *node.HTTPRequest) { c.Body = []byte("x") },
		"another method":  func(c *node.HTTPRequest) { c.Method = "PUT" },
		"a field twice":   func(c *node.HTTPRequest) { c.Header.Add("X-Plan", "basic") },
	} {
		call := validRequest(false)
		change(&call)
		if _, a := New(testSettings, alwaysReady).Admit(call, ""); a == nil {
			t.Errorf("%s was taken", name)
		}
	}
}

func TestBadRequestDetail(t *testing.T) {
	m := New(testSettings, alwaysReady)
	badPlan := func() node.HTTPRequest {
		call := validRequest(false)
		call.Header.Set("X-Plan", "gold")
		return call
	}
	call := badPlan()
	err := m.readRequest(&node.Request{}, &call)
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
	in := New(testSettings, func() bool { return ready })
	for _, want := range []int{503, 200} {
		r, a := in.Admit(node.HTTPRequest{Method: "GET", Target: "/up"}, "")
		if a == nil || in.Render(r, *a).Status != want {
			t.Errorf("%+v, not %d", a, want)
		}
		ready = true
	}
}

func TestRenderStatusAndRetryAfter(t *testing.T) {
	in := New(testSettings, alwaysReady)
	for _, c := range []struct {
		a      node.FinalResponse
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
		res := in.Render(&node.Request{}, c.a)
		if res.Status != c.status || res.Header.Get("Retry-After") != c.after {
			t.Errorf("%+v: %d, %v", c.a, res.Status, res.Header)
		}
	}
}

func FuzzAdmit(f *testing.F) {
	f.Add("GET", "id", "lookup", "basic", "key=00000000b4d65521", "480", "units=2,spread=3,first=1", "", "")
	f.Add("POST", "id", "loan-change", "basic", "a=b; key=00000000b4d65521", "1", "first=0,spread=1,units=0.5", "k", "1")
	f.Fuzz(func(t *testing.T, method, id, class, plan, cookies, patience, quota, key, repeat string) {
		c := node.HTTPRequest{Method: method, Target: "/"}
		for i, v := range []string{id, class, plan, quota, repeat, patience, key, cookies} {
			c.Header.Add(singleHeaders[i], v)
		}
		r, a := New(testSettings, alwaysReady).Admit(c, "")
		if a != nil {
			return
		}
		if r.Units <= 0 || r.Units > 4 || r.GatewaySpread < 1 || r.GatewaySpread > 3 || r.FirstGateway < 0 || r.FirstGateway > 2 ||
			r.ClientTimeout <= 0 || r.ClientTimeout > 3*time.Second || r.Trace == "" || len(r.Customer) != 16 {
			t.Fatalf("%+v", r)
		}
	})
}
