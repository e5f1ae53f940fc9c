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
// service, in the queue, or with an attempt in flight. Clients that still wait have a response by
// then, no attempt is sent for those that disconnected, and nothing stays in flight.
func TestDisconnectedClientsLeaveNothingInFlight(t *testing.T) {
	points := map[string]func(bed *testBed){
		"at the authoriser": func(bed *testBed) { bed.setAuthorizerFault(bed.authorizer, "silent", "") },
		"attempt out":       func(bed *testBed) { bed.setServerFault("hang") },
		"in the queue": func(bed *testBed) {
			bed.setServerFault("hang")
			for range 12 { // both servers have all they may
				go bed.do("GET", "/records/1", "k-school")
			}
			time.Sleep(5 * time.Millisecond)
		},
	}
	for name, set := range points {
		t.Run(name+", time runs out", func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				set(bed)
				const patience = 300 * time.Millisecond
				g := bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", "k", "X-Envoy-Expected-Rq-Timeout-Ms", "300")
				if g.status != 503 && g.status != 504 && g.status != 429 || g.took > patience {
					t.Errorf("%+v", g)
				}
				bed.expectNothingInFlight()
			})
		})
		t.Run(name+", client leaves", func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				set(bed)
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				defer cancel()
				if res, err := bed.client.Do(bed.postRequest("/loans/1", nil).WithContext(ctx)); err == nil {
					mustClose(t, res.Body)
					t.Errorf("status %d", res.StatusCode)
				}
				left := time.Now()
				time.Sleep(20 * time.Millisecond)
				bed.setServerFault("ok")
				bed.setAuthorizerFault(bed.authorizer, "ok", "")
				time.Sleep(5 * time.Second)
				for _, s := range bed.arrivedAttempts() {
					if s.Class == "loan-change" && s.At.Sub(left) > 3*time.Millisecond {
						t.Errorf("sent after its client left: %+v", s)
					}
				}
				bed.expectNothingInFlight()
			})
		})
	}
}

// expectNothingInFlight checks that all requests are answered after a while.
func (bed *testBed) expectNothingInFlight() {
	bed.t.Helper()
	time.Sleep(5 * time.Second)
	if n := bed.gateway.node.Unanswered(); n != 0 {
		bed.t.Errorf("%d requests are still open", n)
	}
}
