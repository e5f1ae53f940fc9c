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
	f := &policyPanicFixture{upstream: &fakeUpstream{}, authorizer: &fakeAuthorizer{}, responses: map[string]int{}, released: map[string]int{}}
	var err error
	f.Node, err = New(Options{
		Settings: policy.Settings{
			Gateways:   1,
			Resolution: time.Millisecond,
			Plans:      []policy.Plan{{Name: "basic", MaxInFlight: 2}},
			Classes: []policy.Class{
				{Name: "read", LatencyObjective: time.Second, Deadline: time.Second},
				{Name: "checked", LatencyObjective: time.Second, Deadline: time.Second},
			},
		},
		Log:           slog.New(slog.DiscardHandler),
		MaxUnanswered: 10,
		Upstream:      f.upstream,
		AuthorizationDecider: authz.New(authz.Settings{Addresses: 1, Timeout: time.Second, MaxInFlight: 8,
			Classes: map[string]authz.Class{"checked": {Mode: authz.FailClosed, LatencyObjective: time.Second}, "read": {Mode: authz.Skip}}}),
		AuthorizationClient: f.authorizer,
		OnRequestDone:       func(r *Request, _ bool) { f.released[r.Trace]++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	f.UpdateEndpoints(policy.SnapshotUpdate, []Endpoint{{Address: "a", Server: policy.Server{ID: 1, Weight: 1}}})
	f.runLoopOnce()
	return f
}

// runLoopOnce fires the expired timers and handles the queued events.
func (f *policyPanicFixture) runLoopOnce() {
	f.refreshTime()
	f.expireTimers()
	f.handleEvents(f.takeQueue(nil))
}

// submit submits a request with name as its trace.
func (f *policyPanicFixture) submit(name, class string, isProxied bool) {
	r := newRequest()
	r.Trace, r.Class, r.Proxied = name, class, isProxied
	f.Submit(r, func(FinalResponse) { f.responses[name]++ })
	f.runLoopOnce()
}

// panicInPolicy makes the policy panic, upon which the node starts a new one.
func (f *policyPanicFixture) panicInPolicy() {
	f.policy = nil
	f.queuePolicyEvent(policy.TimerFired{})
	f.runLoopOnce()
}

// A panic of the policy gives every request one final response and releases it once, whatever its state. Results that
// arrive afterwards are ignored.
func TestPanicEndsEachRequestOnce(t *testing.T) {
	f := newPolicyPanicFixture(t)
	f.submit("in flight", "read", false)
	f.submit("proxied", "read", true)
	f.submit("queued", "read", false)
	f.submit("authorizing", "checked", false)
	if len(f.upstream.done) != 1 || len(f.authorizer.done) != 1 || f.responses["proxied"] != 1 {
		t.Fatalf("%d attempts, %d checks, responses %v before the panic", len(f.upstream.done), len(f.authorizer.done), f.responses)
	}
	proxied := f.lastID - 2
	f.panicInPolicy()
	f.upstream.done[0](Result{Code: policy.OK, Response: &Response{Status: 200}})
	f.authorizer.done[0](AuthorizationResult{Outcome: authz.Allowed})
	f.FinishProxiedAttempt(proxied, 0, Result{Code: policy.OK})
	f.runLoopOnce()
	for _, name := range []string{"in flight", "proxied", "queued", "authorizing"} {
		if f.responses[name] != 1 || f.released[name] != 1 {
			t.Errorf("%s: %d final responses, released %d times", name, f.responses[name], f.released[name])
		}
	}
	if len(f.requests) > 0 {
		t.Errorf("%d requests are left", len(f.requests))
	}
}

// The timers of a policy that panicked send no events to the new one. Otherwise each panic would add a timer for ticks.
func TestPanicEndsTheTimersOfThePolicy(t *testing.T) {
	f := newPolicyPanicFixture(t)
	for range 3 {
		f.panicInPolicy()
	}
	ticks := 0
	for range 100 {
		f.now += 100 * time.Millisecond
		f.timerWheel.Advance(f.now)
		ticks = max(ticks, len(f.policyEvents))
		f.runPolicy()
	}
	if ticks != 1 {
		t.Errorf("%d timers fired at the same time, want 1", ticks)
	}
}
