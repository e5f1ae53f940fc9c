package http2

import (
	"context"
	"crypto/tls"
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
