package edgenode

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// The last attempt's time and the client's are over in the same step of the wheel: the
// module has the last word, and what is safe is refused so that a repeat is harmless.
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
				t.Errorf("%s: %d after %v", c.class, status, took)
			}
		}
	})
}

// attemptOutcome is a way for an attempt to end.
type attemptOutcome struct {
	name, response string
	closes         bool // the connection is reset after out
	mayHaveRun     bool // the request may have run
	served         bool // out has the response for the client
}

// How an attempt ends, against what its class's effect lets be sent again: one row each,
// the effect as the settings have it. Two of the rows prove that nothing ran; of the
// others an unsafe request is never sent again, and its client is told nothing harmless.
func TestAttemptOutcomeByIdempotency(t *testing.T) {
	const turned = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, end := range []attemptOutcome{
		{"turned away", turned, false, false, false},
		{"turned away on a closing connection", strings.Replace(turned, "Content", "Connection: close\r\nContent", 1), true, false, false},
		{"a reset without a byte", "", true, true, false},
		{"a reset under an answer", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", true, true, false},
		{"a reset under a head", "HTTP/1.1 200 O", true, true, false},
		{"no length and a reset", "HTTP/1.1 200 OK\r\n\r\nhalf of it", true, true, false},
		{"chunks and a reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, true, false},
		{"an error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, true, false},
		{"1xx and a reset", "HTTP/1.1 102 On\r\n\r\n", true, true, false},
		{"1xx and an answer", "HTTP/1.1 102 On\r\n\r\n" + okResponse("for one"), false, true, true},
	} {
		for _, semantics := range []string{"repeatable", "by_key", "once"} {
			t.Run(end.name+", "+semantics, func(t *testing.T) {
				t.Parallel()
				end.check(t, semantics)
			})
		}
	}
}

// check has the first attempt of a request end so, and checks what its client gets.
func (c attemptOutcome) check(t *testing.T, semantics string) {
	t.Helper()
	var attempts atomic.Int64
	respond := func(n int, id string) (string, bool) {
		if attempts.Add(1) == 1 {
			return c.response, c.closes
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
		c.checkResponse(t, semantics, status, body, len(s.requestsSeen()))
	})
}

func (c attemptOutcome) checkResponse(t *testing.T, semantics string, status int, body string, attempts int) {
	t.Helper()
	mayNotRepeat := c.mayHaveRun && semantics == "once" && !c.served
	if mayNotRepeat {
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
		t.Errorf("%d %q after %d attempts", status, body, attempts)
	} else if attempts != wantAttempts {
		t.Errorf("%d attempts", attempts)
	}
}

// An answer without a length ends with its connection: a clean close is its end.
func TestResponseWithoutLength(t *testing.T) {
	simulate(t, func(s *testbed) {
		for _, b := range s.servers {
			b.respond = func(_ int, id string) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\nfor " + id, true }
		}
		if status, body, _ := s.exchange(s.requestText("loan-change", "one")); status != 200 || body != "for one" || len(s.requestsSeen()) != 1 {
			t.Errorf("%d %q after %d attempts", status, body, len(s.requestsSeen()))
		}
	})
}
