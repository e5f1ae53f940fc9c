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

// A client disconnects while its attempt waits for a dial. When the dial succeeds later, no byte
// of the request may be sent to the server.
func TestClientDisconnectsDuringDial(t *testing.T) {
	dialing, release := make(chan struct{}, 10), make(chan struct{})
	var discoveryAddress atomic.Value // set when dials to servers are to be held, so that those to discovery are not
	d := dialHook{dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if a := discoveryAddress.Load(); a != nil && a != addr {
			dialing <- struct{}{}
			<-release
			ctx = context.WithoutCancel(ctx)
		}
		return network.OS{}.Dial(ctx, addr)
	}}
	runOnLoopback(t, strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":60000`, `"hard_limit_ms":3000`, `"hard_limit_ms":60000`), d,
		answerByID, func(s *testbed) {
			discoveryAddress.Store(s.cfg.Discovery)
			nc := s.dialLoopback()
			mustWrite(t, nc, strings.Replace(s.requestText("lookup", "abandoned"), "1500", "60000", 1))
			<-dialing
			mustClose(t, nc)
			// The disconnect must end the request and its attempt. Otherwise they would last
			// until the dial succeeds or the attempt times out.
			s.waitFor("the end of the abandoned request", func() bool { return s.edge.open.count() == 0 })
			close(release)
			nc = s.dialLoopback()
			mustWrite(t, nc, s.requestText("lookup", "other"))
			if status, _ := readResponse(nc); status != 200 {
				t.Errorf("request of another client: status %d", status)
			}
			if got := strings.Join(s.receivedRequests(), "|"); strings.Contains(got, "abandoned") {
				t.Errorf("servers got %s", got)
			}
		})
}

// A server starts to drain while an attempt waits for a dial to it. The request must be sent to
// another server at once, and nothing may be sent to the first server when its dial succeeds.
func TestServerDrainsDuringDial(t *testing.T) {
	type dial struct {
		addr    string
		release chan struct{}
	}
	dials := make(chan dial, 10)
	var discoveryAddress atomic.Value
	d := dialHook{dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if a := discoveryAddress.Load(); a != nil && a != addr {
			d := dial{addr, make(chan struct{})}
			dials <- d
			<-d.release
			ctx = context.WithoutCancel(ctx)
		}
		return network.OS{}.Dial(ctx, addr)
	}}
	runOnLoopback(t, strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":60000`, `"hard_limit_ms":2000`, `"hard_limit_ms":60000`), d,
		answerByID, func(s *testbed) {
			discoveryAddress.Store(s.cfg.Discovery)
			nc := s.dialLoopback()
			mustWrite(t, nc, strings.Replace(s.requestText("loan-change", "retried"), "1500", "20000", 1))
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
				t.Error("the attempt was not moved away from the draining server")
				close(first.release)
				return
			}
			close(first.release)
			close(second.release)
			if status, body := readResponse(nc); status != 200 || body != "for retried" || second.addr == first.addr {
				t.Errorf("status %d, body %s; dialed %s after %s", status, body, second.addr, first.addr)
			}
			if got := s.receivedRequests(); len(got) != 1 {
				t.Errorf("servers got %q", got)
			}
		})
}
