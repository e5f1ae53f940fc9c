package gateway

import (
	"bufio"
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

// serveScripted replaces both servers by a scripted one. handle gets the connection of each
// request, the request without its body, and its number over both servers from 1.
func (bed *testBed) serveScripted(handle func(c net.Conn, r *http.Request, n int)) (requests *atomic.Int32) {
	requests = &atomic.Int32{}
	bed.serveScriptedConnections(func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			handle(c, req, int(requests.Add(1)))
		}
	})
	return requests
}

// How an attempt ends decides, with the class of the request, whether it is retried.
func TestRetryDependsOnAttemptOutcome(t *testing.T) {
	ends := map[string]func(bed *testBed, c net.Conn){
		"reset":  func(_ *testBed, c net.Conn) { c.(interface{ Reset() }).Reset() },
		"closed": func(bed *testBed, c net.Conn) { mustClose(bed.t, c) },
		"half-closed": func(bed *testBed, c net.Conn) {
			if err := c.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
				bed.t.Error(err)
			}
		},
		"cut in the body":  respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
		"cut in the head":  respondAndClose("HTTP/1.1 200 OK\r\nConte"),
		"not HTTP":         respondAndClose("hello\r\n"),
		"status 500":       func(bed *testBed, c net.Conn) { bed.respond(c, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n") },
		"plain status 503": func(bed *testBed, c net.Conn) { bed.respond(c, "HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n") },
	}
	for name, end := range ends {
		for _, c := range []struct {
			method, path string
			again        bool // may be sent again to the other server, of another cell
		}{{"GET", "/records/1", true}, {"POST", "/loans/1", false}, {"POST", "/notes/1", false}} {
			t.Run(name+" "+c.path, func(t *testing.T) {
				runInTestBed(t, "", func(bed *testBed) {
					n := bed.serveScripted(func(c net.Conn, _ *http.Request, n int) {
						if n == 1 {
							end(bed, c)
							return
						}
						bed.respondOK(c)
					})
					g := bed.do(c.method, c.path, "k-school", "Idempotency-Key", "k")
					want, sent := 502, int32(1)
					if c.again {
						want, sent = 200, 2
					}
					if g.status != want || n.Load() != sent {
						t.Errorf("status %d after %d attempts, want %d after %d: %s", g.status, n.Load(), want, sent, g.body)
					}
					if want == 502 && g.header.Get("Retry-After") != "" {
						t.Error("a failure gives advice to retry")
					}
				})
			})
		}
	}
}

// respondAndClose returns a scripted end of an attempt.
func respondAndClose(response string) func(*testBed, net.Conn) {
	return func(bed *testBed, c net.Conn) {
		bed.respond(c, response)
		mustClose(bed.t, c)
	}
}

// An attempt that was provably not executed is retried for any class.
func TestUnexecutedAttemptsAreRetried(t *testing.T) {
	for _, path := range []string{"/loans/1", "/notes/1"} {
		t.Run("turned away "+path, func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				n := bed.serveScripted(func(c net.Conn, _ *http.Request, n int) {
					if n == 1 {
						bed.respond(c, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
						return
					}
					bed.respondOK(c)
				})
				if g := bed.do("POST", path, "k-school", "Idempotency-Key", "k"); g.status != 200 || n.Load() != 2 {
					t.Errorf("status %d after %d attempts", g.status, n.Load())
				}
			})
		})
		t.Run("not connected "+path, func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				bed.servers[0].Kill()
				for i := range 6 {
					if g := bed.do("POST", path, "k-school", "Idempotency-Key", fmt.Sprint(i)); g.status != 200 {
						t.Errorf("%+v", g)
					}
				}
			})
		})
	}
}

// A server closes an idle connection just as a request is sent on it: once bytes were sent it may
// have been executed and is not retried. Closed before a byte was sent, the same attempt uses a
// new connection.
func TestServerClosesIdleConnectionAsARequestIsSent(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		n := bed.serveScripted(func(c net.Conn, _ *http.Request, n int) {
			switch n {
			case 1, 2:
				bed.respondOK(c)
			case 3:
				mustClose(t, c) // the request was on its way
			default:
				bed.respondOK(c)
			}
		})
		for i := range 2 {
			if g := bed.do("POST", "/notes/1", "k-school"); g.status != 200 {
				t.Fatalf("%d: %+v", i, g)
			}
		}
		if g := bed.do("POST", "/notes/1", "k-school"); g.status != 502 || g.header.Get("X-Yardcleat-Reason") != "server-gone" {
			t.Errorf("%+v", g)
		}
		if n.Load() != 3 {
			t.Errorf("%d attempts, want 3", n.Load())
		}
	})
	runInTestBed(t, "", func(bed *testBed) {
		n := bed.serveScripted(func(c net.Conn, _ *http.Request, _ int) {
			bed.respondOK(c)
			mustClose(t, c) // idle connections don't last
		})
		for i := range 6 {
			if g := bed.do("POST", "/notes/1", "k-school"); g.status != 200 {
				t.Fatalf("%d: %+v", i, g)
			}
		}
		if n.Load() != 6 {
			t.Errorf("%d attempts, want 6", n.Load())
		}
	})
}

// A response after the timeout is discarded: the next request on the client's connection gets its
// own.
func TestLateResponseIsDiscarded(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		bed.serveScripted(func(c net.Conn, _ *http.Request, n int) {
			if n == 1 {
				time.Sleep(time.Second)
				bed.respond(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
				return
			}
			bed.respondOK(c)
		})
		g := bed.do("POST", "/notes/1", "k-school", "X-Envoy-Expected-Rq-Timeout-Ms", "300")
		if g.status != 504 || g.header.Get("X-Yardcleat-Reason") != "server-late" || g.took > 300*time.Millisecond {
			t.Errorf("%+v", g)
		}
		time.Sleep(2 * time.Second)
		if g := bed.do("POST", "/notes/2", "k-school"); g.body != "ok" {
			t.Errorf("%+v", g)
		}
	})
}

// A server may respond before it has read the body.
func TestResponseBeforeEndOfRequestBody(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		bed.serveScripted(func(c net.Conn, _ *http.Request, _ int) {
			bed.respondOK(c)
			time.Sleep(10 * time.Second) // and never reads it
			mustClose(t, c)
		})
		res, err := bed.client.Do(bed.postRequest("/notes/1", strings.NewReader(strings.Repeat("x", 500_000))))
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(res.Body)
		if err := errors.Join(err, res.Body.Close()); err != nil || res.StatusCode != 200 || string(b) != "ok" {
			t.Errorf("status %d, %q, %v", res.StatusCode, b, err)
		}
	})
}
