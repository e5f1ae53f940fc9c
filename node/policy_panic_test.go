package node

import (
	"log/slog"
	"testing"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/policy"
)

// openUpstream keeps the functions that end its attempts.
type openUpstream struct{ done []func(Result) }

func (u *openUpstream) Start(_ Attempt, done func(Result)) OutgoingAttempt {
	u.done = append(u.done, done)
	return openAttempt{}
}

// openAttempt is an attempt whose result is on its way already.
type openAttempt struct{}

func (openAttempt) Cancel() {}

func (openAttempt) Withdraw() bool { return false }

// openAuthorizer keeps the functions that end its checks.
type openAuthorizer struct{ done []func(AuthorizationResult) }

func (a *openAuthorizer) Check(_ int, _ *Request, _ time.Duration, done func(AuthorizationResult)) (cancel func()) {
	a.done = append(a.done, done)
	return func() {}
}

// panicBed is a node with a server, whose loop is driven by hand.
type panicBed struct {
	*Node
	upstream   *openUpstream
	authorizer *openAuthorizer
	responses  map[string]int // final responses, by request
	released   map[string]int // calls of OnRequestDone
}

func newPanicBed(t *testing.T) *panicBed {
	t.Helper()
	b := &panicBed{upstream: &openUpstream{}, authorizer: &openAuthorizer{}, responses: map[string]int{}, released: map[string]int{}}
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
	b.turn()
	return b
}

// turn handles what is queued.
func (b *panicBed) turn() {
	b.refreshTime()
	b.expireTimers()
	b.handleEvents(b.takeQueue(nil))
}

// submit submits a request under a name.
func (b *panicBed) submit(name, class string, isProxied bool) {
	r := newRequest()
	r.Trace, r.Class, r.Proxied = name, class, isProxied
	b.Submit(r, func(FinalResponse) { b.responses[name]++ })
	b.turn()
}

// panicInPolicy has the policy panic, and a new one start.
func (b *panicBed) panicInPolicy() {
	b.policy = nil
	b.queuePolicyEvent(policy.TimerFired{})
	b.turn()
}

// A panic of the policy ends every request once, whatever it waited for: what comes in for it afterwards changes
// nothing.
func TestPanicEndsEachRequestOnce(t *testing.T) {
	b := newPanicBed(t)
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
	b.turn()
	for _, name := range []string{"in flight", "proxied", "queued", "authorizing"} {
		if b.responses[name] != 1 || b.released[name] != 1 {
			t.Errorf("%s: %d final responses, released %d times", name, b.responses[name], b.released[name])
		}
	}
	if len(b.requests) > 0 {
		t.Errorf("%d requests are left", len(b.requests))
	}
}

// The timers of a policy that panicked do not fire into the new one: each has one timer for its ticks.
func TestPanicEndsTheTimersOfThePolicy(t *testing.T) {
	b := newPanicBed(t)
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
