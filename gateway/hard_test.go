package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/fleet"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
	"yardcleat.example/yardcleat/standin/discovery"
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

func (w *world) request(method, path, key string, body io.Reader) *http.Request {
	req, err := http.NewRequest(method, "http://10.0.0.1:80"+path, body)
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Idempotency-Key", "k")
	return req
}

// A client leaves, or its time runs out, while its request waits for the
// authoriser, in the queue, or with an attempt out. Whoever still waits has an
// answer by then; nothing is sent for those that left, and nothing stays held.
func TestDisconnectedClientsLeaveNothingBehind(t *testing.T) {
	points := map[string]func(w *world){
		"at the authoriser": func(w *world) { w.auth.Do("silent", "") },
		"attempt out":       func(w *world) { w.faults("hang", "") },
		"in the queue": func(w *world) {
			w.faults("hang", "")
			for range 12 { // both servers have all they may
				go w.do("GET", "/records/1", "k-school")
			}
			time.Sleep(5 * time.Millisecond)
		},
	}
	for name, set := range points {
		t.Run(name+", time runs out", func(t *testing.T) {
			inWorld(t, "", func(w *world) {
				set(w)
				const patience = 300 * time.Millisecond
				g := w.do("POST", "/loans/1", "k-school", "Idempotency-Key", "k", "X-Envoy-Expected-Rq-Timeout-Ms", "300")
				if g.status != 503 && g.status != 504 && g.status != 429 || g.took > patience {
					t.Errorf("%+v", g)
				}
				w.expectNothingInFlight()
			})
		})
		t.Run(name+", client leaves", func(t *testing.T) {
			inWorld(t, "", func(w *world) {
				set(w)
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				defer cancel()
				if res, err := w.client.Do(w.request("POST", "/loans/1", "k-school", nil).WithContext(ctx)); err == nil {
					t.Errorf("status %d", res.StatusCode)
				}
				left := time.Now()
				time.Sleep(20 * time.Millisecond)
				w.faults("ok", "")
				w.auth.Do("ok", "")
				time.Sleep(5 * time.Second)
				for _, s := range w.arrived() {
					if s.Class == "loan-change" && s.At.Sub(left) > 3*time.Millisecond {
						t.Errorf("sent after its client left: %+v", s)
					}
				}
				w.expectNothingInFlight()
			})
		})
	}
}

// expectNothingInFlight checks that nothing is held any more.
func (w *world) expectNothingInFlight() {
	w.t.Helper()
	time.Sleep(5 * time.Second)
	if n := w.node.node.Unanswered(); n != 0 {
		w.t.Errorf("%d requests are still open", n)
	}
}

// sendRaw sends bytes and returns what comes back until the end.
func (w *world) sendRaw(parts ...string) string {
	c, err := w.host.Dial(context.Background(), "10.0.0.1:80")
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	for i, p := range parts {
		if i > 0 {
			time.Sleep(time.Second)
		}
		if _, err := io.WriteString(c, p); err != nil {
			break
		}
	}
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	b, _ := io.ReadAll(c)
	return string(b)
}

// Slow and endless senders are cut off in time; others are served meanwhile.
func TestSlowClientsAreCutOff(t *testing.T) {
	inWorld(t, "", func(w *world) {
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
				got := w.sendRaw(parts...)
				if name != "nothing" && !strings.HasPrefix(got, "HTTP/1.1 408 ") {
					t.Errorf("%s: %q", name, got)
				}
				done <- struct{}{}
			}()
		}
		for range 10 {
			if g := w.do("GET", "/records/1", "k-school"); g.status != 200 {
				t.Errorf("%+v", g)
			}
			time.Sleep(time.Second)
		}
		for range slow {
			<-done
		}
		if n := len(w.arrived()); n != 10 {
			t.Errorf("%d attempts, want 10", n)
		}
	})
}

// Pipelined requests are answered in order; 100-continue comes before a body.
func TestPipelinedRequestsAndExpectContinue(t *testing.T) {
	inWorld(t, "", func(w *world) {
		one := "GET /records/%d HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nX-Request-Id: r%d\r\n\r\n"
		var in string
		for i := range 5 {
			in += fmt.Sprintf(one, i, i)
		}
		got := w.sendRaw(in + "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
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
		got = w.sendRaw("POST /notes/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\nExpect: 100-continue\r\n"+
			"Content-Length: 3\r\nConnection: close\r\n\r\n", "abc")
		if !strings.HasPrefix(got, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ") {
			t.Errorf("%q", got)
		}
	})
}

// A drain ends what is held, refuses what is new, and leaves nothing behind.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	inWorld(t, "", func(w *world) {
		done := make(chan got, 3)
		for range 3 {
			go func() { done <- w.do("GET", "/records/1", "k-school") }()
		}
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := w.node.Drain(ctx); err != nil {
			t.Error(err)
		}
		for range 3 {
			if g := <-done; g.status != 200 {
				t.Errorf("%+v", g)
			}
		}
		if g := w.do("GET", "/records/1", "k-school"); g.status != -1 {
			t.Errorf("after the drain: %+v", g)
		}
	})
}

// A panic in a decision fails what is held and is logged; the node goes on.
func TestPanicInADecisionIsContained(t *testing.T) {
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		n, err := node.New(node.Options{Settings: policy.Settings{Gateways: 1, Resolution: time.Millisecond,
			Plans:   []policy.Plan{{Name: "p"}},
			Classes: []policy.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}},
			Logger: slog.New(slog.NewTextHandler(&log, nil)), MaxUnanswered: 10, SendToPeer: func(int, []byte) {}, Upstream: silentUpstream{}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { n.Run(ctx); close(ended) }()
		n.UpdateEndpoints(policy.SnapshotUpdate, []node.Server{{Address: "a", Server: policy.Server{ID: 1, Weight: 1}}})
		answers := make(chan node.FinalResponse, 10)
		try := func() *node.Request {
			return &node.Request{Class: "c", Customer: "x", Plan: "p", Units: 1, GatewaySpread: 1, ClientTimeout: time.Second}
		}
		n.Submit(try(), func(a node.FinalResponse) { answers <- a })
		synctest.Wait()
		n.BreakPolicy()
		if a := <-answers; a.Kind != node.Failed || a.Reason != node.ReasonInternal {
			t.Errorf("%+v", a)
		}
		n.Submit(try(), func(a node.FinalResponse) { answers <- a })
		time.Sleep(100 * time.Millisecond)
		if n.Unanswered() != 1 {
			t.Error("the node does not go on")
		}
		cancel()
		<-ended
		if a := <-answers; a.Kind != node.Failed {
			t.Errorf("%+v", a)
		}
	})
	if !strings.Contains(log.String(), "panic in a decision") {
		t.Error("not logged")
	}
}

// silentUpstream is an upstream that takes attempts and never ends them.
type silentUpstream struct{}

func (silentUpstream) Start(node.Attempt, func(node.Result)) node.OutgoingAttempt {
	return silentUpstream{}
}
func (silentUpstream) Cancel()        {}
func (silentUpstream) Withdraw() bool { return false }

// A node restarted with its last list, which is stale: three servers in it are
// gone, one is draining. What it can't know costs attempts; each request has its
// answer, and what discovery tells counts at once.
func TestRestartWithAStaleEndpointCache(t *testing.T) {
	dir := t.TempDir()
	extra := `node { state_dir = "` + dir + `" }`
	var list []node.Server
	for _, a := range []string{"10.0.1.1:80", "10.0.1.2:80", "10.0.1.7:80", "10.0.1.8:80", "10.0.1.9:80"} {
		list = append(list, node.Server{Address: a, Server: policy.Server{ID: fleet.ID(a), Weight: 1}})
	}
	if err := fleet.SaveCache(filepath.Join(dir, "servers"), list); err != nil {
		t.Fatal(err)
	}
	inWorld(t, extra, func(w *world) {
		served := 0
		for i := range 8 { // discovery is not there yet
			switch g := w.do("GET", fmt.Sprint("/records/", i), "k-school"); {
			case g.status == 200:
				served++
			case g.header.Get("X-Yardcleat-Reason") != "server-gone": // three attempts, three gone
				t.Errorf("%+v", g)
			}
		}
		if served < 5 {
			t.Errorf("%d of 8 served", served)
		}
		d := discovery.New("c", 0, nil)
		go d.Serve(w.listen("10.0.3.1:80"))
		d.Set([]discovery.Endpoint{{Name: "s1", Address: "10.0.1.1:80", Draining: true}, {Name: "s2", Address: "10.0.1.2:80", Cell: 1}})
		time.Sleep(3 * time.Second) // the stream is opened again
		told := time.Now()
		for i := range 10 {
			if g := w.do("GET", fmt.Sprint("/records/", i), "k-school"); g.status != 200 {
				t.Errorf("%+v", g)
			}
		}
		for _, s := range w.arrived() {
			if s.Server == "s1" && s.At.After(told) {
				t.Errorf("sent to the draining server: %+v", s)
			}
		}
		d.Kill()
	})
	// A torn file is left aside.
	path := filepath.Join(t.TempDir(), "servers")
	if err := fleet.SaveCache(path, []node.Server{{Address: "10.0.1.9:80", Server: policy.Server{ID: 1, Weight: 1}}}); err != nil {
		t.Fatal(err)
	}
	whole, _ := os.ReadFile(path)
	for i := range whole {
		os.WriteFile(path, whole[:i], 0o600)
		if list, err := fleet.LoadCache(path); err == nil || list != nil {
			t.Fatalf("cut at %d: %v, %v", i, list, err)
		}
		flipped := bytes.Clone(whole)
		flipped[i] ^= 1
		os.WriteFile(path, flipped, 0o600)
		if list, err := fleet.LoadCache(path); err == nil && (len(list) != 1 || list[0].Address != "10.0.1.9:80") {
			t.Fatalf("flipped at %d: %v", i, list)
		}
	}
}

// Smuggled requests: raw bytes in, what the client is told and what reaches a
// server out. Behind each stands a request that a laxer parser would see.
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
			inWorld(t, "", func(w *world) {
				got := w.sendRaw(in)
				if !strings.HasPrefix(got, "HTTP/1.1 400 ") || strings.Count(got, "HTTP/1.1 ") != 1 || !strings.Contains(got, "Connection: close\r\n") {
					t.Errorf("%q", got)
				}
				if n := len(w.arrived()); n != 0 {
					t.Errorf("%d attempts reached a server", n)
				}
			})
		})
	}
	// A body is a body: what stands in it reaches the server as such.
	inWorld(t, "", func(w *world) {
		got := w.sendRaw(head + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden)
		if !strings.HasPrefix(got, "HTTP/1.1 200 ") || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%q", got)
		}
		if n := len(w.arrived()); n != 1 {
			t.Errorf("%d attempts, want 1", n)
		}
	})
}
