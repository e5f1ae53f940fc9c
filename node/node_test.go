package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// usageRecorder counts the requests that were submitted to the policy.
type usageRecorder struct{ seen int }

func (u *usageRecorder) RequestSeen(*Request) { u.seen++ }

func (*usageRecorder) RequestForwarded(*Request) {}

// newNode returns the node of a fleet of one, without servers. Its loop does not run.
func newNode(t *testing.T, usage UsageRecorder) *Node {
	t.Helper()
	n, err := New(Options{
		Settings: policy.Settings{
			Gateways:   1,
			Resolution: time.Millisecond,
			Plans:      []policy.Plan{{Name: "basic"}},
			Classes:    []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: time.Second}},
		},
		Log:           slog.New(slog.DiscardHandler),
		MaxUnanswered: 10,
		UsageRecorder: usage,
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func newRequest() *Request {
	return &Request{Class: "read", Customer: "customer", Plan: "basic", Units: 1, GatewaySpread: 1, ClientTimeout: time.Second}
}

func TestEventOrderAfterPause(t *testing.T) {
	events := []event{
		requestSubmitted{}, functionCall{}, requestsAborted{}, checkFinished{}, attemptFinished{},
		proxiedAttemptFinished{}, clientDisconnected{}, peerMessageReceived{}, endpointsUpdated{},
	}
	beforeTimers := pause.SortBacklog(events, event.pauseKind)
	var order []string
	for _, e := range events {
		order = append(order, fmt.Sprintf("%T", e))
	}
	want := []string{
		"node.endpointsUpdated", "node.peerMessageReceived", "node.clientDisconnected",
		"node.checkFinished", "node.attemptFinished", "node.proxiedAttemptFinished",
		"node.functionCall", "node.requestsAborted", "node.requestSubmitted",
	}
	if !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
	if beforeTimers != 6 {
		t.Errorf("%d events before the timers, want 6", beforeTimers)
	}
}

func TestDisconnectDuringPauseIsHandledBeforeRequest(t *testing.T) {
	usage := &usageRecorder{}
	n := newNode(t, usage)
	var responses []FinalResponse
	n.refreshTime()
	n.barrier.Raise(n.now)
	disconnected := n.Submit(newRequest(), func(r FinalResponse) { responses = append(responses, r) })
	disconnected()
	n.handleEvents(n.takeQueue(nil))
	if len(responses) != 0 || len(n.deferred) != 2 {
		t.Fatalf("behind the barrier: %d responses, %d events deferred", len(responses), len(n.deferred))
	}
	n.barrier = pause.NewBarrier(pause.DefaultSettings())
	n.handleDeferred()
	if len(responses) != 1 || responses[0].Kind != Failed || responses[0].Reason != ReasonClientDisconnected {
		t.Errorf("responses %+v", responses)
	}
	if usage.seen != 0 {
		t.Error("a request whose client had disconnected was submitted to the policy")
	}
}

func TestExpiredTimersFireBeforeFunctionCalls(t *testing.T) {
	n := newNode(t, nil)
	n.refreshTime()
	var order []string
	n.timerWheel.Add(n.now, func() { order = append(order, "timer") })
	n.deferred = []event{functionCall{func() { order = append(order, "call") }}}
	n.now += 10 * time.Millisecond
	n.handleDeferred()
	if !slices.Equal(order, []string{"timer", "call"}) {
		t.Errorf("order %v", order)
	}
}

func TestDrainReturnsUnansweredError(t *testing.T) {
	n := newNode(t, nil)
	n.Submit(newRequest(), func(FinalResponse) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := n.Drain(ctx)
	var unanswered *UnansweredError
	if !errors.As(err, &unanswered) || unanswered.Requests != 1 {
		t.Fatalf("%#v is not an UnansweredError of one request", err)
	}
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v does not wrap the error of the context", err)
	}
	if got, want := err.Error(), "1 requests not answered: context canceled"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	var rejected FinalResponse
	n.Submit(newRequest(), func(r FinalResponse) { rejected = r })
	if rejected.Kind != Rejected || rejected.Reason != ReasonDraining {
		t.Errorf("after Drain: %+v", rejected)
	}
}

// withdrawableUpstream is an upstream whose attempts are never written.
type withdrawableUpstream struct{}

func (withdrawableUpstream) Start(Attempt, func(Result)) OutgoingAttempt {
	return withdrawableUpstream{}
}

func (withdrawableUpstream) Cancel() {}

func (withdrawableUpstream) Withdraw() bool { return true }

// If a server begins to drain before the request of an attempt is written, the attempt ends as Withdrawn, a result
// that the policy does not count as a failure of the server.
func TestAttemptAtADrainingServerIsWithdrawn(t *testing.T) {
	n := newNode(t, nil)
	n.options.Upstream = withdrawableUpstream{}
	server := Endpoint{Address: "a", Server: policy.Server{ID: 1, Weight: 1}}
	n.UpdateEndpoints(policy.SnapshotUpdate, []Endpoint{server})
	n.Submit(newRequest(), func(FinalResponse) {})
	n.handleEvents(n.takeQueue(nil))
	server.State = policy.Draining
	n.applyEndpointUpdate(endpointsUpdated{kind: policy.DeltaUpdate, endpoints: []Endpoint{server}})
	var codes []policy.ResultCode
	for _, event := range n.policyEvents {
		if result, ok := event.(policy.AttemptResult); ok {
			codes = append(codes, result.Code)
		}
	}
	if !slices.Equal(codes, []policy.ResultCode{policy.Withdrawn}) {
		t.Errorf("results %v", codes)
	}
}

// A request that is still unanswered when the loop ends, as after a drain that timed out, fails with ReasonDraining.
func TestRequestUnansweredAfterDrainFailsAsDraining(t *testing.T) {
	n := newNode(t, nil)
	var final FinalResponse
	n.Submit(newRequest(), func(r FinalResponse) { final = r })
	n.handleEvents(n.takeQueue(nil))
	n.failRemaining()
	if final.Kind != Failed || final.Reason != ReasonDraining || final.Detail != detailStopped {
		t.Errorf("final response %+v", final)
	}
}

// pausedClock is the clock of a process that was paused, when the pause was detected outside the loop.
type pausedClock struct {
	now, paused time.Duration
	pauses      int64
}

func (c *pausedClock) Now() time.Duration { return c.now }

func (c *pausedClock) Pauses() int64 { return c.pauses }

func (c *pausedClock) ActiveTime(from, to time.Duration) time.Duration { return to - from - c.paused }

func (*pausedClock) UnreadSockets() int { return 0 }

// The log line of a pause contains its duration, also if the loop was sleeping during the pause.
func TestPauseIsLoggedWithItsLength(t *testing.T) {
	n := newNode(t, nil)
	var log bytes.Buffer
	n.options.Log = slog.New(slog.NewTextHandler(&log, nil))
	clock := &pausedClock{now: time.Second}
	n.options.Clock = clock
	n.detectPause()
	clock.now, clock.paused, clock.pauses = 10*time.Second, 3*time.Second, 1
	n.refreshTime()
	n.detectPause()
	if !strings.Contains(log.String(), "duration=3s") {
		t.Errorf("logged %s", &log)
	}
}

// The response of an external service that arrived during a pause is handled before the timers that expired meanwhile.
func TestResponseDuringPauseIsHandledBeforeTimers(t *testing.T) {
	n := newNode(t, nil)
	n.refreshTime()
	var order []string
	n.timerWheel.Add(n.now, func() { order = append(order, "timer") })
	n.DoWithResponse(func() { order = append(order, "response") })
	n.deferred = n.takeQueue(nil)
	n.now += 10 * time.Millisecond
	n.handleDeferred()
	if !slices.Equal(order, []string{"response", "timer"}) {
		t.Errorf("order %v", order)
	}
}
