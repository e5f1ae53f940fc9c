// Package front_test tests that all frontends give the same request the same final response,
// status, header fields and reason.
package front_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	datav3 "github.com/envoyproxy/go-control-plane/envoy/data/accesslog/v3"
	alsv3 "github.com/envoyproxy/go-control-plane/envoy/service/accesslog/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/front/extauthz"
	fronthttp "yardcleat.example/yardcleat/front/http1"
	fronthttp2 "yardcleat.example/yardcleat/front/http2"
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/policy/connections"
	"yardcleat.example/yardcleat/upstream"
)

const settings = `
listener "http" "a" { address = "10.0.0.1:80" }
class "lookup" {
  effect = "safe"
  aim = "800ms"
  deadline = "3s"
  route {
    method = "GET"
    path = "/records/{id}"
  }
}
class "loan-change" {
  effect = "keyed"
  window = "2s"
  aim = "600ms"
  deadline = "2s"
  route {
    method = "POST"
    path = "/loans/{id...}"
  }
}
plan "basic" {
  rate = 5
  burst = 10
}
customer "school" {
  plan = "basic"
  keys = ["k"]
}
servers {
  server "a" { address = "10.0.1.1:80" }
}
`

// fakeNode gives every request the same final response, and records the last request and the
// results of its attempts.
type fakeNode struct {
	final   node.FinalResponse
	request *node.Request
	results []node.Result
}

func (n *fakeNode) Submit(request *node.Request, reply func(node.FinalResponse)) func() {
	n.request = request
	final := n.final
	if final.Kind == node.Served {
		if request.Proxied {
			final.Response, final.Permit = nil, &node.ForwardPermit{ID: 7, Server: "10.0.1.1:80", Timeout: time.Second}
		}
	}
	reply(final)
	return func() {}
}

func (n *fakeNode) FinishProxiedAttempt(id policy.RequestID, attempt int, result node.Result) {
	if id == 7 && attempt == 0 {
		n.results = append(n.results, result)
	}
}

// frontends are clients of all frontends of one fake node.
type frontends struct {
	t             *testing.T
	node          *fakeNode
	client        *http.Client // over HTTP/1.1
	http2Client   *http.Client
	authorization authv3.AuthorizationClient
	accessLog     alsv3.AccessLogServiceClient
}

// withFrontends calls f with all frontends, in virtual time and on a simulated network.
func withFrontends(t *testing.T, f func(*frontends)) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(time.Millisecond, 1)
		host, clients := memory.Host("node"), memory.Host("client")
		cfg, err := config.Parse([]byte(settings), "test.hcl")
		if err != nil {
			t.Fatal(err)
		}
		mapper, fake, log := intake.New(cfg), &fakeNode{}, slog.New(slog.DiscardHandler)
		http1Server := fronthttp.New(fronthttp.Options{Node: fake, Mapper: mapper, Log: log, TracePrefix: "h", Connections: connlimit.New(connections.Limits{MaxOpen: 10}, log),
			Limits:        http1.Limits{MaxLineBytes: 4096, MaxHeaderFields: 50, MaxHeaderBytes: 8192, MaxBodyBytes: 1000},
			HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Minute, WriteTimeout: time.Second})
		checkServer := extauthz.New(extauthz.Options{Node: fake, Mapper: mapper, Log: log, TracePrefix: "g",
			RejectionSignal: upstream.RejectionSignal{Status: 503, Header: "X-Not-Run"}})
		listen := func(address string) net.Listener {
			listener, err := host.Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			return listener
		}
		http2Server := fronthttp2.New(fronthttp2.Options{Node: fake, Mapper: mapper, Log: log, TracePrefix: "h", Connections: connlimit.New(connections.Limits{MaxOpen: 10}, log), MaxHeaderBytes: 8192, MaxHeaderFields: 50,
			MaxRequestBody: 1000, MaxBufferedBodyBytes: 4000, MaxConcurrentStreams: 10, FrameBudget: 100, HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Minute, WriteTimeout: time.Second})
		http1Listener, checkListener, http2Listener := listen("10.0.0.1:80"), listen("10.0.0.1:81"), listen("10.0.0.1:82")
		go http2Server.Serve(http2Listener)
		go http1Server.Serve(http1Listener)
		go checkServer.Serve(checkListener)
		grpcConnection, err := grpc.NewClient("passthrough:///10.0.0.1:81", grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return clients.Dial(ctx, addr) }))
		if err != nil {
			t.Fatal(err)
		}
		http1Client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return clients.Dial(ctx, addr)
		}}}
		http2Client := &http.Client{Transport: &http2.Transport{AllowHTTP: true,
			DialTLSContext: func(ctx context.Context, _, _ string, _ *tls.Config) (net.Conn, error) {
				return clients.Dial(ctx, "10.0.0.1:82")
			}}}
		f(&frontends{t, fake, http1Client, http2Client, authv3.NewAuthorizationClient(grpcConnection), alsv3.NewAccessLogServiceClient(grpcConnection)})
		http1Client.CloseIdleConnections()
		http2Client.CloseIdleConnections()
		http2Listener.Close()
		http2Server.Drain(context.Background())
		grpcConnection.Close()
		http1Listener.Close()
		http1Server.Drain(context.Background())
		checkServer.Drain(context.Background())
		time.Sleep(time.Minute) // the remaining timers of closed components expire
	})
}

// clientResponse is a response without the header fields that depend on the protocol.
type clientResponse struct {
	status int
	header map[string]string
	body   string
}

type clientRequest struct {
	method, path string
	header       map[string]string
}

func (f *frontends) viaHTTP1(request clientRequest) clientResponse { return f.via(f.client, request) }

func (f *frontends) via(client *http.Client, request clientRequest) clientResponse {
	httpRequest, err := http.NewRequest(request.method, "http://10.0.0.1:80"+request.path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	httpRequest.Header.Set("User-Agent", "test")
	for name, values := range request.header {
		httpRequest.Header.Del(name)
		for value := range strings.SplitSeq(values, "|") { // several fields of one name
			httpRequest.Header.Add(name, value)
		}
	}
	httpResponse, err := client.Do(httpRequest)
	if err != nil {
		f.t.Fatal(err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	response := clientResponse{httpResponse.StatusCode, map[string]string{}, string(body)}
	for name := range httpResponse.Header {
		if name != "Content-Length" && name != "Date" {
			response.header[strings.ToLower(name)] = httpResponse.Header.Get(name)
		}
	}
	return response
}

func (f *frontends) check(request clientRequest) *authv3.CheckResponse {
	headers := map[string]string{":method": request.method}
	for name, values := range request.header {
		headers[strings.ToLower(name)] = strings.ReplaceAll(values, "|", ",") // as a proxy joins them
	}
	response, err := f.authorization.Check(context.Background(), &authv3.CheckRequest{Attributes: &authv3.AttributeContext{
		Request: &authv3.AttributeContext_Request{Http: &authv3.AttributeContext_HttpRequest{Method: request.method, Path: request.path,
			Host: "10.0.0.1:80", Headers: headers}}}})
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

func (f *frontends) viaCheck(request clientRequest) clientResponse {
	checkResponse := f.check(request)
	if checkResponse.GetOkResponse() != nil {
		return clientResponse{status: 200}
	}
	denied := checkResponse.GetDeniedResponse()
	response := clientResponse{int(denied.GetStatus().GetCode()), map[string]string{}, denied.GetBody()}
	for _, field := range denied.GetHeaders() {
		response.header[field.GetHeader().GetKey()] = field.GetHeader().GetValue()
	}
	return response
}

// If a frontend mapped requests or final responses in its own way, clients would get another
// status, header field or reason over one protocol than over the others.
func TestSameResponseByAnyProtocol(t *testing.T) {
	good := clientRequest{"GET", "/records/1", map[string]string{"X-Api-Key": "k", "X-Request-Id": "r1"}}
	with := func(request clientRequest, method, path string, fields ...string) clientRequest {
		changed := clientRequest{method, path, map[string]string{}}
		for name, value := range request.header {
			changed.header[name] = value
		}
		for i := 0; i+1 < len(fields); i += 2 {
			changed.header[fields[i]] = fields[i+1]
		}
		return changed
	}
	rejected := func(reason node.Reason) node.FinalResponse {
		return node.FinalResponse{Kind: node.Rejected, Reason: reason, RetryAfter: 1500 * time.Millisecond}
	}
	failed := func(r node.Reason) node.FinalResponse { return node.FinalResponse{Kind: node.Failed, Reason: r} }
	served := node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200}}
	denied := node.FinalResponse{Kind: node.Rejected, Reason: node.ReasonAuthorizationDenied,
		Response: &node.Response{Status: 451, Header: http1.Header{{Name: "X-Why", Value: "law"}}, Body: []byte("no")}}
	for _, c := range []struct {
		name       string
		request    clientRequest
		final      node.FinalResponse
		status     int
		reason     string
		retryAfter string
	}{
		{"served", good, served, 200, "", ""},
		{"quota", good, rejected(node.ReasonQuota), 429, "quota", "2"},
		{"in-flight cap", good, rejected(node.ReasonInFlightLimit), 429, "open-cap", "2"},
		{"ceiling", good, rejected(node.ReasonCeiling), 429, "ceiling", "2"},
		{"load shed", good, rejected(node.ReasonLoadShed), 503, "shed", "2"},
		{"no server", good, rejected(node.ReasonNoServer), 503, "no-server", "2"},
		{"no time", good, rejected(node.ReasonNoTime), 503, "no-time", "2"},
		{"quota unknown", good, rejected(node.ReasonQuotaUnknown), 503, "quota-unknown", "2"},
		{"authorization timeout", good, rejected(node.ReasonAuthorizationTimeout), 503, "authorisation-late", "2"},
		{"authorizer unreachable", good, rejected(node.ReasonAuthorizationUnreachable), 503, "authorisation-unreachable", "2"},
		{"denied", good, denied, 451, "authorisation-denied", ""},
		{"overload", good, rejected(node.ReasonOverload), 503, "overload", "2"},
		{"draining", good, rejected(node.ReasonDraining), 503, "draining", "2"},
		{"server connection failed", good, failed(node.ReasonServerGone), 502, "server-gone", ""},
		{"server timeout", good, failed(node.ReasonServerTimeout), 504, "server-late", ""},
		{"server error", good, failed(node.ReasonServerError), 502, "server-error", ""},
		{"internal", good, failed(node.ReasonInternal), 502, "internal", ""},
		{"unknown customer key", with(good, "GET", "/records/1", "X-Api-Key", "other"), served, 401, "unknown-key", ""},
		{"no route", with(good, "GET", "/records"), served, 404, "no-route", ""},
		{"path longer than a route", with(good, "GET", "/records/1/2"), served, 404, "no-route", ""},
		{"wildcard at the end of a path", with(good, "POST", "/loans/1/2/3", "Idempotency-Key", "i"), served, 200, "", ""},
		{"no idempotency key", with(good, "POST", "/loans/1"), served, 400, "bad-request", ""},
		{"dot segment", with(good, "GET", "/records/%2e."), served, 400, "bad-request", ""},
		{"malformed client timeout", with(good, "GET", "/records/1", "X-Envoy-Expected-Rq-Timeout-Ms", "-1"), served, 400, "bad-request", ""},
		{"two customer keys that differ", with(good, "GET", "/records/1", "X-Api-Key", "k|other"), served, 400, "bad-request", ""},
		{"two client timeouts that differ", with(good, "GET", "/records/1", "X-Envoy-Expected-Rq-Timeout-Ms", "100|2000"), served, 400, "bad-request", ""},
		{"malformed attempt count", with(good, "GET", "/records/1", "X-Envoy-Attempt-Count", "x"), served, 400, "bad-request", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFrontends(t, func(f *frontends) {
				f.node.final = c.final
				viaHTTP1 := f.viaHTTP1(c.request)
				http1Request := f.node.request
				viaHTTP2 := f.via(f.http2Client, c.request)
				if viaHTTP2.status != viaHTTP1.status || viaHTTP2.body != viaHTTP1.body || !reflect.DeepEqual(viaHTTP2.header, viaHTTP1.header) {
					t.Errorf("over HTTP/1.1 %+v\nover HTTP/2 %+v", viaHTTP1, viaHTTP2)
				}
				sorted := func(header http1.Header) http1.Header {
					header = slices.Clone(header)
					slices.SortFunc(header, func(a, b http1.Field) int { return strings.Compare(a.Name, b.Name) })
					return header
				}
				if http1Request != nil && !reflect.DeepEqual(sorted(f.node.request.HTTP.Header), sorted(http1Request.HTTP.Header)) {
					t.Errorf("header over HTTP/1.1 %v\nover HTTP/2 %v", http1Request.HTTP.Header, f.node.request.HTTP.Header)
				}
				f.node.request = nil
				viaCheck := f.viaCheck(c.request)
				if viaHTTP1.status != c.status || viaCheck.status != c.status {
					t.Fatalf("status %d over HTTP, %d by Check, want %d", viaHTTP1.status, viaCheck.status, c.status)
				}
				if (http1Request == nil) != (f.node.request == nil) {
					t.Error("one of HTTP and Check submitted the request to the node, the other did not")
				}
				if http1Request != nil {
					a, b := *http1Request, *f.node.request
					a.HTTP, b.HTTP, a.Proxied, b.Proxied = node.HTTPRequest{}, node.HTTPRequest{}, false, false
					if a.Class != b.Class || a.Customer != b.Customer || a.Plan != b.Plan || a.Trace != b.Trace || a.ClientTimeout != b.ClientTimeout || a.ClientRetry != b.ClientRetry {
						t.Errorf("requests differ:\n%+v\n%+v", a, b)
					}
				}
				if c.status == 200 {
					return
				}
				if viaHTTP1.body != viaCheck.body || viaHTTP1.header["x-yardcleat-reason"] != c.reason || viaHTTP1.header["retry-after"] != c.retryAfter {
					t.Errorf("over HTTP %+v\nby Check %+v", viaHTTP1, viaCheck)
				}
				for name, value := range viaHTTP1.header {
					if viaCheck.header[name] != value {
						t.Errorf("%s: %q over HTTP, %q by Check", name, value, viaCheck.header[name])
					}
				}
				var problem struct {
					Reason string
					Retry  bool `json:"retry_is_harmless"`
				}
				if viaHTTP1.header["content-type"] == "application/problem+json" {
					if err := json.NewDecoder(bytes.NewReader([]byte(viaHTTP1.body))).Decode(&problem); err != nil || problem.Reason != c.reason ||
						problem.Retry == (c.final.Kind == node.Failed) {
						t.Errorf("problem document %+v, %v", problem, err)
					}
				}
			})
		})
	}
}

// An access log entry finishes its attempt once, with the outcome that its response flags and
// status give. Entries of other processes change nothing.
func TestAccessLogsFinishAttempts(t *testing.T) {
	entry := func(status uint32, flags *datav3.ResponseFlags, header ...string) *datav3.HTTPAccessLogEntry {
		logEntry := &datav3.HTTPAccessLogEntry{CommonProperties: &datav3.AccessLogCommon{ResponseFlags: flags},
			Response: &datav3.HTTPResponseProperties{ResponseHeaders: map[string]string{}}}
		if status > 0 {
			logEntry.Response.ResponseCode = wrapperspb.UInt32(status)
		}
		for _, name := range header {
			logEntry.Response.ResponseHeaders[name] = "1"
		}
		return logEntry
	}
	for _, c := range []struct {
		name  string
		entry *datav3.HTTPAccessLogEntry
		code  policy.ResultCode
	}{
		{"200", entry(200, nil), policy.OK}, {"404", entry(404, nil), policy.OK}, {"500", entry(500, nil), policy.Error},
		{"503", entry(503, nil), policy.Error}, {"rejection signal", entry(503, nil, "x-not-run"), policy.Rejected},
		{"UF", entry(503, &datav3.ResponseFlags{UpstreamConnectionFailure: true}), policy.ConnectFailed},
		{"UC", entry(503, &datav3.ResponseFlags{UpstreamConnectionTermination: true}), policy.Reset},
		{"UT", entry(504, &datav3.ResponseFlags{UpstreamRequestTimeout: true}), policy.TimedOut},
		{"UO", entry(503, &datav3.ResponseFlags{UpstreamOverflow: true}), policy.TooLate},
		{"DC", entry(0, &datav3.ResponseFlags{DownstreamConnectionTermination: true}), policy.Cancelled},
		{"neither status nor flag", entry(0, nil), policy.Cancelled},
	} {
		for _, by := range []string{"token", "request ID"} {
			t.Run(c.name+" by "+by, func(t *testing.T) {
				withFrontends(t, func(f *frontends) {
					f.node.final = node.FinalResponse{Kind: node.Served}
					response := f.check(clientRequest{"GET", "/records/1", map[string]string{"X-Api-Key": "k", "X-Request-Id": "r1"}})
					permit := map[string]string{}
					for _, field := range response.GetOkResponse().GetHeaders() {
						permit[field.GetHeader().GetKey()] = field.GetHeader().GetValue()
					}
					if permit[extauthz.FieldServer] != "10.0.1.1:80" || permit[extauthz.FieldTimeout] != "1000" {
						t.Errorf("header fields of the permit: %v", permit)
					}
					c.entry.Request = &datav3.HTTPRequestProperties{RequestId: "r1"}
					if by == "token" {
						c.entry.Request = &datav3.HTTPRequestProperties{RequestHeaders: map[string]string{
							extauthz.FieldAttempt: permit[extauthz.FieldAttempt]}}
					}
					foreign := &datav3.HTTPAccessLogEntry{Request: &datav3.HTTPRequestProperties{RequestId: "r2",
						RequestHeaders: map[string]string{extauthz.FieldAttempt: "before-restart/7/0"}}}
					stream, err := f.accessLog.StreamAccessLogs(context.Background())
					if err != nil {
						t.Fatal(err)
					}
					stream.Send(&alsv3.StreamAccessLogsMessage{LogEntries: &alsv3.StreamAccessLogsMessage_HttpLogs{
						HttpLogs: &alsv3.StreamAccessLogsMessage_HTTPAccessLogEntries{LogEntry: []*datav3.HTTPAccessLogEntry{foreign, c.entry}}}})
					if _, err := stream.CloseAndRecv(); err != nil {
						t.Fatal(err)
					}
					if len(f.node.results) != 1 || f.node.results[0].Code != c.code {
						t.Errorf("results %+v, want one with code %d", f.node.results, c.code)
					}
				})
			})
		}
	}
}
