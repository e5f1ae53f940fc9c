package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"yardcleat.example/yardcleat/standin/proxy"
)

const cappedPlan = `
plan "capped" {
  rate = 100
  burst = 100
  open = 2
}
customer "capped" {
  plan = "capped"
  keys = ["k-capped"]
}
`

// dialChecks returns a function that sends checks as a proxy does that sends no access logs.
func (bed *testBed) dialChecks(clientTimeout string) (check func(path string) *authv3.CheckResponse, done func()) {
	conn, err := grpc.NewClient("passthrough:///10.0.0.1:81", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return bed.clientHost.Dial(ctx, addr) }))
	if err != nil {
		bed.t.Fatal(err)
	}
	return func(path string) *authv3.CheckResponse {
		resp, err := authv3.NewAuthorizationClient(conn).Check(context.Background(), &authv3.CheckRequest{
			Attributes: &authv3.AttributeContext{Request: &authv3.AttributeContext_Request{Http: &authv3.AttributeContext_HttpRequest{
				Method: "GET", Path: path, Host: "h", Headers: map[string]string{"x-api-key": "k-capped",
					"x-envoy-expected-rq-timeout-ms": clientTimeout}}}}})
		if err != nil {
			bed.t.Fatal(err)
		}
		return resp
	}, func() { mustClose(bed.t, conn) }
}

// An allowed check whose proxy sends no access log counts against the in-flight cap until its timeout,
// and no longer.
func TestCheckWithoutAccessLogHoldsCapacityUntilTimeout(t *testing.T) {
	runInTestBed(t, cappedPlan, func(bed *testBed) {
		check, done := bed.dialChecks("1000")
		defer done()
		for i := range 2 {
			if r := check("/records/1"); r.GetOkResponse() == nil {
				t.Fatalf("check %d was not allowed: %v", i, r)
			}
		}
		start := time.Now()
		if r := check("/records/1"); r.GetDeniedResponse() == nil {
			t.Errorf("a third attempt was allowed under a cap of two, %v after the first", time.Since(start))
		}
		time.Sleep(1100*time.Millisecond - time.Since(start))
		if r := check("/records/1"); r.GetOkResponse() == nil {
			t.Errorf("the attempts still count against the cap after their timeouts: %v", r)
		}
	})
}

// A check that is queued when the gateway drains gets a response.
func TestDrainAnswersQueuedCheck(t *testing.T) {
	runInTestBed(t, cappedPlan, func(bed *testBed) {
		check, done := bed.dialChecks("2000")
		defer done()
		for range 2 {
			check("/records/1")
		}
		answered := make(chan *authv3.CheckResponse)
		go func() { answered <- check("/records/1") }()
		time.Sleep(20 * time.Millisecond)
		drained := make(chan error)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			drained <- bed.gateway.Drain(ctx)
		}()
		if r := <-answered; r.GetDeniedResponse().GetStatus().GetCode() != 429 {
			t.Errorf("unexpected response to the queued check: %v", r)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// The access logs of a proxy free the in-flight cap immediately, and its clients get the same responses
// as those of the HTTP listener.
func TestRequestsThroughAnExtAuthzProxy(t *testing.T) {
	runInTestBed(t, cappedPlan, func(bed *testBed) {
		p, err := proxy.New(proxy.Options{Network: bed.clientHost, Gateway: "10.0.0.1:81", DefaultTimeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		bed.serve(p.Serve, "10.0.4.1:80")
		for i := range 10 {
			req, _ := http.NewRequest("GET", "http://10.0.4.1:80/records/1", nil)
			req.Header.Set("X-Api-Key", "k-capped")
			res, err := bed.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			if err := errors.Join(err, res.Body.Close()); err != nil {
				t.Error(err)
			}
			if res.StatusCode != 200 || !strings.Contains(string(body), `"class":"lookup"`) {
				t.Errorf("request %d: status %d, body %s", i, res.StatusCode, body)
			}
			time.Sleep(5 * time.Millisecond) // until the access log has arrived
		}
		if n := len(bed.arrivedAttempts()); n != 10 {
			t.Errorf("%d attempts arrived, want 10", n)
		}
		p.Kill()
		bed.expectNothingInFlight()
		if got := fmt.Sprint(bed.gateway.node.Unanswered()); got != "0" {
			t.Error(got)
		}
	})
}
