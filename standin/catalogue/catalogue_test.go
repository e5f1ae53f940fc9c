package catalogue

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/internal/network"
)

// A duplicate that is received within the dedup window is dropped, however long it is queued: the
// window is compared with the time of receipt. If it were compared with the time at which a core
// becomes free, a duplicate that waits past the window would take effect a second time.
func TestRepeatThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := network.NewMemory(time.Millisecond, 1)
		host := m.Host("client")
		scope := &DedupScope{Name: "r", Window: 500 * time.Millisecond}
		seen := make(chan audit.AttemptRecord, 10)
		var servers []*Server
		for _, a := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
			s := New(Options{Name: a, DedupScope: scope, Cores: 1, QueueLength: 5, Record: func(s audit.AttemptRecord) { seen <- s },
				Classes: []Class{{Name: "loan", Method: "POST", PathPrefix: "/", Work: 400 * time.Millisecond, IdempotentWithKey: true}}})
			l, err := m.Host(a).Listen(a)
			if err != nil {
				t.Fatal(err)
			}
			go s.Serve(l)
			servers = append(servers, s)
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return host.Dial(ctx, a) }}}
		send := func(address, key string) {
			req, _ := http.NewRequest("POST", "http://"+address+"/", nil)
			req.Header.Set("Idempotency-Key", key)
			if res, err := client.Do(req); err == nil {
				res.Body.Close()
			}
		}
		go send("10.0.0.1:80", "k")
		go send("10.0.0.2:80", "other")
		time.Sleep(200 * time.Millisecond)
		go send("10.0.0.2:80", "other 2") // the duplicate is queued behind both
		time.Sleep(100 * time.Millisecond)
		send("10.0.0.2:80", "k")
		effects := 0
		for range 4 {
			if s := <-seen; s.Key == "k" && s.TookEffect {
				effects++
			}
		}
		if effects != 1 {
			t.Errorf("requests with one key took effect %d times, want 1", effects)
		}
		for _, s := range servers {
			s.Kill()
		}
		time.Sleep(time.Minute)
	})
}
