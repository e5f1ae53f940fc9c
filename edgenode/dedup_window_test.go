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

// Guards against a second run of a keyed request: the first attempt may have run, the second is decided on within the
// window in which its servers drop repeats, and its connection comes up only after the window.
func TestKeyedRequestIsNotSentAfterDedupWindow(t *testing.T) {
	const (
		window       = 600 * time.Millisecond
		connectDelay = window
		serviceTime  = 100 * time.Millisecond
	)
	var discoveryAddress atomic.Value
	var firstAt atomic.Pointer[time.Time] // when the first attempt came
	d := dialHook{dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if firstAt.Load() != nil && discoveryAddress.Load() != addr {
			time.Sleep(connectDelay)
			ctx = context.WithoutCancel(ctx)
		}
		return network.OS{}.Dial(ctx, addr)
	}}
	var late atomic.Int64
	respond := func(int, string) (string, bool) {
		now := time.Now()
		if !firstAt.CompareAndSwap(nil, &now) && now.Sub(*firstAt.Load()) > window+socketSlack {
			late.Add(1)
		}
		time.Sleep(serviceTime)
		return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false
	}
	settings := strings.NewReplacer(`"dial_timeout_ms":250`, `"dial_timeout_ms":1500`, `"window_ms":2000`, `"window_ms":600`)
	runOnLoopback(t, settings, d, respond, func(s *testbed) {
		discoveryAddress.Store(s.cfg.Discovery)
		nc := s.dialLoopback()
		mustWrite(t, nc, s.requestText("loan-change", "loan"))
		if status, _ := readResponse(nc); status < 500 || status == 503 {
			t.Errorf("status %d for a request that may have run", status)
		}
		time.Sleep(2 * connectDelay)
		if late.Load() > 0 {
			t.Errorf("%d attempts came after the window: %q", late.Load(), s.receivedRequests())
		}
	})
}
