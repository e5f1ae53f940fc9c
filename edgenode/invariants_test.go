package edgenode

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"yardcleat.example/yardcleat/audit"
)

const (
	dedupWindow   = 2 * time.Second         // within which servers drop requests with a key that they have processed
	clientTimeout = 1500 * time.Millisecond // as in requestText
)

// faultRun is a run with servers that fail in many ways, one of which drains for a while. It
// records what servers and clients observe.
type faultRun struct {
	bed   *testbed
	start time.Time

	mu            sync.Mutex // guards the rest
	rng           *rand.Rand
	record        *audit.Record
	statuses      map[int]int
	processedAt   map[string]time.Time // by idempotency key: when the request was processed
	lastAnnounced *bool                // whether s-1 was last announced as draining; nil before the first announcement
}

func newFaultRun(s *testbed) *faultRun {
	return &faultRun{
		bed:   s,
		start: time.Now(),
		rng:   rand.New(rand.NewPCG(3, 3)),
		record: &audit.Record{DrainGrace: 250 * time.Millisecond, Tolerance: 10 * time.Millisecond,
			Classes: map[string]audit.Class{"lookup": {Effect: "safe"}, "loan-change": {Effect: "keyed", DedupWindow: dedupWindow}}},
		statuses:    map[int]int{},
		processedAt: map[string]time.Time{},
	}
}

// observe records a request at a server and the response to it.
func (f *faultRun) observe(server string, seen audit.AttemptRecord, out string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen.Server, seen.DedupScope = server, "1"
	if seen.Class == "loan-change" {
		at, before := f.processedAt[seen.Key]
		seen.Deduplicated = before && seen.ArrivedAt.Sub(at) < dedupWindow
	}
	seen.Rejected = strings.Contains(out, "X-Unprocessed")
	seen.TookEffect = !seen.Rejected && !seen.Deduplicated
	seen.Responded = strings.HasPrefix(out, "HTTP/1.1 200")
	if seen.TookEffect && seen.Key != "" {
		f.processedAt[seen.Key] = seen.ArrivedAt
	}
	f.record.Attempts = append(f.record.Attempts, seen)
}

// respond fails 8 requests in 60, in different ways.
func (f *faultRun) respond(_ int, id string) (out string, end bool) {
	f.mu.Lock()
	kind, slow := f.rng.IntN(60), f.rng.Float64()
	f.mu.Unlock()
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

// endpoints returns the endpoint list of discovery, in which s-1 drains for three seconds.
func (f *faultRun) endpoints(target string) string {
	at := time.Now()
	if strings.Contains(target, "after=") {
		at = at.Add(pollDelay)
	}
	elapsed := time.Since(f.start)
	down := elapsed > 4*time.Second && elapsed < 7*time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastAnnounced == nil || *f.lastAnnounced != down {
		f.lastAnnounced = &down
		f.record.EndpointUpdates = append(f.record.EndpointUpdates, audit.EndpointUpdate{Server: "s-1", At: at, Unavailable: down})
	}
	if down {
		return strings.Replace(twoEndpoints, `"status":"ready"`, `"status":"draining"`, 1)
	}
	return twoEndpoints
}

// request sends a request as a client and records the response.
func (f *faultRun) request(t *testing.T, class, id, text string) {
	t.Helper()
	tried := audit.RequestRecord{Trace: id, Frontend: "http", Customer: "c", Plan: "basic", Class: class, Units: 1, SentAt: time.Now()}
	tried.TimesOutAt = tried.SentAt.Add(clientTimeout)
	nc := f.bed.dial()
	defer mustClose(t, nc)
	mustWrite(t, nc, text)
	mustSetDeadline(t, nc, tried.TimesOutAt)
	status, body := readResponse(nc)
	tried.Status = status
	switch {
	case status == 200:
		tried.Outcome, tried.Mismatched = "served", body != "for "+id
	case status == 429 || status == 503:
		tried.Outcome = "refused"
	case status != 0:
		tried.Outcome = "failed"
	}
	if tried.Outcome != "" {
		tried.RespondedAt = time.Now()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[status]++
	f.record.Requests = append(f.record.Requests, tried)
}

// check checks that the run had the intended requests and announcements, and that no rule was
// violated.
func (f *faultRun) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	served := 0
	for _, tried := range f.record.Requests {
		if tried.Outcome == "served" {
			served++
		}
	}
	if served < 200 || len(f.record.Attempts) < 250 || len(f.record.EndpointUpdates) != 3 {
		t.Errorf("%d served, %d attempts, %d announcements by discovery: not the intended run; statuses %v", served, len(f.record.Attempts), len(f.record.EndpointUpdates), f.statuses)
	}
	for _, rule := range audit.Check(f.record) {
		t.Logf("rule %d, %s: %d cases", rule.Rule, rule.Name, rule.Checked)
		for _, broken := range rule.Violations {
			t.Errorf("rule %d violated: %s", rule.Rule, broken)
		}
	}
}

// The five rules of package audit must hold for what servers and clients observe while servers fail
// in many ways.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	simulate(t, func(s *testbed) {
		run := newFaultRun(s)
		for i, server := range s.servers {
			name := fmt.Sprint("s-", i+1)
			server.observe = func(seen audit.AttemptRecord, out string) { run.observe(name, seen, out) }
			server.respond = run.respond
		}
		s.serveDiscovery("10.0.3.2:80", run.endpoints)
		s.edge.Reload(&Config{Discovery: "10.0.3.2:80"})
		var clients sync.WaitGroup
		for i := range 500 {
			class, id := "lookup", fmt.Sprint("rough-", i)
			if i%3 == 0 {
				class = "loan-change"
			}
			text := strings.Replace(s.requestText(class, id), "b4d65521", fmt.Sprintf("b4d6%04x", i%40), 1)
			clients.Go(func() { run.request(t, class, id, text) })
			time.Sleep(20 * time.Millisecond)
		}
		clients.Wait()
		time.Sleep(5 * time.Second)
		run.check(t)
	})
}
