package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	datav3 "github.com/envoyproxy/go-control-plane/envoy/data/accesslog/v3"
	alsv3 "github.com/envoyproxy/go-control-plane/envoy/service/accesslog/v3"
	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yardcleat.example/yardcleat/front/extauthz"
	"yardcleat.example/yardcleat/standin/authoriser"
	"yardcleat.example/yardcleat/standin/discovery"
)

// withTwoAuthorizers runs a test with an authorization service at two addresses.
func withTwoAuthorizers(t *testing.T, f func(bed *testBed, second *authoriser.Server)) {
	t.Helper()
	runInTestBedWith(t, strings.Replace(testBedConfig, `authoriser { address = "10.0.2.1:80" }`,
		`authoriser { addresses = ["10.0.2.1:80", "10.0.2.2:80"] }`, 1), func(bed *testBed) {
		second := authoriser.New("denied")
		bed.serve(second.Serve, "10.0.2.2:80")
		f(bed, second)
		second.Kill()
	})
}

// If one of two addresses of the authorization service fails, requests are checked at the other one in
// time.
func TestChecksFailOverFromFaultyAuthorizer(t *testing.T) {
	for _, fault := range []string{"dead", "silent", "slow"} {
		t.Run(fault, func(t *testing.T) {
			withTwoAuthorizers(t, func(bed *testBed, second *authoriser.Server) {
				switch fault {
				case "dead":
					second.Kill()
				case "silent":
					bed.setAuthorizerFault(second, "silent", "")
				case "slow":
					bed.setAuthorizerFault(second, "slow", "150ms")
				}
				rejected := 0
				for i := range 40 {
					g := bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", fmt.Sprint("k", i))
					if g.status != 200 {
						rejected++
					}
					if g.took > 700*time.Millisecond {
						t.Errorf("unexpected response %+v", g)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if rejected > 0 {
					t.Errorf("%d of 40 requests rejected", rejected)
				}
			})
		})
	}
}

// The authorization service receives the configured parts of a request, and may change headers, query
// parameters and response headers.
func TestAuthorizerReceivesAndChangesFields(t *testing.T) {
	src := strings.Replace(testBedConfig, `authoriser { address = "10.0.2.1:80" }`, `authoriser {
  address = "10.0.2.9:80"
  body = 4
  disallowed_headers = ["cookie"]
}`, 1)
	runInTestBedWith(t, src, func(bed *testBed) {
		var sent *authv3.CheckRequest
		authorizer := authoriser.New()
		option := func(name, value string, add bool) *corev3.HeaderValueOption {
			//nolint:staticcheck // Append is deprecated, but services still send it; this is the only test of it
			return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: name, Value: value}, Append: wrapperspb.Bool(add)}
		}
		authorizer.CheckOverride = func(req *authv3.CheckRequest) *authv3.CheckResponse {
			sent = req
			return &authv3.CheckResponse{Status: &rpc.Status{}, HttpResponse: &authv3.CheckResponse_OkResponse{OkResponse: &authv3.OkHttpResponse{
				Headers: []*corev3.HeaderValueOption{option("x-set", "new", false), option("x-more", "2", true), option("host", "evil", false),
					option("x-bad", "a\r\nb: c", false)},
				HeadersToRemove:         []string{"x-drop", "content-length"},
				QueryParametersToSet:    []*corev3.QueryParameter{{Key: "who", Value: "a b"}},
				QueryParametersToRemove: []string{"token"},
				ResponseHeadersToAdd:    []*corev3.HeaderValueOption{option("x-told", "yes", false)}}}}
		}
		bed.serve(authorizer.Serve, "10.0.2.9:80")
		var forwarded *http.Request
		bed.serveScripted(func(c net.Conn, r *http.Request, _ int) {
			forwarded = r
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Error(err)
			}
			bed.respondOK(c)
		})
		req := bed.postRequest("/loans/1?token=t&who=x&y=1", strings.NewReader("abcdef"))
		for k, v := range map[string]string{"Cookie": "secret", "X-Set": "old", "X-More": "1", "X-Drop": "d"} {
			req.Header.Set(k, v)
		}
		res, err := bed.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		mustClose(t, res.Body)
		if res.StatusCode != 200 || res.Header.Get("X-Told") != "yes" {
			t.Errorf("response status %d, header %v", res.StatusCode, res.Header)
		}
		checked := sent.GetAttributes().GetRequest().GetHttp()
		if checked.GetBody() != "abcd" || checked.GetSize() != 6 || checked.GetHeaders()["x-envoy-auth-partial-body"] != "true" || checked.GetHeaders()["cookie"] != "" ||
			checked.GetHeaders()["x-api-key"] != "" || checked.GetPath() != "/loans/1?token=t&who=x&y=1" || checked.GetHost() != "10.0.0.1:80" {
			t.Errorf("HTTP attributes of the check: %+v", checked)
		}
		attributes := sent.GetAttributes()
		if attributes.GetSource().GetPrincipal() != "school" || attributes.GetSource().GetAddress().GetSocketAddress().GetPortValue() == 0 ||
			attributes.GetDestination().GetAddress().GetSocketAddress().GetPortValue() != 80 || attributes.GetContextExtensions()["class"] != "loan-change" {
			t.Errorf("attributes of the check: %+v", attributes)
		}
		if forwarded.URL.RawQuery != "y=1&who=a+b" || forwarded.Host != "10.0.0.1:80" || fmt.Sprint(forwarded.Header["X-Set"], forwarded.Header["X-More"], forwarded.Header["X-Drop"],
			forwarded.Header["X-Bad"]) != "[new] [1 2] [] []" || forwarded.ContentLength != 6 {
			t.Errorf("forwarded request: URL %s, host %s, header %v", forwarded.URL, forwarded.Host, forwarded.Header)
		}
		authorizer.Kill()
	})
}

type accessLogStream = grpc.ClientStreamingClient[alsv3.StreamAccessLogsMessage, alsv3.StreamAccessLogsResponse]

// dialAccessLogs opens an access log stream as a proxy does. done closes it.
func (bed *testBed) dialAccessLogs() (stream accessLogStream, done func()) {
	bed.t.Helper()
	conn, err := grpc.NewClient("passthrough:///10.0.0.1:81", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return bed.clientHost.Dial(ctx, addr) }))
	if err != nil {
		bed.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream, err = alsv3.NewAccessLogServiceClient(conn).StreamAccessLogs(ctx)
	if err != nil {
		cancel()
		bed.t.Fatal(err)
	}
	return stream, func() {
		cancel()
		mustClose(bed.t, conn)
	}
}

func sendAccessLog(t *testing.T, stream accessLogStream, entries ...*datav3.HTTPAccessLogEntry) {
	t.Helper()
	message := &alsv3.StreamAccessLogsMessage{LogEntries: &alsv3.StreamAccessLogsMessage_HttpLogs{
		HttpLogs: &alsv3.StreamAccessLogsMessage_HTTPAccessLogEntries{LogEntry: entries}}}
	if err := stream.Send(message); err != nil {
		t.Error(err)
	}
}

// accessLogEntry returns the entry of an attempt with response status 200.
func accessLogEntry(token string) *datav3.HTTPAccessLogEntry {
	return &datav3.HTTPAccessLogEntry{
		Request:  &datav3.HTTPRequestProperties{RequestHeaders: map[string]string{extauthz.FieldAttempt: token}},
		Response: &datav3.HTTPResponseProperties{ResponseCode: wrapperspb.UInt32(200)},
	}
}

// attemptToken returns the token of the attempt that a check has allowed. ok is false if it was denied.
func attemptToken(r *authv3.CheckResponse) (token string, ok bool) {
	if r.GetOkResponse() == nil {
		return "", false
	}
	for _, h := range r.GetOkResponse().GetHeaders() {
		if h.GetHeader().GetKey() == extauthz.FieldAttempt {
			token = h.GetHeader().GetValue()
		}
	}
	return token, true
}

// If some access log entries are lost, their attempts count against the in-flight cap until their
// timeout. The cap must never be exceeded; fewer requests are allowed meanwhile.
func TestLostAccessLogsHoldCapacityUntilTimeout(t *testing.T) {
	for _, share := range []float64{0, 0.01, 0.1} {
		runInTestBed(t, cappedPlan, func(bed *testBed) {
			passed, maxInFlight := bed.runChecksWithLostAccessLogs(share)
			t.Logf("%.0f%% of entries lost: %d of 600 checks allowed, at most %d in flight", 100*share, passed, maxInFlight)
			if minPassed := map[float64]int{0: 600, 0.01: 580, 0.1: 450}[share]; passed < minPassed || maxInFlight > 2 {
				t.Errorf("share of entries lost %.2f: %d checks allowed, at most %d in flight", share, passed, maxInFlight)
			}
		})
	}
}

// runChecksWithLostAccessLogs sends 600 checks, one every 50 ms, for attempts of 20 ms each, which an
// in-flight cap of two admits easily. It drops a share of the access log entries, and returns the
// number of checks allowed and the maximum number of attempts in flight.
func (bed *testBed) runChecksWithLostAccessLogs(share float64) (passed, maxInFlight int) {
	bed.t.Helper()
	const work = 20 * time.Millisecond
	check, done := bed.dialChecks("1000")
	defer done()
	stream, closeStream := bed.dialAccessLogs()
	defer closeStream()
	rng := rand.New(rand.NewPCG(1, 1))
	inFlight := map[string]time.Time{} // end of each attempt by its token
	for range 600 {
		maps.DeleteFunc(inFlight, func(_ string, end time.Time) bool { return time.Now().After(end) })
		if token, ok := attemptToken(check("/records/1")); ok {
			passed++
			inFlight[token] = time.Now().Add(work)
			maxInFlight = max(maxInFlight, len(inFlight))
			if lost := rng.Float64() < share; !lost {
				time.AfterFunc(work, func() { sendAccessLog(bed.t, stream, accessLogEntry(token)) })
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return passed, maxInFlight
}

// Headers that are not valid UTF-8 can't be put in a gRPC message as they are. They must not be taken
// for failures of the authorization service.
func TestHeadersThatAreNotUTF8AreSentToTheAuthorizer(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		for i := range 20 {
			got := bed.sendRaw(fmt.Sprintf("POST /loans/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nIdempotency-Key: k%d\xff\r\n"+
				"X-Request-Id: \xc3\x28\r\nConnection: close\r\n\r\n", i))
			if !strings.HasPrefix(got, "HTTP/1.1 200 ") && !strings.HasPrefix(got, "HTTP/1.1 429 ") {
				t.Fatalf("unexpected response %q", got)
			}
		}
	})
}

// Access log entries arrive twice, late, out of order, for attempts of other gateways, and from two
// proxies for one attempt. Only the first entry of an attempt counts, and it frees the in-flight cap
// only once.
func TestRepeatedAndForeignAccessLogsCountOnce(t *testing.T) {
	runInTestBed(t, cappedPlan, func(bed *testBed) {
		check, done := bed.dialChecks("3000")
		defer done()
		first, closeFirst := bed.dialAccessLogs()
		defer closeFirst()
		second, closeSecond := bed.dialAccessLogs()
		defer closeSecond()
		startAttempt := func() (token string, ok bool) { return attemptToken(check("/records/1")) }
		previous := ""
		for range 10 {
			a, ok1 := startAttempt()
			b, ok2 := startAttempt()
			if !ok1 || !ok2 {
				t.Fatal("an attempt was denied below the cap of two")
			}
			if _, ok := startAttempt(); ok {
				t.Fatal("a third attempt was allowed under a cap of two")
			}
			logAttempts(t, first, b, previous, b, "other/1/0", "", "desks-0-1/x/y") // duplicate, old, of another gateway, malformed
			logAttempts(t, second, b, previous)
			c, ok := startAttempt()
			if !ok {
				t.Fatal("an attempt was denied after the entry of an earlier one")
			}
			if _, ok := startAttempt(); ok {
				t.Fatal("one access log entry freed the cap for two attempts")
			}
			previous = b
			logAttempts(t, second, c, a)
		}
	})
}

// logAttempts sends the entries of attempts in one message and waits until they have arrived.
func logAttempts(t *testing.T, stream accessLogStream, tokens ...string) {
	t.Helper()
	var entries []*datav3.HTTPAccessLogEntry
	for _, token := range tokens {
		entry := accessLogEntry(token)
		entry.CommonProperties = &datav3.AccessLogCommon{Duration: durationpb.New(20 * time.Millisecond)}
		entries = append(entries, entry)
	}
	sendAccessLog(t, stream, entries...)
	time.Sleep(10 * time.Millisecond)
}

// Half of the checks fail with UNAVAILABLE, at one of two addresses or at both. They are retried at the
// other address.
func TestUnavailableChecksAreRetried(t *testing.T) {
	for _, both := range []bool{false, true} {
		runInTestBedWith(t, strings.Replace(testBedConfig, `authoriser { address = "10.0.2.1:80" }`,
			`authoriser { addresses = ["10.0.2.8:80", "10.0.2.9:80"] }`, 1), func(bed *testBed) {
			for i := range 2 {
				rng := rand.New(rand.NewPCG(uint64(i), 1))
				authorizer := authoriser.New()
				authorizer.CheckOverride = func(*authv3.CheckRequest) *authv3.CheckResponse {
					if (both || i == 0) && rng.Float64() < 0.5 {
						return nil // gRPC can't marshal nil, so its client gets an error
					}
					return &authv3.CheckResponse{Status: &rpc.Status{}}
				}
				bed.serve(authorizer.Serve, fmt.Sprintf("10.0.2.%d:80", 8+i))
				bed.closers = append(bed.closers, authorizer.Kill)
			}
			served := 0
			for i := range 60 {
				g := bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", fmt.Sprint("k", i))
				if g.status == 200 {
					served++
				} else if r := g.header.Get("X-Yardcleat-Reason"); r != "authorisation-unreachable" && r != "authorisation-late" {
					t.Errorf("unexpected response %+v", g)
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("both addresses %v: %d of 60 requests served", both, served)
			if minServed := map[bool]int{false: 58, true: 35}[both]; served < minServed {
				t.Errorf("both addresses %v: only %d of 60 requests served", both, served)
			}
		})
	}
}

// If the authorization service does not respond, the cached result of an earlier check, allowed or
// denied, is used until the cache TTL of the class has passed.
func TestCachedAuthorizationIsUsedWhenAuthorizerFails(t *testing.T) {
	src := strings.Replace(testBedConfig, `authorisation = "refuse"`, "authorisation = \"refuse\"\n  remember = \"10s\"", 1)
	runInTestBedWith(t, src, func(bed *testBed) {
		send := func(key string) response {
			return bed.do("POST", "/loans/1", key, "Idempotency-Key", fmt.Sprint(time.Now().UnixNano()))
		}
		if g := send("k-school"); g.status != 200 {
			t.Fatalf("unexpected response %+v", g)
		}
		if g := send("k-denied"); g.status != 403 {
			t.Fatalf("unexpected response %+v", g)
		}
		bed.setAuthorizerFault(bed.authorizer, "silent", "")
		if g := send("k-school"); g.status != 200 {
			t.Errorf("unexpected response %+v", g)
		}
		if g := send("k-denied"); g.status != 403 || !strings.Contains(g.body, "no right") {
			t.Errorf("unexpected response %+v", g)
		}
		if g := bed.do("POST", "/loans/2", "k-school", "Idempotency-Key", "x"); g.status != 503 {
			t.Errorf("other resource, which has no cached result: %+v", g)
		}
		time.Sleep(11 * time.Second)
		if g := send("k-school"); g.status != 503 {
			t.Errorf("after the cache TTL: %+v", g)
		}
	})
}

// A server starts to drain while the authorization check of a request is in progress. The request must
// be sent to the other server.
func TestAllowedRequestAvoidsDrainingServer(t *testing.T) {
	runInTestBed(t, fmt.Sprintf("node { state_dir = %q }", t.TempDir()), func(bed *testBed) {
		d := discovery.New("c", 0, nil)
		bed.serve(d.Serve, "10.0.3.1:80")
		list := []discovery.Endpoint{{Name: "s1", Address: "10.0.1.1:80", Cell: 1}, {Name: "s2", Address: "10.0.1.2:80", Cell: 2}}
		d.SetEndpoints(list)
		time.Sleep(3 * time.Second)
		bed.setAuthorizerFault(bed.authorizer, "slow", "100ms")
		done := make(chan response, 4)
		for i := range 4 {
			go func() { done <- bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", fmt.Sprint(i)) }()
		}
		time.Sleep(50 * time.Millisecond) // the checks have been sent but have no response yet
		list[0].Draining = true
		d.SetEndpoints(list)
		time.Sleep(10 * time.Millisecond)
		updatedAt := time.Now()
		for range 4 {
			if g := <-done; g.status != 200 {
				t.Errorf("unexpected response %+v", g)
			}
		}
		for _, s := range bed.arrivedAttempts() {
			if s.Server == "s1" && s.ArrivedAt.After(updatedAt) {
				t.Errorf("attempt sent to the draining server: %+v", s)
			}
		}
		d.Kill()
	})
}

// If the authorization service is slow, silent or unreachable, requests of a class that requires it are
// rejected in time, and requests of other classes are served.
func TestFailedAuthorizerRejectsInTime(t *testing.T) {
	for _, c := range []struct{ fault, arg, reason string }{
		{"slow", "250ms", "authorisation-late"}, {"silent", "", "authorisation-late"}, {"dead", "", "authorisation-unreachable"},
	} {
		t.Run(c.fault, func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				if c.fault == "dead" {
					bed.authorizer.Kill()
				} else {
					bed.setAuthorizerFault(bed.authorizer, c.fault, c.arg)
				}
				g := bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", "k1")
				if g.status != 503 || g.header.Get("X-Yardcleat-Reason") != c.reason || g.took > 250*time.Millisecond {
					t.Errorf("unexpected response %+v", g)
				}
				if g := bed.do("GET", "/records/1", "k-school"); g.status != 200 {
					t.Errorf("lookup: %+v", g)
				}
				if n := len(bed.arrivedAttempts()); n != 1 {
					t.Errorf("%d attempts arrived, want 1", n)
				}
			})
		})
	}
}
