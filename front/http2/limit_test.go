package http2

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/policy/connections"
)

// Guards against requests that get no response because clients that rest hold all connections: each takes the place of
// the one that rests longest, which is told by GOAWAY.
func TestRequestsOnConnectionsBeyondTheLimitAreServed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options := testOptions(t)
	options.Connections = connlimit.New(connections.Limits{MaxOpen: 2, MaxActive: 1, MinIdleTime: time.Minute}, options.Log)
	s := New(options)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	for i := range 6 {
		transport := &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}}
		client := http.Client{Transport: transport, Timeout: 10 * time.Second}
		response, err := client.Get("http://" + l.Addr().String() + "/")
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		_ = response.Body.Close()
		defer transport.CloseIdleConnections()
	}
	if err := s.StopServing(context.Background(), l); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.Drain(ctx)
}

// Guards against a first request that gets neither a response nor a GOAWAY, because its connection was ended before it had
// come: for another connection, or as its time was over.
func TestFirstRequestThatCrossesTheEndIsToldByGoAway(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *testServer){
		"for another": func(t *testing.T, s *testServer) {
			t.Helper()
			other, server := net.Pipe()
			c := s.newConn(server)
			c.entry = s.connections.Accept(c)
			t.Cleanup(func() { _, _ = other.Close(), server.Close() })
		},
		"timeout": func(t *testing.T, _ *testServer) { t.Helper() },
	} {
		t.Run(name, func(t *testing.T) {
			s := startTestServer(t, func(o *Options) {
				o.Connections = connlimit.New(connections.Limits{MaxOpen: 2, MaxActive: 1, MinIdleTime: time.Nanosecond}, o.Log)
				if name == "timeout" {
					o.HeaderTimeout = 20 * time.Millisecond
				}
			})
			end(t, s)
			var goAway *http2.GoAwayFrame
			var err error
			for err == nil {
				var f http2.Frame
				if f, err = s.framer.ReadFrame(); err == nil && f.Header().Type == http2.FrameGoAway {
					goAway = f.(*http2.GoAwayFrame)
					s.send([]byte(http2.ClientPreface))
					s.send(requestFrames(1, false))
				}
			}
			if goAway == nil || goAway.ErrCode != http2.ErrCodeNo || goAway.LastStreamID != 0 || err != io.EOF {
				t.Errorf("GOAWAY %+v; the connection ended with %v", goAway, err)
			}
		})
	}
}
