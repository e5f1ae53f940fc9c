package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// postRequest returns a request of the customer "school" with an idempotency key.
func (bed *testBed) postRequest(path string, body io.Reader) *http.Request {
	bed.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:80"+path, body)
	if err != nil {
		bed.t.Fatal(err)
	}
	req.Header.Set("X-Api-Key", "k-school")
	req.Header.Set("Idempotency-Key", "k")
	return req
}

// A client disconnects, or its timeout expires, while its request waits for the authorization
// service, in the queue, or for an attempt in flight. Clients that are still connected get a response
// within their timeout, no attempt is sent after a client has disconnected, and nothing stays in
// flight.
func TestDisconnectedClientsLeaveNothingInFlight(t *testing.T) {
	stages := map[string]func(bed *testBed){
		"authorization check": func(bed *testBed) { bed.setAuthorizerFault(bed.authorizer, "silent", "") },
		"attempt in flight":   func(bed *testBed) { bed.setServerFault("hang") },
		"queued": func(bed *testBed) {
			bed.setServerFault("hang")
			for range 12 { // both servers are at their limit of attempts in flight
				go bed.do("GET", "/records/1", "k-school")
			}
			time.Sleep(5 * time.Millisecond)
		},
	}
	for name, injectFault := range stages {
		t.Run(name+", timeout expires", func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				injectFault(bed)
				const clientTimeout = 300 * time.Millisecond
				g := bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", "k", "X-Envoy-Expected-Rq-Timeout-Ms", "300")
				if g.status != 503 && g.status != 504 && g.status != 429 || g.took > clientTimeout {
					t.Errorf("unexpected response %+v", g)
				}
				bed.expectNothingInFlight()
			})
		})
		t.Run(name+", client disconnects", func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				injectFault(bed)
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				defer cancel()
				if res, err := bed.client.Do(bed.postRequest("/loans/1", nil).WithContext(ctx)); err == nil {
					mustClose(t, res.Body)
					t.Errorf("status %d although the client disconnected", res.StatusCode)
				}
				disconnectedAt := time.Now()
				time.Sleep(20 * time.Millisecond)
				bed.setServerFault("ok")
				bed.setAuthorizerFault(bed.authorizer, "ok", "")
				time.Sleep(5 * time.Second)
				for _, s := range bed.arrivedAttempts() {
					if s.Class == "loan-change" && s.ArrivedAt.Sub(disconnectedAt) > 3*time.Millisecond {
						t.Errorf("attempt sent after its client had disconnected: %+v", s)
					}
				}
				bed.expectNothingInFlight()
			})
		})
	}
}

// expectNothingInFlight checks that no request is unanswered after 5 s.
func (bed *testBed) expectNothingInFlight() {
	bed.t.Helper()
	time.Sleep(5 * time.Second)
	if n := bed.gateway.node.Unanswered(); n != 0 {
		bed.t.Errorf("%d requests are still unanswered", n)
	}
}
