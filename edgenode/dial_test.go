package edgenode

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/network"
)

// A client leaves while its attempt is in a dial that comes up later: no byte of the
// request reaches a server.
func TestClientDisconnectsDuringDial(t *testing.T) {
	dialing, release := make(chan struct{}, 10), make(chan struct{})
	var agent atomic.Value // discovery's address, once servers' dials are to be held
	d := dialHook{dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if a := agent.Load(); a != nil && a != addr {
			dialing <- struct{}{}
			<-release
			ctx = context.WithoutCancel(ctx)
		}
		return network.OS{}.Dial(ctx, addr)
	}}
	runOnLoopback(t, strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":60000`, `"hard_limit_ms":3000`, `"hard_limit_ms":60000`), d,
		answerByID, func(s *testbed) {
			agent.Store(s.cfg.Discovery)
			nc := s.dialLoopback()
			mustWrite(t, nc, strings.Replace(s.requestText("lookup", "leaver"), "1500", "60000", 1))
			<-dialing
			mustClose(t, nc)
			// The module hears of it, and the attempt that was out is over with it. Without,
			// it is out until the dial comes up, or its time is over.
			s.waitFor("the end of what the leaver asked for", func() bool { return s.edge.open.count() == 0 })
			close(release)
			nc = s.dialLoopback()
			mustWrite(t, nc, s.requestText("lookup", "stayer"))
			if status, _ := readResponse(nc); status != 200 {
				t.Errorf("another's request: status %d", status)
			}
			if got := strings.Join(s.requestsSeen(), "|"); strings.Contains(got, "leaver") {
				t.Errorf("servers got %s", got)
			}
		})
}

// A server begins to drain while an attempt is in its dial there: the attempt goes
// elsewhere at once, and nothing is written to the first server when the dial comes up.
func TestServerDrainsDuringDial(t *testing.T) {
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
			ctx = context.WithoutCancel(ctx)
		}
		return network.OS{}.Dial(ctx, addr)
	}}
	runOnLoopback(t, strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":60000`, `"hard_limit_ms":2000`, `"hard_limit_ms":60000`), d,
		answerByID, func(s *testbed) {
			agent.Store(s.cfg.Discovery)
			nc := s.dialLoopback()
			mustWrite(t, nc, strings.Replace(s.requestText("loan-change", "moved"), "1500", "20000", 1))
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
