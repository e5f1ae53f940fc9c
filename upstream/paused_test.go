package upstream

import (
	"io"

	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// An attempt that was decided before a gap is not written after it, on a kept
// connection or a new one, by either protocol: nothing of it reaches the server.
func TestDecidedBeforeAGap(t *testing.T) {
	for _, protocol2 := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := network.NewMemory(time.Millisecond, 1)
			l, err := m.Host("server").Listen("10.0.0.2:80")
			if err != nil {
				t.Fatal(err)
			}
			got := make(chan string, 10)
			go func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						b, _ := io.ReadAll(nc)
						got <- string(b)
					}()
				}
			}()
			stood := false
			p := New(Options{Network: m.Host("node"), ConnectTime: time.Second, Idle: 4, HTTP2: protocol2,
				Limits:      http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 1000, MaxBodyBytes: 1000},
				PausedSince: func(time.Time) bool { return stood }})
			stood = true
			ended := make(chan node.Result, 1)
			p.Start(node.Attempt{Address: "10.0.0.2:80", Timeout: time.Second, DecidedAt: time.Now(),
				Request: &node.Request{HTTP: node.HTTPRequest{Method: "POST", Target: "/secret", Host: "h"}}}, func(r node.Result) { ended <- r })
			if r := <-ended; r.Code != policy.TooLate || !r.Code.NeverRan() {
				t.Errorf("ended with %v: %s", r.Code, r.Detail)
			}
			time.Sleep(time.Second)
			p.Close()
			l.Close()
			time.Sleep(time.Second)
			for wait := true; wait; {
				select {
				case b := <-got:
					if len(b) > 0 && !protocol2 {
						t.Errorf("the server got %q", b)
					}
				default:
					wait = false
				}
			}
		})
	}
}
