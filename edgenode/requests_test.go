package edgenode

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestServesEachClass(t *testing.T) {
	simulate(t, func(s *testbed) {
		if status, _, _ := s.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
			t.Errorf("/up: status %d", status)
		}
		for _, class := range []string{"lookup", "loan-change"} {
			status, body, took := s.exchange(s.requestText(class, "id-"+class))
			if status != 200 || body != "for id-"+class || took > 100*time.Millisecond {
				t.Errorf("%s: status %d, body %q after %v", class, status, body, took)
			}
		}
		if got := strings.Join(s.receivedRequests(), "|"); !strings.Contains(got, "id-lookup  GET /api?q=1 ") ||
			!strings.Contains(got, "id-loan-change key-id-loan-change POST /api?q=1 body") {
			t.Errorf("servers got %q", got)
		}
	})
}

// serverResponse is the response of a server to the first request, and the expected result.
type serverResponse struct {
	name, response string
	class          string
	closes         bool // the server closes the connection after the response
	status         int  // of the final response
	attempts       int
	served         bool // the final response is that of answerByID
}

// A request that a server rejects with X-Unprocessed has not been processed, and must be sent to
// the other server. After an invalid response the attempt has failed, and its connection must not
// be reused: data left on it would be taken for the response to another request.
func TestServerResponses(t *testing.T) {
	const rejection = "HTTP/1.1 %d Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []serverResponse{
		{"rejected", fmt.Sprintf(rejection, 503), "loan-change", false, 200, 2, true},
		{"rejected with 504", fmt.Sprintf(rejection, 504), "loan-change", false, 200, 2, true},
		{"error status", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "lookup", false, 200, 2, true},
		{"unexpected status", "HTTP/1.1 204 None\r\n\r\n", "lookup", false, 200, 2, true},
		{"not HTTP", "\x00\x01 noise\r\n\r\n", "lookup", false, 200, 2, true},
		{"header line too long", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 1<<18), "lookup", false, 200, 2, true},
		{"too many fields", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5000), "lookup", false, 200, 2, true},
		{"connection closed within the body", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", "lookup", true, 200, 2, true},
		{"length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<18), "lookup", false, 200, 2, true},
		{"different lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "lookup", false, 200, 2, true},
		{"stalled within the body", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", "loan-change", false, 200, 2, true},
		{"stalled within the header", "HTTP/1.1 200 OK\r\nContent-Le", "lookup", false, 200, 2, true},
		{"long response", okResponse(strings.Repeat("x", 400<<10)), "loan-change", false, 200, 1, true},
		{"connection closed", "", "lookup", true, 200, 2, true},
		{"1xx before the response", "HTTP/1.1 102 On\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + okResponse("good"), "lookup", false, 200, 1, false},
		{"data after the response", okResponse("good") + "noise", "lookup", false, 200, 1, false},
		{"duplicate response", okResponse("good") + okResponse("good"), "lookup", false, 200, 1, false},
		{"invalid load report", "HTTP/1.1 200 OK\r\nX-Backend-Load: {{\r\nContent-Length: 4\r\n\r\ngood", "lookup", false, 200, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(s *testbed) { c.check(t, s) })
		})
	}
}

// check sends a request for which the first attempt, at either server, gets the response.
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
		t.Errorf("the response took %v", took)
	}
	want := "good"
	if c.served {
		want = "for one"
	}
	if c.name == "long response" {
		want = strings.Repeat("x", 400<<10)
	}
	if status != c.status || body != want || len(s.receivedRequests()) != c.attempts {
		t.Errorf("status %d, body %.100q after %d attempts", status, body, len(s.receivedRequests()))
	}
	// Each of the next requests must get its own response.
	for i := range 8 {
		id := fmt.Sprint("next-", i)
		if status, body, _ := s.exchange(s.requestText("lookup", id)); status != 200 || body != "for "+id {
			t.Errorf("%s: status %d, body %q", id, status, body)
		}
	}
}

// Malformed requests must get an error or a closed connection within 3 s, and must not reach a
// server.
func TestMalformedRequests(t *testing.T) {
	simulate(t, func(s *testbed) {
		good := s.requestText("loan-change", "bad")
		for name, in := range map[string]string{
			"not HTTP":            "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
			"line too long":       "GET /" + strings.Repeat("a", 1<<17),
			"too many fields":     "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 20000),
			"both framings":       strings.Replace(good, "Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked", 1),
			"negative length":     strings.Replace(good, "Content-Length: 4", "Content-Length: -4", 1),
			"length overflow":     strings.Replace(good, "Content-Length: 4", "Content-Length: 99999999999999999999", 1),
			"body of 60 MB":       strings.Replace(good, "Content-Length: 4", "Content-Length: 60000000", 1) + strings.Repeat("x", 1<<18),
			"incomplete header":   good[:60],
			"incomplete body":     good[:len(good)-2],
			"no data":             "",
			"no request ID":       strings.Replace(good, "X-Correlation-Id: bad\r\n", "", 1),
			"unknown class":       strings.Replace(good, "loan-change", "other", 1),
			"spread out of range": strings.Replace(good, "spread=2", "spread=9", 1),
		} {
			status, _, took := s.exchange(in)
			if status == 200 || took > 3*time.Second {
				t.Errorf("%s: status %d after %v", name, status, took)
			}
		}
		if got := s.receivedRequests(); len(got) > 0 {
			t.Errorf("servers got %q", got)
		}
		if status, body, _ := s.exchange(s.requestText("lookup", "after")); status != 200 || body != "for after" {
			t.Errorf("a valid request after them: status %d, body %q", status, body)
		}
	})
}

// A request with the ID of one that is still open must fail. The ID may be reused after that
// request has ended.
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
			t.Errorf("second request: status %d", status)
		}
		if status := <-done; status != 200 {
			t.Errorf("first request: status %d", status)
		}
		time.Sleep(10 * time.Millisecond)
		if status, _, _ := s.exchange(s.requestText("lookup", "same")); status != 200 || len(s.receivedRequests()) != 2 {
			t.Errorf("later request: status %d, servers got %d requests", status, len(s.receivedRequests()))
		}
	})
}

// checkRejection checks that a connection on which nothing was sent received one whole rejection and nothing else: a
// request may have been on its way when it was closed.
func checkRejection(t *testing.T, received []byte) {
	t.Helper()
	reader := bufio.NewReader(bytes.NewReader(received))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Errorf("a silent connection received %q: %v", received, err)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	isRejection := response.StatusCode == http.StatusRequestTimeout || response.StatusCode == http.StatusServiceUnavailable
	if err != nil || !isRejection || !response.Close || reader.Buffered() > 0 {
		t.Errorf("a silent connection received %q, want one whole rejection that closes it: %v", received, err)
	}
}

// Hundreds of connections without a request must not keep other clients from being served, and must
// be closed in the end.
func TestSilentConnectionsDoNotBlockClients(t *testing.T) {
	simulate(t, func(s *testbed) {
		var silent []net.Conn
		for range 400 {
			silent = append(silent, s.dial())
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 20 {
			if status, _, _ := s.exchange(s.requestText("lookup", "")); status != 200 {
				t.Fatalf("request %d among silent connections: status %d", i, status)
			}
		}
		start := time.Now()
		for _, nc := range silent {
			mustSetDeadline(t, nc, start.Add(3*time.Second))
			received, err := io.ReadAll(nc)
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Fatal("a silent connection was not closed within 3 s")
			}
			checkRejection(t, received)
			mustClose(t, nc)
		}
	})
}

// Guards against a request that runs twice because its id comes again after its client has left: the first attempt may have
// run, though nobody was told its result.
func TestRequestThatComesAgainAfterItsClientLeftRunsOnce(t *testing.T) {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		simulate(t, func(s *testbed) {
			text := s.requestText("loan-change", "again")
			leaving := s.dial()
			mustWrite(t, leaving, text)
			time.Sleep(10 * time.Millisecond)
			mustClose(t, leaving)
			time.Sleep(after)
			status, _, _ := s.exchange(text)
			time.Sleep(time.Second)
			if n := len(s.receivedRequests()); n != 1 || status != 400 {
				t.Errorf("again after %v: status %d, servers got it %d times", after, status, n)
			}
		})
	}
}

// A request that was never sent to a server may come again, as may one without an effect.
func TestRequestThatHadNoEffectMayComeAgain(t *testing.T) {
	ids := newRequestIDs()
	start := time.Now()
	for _, hadEffect := range []bool{false, false, true} {
		if !ids.begin("a", start) {
			t.Fatal("refused before it had an effect")
		}
		if ids.begin("a", start) {
			t.Fatal("not refused while it is in progress")
		}
		ids.end("a", hadEffect, start)
	}
	if ids.begin("a", start.Add(idRetention-1)) {
		t.Error("not refused after it had an effect")
	}
	if !ids.begin("a", start.Add(idRetention)) {
		t.Error("refused after the time for that")
	}
	for i := range 3 * maxRetainedIDs {
		ids.end(fmt.Sprint(i), true, start)
	}
	if len(ids.retained) != maxRetainedIDs || len(ids.queue) != maxRetainedIDs {
		t.Errorf("%d IDs are retained, want %d", len(ids.retained), maxRetainedIDs)
	}
}
