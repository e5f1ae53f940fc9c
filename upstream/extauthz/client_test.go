package extauthz

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"google.golang.org/grpc"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/node"
)

const serviceAddress = "10.0.2.1:80"

// slowAuthorizer responds to every check after a delay.
type slowAuthorizer struct {
	authv3.UnimplementedAuthorizationServer
	delay time.Duration
}

func (s *slowAuthorizer) Check(ctx context.Context, _ *authv3.CheckRequest) (*authv3.CheckResponse, error) {
	select {
	case <-time.After(s.delay):
		return &authv3.CheckResponse{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newTestClient returns a client of a service that responds to each check after a delay. Both are
// closed at the end of the test, which must run in a synctest bubble.
func newTestClient(t *testing.T, delay time.Duration) *Client {
	t.Helper()
	memory := network.NewMemory(time.Millisecond, 1)
	listener, err := memory.Host("service").Listen(serviceAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	authv3.RegisterAuthorizationServer(server, &slowAuthorizer{delay: delay})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	c, err := Dial(memory.Host("gateway"), []string{serviceAddress}, RequestRules{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil && !errors.Is(err, grpc.ErrClientConnClosing) { //nolint:staticcheck // deprecated, but the only error that gRPC has for closing twice
			t.Error(err)
		}
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // until the timers of closed connections have expired
	})
	return c
}

func startCheck(c *Client, timeout time.Duration) (results chan node.AuthorizationResult, cancel func()) {
	results = make(chan node.AuthorizationResult, 2)
	cancel = c.Check(0, testRequest(), timeout, func(r node.AuthorizationResult) { results <- r })
	return results, cancel
}

func TestCheckReportsTheResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, 10*time.Millisecond)
		results, _ := startCheck(c, time.Second)
		if r := <-results; r.Outcome != authz.Allowed {
			t.Errorf("%+v", r)
		}
	})
}

func TestCheckTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, time.Second)
		startedAt := time.Now()
		results, _ := startCheck(c, 100*time.Millisecond)
		if r := <-results; r.Outcome != authz.TimedOut {
			t.Errorf("%+v", r)
		}
		if took := time.Since(startedAt); took > 110*time.Millisecond {
			t.Errorf("timed out after %v", took)
		}
	})
}

func TestCanceledCheckReportsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, 100*time.Millisecond)
		results, cancel := startCheck(c, time.Second)
		time.Sleep(50 * time.Millisecond)
		cancel()
		time.Sleep(2 * time.Second)
		if len(results) != 0 {
			t.Errorf("%+v after cancel", <-results)
		}
	})
}

func TestCloseFailsChecksInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, time.Second)
		results, _ := startCheck(c, 10*time.Second)
		time.Sleep(50 * time.Millisecond)
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
		if r := <-results; r.Outcome != authz.Unreachable {
			t.Errorf("%+v", r)
		}
	})
}

func TestDialReportsTheAddress(t *testing.T) {
	_, err := Dial(network.NewMemory(0, 1).Host("gateway"), []string{serviceAddress, "%zz"}, RequestRules{})
	var addressError *AddressError
	if !errors.As(err, &addressError) || addressError.Address != "%zz" {
		t.Errorf("error %v", err)
	}
}
