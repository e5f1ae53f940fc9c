package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// failingNetwork is a network whose dials fail with an error until a time.
type failingNetwork struct {
	network.Network
	err   error
	until time.Time
}

func (n failingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if time.Now().Before(n.until) {
		return nil, &net.OpError{Op: "dial", Err: n.err}
	}
	return n.Network.Dial(ctx, address)
}

// Guards against attempts that fail, and servers that are blamed, because this host lacks a descriptor, a port or memory for
// a moment.
func TestDialsOutliveAMomentWithoutDescriptors(t *testing.T) {
	const connectTimeout = 250 * time.Millisecond
	for _, c := range []struct {
		err     error
		failing time.Duration
		code    policy.ResultCode
	}{
		{syscall.EMFILE, 100 * time.Millisecond, policy.OK},
		{syscall.EADDRNOTAVAIL, 100 * time.Millisecond, policy.OK},
		{syscall.ENETUNREACH, 100 * time.Millisecond, policy.OK},
		{syscall.ENFILE, time.Second, policy.NoConnection},
		{syscall.ENOBUFS, time.Second, policy.NoConnection},
		{syscall.ENETUNREACH, time.Second, policy.ConnectFailed},
		{syscall.ECONNREFUSED, time.Millisecond, policy.ConnectFailed},
	} {
		for _, isHTTP2 := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				m := network.NewMemory(time.Millisecond, 1)
				l, err := m.Host("server").Listen("10.0.0.2:80")
				if err != nil {
					t.Fatal(err)
				}
				go respondToAll(l)
				begun := time.Now()
				p := New(Options{Network: failingNetwork{m.Host("node"), c.err, begun.Add(c.failing)}, ConnectTimeout: connectTimeout,
					MaxIdlePerServer: 4, HTTP2: isHTTP2, Limits: testLimits})
				ended := make(chan node.Result, 1)
				p.Start(node.Attempt{Address: "10.0.0.2:80", Timeout: 2 * time.Second, DecidedAt: begun, Request: call("/r")}, func(r node.Result) { ended <- r })
				want := c.code
				if isHTTP2 && want == policy.OK {
					want = policy.Reset // the server below speaks HTTP/1.1: the connection was made
				}
				if r := <-ended; r.Code != want {
					t.Errorf("%v for %v, HTTP/2 %v: %v (%s), want %v", c.err, c.failing, isHTTP2, r.Code, r.Detail, want)
				}
				if took := time.Since(begun); took > connectTimeout+50*time.Millisecond {
					t.Errorf("%v for %v, HTTP/2 %v: ended after %v", c.err, c.failing, isHTTP2, took)
				}
				p.Close()
				if err := l.Close(); err != nil {
					t.Error(err)
				}
				time.Sleep(time.Second)
			})
		}
	}
}

// respondToAll responds to one request on each connection.
func respondToAll(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = nc.Read(make([]byte, 1000))
			_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			_ = nc.Close()
		}()
	}
}
