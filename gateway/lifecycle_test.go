package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy"
)

// A drain finishes the requests in flight and accepts no new ones.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	runInTestBed(t, "", func(bed *testBed) {
		done := make(chan response, 3)
		for range 3 {
			go func() { done <- bed.do("GET", "/records/1", "k-school") }()
		}
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := bed.gateway.Drain(ctx); err != nil {
			t.Error(err)
		}
		for range 3 {
			if g := <-done; g.status != 200 {
				t.Errorf("unexpected response %+v", g)
			}
		}
		if g := bed.do("GET", "/records/1", "k-school"); g.status != -1 {
			t.Errorf("after the drain: %+v", g)
		}
	})
}

// A panic in a policy decision fails all open requests and is logged; the node then continues to accept
// requests.
func TestPanicInADecisionIsContained(t *testing.T) {
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		n, err := node.New(node.Options{Settings: policy.Settings{Gateways: 1, Resolution: time.Millisecond,
			Plans:   []policy.Plan{{Name: "p"}},
			Classes: []policy.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}},
			Log: slog.New(slog.NewTextHandler(&log, nil)), MaxUnanswered: 10, SendToPeer: func(int, []byte) {}, Upstream: silentUpstream{}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { n.Run(ctx); close(ended) }()
		n.UpdateEndpoints(policy.SnapshotUpdate, []node.Endpoint{{Address: "a", Server: policy.Server{ID: 1, Weight: 1}}})
		responses := make(chan node.FinalResponse, 10)
		newRequest := func() *node.Request {
			return &node.Request{Class: "c", Customer: "x", Plan: "p", Units: 1, GatewaySpread: 1, ClientTimeout: time.Second}
		}
		n.Submit(newRequest(), func(response node.FinalResponse) { responses <- response })
		synctest.Wait()
		n.InjectPolicyPanic()
		if response := <-responses; response.Kind != node.Failed || response.Reason != node.ReasonInternal {
			t.Errorf("unexpected response %+v", response)
		}
		n.Submit(newRequest(), func(response node.FinalResponse) { responses <- response })
		time.Sleep(100 * time.Millisecond)
		if n.Unanswered() != 1 {
			t.Error("the node does not accept requests after the panic")
		}
		cancel()
		<-ended
		if response := <-responses; response.Kind != node.Failed {
			t.Errorf("unexpected response %+v", response)
		}
	})
	if !strings.Contains(log.String(), "policy panicked; failing all requests and restarting policy") {
		t.Error("the panic was not logged")
	}
}

// silentUpstream is an upstream that accepts attempts and never returns a result.
type silentUpstream struct{}

func (silentUpstream) Start(node.Attempt, func(node.Result)) node.OutgoingAttempt {
	return silentUpstream{}
}

func (silentUpstream) Cancel() {}

func (silentUpstream) Withdraw() bool { return false }
