package edgenode

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// If the last attempt's timeout and the client's timeout expire in the same step of the timer
// wheel, the policy must decide on the final response: an idempotent request is rejected, so that
// the client may retry it, and any other request fails.
func TestAttemptAndDeadlineEndTogether(t *testing.T) {
	simulate(t, func(s *testbed) {
		for _, b := range s.servers {
			b.respond = func(int, string) (string, bool) {
				time.Sleep(time.Minute)
				return "", true
			}
		}
		for _, c := range []struct {
			class  string
			status int
		}{{"lookup", 503}, {"loan-change", 504}} {
			status, _, took := s.exchange(s.requestText(c.class, ""))
			if status != c.status || took < time.Second || took > 1500*time.Millisecond {
				t.Errorf("%s: status %d after %v", c.class, status, took)
			}
		}
	})
}

// attemptOutcome is what a server does with the first attempt of a request.
type attemptOutcome struct {
	name, response string
	resets         bool // the server resets the connection after the response
	mayHaveRun     bool // the request may have been processed
	served         bool // the response is complete and is the final response
}

// Each outcome of an attempt is combined with each kind of idempotency. Rejections with
// X-Unprocessed prove that the request was not processed, so it may always be retried. After any
// other failure a non-idempotent request must not be sent again, and its client must not get a
// status that invites a retry.
func TestAttemptOutcomeByIdempotency(t *testing.T) {
	const rejection = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, outcome := range []attemptOutcome{
		{"rejected", rejection, false, false, false},
		{"rejected, connection closed", strings.Replace(rejection, "Content", "Connection: close\r\nContent", 1), true, false, false},
		{"reset before the response", "", true, true, false},
		{"reset within the body", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", true, true, false},
		{"reset within the status line", "HTTP/1.1 200 O", true, true, false},
		{"reset without a length", "HTTP/1.1 200 OK\r\n\r\nhalf of it", true, true, false},
		{"reset after a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, true, false},
		{"error status", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, true, false},
		{"1xx and reset", "HTTP/1.1 102 On\r\n\r\n", true, true, false},
		{"1xx and response", "HTTP/1.1 102 On\r\n\r\n" + okResponse("for one"), false, true, true},
	} {
		for _, semantics := range []string{"repeatable", "by_key", "once"} {
			t.Run(outcome.name+", "+semantics, func(t *testing.T) {
				t.Parallel()
				outcome.check(t, semantics)
			})
		}
	}
}

// check sends a request whose first attempt has the outcome, and checks the client's response and
// the number of attempts.
func (c attemptOutcome) check(t *testing.T, semantics string) {
	t.Helper()
	var attempts atomic.Int64
	respond := func(n int, id string) (string, bool) {
		if attempts.Add(1) == 1 {
			return c.response, c.resets
		}
		return answerByID(n, id)
	}
	class := "loan-change"
	if semantics == "repeatable" {
		class = "lookup"
	}
	settings := strings.NewReplacer(`"semantics":"by_key"`, `"semantics":"`+semantics+`"`)
	runOnLoopback(t, settings, dialHook{}, respond, func(s *testbed) {
		nc := s.dialLoopback()
		text := s.requestText(class, "one")
		if semantics == "once" {
			text = strings.Replace(text, "Idempotency-Key: key-one\r\n", "", 1)
		}
		mustWrite(t, nc, text)
		status, body := readResponse(nc)
		c.checkResponse(t, semantics, status, body, len(s.receivedRequests()))
	})
}

func (c attemptOutcome) checkResponse(t *testing.T, semantics string, status int, body string, attempts int) {
	t.Helper()
	mustNotRetry := c.mayHaveRun && semantics == "once" && !c.served
	if mustNotRetry {
		if attempts != 1 || status == 200 || status == 429 || status == 503 {
			t.Errorf("status %d after %d attempts", status, attempts)
		}
		return
	}
	wantAttempts := 2
	if c.served {
		wantAttempts = 1
	}
	if status != 200 || body != "for one" {
		t.Errorf("status %d, body %q after %d attempts", status, body, attempts)
	} else if attempts != wantAttempts {
		t.Errorf("wrong number of attempts: %d", attempts)
	}
}

// A response without a length ends when the server closes the connection, and is then complete.
func TestResponseWithoutLength(t *testing.T) {
	simulate(t, func(s *testbed) {
		for _, b := range s.servers {
			b.respond = func(_ int, id string) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\nfor " + id, true }
		}
		if status, body, _ := s.exchange(s.requestText("loan-change", "one")); status != 200 || body != "for one" || len(s.receivedRequests()) != 1 {
			t.Errorf("status %d, body %q after %d attempts", status, body, len(s.receivedRequests()))
		}
	})
}
