package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// sendRaw sends bytes and returns what comes back until the end.
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

// Slow and endless clients are cut off in time; others are served meanwhile.
func TestSlowClientsTimeOut(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		done := make(chan struct{})
		const key = "X-Api-Key: k-school\r\n"
		slow := map[string][]string{
			"header by the byte": strings.Split("GET /records/1 HTTP/1.1", ""),
			"endless header":     append([]string{"GET / HTTP/1.1\r\n"}, strings.Split(strings.Repeat("X: y\r\n,", 30), ",")...),
			"body that stops":    {"POST /notes/1 HTTP/1.1\r\nHost: h\r\n" + key + "Content-Length: 100\r\n\r\nabc"},
			"nothing":            {""},
		}
		for name, parts := range slow {
			go func() {
				got := bed.sendRaw(parts...)
				if name != "nothing" && !strings.HasPrefix(got, "HTTP/1.1 408 ") {
					t.Errorf("%s: %q", name, got)
				}
				done <- struct{}{}
			}()
		}
		for range 10 {
			if g := bed.do("GET", "/records/1", "k-school"); g.status != 200 {
				t.Errorf("%+v", g)
			}
			time.Sleep(time.Second)
		}
		for range slow {
			<-done
		}
		if n := len(bed.arrivedAttempts()); n != 10 {
			t.Errorf("%d attempts, want 10", n)
		}
	})
}

// Pipelined requests have their responses in order; 100 Continue comes before the body.
func TestPipelinedRequestsAndExpectContinue(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		one := "GET /records/%d HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nX-Request-Id: r%d\r\n\r\n"
		var in string
		for i := range 5 {
			in += fmt.Sprintf(one, i, i)
		}
		got := bed.sendRaw(in + "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		at := 0
		for i := range 5 {
			k := strings.Index(got[at:], fmt.Sprintf("X-Request-Id: r%d\r\n", i))
			if k < 0 {
				t.Fatalf("answer %d is not there, or not in its place: %q", i, got)
			}
			at += k
		}
		if !strings.Contains(got[at:], "HTTP/1.1 401 ") || strings.Count(got, "HTTP/1.1 ") != 6 {
			t.Errorf("%q", got)
		}
		got = bed.sendRaw("POST /notes/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nExpect: 100-continue\r\n"+
			"Content-Length: 3\r\nConnection: close\r\n\r\n", "abc")
		if !strings.HasPrefix(got, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ") {
			t.Errorf("%q", got)
		}
	})
}

// Request smuggling: each input hides a request that a laxer parser would see. The client gets one
// error, and nothing reaches a server.
func TestSmuggledRequestsAreRejected(t *testing.T) {
	const head = "POST /notes/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\n"
	const hidden = "GET /records/smuggled HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\n\r\n"
	for name, in := range map[string]string{
		"CL.TE":               head + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"TE.CL":               head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n5c\r\n" + hidden + "0\r\n\r\n",
		"TE.TE, obscured":     head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n" + hidden,
		"space before colon":  head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":         head + "Content-Length: 0\r\nContent-Length: 99\r\n\r\n" + hidden,
		"folded coding":       head + "X: y\r\n Transfer-Encoding: chunked\r\n\r\n" + hidden,
		"bare CR":             head + "X: y\rContent-Length: 99\r\n\r\n" + hidden,
		"bare LF":             head + "X: y\nContent-Length: 99\r\n\r\n" + hidden,
		"chunk size overflow": head + "Transfer-Encoding: chunked\r\n\r\n100000000000000000\r\n" + hidden,
		"chunk longer":        head + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + hidden,
		"HTTP/1.0 chunked":    "POST /notes/1 HTTP/1.0\r\nHost: h\r\nX-Api-Key: k-school\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				got := bed.sendRaw(in)
				if !strings.HasPrefix(got, "HTTP/1.1 400 ") || strings.Count(got, "HTTP/1.1 ") != 1 || !strings.Contains(got, "Connection: close\r\n") {
					t.Errorf("%q", got)
				}
				if n := len(bed.arrivedAttempts()); n != 0 {
					t.Errorf("%d attempts reached a server", n)
				}
			})
		})
	}
	// A body is a body: what stands in it reaches the server as such.
	runInTestBed(t, "", func(bed *testBed) {
		got := bed.sendRaw(head + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden)
		if !strings.HasPrefix(got, "HTTP/1.1 200 ") || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%q", got)
		}
		if n := len(bed.arrivedAttempts()); n != 1 {
			t.Errorf("%d attempts, want 1", n)
		}
	})
}

// Over HTTP/1.1, the overhead of chunks is bounded in proportion to their content.
func TestChunkOverheadIsBounded(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		nc, err := bed.clientHost.Dial(context.Background(), "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer mustClose(t, nc)
		if _, err := io.WriteString(nc, "POST /notes/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		go func() {
			for range 12 {
				if _, err := io.WriteString(nc, "1;"+strings.Repeat("e", 4000)+"\r\nx\r\n"); err != nil {
					return
				}
			}
		}()
		b, _ := io.ReadAll(nc)
		if !strings.HasPrefix(string(b), "HTTP/1.1 400 ") {
			t.Errorf("%.80q", b)
		}
	})
}
