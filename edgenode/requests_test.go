package edgenode

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestServesEachClass(t *testing.T) {
	simulate(t, func(s *testbed) {
		if status, _, _ := s.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
			t.Errorf("/up: %d", status)
		}
		for _, class := range []string{"lookup", "loan-change"} {
			status, body, took := s.exchange(s.requestText(class, "id-"+class))
			if status != 200 || body != "for id-"+class || took > 100*time.Millisecond {
				t.Errorf("%s: %d %q in %v", class, status, body, took)
			}
		}
		if got := strings.Join(s.requestsSeen(), "|"); !strings.Contains(got, "id-lookup  GET /api?q=1 ") ||
			!strings.Contains(got, "id-loan-change key-id-loan-change POST /api?q=1 body") {
			t.Errorf("servers saw %q", got)
		}
	})
}

// serverResponse is what a server sends for the first request, and what comes of that.
type serverResponse struct {
	name, response string
	class          string
	closes         bool // of the connection
	status         int  // of the client's response
	attempts       int
	served         bool // the client gets the response made for it
}

// What a server says with X-Unprocessed never ran: the other one gets it. What an
// answer spoils is a failed attempt, whose connection is not used again.
func TestServerResponses(t *testing.T) {
	const turned = "HTTP/1.1 %d Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []serverResponse{
		{"turned away", fmt.Sprintf(turned, 503), "loan-change", false, 200, 2, true},
		{"turned away late", fmt.Sprintf(turned, 504), "loan-change", false, 200, 2, true},
		{"an error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "lookup", false, 200, 2, true},
		{"another status", "HTTP/1.1 204 None\r\n\r\n", "lookup", false, 200, 2, true},
		{"noise", "\x00\x01 noise\r\n\r\n", "lookup", false, 200, 2, true},
		{"a head without end", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 1<<18), "lookup", false, 200, 2, true},
		{"fields without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5000), "lookup", false, 200, 2, true},
		{"a length too long", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", "lookup", true, 200, 2, true},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<18), "lookup", false, 200, 2, true},
		{"lengths that differ", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "lookup", false, 200, 2, true},
		{"an answer that stops short", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", "loan-change", false, 200, 2, true},
		{"a head that stops short", "HTTP/1.1 200 OK\r\nContent-Le", "lookup", false, 200, 2, true},
		{"a long answer", okResponse(strings.Repeat("x", 400<<10)), "loan-change", false, 200, 1, true},
		{"an end", "", "lookup", true, 200, 2, true},
		{"1xx in front", "HTTP/1.1 102 On\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + okResponse("good"), "lookup", false, 200, 1, false},
		{"noise behind", okResponse("good") + "noise", "lookup", false, 200, 1, false},
		{"a second copy", okResponse("good") + okResponse("good"), "lookup", false, 200, 1, false},
		{"a report that can't be read", "HTTP/1.1 200 OK\r\nX-Backend-Load: {{\r\nContent-Length: 4\r\n\r\ngood", "lookup", false, 200, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(s *testbed) { c.check(t, s) })
		})
	}
}

// check has the first request of a class answered so, whichever server gets it.
func (c serverResponse) check(t *testing.T, s *testbed) {
	t.Helper()
	var requests atomic.Int64
	for _, server := range s.servers {
		server.respond = func(n int, id string) (string, bool) {
			if requests.Add(1) == 1 {
				return c.response, c.closes
			}
			return answerByID(n, id)
		}
	}
	status, body, took := s.exchange(s.requestText(c.class, "one"))
	if took > 500*time.Millisecond {
		t.Errorf("it took %v", took)
	}
	want := "good"
	if c.served {
		want = "for one"
	}
	if c.name == "a long answer" {
		want = strings.Repeat("x", 400<<10)
	}
	if status != c.status || body != want || len(s.requestsSeen()) != c.attempts {
		t.Errorf("%d %.100q after %d attempts", status, body, len(s.requestsSeen()))
	}
	// Whatever comes next gets its own answer.
	for i := range 8 {
		id := fmt.Sprint("next-", i)
		if status, body, _ := s.exchange(s.requestText("lookup", id)); status != 200 || body != "for "+id {
			t.Errorf("%s: %d %q", id, status, body)
		}
	}
}

// Clients that can't be understood get an error or a close soon, and nothing of
// them reaches a server.
func TestMalformedRequests(t *testing.T) {
	simulate(t, func(s *testbed) {
		good := s.requestText("loan-change", "bad")
		for name, in := range map[string]string{
			"noise":              "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
			"a line without end": "GET /" + strings.Repeat("a", 1<<17),
			"a head without end": "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 20000),
			"both framings":      strings.Replace(good, "Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked", 1),
			"a negative length":  strings.Replace(good, "Content-Length: 4", "Content-Length: -4", 1),
			"a huge length":      strings.Replace(good, "Content-Length: 4", "Content-Length: 99999999999999999999", 1),
			"60 MB":              strings.Replace(good, "Content-Length: 4", "Content-Length: 60000000", 1) + strings.Repeat("x", 1<<18),
			"half a head":        good[:60],
			"half a body":        good[:len(good)-2],
			"nothing":            "",
			"no id":              strings.Replace(good, "X-Correlation-Id: bad\r\n", "", 1),
			"no class":           strings.Replace(good, "loan-change", "other", 1),
			"a set too wide":     strings.Replace(good, "spread=2", "spread=9", 1),
		} {
			status, _, took := s.exchange(in)
			if status == 200 || took > 3*time.Second {
				t.Errorf("%s: status %d after %v", name, status, took)
			}
		}
		if got := s.requestsSeen(); len(got) > 0 {
			t.Errorf("servers saw %q", got)
		}
		if status, body, _ := s.exchange(s.requestText("lookup", "after")); status != 200 || body != "for after" {
			t.Errorf("a good request after them: %d %q", status, body)
		}
	})
}

// The id of another request that is open is an error; once that is answered the id
// is free again.
func TestRequestIDIsOpenOnce(t *testing.T) {
	simulate(t, func(s *testbed) {
		done := make(chan int)
		same := s.requestText("lookup", "same")
		go func() {
			status, _, _ := s.exchange(same)
			done <- status
		}()
		time.Sleep(10 * time.Millisecond)
		if status, _, _ := s.exchange(same); status != 400 {
			t.Errorf("the second: %d", status)
		}
		if status := <-done; status != 200 {
			t.Errorf("the first: %d", status)
		}
		time.Sleep(10 * time.Millisecond)
		if status, _, _ := s.exchange(s.requestText("lookup", "same")); status != 200 || len(s.requestsSeen()) != 2 {
			t.Errorf("a later one: %d, servers saw %d", status, len(s.requestsSeen()))
		}
	})
}

// Connections by the hundreds that say nothing leave room for those that ask.
func TestSilentConnectionsDoNotBlockClients(t *testing.T) {
	simulate(t, func(s *testbed) {
		var silent []net.Conn
		for range 400 {
			silent = append(silent, s.dial())
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 20 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Fatalf("request %d among silent connections: %d", i, status)
			}
		}
		start := time.Now()
		for _, nc := range silent {
			mustSetDeadline(t, nc, start.Add(3*time.Second))
			var timeout net.Error
			if _, err := nc.Read(make([]byte, 1)); err == nil {
				t.Error("a silent connection was told something")
			} else if errors.As(err, &timeout) && timeout.Timeout() {
				t.Fatal("a silent connection was left open")
			}
			mustClose(t, nc)
		}
	})
}
