package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// The detail that the log shows of an attempt names the status of each response that is not served, and of no other,
// over HTTP/1.1 and HTTP/2 alike.
func TestDetailNamesTheStatusOfFailedAttempts(t *testing.T) {
	for _, c := range []struct {
		status int
		code   policy.ResultCode
		detail string
	}{{200, policy.OK, ""}, {404, policy.OK, ""}, {429, policy.Rejected, "status 429"}, {500, policy.Error, "status 500"}} {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(c.status)
		})
		for _, overHTTP2 := range []bool{false, true} {
			if got := attemptAt(t, handler, overHTTP2); got.Code != c.code || got.Detail != c.detail {
				t.Errorf("status %d, HTTP/2 %v: code %v, detail %q; want %v, %q", c.status, overHTTP2, got.Code, got.Detail, c.code, c.detail)
			}
		}
	}
}

// attemptAt makes an attempt at a server with the given handler.
func attemptAt(t *testing.T, handler http.Handler, overHTTP2 bool) node.Result {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if overHTTP2 {
			(&http2.Server{}).ServeConn(conn, &http2.ServeConnOpts{Handler: handler})
			return
		}
		_ = http.Serve(&singleConnListener{Listener: l, conn: conn}, handler) // ends when the listener is closed
	}()
	pool := New(Options{Network: network.OS{}, Limits: http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 20, MaxHeaderBytes: 4000, MaxBodyBytes: 1000},
		ConnectTimeout: 5 * time.Second, HTTP2: overHTTP2, RejectionSignal: RejectionSignal{Status: 429, Header: "X-Not-Run"}})
	results := make(chan node.Result, 1)
	pool.Start(node.Attempt{Address: l.Addr().String(), Timeout: 5 * time.Second,
		Request: &node.Request{HTTP: node.HTTPRequest{Method: "GET", Target: "/", Host: "h"}}}, func(r node.Result) { results <- r })
	result := <-results
	pool.Close()
	_ = l.Close()
	<-served
	return result
}

// singleConnListener returns one connection, then those of a listener.
type singleConnListener struct {
	net.Listener
	conn net.Conn
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	return l.Listener.Accept()
}
