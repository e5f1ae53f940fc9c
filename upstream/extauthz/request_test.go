package extauthz

import (
	"maps"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/node"
)

func testRequest() *node.Request {
	return &node.Request{
		Trace:         "id-\xff",
		Class:         "read",
		Customer:      "school",
		Plan:          "basic",
		ClientAddress: "10.0.0.1:4000",
		LocalAddress:  "10.0.0.2:80",
		HTTP: node.HTTPRequest{
			Method: "POST",
			Target: "/records/1?a=b",
			Host:   "h",
			Header: http1.Header{{Name: "Accept", Value: "a"}, {Name: "Accept", Value: "b"}, {Name: "X-Bad", Value: "v\xff"}},
			Body:   []byte("hello"),
		},
	}
}

func TestRequestFields(t *testing.T) {
	rules := RequestRules{}
	attributes := rules.checkRequest(testRequest()).GetAttributes()
	message := attributes.GetRequest().GetHttp()
	for _, c := range []struct{ name, got, want string }{
		{"principal", attributes.GetSource().GetPrincipal(), "school"},
		{"source", hostPort(attributes.GetSource().GetAddress()), "10.0.0.1"},
		{"destination", hostPort(attributes.GetDestination().GetAddress()), "10.0.0.2"},
		{"id", message.GetId(), "id-!"},
		{"method", message.GetMethod(), "POST"},
		{"path", message.GetPath(), "/records/1?a=b"},
		{"host", message.GetHost(), "h"},
		{"scheme", message.GetScheme(), "http"},
		{"protocol", message.GetProtocol(), "HTTP/1.1"},
		{"body", message.GetBody(), ""},
		{"raw body", string(message.GetRawBody()), ""},
	} {
		if c.got != c.want {
			t.Errorf("%s %q, want %q", c.name, c.got, c.want)
		}
	}
	if message.GetSize() != 5 {
		t.Errorf("size %d, want 5", message.GetSize())
	}
	if got, want := attributes.GetSource().GetAddress().GetSocketAddress().GetPortValue(), uint32(4000); got != want {
		t.Errorf("source port %d, want %d", got, want)
	}
	if attributes.GetRequest().GetTime() == nil {
		t.Error("no time")
	}
	want := map[string]string{"class": "read", "customer": "school", "plan": "basic"}
	if got := attributes.GetContextExtensions(); !maps.Equal(got, want) {
		t.Errorf("context extensions %q, want %q", got, want)
	}
}

func hostPort(a *corev3.Address) string { return a.GetSocketAddress().GetAddress() }

func TestRequestHeadersFollowTheRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		rules RequestRules
		want  map[string]string
	}{
		{"all", RequestRules{}, map[string]string{"accept": "a,b", "x-bad": "v!"}},
		{"allowed", RequestRules{AllowedHeaders: []string{"Accept"}}, map[string]string{"accept": "a,b"}},
		{"disallowed", RequestRules{DisallowedHeaders: []string{"Accept"}}, map[string]string{"x-bad": "v!"}},
		{"both", RequestRules{AllowedHeaders: []string{"Accept"}, DisallowedHeaders: []string{"Accept"}}, map[string]string{}},
	} {
		if got := c.rules.checkRequest(testRequest()).GetAttributes().GetRequest().GetHttp().GetHeaders(); !maps.Equal(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestRequestBodyIsTruncatedAtTheLimit(t *testing.T) {
	for _, c := range []struct {
		limit                       int
		body                        string
		wantText, wantRaw, wantPart string
	}{
		{limit: 5, body: "hello", wantText: "hello", wantPart: "false"},
		{limit: 4, body: "hello", wantText: "hell", wantPart: "true"},
		{limit: 4, body: "", wantPart: ""},
		{limit: 4, body: "\xff\xfe", wantRaw: "\xff\xfe", wantPart: "false"},
		{limit: 1, body: "é", wantRaw: "\xc3", wantPart: "true"},
	} {
		r := testRequest()
		r.HTTP.Body = []byte(c.body)
		rules := RequestRules{MaxBodyBytes: c.limit}
		got := rules.checkRequest(r).GetAttributes().GetRequest().GetHttp()
		if got.GetBody() != c.wantText || string(got.GetRawBody()) != c.wantRaw || got.GetHeaders()[partialBodyHeader] != c.wantPart {
			t.Errorf("%q up to %d bytes: text %q, raw %q, partial %q", c.body, c.limit, got.GetBody(), got.GetRawBody(), got.GetHeaders()[partialBodyHeader])
		}
	}
}

func TestSocketAddressNeedsHostAndPort(t *testing.T) {
	for _, invalid := range []string{"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:http", "10.0.0.1:70000", "10.0.0.1:-1"} {
		if got := socketAddress(invalid); got != nil {
			t.Errorf("%q gives %v", invalid, got)
		}
	}
	if got := socketAddress("[::1]:80").GetSocketAddress(); got.GetAddress() != "::1" || got.GetPortValue() != 80 {
		t.Errorf("%v", got)
	}
}
