package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// sendRaw sends the parts, one second apart, and returns all bytes received until the connection ends.
func (bed *testBed) sendRaw(parts ...string) string {
	c, err := bed.clientHost.Dial(context.Background(), "10.0.0.1:80")
	if err != nil {
		bed.t.Fatal(err)
	}
	defer mustClose(bed.t, c)
	for i, p := range parts {
		if i > 0 {
			time.Sleep(time.Second)
		}
		if _, err := io.WriteString(c, p); err != nil {
			break
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		bed.t.Error(err)
	}
	b, _ := io.ReadAll(c)
	return string(b)
}

// Clients whose requests are slow or never complete are disconnected by timeouts; other clients are
// served meanwhile.
func TestSlowClientsTimeOut(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		done := make(chan struct{})
		const key = "X-Api-Key: k-school\r\n"
		slowClients := map[string][]string{
			"header sent bytewise": strings.Split("GET /records/1 HTTP/1.1", ""),
			"endless header":       append([]string{"GET / HTTP/1.1\r\n"}, strings.Split(strings.Repeat("X: y\r\n,", 30), ",")...),
			"stalled body":         {"POST /notes/1 HTTP/1.1\r\nHost: h\r\n" + key + "Content-Length: 100\r\n\r\nabc"},
			"nothing":              {""},
		}
		for name, parts := range slowClients {
			go func() {
				got := bed.sendRaw(parts...)
				if name != "nothing" && !strings.HasPrefix(got, "HTTP/1.1 408 ") {
					t.Errorf("%s: unexpected response %q", name, got)
				}
				done <- struct{}{}
			}()
		}
		for range 10 {
			if g := bed.do("GET", "/records/1", "k-school"); g.status != 200 {
				t.Errorf("unexpected response %+v", g)
			}
			time.Sleep(time.Second)
		}
		for range slowClients {
			<-done
		}
		if n := len(bed.arrivedAttempts()); n != 10 {
			t.Errorf("%d attempts, want 10", n)
		}
	})
}

// Responses to pipelined requests are sent in order, and 100 Continue is sent before the body is read.
func TestPipelinedRequestsAndExpectContinue(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		format := "GET /records/%d HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nX-Request-Id: r%d\r\n\r\n"
		var in string
		for i := range 5 {
			in += fmt.Sprintf(format, i, i)
		}
		got := bed.sendRaw(in + "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		position := 0
		for i := range 5 {
			offset := strings.Index(got[position:], fmt.Sprintf("X-Request-Id: r%d\r\n", i))
			if offset < 0 {
				t.Fatalf("response %d is missing or out of order: %q", i, got)
			}
			position += offset
		}
		if !strings.Contains(got[position:], "HTTP/1.1 401 ") || strings.Count(got, "HTTP/1.1 ") != 6 {
			t.Errorf("unexpected response %q", got)
		}
		got = bed.sendRaw("POST /notes/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nExpect: 100-continue\r\n"+
			"Content-Length: 3\r\nConnection: close\r\n\r\n", "abc")
		if !strings.HasPrefix(got, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ") {
			t.Errorf("unexpected response %q", got)
		}
	})
}

// Request smuggling: each input hides a second request that a more lenient parser would recognize. The
// client gets one error response, and nothing reaches a server.
func TestSmuggledRequestsAreRejected(t *testing.T) {
	const head = "POST /notes/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\n"
	const hidden = "GET /records/smuggled HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\n\r\n"
	for name, in := range map[string]string{
		"CL.TE":               head + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"TE.CL":               head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n5c\r\n" + hidden + "0\r\n\r\n",
		"TE.TE, obfuscated":   head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n" + hidden,
		"space before colon":  head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":         head + "Content-Length: 0\r\nContent-Length: 99\r\n\r\n" + hidden,
		"folded header":       head + "X: y\r\n Transfer-Encoding: chunked\r\n\r\n" + hidden,
		"bare CR":             head + "X: y\rContent-Length: 99\r\n\r\n" + hidden,
		"bare LF":             head + "X: y\nContent-Length: 99\r\n\r\n" + hidden,
		"chunk size overflow": head + "Transfer-Encoding: chunked\r\n\r\n100000000000000000\r\n" + hidden,
		"chunk exceeds size":  head + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + hidden,
		"HTTP/1.0 chunked":    "POST /notes/1 HTTP/1.0\r\nHost: h\r\nX-Api-Key: k-school\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				got := bed.sendRaw(in)
				if !strings.HasPrefix(got, "HTTP/1.1 400 ") || strings.Count(got, "HTTP/1.1 ") != 1 || !strings.Contains(got, "Connection: close\r\n") {
					t.Errorf("unexpected response %q", got)
				}
				if n := len(bed.arrivedAttempts()); n != 0 {
					t.Errorf("%d attempts reached a server, want none", n)
				}
			})
		})
	}
	// A request within a body of the declared length is only data and is forwarded as part of the body.
	runInTestBed(t, "", func(bed *testBed) {
		got := bed.sendRaw(head + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden)
		if !strings.HasPrefix(got, "HTTP/1.1 200 ") || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("unexpected response %q", got)
		}
		if n := len(bed.arrivedAttempts()); n != 1 {
			t.Errorf("%d attempts, want 1", n)
		}
	})
}

// The overhead of chunked encoding in HTTP/1.1, such as chunk extensions, is limited in proportion to the
// content.
func TestChunkOverheadIsBounded(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		conn, err := bed.clientHost.Dial(context.Background(), "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer mustClose(t, conn)
		if _, err := io.WriteString(conn, "POST /notes/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		go func() {
			for range 12 {
				if _, err := io.WriteString(conn, "1;"+strings.Repeat("e", 4000)+"\r\nx\r\n"); err != nil {
					return
				}
			}
		}()
		b, _ := io.ReadAll(conn)
		if !strings.HasPrefix(string(b), "HTTP/1.1 400 ") {
			t.Errorf("unexpected response %.80q", b)
		}
	})
}
