package edgenode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"yardcleat.example/yardcleat/audit"
)

// A rough day: servers that fail in many ways, one of them drained and back. The five rules are checked from what servers and clients saw.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	simulate(t, func(s *testbed) {
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(3, 3))
		rec := &audit.Record{Grace: 250 * time.Millisecond, Slop: 10 * time.Millisecond,
			Classes: map[string]audit.Class{"lookup": {Effect: "safe"}, "loan-change": {Effect: "keyed", Window: 2 * time.Second}}}
		statuses := map[int]int{}
		ran := map[string]time.Time{} // by key: the rack drops repeats
		const good = "HTTP/1.1 200"
		for i, b := range s.servers {
			b.observe = func(seen audit.Seen, out string) {
				mu.Lock()
				defer mu.Unlock()
				if seen.Server, seen.Rack = fmt.Sprint("s-", i+1), "1"; seen.Class == "loan-change" {
					at, before := ran[seen.Key]
					seen.Dropped = before && seen.At.Sub(at) < 2*time.Second
				}
				seen.Away = strings.Contains(out, "X-Unprocessed")
				seen.Ran, seen.Answered = !seen.Away && !seen.Dropped, strings.HasPrefix(out, good)
				if seen.Ran && seen.Key != "" {
					ran[seen.Key] = seen.At
				}
				rec.Seen = append(rec.Seen, seen)
			}
			b.respond = func(_ int, id string) (string, bool) {
				mu.Lock()
				kind, slow := rng.IntN(60), rng.Float64()
				mu.Unlock()
				switch kind {
				case 0:
					return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false
				case 1:
					return "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false
				case 2, 3:
					return "", true
				case 4:
					return "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nshort", true
				case 5:
					return "\x00noise\r\n\r\n", false
				case 6:
					time.Sleep(time.Duration(slow * float64(4*time.Second)))
				case 7:
					return okResponse("for "+id) + okResponse("for another"), false
				}
				return okResponse("for " + id), false
			}
		}
		start := time.Now()
		down := func() bool { at := time.Since(start); return at > 4*time.Second && at < 7*time.Second }
		told := map[bool]bool{}
		s.serveDiscovery("10.0.3.2:80", func(target string) string {
			at := time.Now()
			if strings.Contains(target, "after=") {
				at = at.Add(pollDelay)
			}
			d := down()
			mu.Lock()
			defer mu.Unlock()
			if !told[d] {
				told[d], told[!d] = true, false
				rec.Told = append(rec.Told, audit.Told{Server: "s-1", At: at, Down: d})
			}
			if d {
				return strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1)
			}
			return twoEndpoints
		})
		s.edge.Reload(context.Background(), &Config{Discovery: "10.0.3.2:80"})
		var clients sync.WaitGroup
		for i := range 500 {
			class, id := "lookup", fmt.Sprint("rough-", i)
			if i%3 == 0 {
				class = "loan-change"
			}
			request := strings.Replace(s.requestText(class, id), "b4d65521", fmt.Sprintf("b4d6%04x", i%40), 1)
			clients.Go(func() {
				tried := audit.Tried{Trace: id, Front: "http", Customer: "c", Plan: "basic", Class: class, Units: 1, Sent: time.Now()}
				tried.GiveUp = tried.Sent.Add(1500 * time.Millisecond)
				nc := s.dial()
				defer nc.Close()
				nc.Write([]byte(request))
				nc.SetReadDeadline(tried.GiveUp)
				status, body := readResponse(nc)
				tried.Status = status
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				switch {
				case status == 200:
					tried.Answer, tried.Foreign = "served", body != "for "+id
				case status == 429 || status == 503:
					tried.Answer = "refused"
				case status != 0:
					tried.Answer = "failed"
				}
				if tried.Answer != "" {
					tried.Answered = time.Now()
				}
				mu.Lock()
				defer mu.Unlock()
				rec.Tried = append(rec.Tried, tried)
			})
			time.Sleep(20 * time.Millisecond)
		}
		clients.Wait()
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		served := 0
		for _, t := range rec.Tried {
			if t.Answer == "served" {
				served++
			}
		}
		if served < 200 || len(rec.Seen) < 250 || len(rec.Told) != 3 {
			t.Errorf("%d served, %d attempts, %d words of discovery: not the day that was meant; %v", served, len(rec.Seen), len(rec.Told), statuses)
		}
		for _, f := range audit.Check(rec) {
			t.Logf("rule %d, %s: %d cases", f.Rule, f.Name, f.Checked)
			for _, b := range f.Broken {
				t.Errorf("rule %d broken: %s", f.Rule, b)
			}
		}
	})
}
