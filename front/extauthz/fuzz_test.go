package extauthz

import (
	"context"
	"log/slog"
	"testing"

	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

const fuzzConfig = `
listener "ext_authz" "a" { address = "127.0.0.1:1" }
class "lookup" {
  effect = "safe"
  aim = "1s"
  deadline = "1s"
  route {
    method = "GET"
    path = "/{all...}"
  }
}
plan "p" {}
customer "c" {
  plan = "p"
  keys = ["k"]
}
servers {
  server "s" { address = "127.0.0.1:2" }
}
`

// permissiveNode permits every request.
type permissiveNode struct{ request *node.Request }

func (n *permissiveNode) Submit(request *node.Request, reply func(node.FinalResponse)) func() {
	n.request = request
	reply(node.FinalResponse{Kind: node.Served, Permit: &node.ForwardPermit{ID: 1, Server: "127.0.0.1:2"}})
	return func() {}
}

func (*permissiveNode) FinishProxiedAttempt(policy.RequestID, int, node.Result) {}

// Whatever attributes a proxy sends, a check is either permitted or denied, and only requests
// with a known key and an unambiguous path are permitted.
func FuzzAttributes(f *testing.F) {
	f.Add("GET", "/a?b", "h", "x-api-key", "k", "x-request-id", "r")
	f.Add("GET", "/a/../b", "", "X-Api-Key", "k", ":path", "/")
	f.Add("", "", "", "", "", "", "")
	cfg, err := config.Parse([]byte(fuzzConfig), "fuzz.hcl")
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, method, path, host, name1, value1, name2, value2 string) {
		n := &permissiveNode{}
		s := New(Options{Node: n, Mapper: intake.New(cfg), Log: slog.New(slog.DiscardHandler), TracePrefix: "f"})
		defer s.grpcServer.Stop()
		resp, err := s.Check(context.Background(), &authv3.CheckRequest{Attributes: &authv3.AttributeContext{
			Request: &authv3.AttributeContext_Request{Http: &authv3.AttributeContext_HttpRequest{Method: method, Path: path, Host: host,
				Headers: map[string]string{name1: value1, name2: value2}}}}})
		if err != nil {
			t.Fatal(err)
		}
		permitted := resp.GetOkResponse() != nil
		if permitted == (resp.GetDeniedResponse() != nil) || permitted != (n.request != nil) {
			t.Errorf("response %v", resp)
		}
		if permitted && (method != "GET" || value1 != "k" && value2 != "k" || path[0] != '/') {
			t.Errorf("permitted: %q %q", method, path)
		}
	})
}
