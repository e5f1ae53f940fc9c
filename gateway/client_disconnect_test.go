package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

func (w *world) request(method, path, key string, body io.Reader) *http.Request {
	req, err := http.NewRequest(method, "http://10.0.0.1:80"+path, body)
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Idempotency-Key", "k")
	return req
}

// A client leaves, or its time runs out, while its request waits for the
// authoriser, in the queue, or with an attempt out. Whoever still waits has an
// answer by then; nothing is sent for those that left, and nothing stays held.
func TestDisconnectedClientsLeaveNothingBehind(t *testing.T) {
	points := map[string]func(w *world){
		"at the authoriser": func(w *world) { w.auth.Do("silent", "") },
		"attempt out":       func(w *world) { w.faults("hang", "") },
		"in the queue": func(w *world) {
			w.faults("hang", "")
			for range 12 { // both servers have all they may
				go w.do("GET", "/records/1", "k-school")
			}
			time.Sleep(5 * time.Millisecond)
		},
	}
	for name, set := range points {
		t.Run(name+", time runs out", func(t *testing.T) {
			inWorld(t, "", func(w *world) {
				set(w)
				const patience = 300 * time.Millisecond
				g := w.do("POST", "/loans/1", "k-school", "Idempotency-Key", "k", "X-Envoy-Expected-Rq-Timeout-Ms", "300")
				if g.status != 503 && g.status != 504 && g.status != 429 || g.took > patience {
					t.Errorf("%+v", g)
				}
				w.expectNothingInFlight()
			})
		})
		t.Run(name+", client leaves", func(t *testing.T) {
			inWorld(t, "", func(w *world) {
				set(w)
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				defer cancel()
				if res, err := w.client.Do(w.request("POST", "/loans/1", "k-school", nil).WithContext(ctx)); err == nil {
					t.Errorf("status %d", res.StatusCode)
				}
				left := time.Now()
				time.Sleep(20 * time.Millisecond)
				w.faults("ok", "")
				w.auth.Do("ok", "")
				time.Sleep(5 * time.Second)
				for _, s := range w.arrived() {
					if s.Class == "loan-change" && s.At.Sub(left) > 3*time.Millisecond {
						t.Errorf("sent after its client left: %+v", s)
					}
				}
				w.expectNothingInFlight()
			})
		})
	}
}

// expectNothingInFlight checks that nothing is held any more.
func (w *world) expectNothingInFlight() {
	w.t.Helper()
	time.Sleep(5 * time.Second)
	if n := w.node.node.Unanswered(); n != 0 {
		w.t.Errorf("%d requests are still open", n)
	}
}
