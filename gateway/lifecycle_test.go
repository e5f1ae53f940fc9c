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

// A drain ends what is held, refuses what is new, and leaves nothing behind.
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
				t.Errorf("%+v", g)
			}
		}
		if g := bed.do("GET", "/records/1", "k-school"); g.status != -1 {
			t.Errorf("after the drain: %+v", g)
		}
	})
}

// A panic in a decision fails what is held and is logged; the node goes on.
func TestPanicInADecisionIsContained(t *testing.T) {
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		n, err := node.New(node.Options{Settings: policy.Settings{Gateways: 1, Resolution: time.Millisecond,
			Plans:   []policy.Plan{{Name: "p"}},
			Classes: []policy.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}},
			Logger: slog.New(slog.NewTextHandler(&log, nil)), MaxUnanswered: 10, SendToPeer: func(int, []byte) {}, Upstream: silentUpstream{}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { n.Run(ctx); close(ended) }()
		n.UpdateEndpoints(policy.SnapshotUpdate, []node.Endpoint{{Address: "a", Server: policy.Server{ID: 1, Weight: 1}}})
		answers := make(chan node.FinalResponse, 10)
		try := func() *node.Request {
			return &node.Request{Class: "c", Customer: "x", Plan: "p", Units: 1, GatewaySpread: 1, ClientTimeout: time.Second}
		}
		n.Submit(try(), func(a node.FinalResponse) { answers <- a })
		synctest.Wait()
		n.InjectPolicyPanic()
		if a := <-answers; a.Kind != node.Failed || a.Reason != node.ReasonInternal {
			t.Errorf("%+v", a)
		}
		n.Submit(try(), func(a node.FinalResponse) { answers <- a })
		time.Sleep(100 * time.Millisecond)
		if n.Unanswered() != 1 {
			t.Error("the node does not go on")
		}
		cancel()
		<-ended
		if a := <-answers; a.Kind != node.Failed {
			t.Errorf("%+v", a)
		}
	})
	if !strings.Contains(log.String(), "policy panicked; failing all requests and restarting policy") {
		t.Error("not logged")
	}
}

// silentUpstream is an upstream that takes attempts and never ends them.
type silentUpstream struct{}

func (silentUpstream) Start(node.Attempt, func(node.Result)) node.OutgoingAttempt {
	return silentUpstream{}
}

func (silentUpstream) Cancel() {}

func (silentUpstream) Withdraw() bool { return false }
