package edgenode

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/policy"
)

// The times of a shutdown follow from the longest deadline, and keep their order.
func TestPlanShutdown(t *testing.T) {
	for _, c := range []struct{ longest, kill time.Duration }{
		{300 * time.Millisecond, time.Second}, {2 * time.Second, 2700 * time.Millisecond},
		{3 * time.Second, 3700 * time.Millisecond}, {9 * time.Second, 3700 * time.Millisecond}, {0, 700 * time.Millisecond},
	} {
		p := planShutdown([]policy.Class{{Deadline: c.longest / 2}, {Deadline: c.longest}})
		if !(400*time.Millisecond < p.stopAccepting && p.stopAccepting <= p.finalResponses && p.finalResponses < p.cutConnections && p.cutConnections < c.kill) ||
			p.finalResponses < c.kill-400*time.Millisecond {
			t.Errorf("longest %v, SIGKILL at %v: %+v", c.longest, c.kill, p)
		}
	}
}

// dialHook is the machine's network with a hook for dials.
type dialHook struct {
	network.OS
	dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (d dialHook) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if d.dial == nil {
		return d.OS.Dial(ctx, addr)
	}
	return d.dial(ctx, addr)
}

// runOnLoopback runs an edge node on real connections, with two servers and discovery.
func runOnLoopback(t *testing.T, settings *strings.Replacer, d dialHook, box func(n int, id string) (string, bool), f func(s *testbed)) {
	t.Helper()
	s := &testbed{t: t}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.listeners = append(s.listeners, l)
		return l
	}
	list := `{"index":7,"snapshot":true,"endpoints":[`
	for i := range s.servers {
		s.servers[i] = newFakeServer(box)
		s.servers[i].resetsConnections = true
		l := listen()
		go s.servers[i].serve(l)
		list += strings.Repeat(",", i) + fmt.Sprintf(`{"name":"s-%d","address":"%s","zone":"a","group":1,"status":"ready","weight":1,"since_ms":0}`, i, l.Addr())
	}
	list += "]}"
	s.endpointList.Store(&list)
	agent := listen()
	go s.answerPolls(agent, func(string) string { return *s.endpointList.Load() })
	free := listen()
	address := free.Addr().String()
	free.Close()
	src := strings.NewReplacer("10.0.0.1:80", address, "10.0.3.1:80", agent.Addr().String(), `"peers":true`, `"peers":false`).Replace(configJSON)
	if settings != nil {
		src = settings.Replace(src)
	}
	var err error
	if s.cfg, err = Parse([]byte(src)); err != nil {
		t.Fatal(err)
	}
	if s.edge, err = Start(context.Background(), s.cfg, d, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	s.address = address
	s.waitFor("ready", func() bool { return s.edge.ready() })
	f(s)
	if !s.drained {
		s.edge.Drain(context.Background())
	}
	for _, l := range s.listeners {
		l.Close()
	}
}

// waitFor waits for what is to come in any case.
func (s *testbed) waitFor(what string, f func() bool) {
	s.t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("%s did not happen", what)
}

// dialLoopback dials the node on loopback.
func (s *testbed) dialLoopback() net.Conn {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return nc
}

// A client leaves while its attempt is in a dial that comes up later: no byte of the
// request reaches a server.
func TestClientLeavesDuringADial(t *testing.T) {
	dialing, release := make(chan struct{}, 10), make(chan struct{})
	var agent atomic.Value // discovery's address, once servers' dials are to be held
	d := dialHook{dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if a := agent.Load(); a != nil && a != addr {
			dialing <- struct{}{}
			<-release
			ctx = context.Background()
		}
		return network.OS{}.Dial(ctx, addr)
	}}
	runOnLoopback(t, strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":60000`, `"hard_limit_ms":3000`, `"hard_limit_ms":60000`), d,
		func(_ int, id string) (string, bool) { return okResponse("for " + id), false }, func(s *testbed) {
			agent.Store(s.cfg.Discovery)
			nc := s.dialLoopback()
			nc.Write([]byte(strings.Replace(s.requestText("lookup", "leaver"), "1500", "60000", 1)))
			<-dialing
			nc.Close()
			// The module hears of it, and the attempt that was out is over with it. Without,
			// it is out until the dial comes up, or its time is over.
			s.waitFor("the end of what the leaver asked for", func() bool { return s.edge.open.count() == 0 })
			close(release)
			nc = s.dialLoopback()
			nc.Write([]byte(s.requestText("lookup", "stayer")))
			if status, _ := readResponse(nc); status != 200 {
				t.Errorf("another's request: status %d", status)
			}
			if got := strings.Join(s.requestsSeen(), "|"); strings.Contains(got, "leaver") {
				t.Errorf("servers got %s", got)
			}
		})
}

// Shutdown meets requests at each point of their life, while servers hang: one that rests,
// one that waits for a server's answer beyond SIGKILL, one in a dial. Each gets a whole
// answer, and its connection a clean end, in the time that the settings leave.
func TestShutdownCrossesRequests(t *testing.T) {
	t.Parallel()
	hang := make(chan struct{})
	defer close(hang)
	runOnLoopback(t, strings.NewReplacer(`"hard_limit_ms":3000`, `"hard_limit_ms":9000`, `"hard_limit_ms":2000`, `"hard_limit_ms":9000`), dialHook{},
		func(_ int, id string) (string, bool) {
			if id == "hangs" {
				<-hang
			}
			return okResponse("for " + id), false
		}, func(s *testbed) {
			rests, hangs := s.dialLoopback(), s.dialLoopback()
			rests.Write([]byte(s.requestText("lookup", "rests")))
			if status, _ := readResponse(rests); status != 200 {
				t.Fatalf("status %d", status)
			}
			hangs.Write([]byte(strings.Replace(s.requestText("loan-change", "hangs"), "1500", "8000", 1)))
			s.waitFor("its attempt", func() bool { return strings.Contains(strings.Join(s.requestsSeen(), "|"), "hangs") })
			begun, drained := time.Now(), make(chan error, 1)
			s.drained = true
			go func() { drained <- s.edge.Drain(context.Background()) }()
			if n, err := rests.Read(make([]byte, 1)); n != 0 || err.Error() != "EOF" {
				t.Errorf("the resting connection ended with %v", err)
			}
			rests.Write([]byte(s.requestText("lookup", "crossing")))
			fresh := s.dialLoopback()
			fresh.Write([]byte(s.requestText("lookup", "fresh")))
			if status, _ := readResponse(fresh); status != 200 {
				t.Errorf("a new connection: status %d", status)
			}
			r := http1.NewReader(hangs, http1.Limits{Line: 4096, Fields: 50, Header: 8192, Body: 1 << 20})
			head, err := r.Response("POST")
			if err != nil || head.Status != 502 || head.KeepAlive() {
				t.Fatalf("what hangs: %+v, %v", head, err)
			}
			if _, err := r.Body(head.Framing, head.Length); err != nil {
				t.Error(err)
			}
			if err := r.Await(); err == nil || err.Error() != "EOF" {
				t.Errorf("its connection ended with %v", err)
			}
			hangs.Close()
			rests.Close()
			fresh.Close()
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if took := time.Since(begun); took > 3700*time.Millisecond {
				t.Errorf("it took %v; SIGKILL comes after 3.7 s", took)
			}
			if got := strings.Join(s.requestsSeen(), "|"); strings.Contains(got, "crossing") {
				t.Errorf("what came after the shutdown was sent on: %s", got)
			}
		})
}

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

// A server begins to drain while an attempt is in its dial there: the attempt goes
// elsewhere at once, and nothing is written to the first server when the dial comes up.
func TestDrainCrossesADial(t *testing.T) {
	type dial struct {
		addr    string
		release chan struct{}
	}
	dials := make(chan dial, 10)
	var agent atomic.Value
	d := dialHook{dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if a := agent.Load(); a != nil && a != addr {
			d := dial{addr, make(chan struct{})}
			dials <- d
			<-d.release
			ctx = context.Background()
		}
		return network.OS{}.Dial(ctx, addr)
	}}
	runOnLoopback(t, strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":60000`, `"hard_limit_ms":2000`, `"hard_limit_ms":60000`), d,
		func(_ int, id string) (string, bool) { return okResponse("for " + id), false }, func(s *testbed) {
			agent.Store(s.cfg.Discovery)
			nc := s.dialLoopback()
			nc.Write([]byte(strings.Replace(s.requestText("loan-change", "moved"), "1500", "20000", 1)))
			first := <-dials
			before := *s.endpointList.Load()
			parts := strings.SplitAfter(before, "}")
			for i, p := range parts {
				if strings.Contains(p, first.addr) {
					parts[i] = strings.Replace(p, `"ready"`, `"draining"`, 1)
				}
			}
			list := strings.Join(parts, "")
			s.endpointList.Store(&list)
			var second dial
			select {
			case second = <-dials:
			case <-time.After(10 * time.Second):
				t.Error("the attempt stays with a server that drains")
				close(first.release)
				return
			}
			close(first.release)
			close(second.release)
			if status, body := readResponse(nc); status != 200 || body != "for moved" || second.addr == first.addr {
				t.Errorf("%d %s, at %s after %s", status, body, second.addr, first.addr)
			}
			if got := s.requestsSeen(); len(got) != 1 {
				t.Errorf("servers got %q", got)
			}
		})
}

// How an attempt ends, against what its class's effect lets be sent again: one row each,
// the effect as the settings have it. Two of the rows prove that nothing ran; of the
// others an unsafe request is never sent again, and its client is told nothing harmless.
func TestEndsByEffect(t *testing.T) {
	const turned = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, end := range []struct {
		name, out string
		end       bool
		ran       bool // it may have
		served    bool
	}{
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
				var n atomic.Int64
				class := "loan-change"
				if semantics == "repeatable" {
					class = "lookup"
				}
				runOnLoopback(t, strings.NewReplacer(`"semantics":"by_key"`, `"semantics":"`+semantics+`"`), dialHook{},
					func(_ int, id string) (string, bool) {
						if n.Add(1) == 1 {
							return end.out, end.end
						}
						return okResponse("for " + id), false
					}, func(s *testbed) {
						nc := s.dialLoopback()
						text := s.requestText(class, "one")
						if semantics == "once" {
							text = strings.Replace(text, "Idempotency-Key: key-one\r\n", "", 1)
						}
						nc.Write([]byte(text))
						status, body := readResponse(nc)
						attempts := len(s.requestsSeen())
						switch {
						case end.ran && semantics == "once" && !end.served:
							if attempts != 1 || status == 200 || status == 429 || status == 503 {
								t.Errorf("status %d after %d attempts", status, attempts)
							}
						case status != 200 || body != "for one":
							t.Errorf("%d %q after %d attempts", status, body, attempts)
						case end.served && attempts != 1 || !end.served && attempts != 2:
							t.Errorf("%d attempts", attempts)
						}
					})
			})
		}
	}
}

// An answer without a length ends with its connection: a clean close is its end.
func TestAnswerWithoutALength(t *testing.T) {
	simulate(t, func(s *testbed) {
		for _, b := range s.servers {
			b.respond = func(_ int, id string) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\nfor " + id, true }
		}
		if status, body, _ := s.exchange(s.requestText("loan-change", "one")); status != 200 || body != "for one" || len(s.requestsSeen()) != 1 {
			t.Errorf("%d %q after %d attempts", status, body, len(s.requestsSeen()))
		}
	})
}
