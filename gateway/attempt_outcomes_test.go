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

// serveScripted replaces both servers by scripted ones. handle is called for each request with the
// connection, the request, whose body has not been read, and its sequence number across both
// servers, starting at 1.
func (bed *testBed) serveScripted(handle func(c net.Conn, r *http.Request, n int)) (requests *atomic.Int32) {
	requests = &atomic.Int32{}
	bed.serveScriptedConnections(func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			handle(c, req, int(requests.Add(1)))
		}
	})
	return requests
}

// The outcome of an attempt and the class of the request determine whether it is retried. A request that
// a server may have executed is retried only if it is idempotent. One that is idempotent with key is
// retried only within its dedup scope, a cell here, and the other server is in another cell.
func TestRetryDependsOnAttemptOutcome(t *testing.T) {
	outcomes := map[string]func(bed *testBed, c net.Conn){
		"reset":  func(_ *testBed, c net.Conn) { c.(interface{ Reset() }).Reset() },
		"closed": func(bed *testBed, c net.Conn) { mustClose(bed.t, c) },
		"half-closed": func(bed *testBed, c net.Conn) {
			if err := c.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
				bed.t.Error(err)
			}
		},
		"truncated body":   respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
		"truncated header": respondAndClose("HTTP/1.1 200 OK\r\nConte"),
		"not HTTP":         respondAndClose("hello\r\n"),
		"status 500":       func(bed *testBed, c net.Conn) { bed.respond(c, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n") },
		"plain status 503": func(bed *testBed, c net.Conn) { bed.respond(c, "HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n") },
	}
	for name, endAttempt := range outcomes {
		for _, c := range []struct {
			method, path string
			retried      bool // whether it may be sent again to the other server, which is in another cell
		}{{"GET", "/records/1", true}, {"POST", "/loans/1", false}, {"POST", "/notes/1", false}} {
			t.Run(name+" "+c.path, func(t *testing.T) {
				runInTestBed(t, "", func(bed *testBed) {
					n := bed.serveScripted(func(c net.Conn, _ *http.Request, n int) {
						if n == 1 {
							endAttempt(bed, c)
							return
						}
						bed.respondOK(c)
					})
					g := bed.do(c.method, c.path, "k-school", "Idempotency-Key", "k")
					wantStatus, wantAttempts := 502, int32(1)
					if c.retried {
						wantStatus, wantAttempts = 200, 2
					}
					if g.status != wantStatus || n.Load() != wantAttempts {
						t.Errorf("status %d after %d attempts, want %d after %d: %s", g.status, n.Load(), wantStatus, wantAttempts, g.body)
					}
					if wantStatus == 502 && g.header.Get("Retry-After") != "" {
						t.Error("a failure response has a Retry-After header")
					}
				})
			})
		}
	}
}

// respondAndClose returns a function that writes a response and closes the connection.
func respondAndClose(response string) func(*testBed, net.Conn) {
	return func(bed *testBed, c net.Conn) {
		bed.respond(c, response)
		mustClose(bed.t, c)
	}
}

// An attempt that was provably not executed is retried for any class.
func TestUnexecutedAttemptsAreRetried(t *testing.T) {
	for _, path := range []string{"/loans/1", "/notes/1"} {
		t.Run("rejection signal "+path, func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				n := bed.serveScripted(func(c net.Conn, _ *http.Request, n int) {
					if n == 1 {
						bed.respond(c, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
						return
					}
					bed.respondOK(c)
				})
				if g := bed.do("POST", path, "k-school", "Idempotency-Key", "k"); g.status != 200 || n.Load() != 2 {
					t.Errorf("status %d after %d attempts, want 200 after 2", g.status, n.Load())
				}
			})
		})
		t.Run("not connected "+path, func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				bed.servers[0].Kill()
				for i := range 6 {
					if g := bed.do("POST", path, "k-school", "Idempotency-Key", fmt.Sprint(i)); g.status != 200 {
						t.Errorf("unexpected response %+v", g)
					}
				}
			})
		})
	}
}

// A server closes an idle connection while a request is sent on it. Once bytes have been sent, the
// request may have been executed and is not retried. If the connection was closed before any byte
// was sent, the same attempt uses a new connection.
func TestServerClosesIdleConnectionAsARequestIsSent(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		n := bed.serveScripted(func(c net.Conn, _ *http.Request, n int) {
			switch n {
			case 1, 2:
				bed.respondOK(c)
			case 3:
				mustClose(t, c) // the request has been sent
			default:
				bed.respondOK(c)
			}
		})
		for i := range 2 {
			if g := bed.do("POST", "/notes/1", "k-school"); g.status != 200 {
				t.Fatalf("request %d: unexpected response %+v", i, g)
			}
		}
		if g := bed.do("POST", "/notes/1", "k-school"); g.status != 502 || g.header.Get("X-Yardcleat-Reason") != "server-gone" {
			t.Errorf("unexpected response %+v", g)
		}
		if n.Load() != 3 {
			t.Errorf("%d attempts, want 3", n.Load())
		}
	})
	runInTestBed(t, "", func(bed *testBed) {
		n := bed.serveScripted(func(c net.Conn, _ *http.Request, _ int) {
			bed.respondOK(c)
			mustClose(t, c) // no connection stays idle
		})
		for i := range 6 {
			if g := bed.do("POST", "/notes/1", "k-school"); g.status != 200 {
				t.Fatalf("request %d: unexpected response %+v", i, g)
			}
		}
		if n.Load() != 6 {
			t.Errorf("%d attempts, want 6", n.Load())
		}
	})
}

// A response received after the timeout is discarded. The next request on the client's connection must
// get its own response, not the late one.
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
			t.Errorf("unexpected response %+v", g)
		}
		time.Sleep(2 * time.Second)
		if g := bed.do("POST", "/notes/2", "k-school"); g.body != "ok" {
			t.Errorf("unexpected response %+v", g)
		}
	})
}

// A server may respond before it has read the request body.
func TestResponseBeforeEndOfRequestBody(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		bed.serveScripted(func(c net.Conn, _ *http.Request, _ int) {
			bed.respondOK(c)
			time.Sleep(10 * time.Second) // never reads the body
			mustClose(t, c)
		})
		res, err := bed.client.Do(bed.postRequest("/notes/1", strings.NewReader(strings.Repeat("x", 500_000))))
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(res.Body)
		if err := errors.Join(err, res.Body.Close()); err != nil || res.StatusCode != 200 || string(b) != "ok" {
			t.Errorf("status %d, body %q, error %v", res.StatusCode, b, err)
		}
	})
}
