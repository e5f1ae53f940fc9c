package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// serveScripted puts a scripted server in the place of both catalogue servers. handle
// gets each request's connection and its number, counted over both, from 1; the
// request was read whole but for its body.
func (w *world) serveScripted(handle func(c net.Conn, r *http.Request, n int)) (requests *atomic.Int32) {
	requests = &atomic.Int32{}
	w.serveScriptedConnections(func(c net.Conn) {
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

func writeOK(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }

// How a server ends an attempt decides, with the class, whether it goes again.
func TestAttemptOutcomeDecidesOnRetry(t *testing.T) {
	ends := map[string]func(c net.Conn, r *http.Request){
		"reset":       func(c net.Conn, _ *http.Request) { c.(interface{ Reset() }).Reset() },
		"closed":      func(c net.Conn, _ *http.Request) { c.Close() },
		"half-closed": func(c net.Conn, _ *http.Request) { c.(interface{ CloseWrite() error }).CloseWrite() },
		"cut in the body": func(c net.Conn, _ *http.Request) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
			c.Close()
		},
		"cut in the head":  func(c net.Conn, _ *http.Request) { io.WriteString(c, "HTTP/1.1 200 OK\r\nConte"); c.Close() },
		"not HTTP":         func(c net.Conn, _ *http.Request) { io.WriteString(c, "hello\r\n"); c.Close() },
		"status 500":       func(c net.Conn, _ *http.Request) { io.WriteString(c, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n") },
		"plain status 503": func(c net.Conn, _ *http.Request) { io.WriteString(c, "HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n") },
	}
	for name, end := range ends {
		for _, c := range []struct {
			method, path string
			again        bool // may be sent again to the other server, of another cell
		}{{"GET", "/records/1", true}, {"POST", "/loans/1", false}, {"POST", "/notes/1", false}} {
			t.Run(name+" "+c.path, func(t *testing.T) {
				inWorld(t, "", func(w *world) {
					n := w.serveScripted(func(c net.Conn, r *http.Request, n int) {
						if n == 1 {
							end(c, r)
							return
						}
						writeOK(c)
					})
					g := w.do(c.method, c.path, "k-school", "Idempotency-Key", "k")
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

// What proves that nothing ran lets any class go again.
func TestUnexecutedAttemptsAreRetried(t *testing.T) {
	for _, path := range []string{"/loans/1", "/notes/1"} {
		t.Run("turned away "+path, func(t *testing.T) {
			inWorld(t, "", func(w *world) {
				n := w.serveScripted(func(c net.Conn, r *http.Request, n int) {
					if n == 1 {
						io.WriteString(c, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
						return
					}
					writeOK(c)
				})
				if g := w.do("POST", path, "k-school", "Idempotency-Key", "k"); g.status != 200 || n.Load() != 2 {
					t.Errorf("status %d after %d attempts", g.status, n.Load())
				}
			})
		})
		t.Run("not connected "+path, func(t *testing.T) {
			inWorld(t, "", func(w *world) {
				w.servers[0].Kill()
				for i := range 6 {
					if g := w.do("POST", path, "k-school", "Idempotency-Key", fmt.Sprint(i)); g.status != 200 {
						t.Errorf("%+v", g)
					}
				}
			})
		})
	}
}

// A server closes a kept connection just as a request goes out on it: with
// bytes sent it may have run, and is not sent again. Closed before a byte was
// sent, the same attempt goes on a new connection.
func TestServerClosesIdleConnectionAsARequestIsSent(t *testing.T) {
	inWorld(t, "", func(w *world) {
		n := w.serveScripted(func(c net.Conn, r *http.Request, n int) {
			switch n {
			case 1, 2:
				writeOK(c)
			case 3:
				c.Close() // the request was on its way
			default:
				writeOK(c)
			}
		})
		for i := range 2 {
			if g := w.do("POST", "/notes/1", "k-school"); g.status != 200 {
				t.Fatalf("%d: %+v", i, g)
			}
		}
		if g := w.do("POST", "/notes/1", "k-school"); g.status != 502 || g.header.Get("X-Yardcleat-Reason") != "server-gone" {
			t.Errorf("%+v", g)
		}
		if n.Load() != 3 {
			t.Errorf("%d attempts, want 3", n.Load())
		}
	})
	inWorld(t, "", func(w *world) {
		n := w.serveScripted(func(c net.Conn, r *http.Request, n int) {
			writeOK(c)
			c.Close() // idle connections don't last
		})
		for i := range 6 {
			if g := w.do("POST", "/notes/1", "k-school"); g.status != 200 {
				t.Fatalf("%d: %+v", i, g)
			}
		}
		if n.Load() != 6 {
			t.Errorf("%d attempts, want 6", n.Load())
		}
	})
}

// An answer that comes after the time-out is nobody's: the next request on the
// client's connection gets its own.
func TestLateResponseIsDiscarded(t *testing.T) {
	inWorld(t, "", func(w *world) {
		w.serveScripted(func(c net.Conn, r *http.Request, n int) {
			if n == 1 {
				time.Sleep(time.Second)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
				return
			}
			writeOK(c)
		})
		g := w.do("POST", "/notes/1", "k-school", "X-Envoy-Expected-Rq-Timeout-Ms", "300")
		if g.status != 504 || g.header.Get("X-Yardcleat-Reason") != "server-late" || g.took > 300*time.Millisecond {
			t.Errorf("%+v", g)
		}
		time.Sleep(2 * time.Second)
		if g := w.do("POST", "/notes/2", "k-school"); g.body != "ok" {
			t.Errorf("%+v", g)
		}
	})
}

// A server may answer before it has read the body.
func TestResponseBeforeTheWholeBody(t *testing.T) {
	inWorld(t, "", func(w *world) {
		w.serveScripted(func(c net.Conn, r *http.Request, n int) {
			writeOK(c)
			time.Sleep(10 * time.Second) // and never reads it
			c.Close()
		})
		res, err := w.client.Do(w.request("POST", "/notes/1", "k-school", strings.NewReader(strings.Repeat("x", 500_000))))
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if b, _ := io.ReadAll(res.Body); res.StatusCode != 200 || string(b) != "ok" {
			t.Errorf("status %d, %q", res.StatusCode, b)
		}
	})
}
