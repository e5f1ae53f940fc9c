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

// dialChecks returns a function that sends checks as a proxy does, without access logs.
func (bed *testBed) dialChecks(patience string) (check func(path string) *authv3.CheckResponse, done func()) {
	cc, err := grpc.NewClient("passthrough:///10.0.0.1:81", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return bed.clientHost.Dial(ctx, addr) }))
	if err != nil {
		bed.t.Fatal(err)
	}
	return func(path string) *authv3.CheckResponse {
		resp, err := authv3.NewAuthorizationClient(cc).Check(context.Background(), &authv3.CheckRequest{
			Attributes: &authv3.AttributeContext{Request: &authv3.AttributeContext_Request{Http: &authv3.AttributeContext_HttpRequest{
				Method: "GET", Path: path, Host: "h", Headers: map[string]string{"x-api-key": "k-capped",
					"x-envoy-expected-rq-timeout-ms": patience}}}}})
		if err != nil {
			bed.t.Fatal(err)
		}
		return resp
	}, func() { mustClose(bed.t, cc) }
}

// A check whose proxy never logs holds its share of the concurrency cap until its timeout, and no
// longer.
func TestCheckWithoutAccessLogHoldsCapacityUntilTimeout(t *testing.T) {
	runInTestBed(t, cappedPlan, func(bed *testBed) {
		check, done := bed.dialChecks("1000")
		defer done()
		for i := range 2 {
			if r := check("/records/1"); r.GetOkResponse() == nil {
				t.Fatalf("%d: %v", i, r)
			}
		}
		start := time.Now()
		if r := check("/records/1"); r.GetDeniedResponse() == nil {
			t.Errorf("a third attempt under a cap of two, %v after the first", time.Since(start))
		}
		time.Sleep(1100*time.Millisecond - time.Since(start))
		if r := check("/records/1"); r.GetOkResponse() == nil {
			t.Errorf("the cap is still held after the time-outs: %v", r)
		}
	})
}

// A check that is queued when the gateway drains has its response.
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
			t.Errorf("%v", r)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// A proxy that logs frees the concurrency cap at once, and its clients get the same responses as
// those of the HTTP listener.
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
				t.Errorf("%d: status %d, %s", i, res.StatusCode, body)
			}
			time.Sleep(5 * time.Millisecond) // the log line's way
		}
		if n := len(bed.arrivedAttempts()); n != 10 {
			t.Errorf("%d attempts arrived", n)
		}
		p.Kill()
		bed.expectNothingInFlight()
		if got := fmt.Sprint(bed.gateway.node.Unanswered()); got != "0" {
			t.Error(got)
		}
	})
}
