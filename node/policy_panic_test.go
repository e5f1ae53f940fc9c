package node

import (
	"log/slog"
	"testing"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/policy"
)

// fakeUpstream records the done callbacks of its attempts.
type fakeUpstream struct{ done []func(Result) }

func (u *fakeUpstream) Start(_ Attempt, done func(Result)) OutgoingAttempt {
	u.done = append(u.done, done)
	return fakeAttempt{}
}

// fakeAttempt is an attempt that can be neither canceled nor withdrawn, since its result is already being delivered.
type fakeAttempt struct{}

func (fakeAttempt) Cancel() {}

func (fakeAttempt) Withdraw() bool { return false }

// fakeAuthorizer records the done callbacks of its checks.
type fakeAuthorizer struct{ done []func(AuthorizationResult) }

func (a *fakeAuthorizer) Check(_ int, _ *Request, _ time.Duration, done func(AuthorizationResult)) (cancel func()) {
	a.done = append(a.done, done)
	return func() {}
}

// policyPanicFixture is a node with one server. The test runs the steps of its loop.
type policyPanicFixture struct {
	*Node
	upstream   *fakeUpstream
	authorizer *fakeAuthorizer
	responses  map[string]int // number of final responses, by trace
	released   map[string]int // number of calls of OnRequestDone, by trace
}

func newPolicyPanicFixture(t *testing.T) *policyPanicFixture {
	t.Helper()
	b := &policyPanicFixture{upstream: &fakeUpstream{}, authorizer: &fakeAuthorizer{}, responses: map[string]int{}, released: map[string]int{}}
	var err error
	b.Node, err = New(Options{
		Settings: policy.Settings{
			Gateways:   1,
			Resolution: time.Millisecond,
			Plans:      []policy.Plan{{Name: "basic", MaxInFlight: 2}},
			Classes: []policy.Class{
				{Name: "read", LatencyObjective: time.Second, Deadline: time.Second},
				{Name: "checked", LatencyObjective: time.Second, Deadline: time.Second},
			},
		},
		Logger:        slog.New(slog.DiscardHandler),
		MaxUnanswered: 10,
		Upstream:      b.upstream,
		AuthorizationDecider: authz.New(authz.Settings{Addresses: 1, Timeout: time.Second, MaxInFlight: 8,
			Classes: map[string]authz.Class{"checked": {Mode: authz.FailClosed, LatencyObjective: time.Second}, "read": {Mode: authz.Skip}}}),
		AuthorizationClient: b.authorizer,
		OnRequestDone:       func(r *Request) { b.released[r.Trace]++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(policy.SnapshotUpdate, []Endpoint{{Address: "a", Server: policy.Server{ID: 1, Weight: 1}}})
	b.runLoopOnce()
	return b
}

// runLoopOnce fires the expired timers and handles the queued events.
func (b *policyPanicFixture) runLoopOnce() {
	b.refreshTime()
	b.expireTimers()
	b.handleEvents(b.takeQueue(nil))
}

// submit submits a request with name as its trace.
func (b *policyPanicFixture) submit(name, class string, isProxied bool) {
	r := newRequest()
	r.Trace, r.Class, r.Proxied = name, class, isProxied
	b.Submit(r, func(FinalResponse) { b.responses[name]++ })
	b.runLoopOnce()
}

// panicInPolicy makes the policy panic, upon which the node starts a new one.
func (b *policyPanicFixture) panicInPolicy() {
	b.policy = nil
	b.queuePolicyEvent(policy.TimerFired{})
	b.runLoopOnce()
}

// A panic of the policy gives every request one final response and releases it once, whatever its state. Results that
// arrive afterwards are ignored.
func TestPanicEndsEachRequestOnce(t *testing.T) {
	b := newPolicyPanicFixture(t)
	b.submit("in flight", "read", false)
	b.submit("proxied", "read", true)
	b.submit("queued", "read", false)
	b.submit("authorizing", "checked", false)
	if len(b.upstream.done) != 1 || len(b.authorizer.done) != 1 || b.responses["proxied"] != 1 {
		t.Fatalf("%d attempts, %d checks, responses %v before the panic", len(b.upstream.done), len(b.authorizer.done), b.responses)
	}
	proxied := b.lastID - 2
	b.panicInPolicy()
	b.upstream.done[0](Result{Code: policy.OK, Response: &Response{Status: 200}})
	b.authorizer.done[0](AuthorizationResult{Outcome: authz.Allowed})
	b.FinishProxiedAttempt(proxied, 0, Result{Code: policy.OK})
	b.runLoopOnce()
	for _, name := range []string{"in flight", "proxied", "queued", "authorizing"} {
		if b.responses[name] != 1 || b.released[name] != 1 {
			t.Errorf("%s: %d final responses, released %d times", name, b.responses[name], b.released[name])
		}
	}
	if len(b.requests) > 0 {
		t.Errorf("%d requests are left", len(b.requests))
	}
}

// The timers of a policy that panicked send no events to the new one. Otherwise each panic would add a timer for ticks.
func TestPanicEndsTheTimersOfThePolicy(t *testing.T) {
	b := newPolicyPanicFixture(t)
	for range 3 {
		b.panicInPolicy()
	}
	ticks := 0
	for range 100 {
		b.now += 100 * time.Millisecond
		b.timerWheel.Advance(b.now)
		ticks = max(ticks, len(b.policyEvents))
		b.runPolicy()
	}
	if ticks != 1 {
		t.Errorf("%d timers fire at a time", ticks)
	}
}
