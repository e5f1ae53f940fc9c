package node

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"yardcleat.example/yardcleat/authz"
	"yardcleat.example/yardcleat/internal/timers"
	"yardcleat.example/yardcleat/pause"
	"yardcleat.example/yardcleat/policy"
)

// Options is what a node is made of.
type Options struct {
	Settings       policy.Settings
	Seed           uint64
	Logger         *slog.Logger
	Upstream       Upstream
	Authorizer     Authorizer // nil where no class is put to one
	Authz          *authz.Decider
	SendToPeer     func(to int, data []byte) // to a peer; must not block
	SendToAllPeers bool                      // Tell takes a number below 0: all peers
	ResponseMargin time.Duration             // answers leave so long before the client gives up
	MaxUnanswered  int                       // requests not answered yet
	TimeOrigin     time.Time                 // the node's time 0; zero: now
	UsageRecorder  UsageRecorder             // nil: none
	Clock          Clock                     // nil: one that finds no gaps
	Pause          pause.Settings            // zero: stall.Default
	OnRequestDone  func(*Request)            // nothing more is done for a try; nil: nobody is told
}

// Clock tells the time since Options.Base, and where the process did not run.
type Clock interface {
	Now() time.Duration
	Pauses() int64                                   // found so far
	ActiveTime(from, to time.Duration) time.Duration // how much of a time the process ran
	UnreadSockets() int                              // sockets that may hold what came before the last gap's end
}

// alwaysActiveClock is a Clock of a process that always runs.
type alwaysActiveClock struct{ base time.Time }

func (s alwaysActiveClock) Now() time.Duration                            { return time.Since(s.base) }
func (alwaysActiveClock) Pauses() int64                                   { return 0 }
func (alwaysActiveClock) ActiveTime(from, to time.Duration) time.Duration { return max(0, to-from) }
func (alwaysActiveClock) UnreadSockets() int                              { return 0 }

// UsageRecorder is told of what is asked for and passed, in the loop.
type UsageRecorder interface {
	RequestSeen(t *Request)      // a request is given to the module
	RequestForwarded(t *Request) // its first attempt goes out: its units count
}

// Node is a running gateway. Its methods may be called from any goroutine.
type Node struct {
	o    Options
	base time.Time

	mu      sync.Mutex
	queue   []item
	wake    chan struct{}
	closing bool // drains: takes no more tries
	open    int  // tries not answered yet
	idle    chan struct{}

	// Below is the loop's alone.
	gw      *policy.Gateway
	seed    uint64
	now     time.Duration
	fleet   policy.FleetResized // the last one, as a module made anew must hear it
	gaps    int64               // that the loop knows of
	barrier pause.Barrier
	held    []item // what waits behind it
	wheel   timers.Wheel
	reqs    map[policy.RequestID]*request
	nextID  policy.RequestID
	fifo    []policy.Event // for the module, those before head done
	head    int
	acts    []policy.Action
	servers map[policy.ServerID]Server // the list as it stands, without what has gone
}

// state is where a request stands in its life.
type state int

const (
	authorising state = iota // a Check is out
	deciding                 // the module holds it
	out                      // an attempt is out
	answered                 // it has its final answer; an attempt may still be out
)

type request struct {
	id        policy.RequestID
	try       *Request
	reply     func(FinalResponse)
	state     state
	deadline  time.Duration
	timer     *timers.Timer // at the deadline
	cancel    func()        // of the Check, or the attempt out
	withdraw  func() bool   // of the attempt out; see Sending
	limit     *timers.Timer // of the Check, or the attempt out
	attempts  int
	live      bool // an attempt is out
	server    policy.ServerID
	sentAt    time.Duration
	last      policy.ResultCode // how the last attempt ended
	detail    string
	check     int // the Check that is out
	checkAt   time.Duration
	checkedAs AuthorizationResult
	allowed   AuthorizationResult // what the authoriser changes
	taken     time.Duration
	left      bool // its client left before it was begun
}

// item is something for the loop to do.
type item struct {
	kind pause.Kind
	do   func()
}

// New returns a node that Run starts.
func New(o Options) (*Node, error) {
	gw, err := policy.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	if o.TimeOrigin.IsZero() {
		o.TimeOrigin = time.Now()
	}
	if o.Clock == nil {
		o.Clock = alwaysActiveClock{o.TimeOrigin}
	}
	if o.Pause == (pause.Settings{}) {
		o.Pause = pause.Default()
	}
	return &Node{o: o, base: o.TimeOrigin, gw: gw, barrier: pause.NewBarrier(o.Pause), seed: o.Seed, wake: make(chan struct{}, 1), idle: make(chan struct{}, 1),
		reqs: map[policy.RequestID]*request{}, servers: map[policy.ServerID]Server{}}, nil
}

// post gives the loop something to do.
func (n *Node) post(kind pause.Kind, f func()) {
	n.mu.Lock()
	n.enqueue(item{kind, f})
	n.mu.Unlock()
}

// enqueue is post under n.mu.
func (n *Node) enqueue(f item) {
	n.queue = append(n.queue, f)
	if len(n.queue) == 1 {
		select {
		case n.wake <- struct{}{}:
		default:
		}
	}
}

// Run runs the loop until the context ends. What is not answered by then is
// failed.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var batch []item
	for {
		// Nobody looked while the loop waited: only the clock knows of gaps.
		n.now = max(n.now, n.o.Clock.Now())
		n.look()
		n.mu.Lock()
		batch, n.queue = n.queue, batch[:0]
		n.mu.Unlock()
		var next time.Duration
		if n.barrier.On() {
			n.held = append(n.held, batch...)
			if next = n.barrier.Look(n.now, n.o.Clock.UnreadSockets()); n.barrier.On() {
				timer.Reset(next)
				select {
				case <-timer.C:
					continue
				case <-ctx.Done():
					n.end()
					return
				}
			}
			n.after()
			continue
		}
		// What ran out goes first: nothing is done for requests that are too late.
		n.wheel.Advance(n.now)
		n.settle()
		n.carry(batch)
		if len(batch) > 0 {
			continue
		}
		next, ok := n.wheel.Next()
		if !ok {
			next = n.now + time.Hour
		}
		timer.Reset(next - time.Since(n.base))
		select {
		case <-n.wake:
		case <-timer.C:
		case <-ctx.Done():
			n.end()
			return
		}
	}
}

// end fails what is not answered.
func (n *Node) end() {
	n.mu.Lock()
	n.closing = true
	batch := append(n.held, n.queue...)
	n.held, n.queue = nil, nil
	n.mu.Unlock()
	for _, f := range batch {
		f.do()
	}
	n.failAll("stopped")
}

// look takes the time, and raises the barrier after a gap: of the process, or of
// the loop alone, which has not looked for too long.
func (n *Node) look() {
	now := n.o.Clock.Now()
	gaps := n.o.Clock.Pauses()
	if gaps != n.gaps || now-n.now > n.o.Pause.Least {
		n.o.Logger.Warn("the process did not run: what came in meanwhile is read first", "since", now-n.now)
		n.gaps = gaps
		n.barrier.Raise(now)
	}
	n.now = max(n.now, now)
}

// carry does what waited, as long as the process runs; what a gap comes before
// waits behind the barrier.
func (n *Node) carry(batch []item) {
	for i, f := range batch {
		if n.look(); n.barrier.On() {
			n.held = append(n.held, batch[i:]...)
			break
		}
		f.do()
		n.settle()
	}
	clear(batch)
}

// after does what waited behind the barrier, in the order that package stall
// gives it.
func (n *Node) after() {
	held := n.held
	n.held = nil
	before := pause.Order(held, func(f item) pause.Kind { return f.kind })
	n.carry(held[:before])
	if n.barrier.On() {
		n.held = append(n.held, held[before:]...)
		return
	}
	n.wheel.Advance(n.now)
	n.settle()
	n.carry(held[before:])
}

// Submit takes a try; reply is called once with its final answer, from the loop
// or at once, and must not block. The returned function says that the client
// has left.
func (n *Node) Submit(t *Request, reply func(FinalResponse)) (gone func()) {
	r := &request{try: t, reply: reply}
	at := n.o.Clock.Now()
	if !t.Arrived.IsZero() {
		at = t.Arrived.Sub(n.base)
	}
	n.mu.Lock()
	closing, full := n.closing, n.open >= n.o.MaxUnanswered
	if !closing && !full {
		// Under one lock with the look at closing: once that is set, the loop
		// empties the queue a last time.
		n.open++
		n.enqueue(item{pause.Asked, func() { n.begin(r, at) }})
	}
	n.mu.Unlock()
	if closing || full {
		why := ReasonOverload
		if closing {
			why = ReasonDraining
		}
		a := FinalResponse{Kind: Rejected, Reason: why, RetryAfter: n.o.Settings.MaxRetryAfter}
		n.line(t, a, 0, 0, "")
		n.forgotten(t)
		reply(a)
		return func() {}
	}
	return func() { n.post(pause.Left, func() { n.clientGone(r) }) }
}

// ReceivePeerMessage tells of a message from a peer.
func (n *Node) ReceivePeerMessage(from int, data []byte) {
	n.post(pause.Heard, func() { n.feed(policy.PeerMessage{From: from, Data: data}) })
}

// Do runs f in the loop, in turn with all else that happens.
func (n *Node) Do(f func()) { n.post(pause.Other, f) }

// RestoreSnapshot gives the module what an earlier process remembered; before any try is
// taken.
func (n *Node) RestoreSnapshot(r policy.RestoreSnapshot) { n.post(pause.Other, func() { n.feed(r) }) }

// SaveSnapshot returns what is to outlive the process, looking at some customers in each
// turn of the loop; false where the loop has ended.
func (n *Node) SaveSnapshot(ctx context.Context) (list []policy.CustomerSnapshot, ok bool) {
	const most = 2000
	for from, first := 0, true; first || from > 0; first = false {
		done := make(chan struct{})
		n.post(pause.Other, func() {
			list, from = n.gw.SaveSnapshot(n.now, from, most, list)
			close(done)
		})
		select {
		case <-done:
		case <-ctx.Done():
			return nil, false
		}
	}
	return list, true
}

// Resize tells the module of another number of gateways; see policy.Fleet. From the
// loop only.
func (n *Node) Resize(gateways, was int) {
	n.o.Settings.Gateways = gateways
	if n.fleet = (policy.FleetResized{Gateways: gateways, PreviousSize: was}); was != 0 {
		n.fleet.PreviousSize = -1 // for a module made anew meanwhile, which holds nothing yet
	}
	n.feed(policy.FleetResized{Gateways: gateways, PreviousSize: was})
	n.settle()
}

// SetUsageLevel tells the module how full a customer's store is; from the loop only.
func (n *Node) SetUsageLevel(customer string, units float64) {
	n.feed(policy.UsageLevel{Customer: customer, Units: units})
}

// UpdateEndpoints tells of the server list.
func (n *Node) UpdateEndpoints(kind policy.EndpointUpdateKind, list []Server) {
	n.post(pause.Listed, func() {
		m := policy.EndpointUpdate{Kind: kind}
		if kind == policy.SnapshotUpdate || kind == policy.CachedUpdate {
			clear(n.servers)
		}
		for _, s := range list {
			if !s.StartTime.IsZero() {
				s.HasStartTime, s.StartedAt = true, s.StartTime.Sub(n.base)
			}
			if n.servers[s.ID] = s; s.State == policy.Removed {
				delete(n.servers, s.ID)
			}
			m.Servers = append(m.Servers, s.Server)
		}
		n.feed(m)
		n.leave()
	})
}

// leave takes back what has not left yet for servers that want nothing new: a dial may
// come up long after its server began to drain.
func (n *Node) leave() {
	for _, r := range n.reqs {
		if s, listed := n.servers[r.server]; r.live && r.withdraw != nil && (!listed || s.State != policy.Running) && r.withdraw() {
			n.attemptEnded(r, r.attempts-1, Result{Code: policy.ConnectFailed, Detail: "the server left before it was sent"})
		}
	}
}

// FinishProxiedAttempt tells how the attempt that a Go let a proxy make has ended.
func (n *Node) FinishProxiedAttempt(id policy.RequestID, attempt int, res Result) {
	n.post(pause.Ended, func() {
		if r := n.reqs[id]; r != nil && r.live && r.try.Proxied && attempt == r.attempts-1 {
			n.attemptEnded(r, attempt, res)
		}
	})
}

// BreakPolicy makes the module panic at its next event; for tests.
func (n *Node) BreakPolicy() { n.post(pause.Other, func() { n.gw = nil; n.feed(policy.TimerFired{}) }) }

// Finish lets no more tries in, and gives what is not answered its final answer now: a
// refusal where nothing was sent, so that a repeat is harmless.
func (n *Node) Finish() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
	n.enqueue(item{pause.Other, func() {
		for _, r := range n.reqs {
			if r.state == answered {
				continue
			}
			n.leaveCheck(r)
			a := FinalResponse{Kind: Failed, Reason: ReasonDraining}
			if r.attempts == 0 {
				a.Kind, a.RetryAfter = Rejected, n.o.Settings.MaxRetryAfter
			}
			n.feed(policy.ClientDisconnected{ID: r.id})
			n.answer(r, a)
			if r.live {
				n.attemptEnded(r, r.attempts-1, Result{Code: policy.Cancelled, Detail: "the node ends"})
			}
			n.done(r)
		}
	}})
}

// Drain lets no more tries in and waits until all are answered, or the context
// ends.
func (n *Node) Drain(ctx context.Context) error {
	for {
		n.mu.Lock()
		n.closing = true
		left := n.open
		n.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-n.idle:
		case <-ctx.Done():
			return fmt.Errorf("%d requests not answered: %w", left, ctx.Err())
		}
	}
}

// Unanswered is the number of tries not answered yet.
func (n *Node) Unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}

// begin takes a request in: its deadline is set and its Check is sent.
func (n *Node) begin(r *request, at time.Duration) {
	n.nextID++
	r.id, r.taken = n.nextID, at
	r.deadline = at + max(r.try.ClientTimeout-n.o.ResponseMargin, r.try.ClientTimeout/2)
	n.reqs[r.id] = r
	if r.left || r.deadline <= n.now {
		// It waited for too long, or for nobody.
		a := FinalResponse{Kind: Rejected, Reason: ReasonNoTime, RetryAfter: n.o.Settings.MaxRetryAfter}
		if r.left {
			a = FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected}
		}
		n.answer(r, a)
		n.forget(r)
		return
	}
	r.timer = n.wheel.Add(r.deadline, func() { n.expire(r) })
	if n.o.Authz == nil {
		n.decide(r)
		return
	}
	r.state = authorising
	if n.nextID%4096 == 0 {
		n.o.Authz.RemoveExpired(n.wall())
	}
	t := r.try
	n.authorise(n.o.Authz.StartRequest(n.wall(), authz.Request{ID: uint64(r.id), Class: t.Class, Customer: t.Customer, Plan: t.Plan,
		Resource: t.Call.Method + " " + t.Call.Target, Remaining: r.deadline - n.now}))
}

func (n *Node) wall() time.Time { return n.base.Add(n.now) }

// authorise carries out what authz says.
func (n *Node) authorise(acts []authz.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case authz.SendCheck:
			r := n.reqs[policy.RequestID(a.ID)]
			r.check, r.checkAt = a.Attempt, n.now
			r.limit = n.wheel.Add(n.now+a.Timeout, func() {
				n.checked(r, a.Attempt, AuthorizationResult{Verdict: authz.TimedOut, Detail: "authoriser: no answer in time"})
			})
			r.cancel = n.o.Authorizer.Check(a.Address, r.try, a.Timeout, func(c AuthorizationResult) {
				n.post(pause.Ended, func() { n.checked(r, a.Attempt, c) })
			})
		case authz.CancelCheck:
			if r := n.reqs[policy.RequestID(a.ID)]; r != nil {
				n.endWork(r)
			}
		case authz.Resolve:
			if r := n.reqs[policy.RequestID(a.ID)]; r != nil && r.state == authorising {
				c := r.checkedAs
				if a.FromFallback {
					c, _ = a.CachedPayload.(AuthorizationResult)
					c.Detail = "authoriser gave no answer: an earlier one or the default stands in"
				}
				r.state = deciding
				n.authorised(r, a.Decision, c)
			}
		case authz.ScheduleTick:
			n.wheel.Add(n.now+a.After, func() { n.authorise(n.o.Authz.Tick(n.wall())) })
		case authz.OperatorNote:
			n.o.Logger.Warn(a.Text, "address", a.Address)
		}
	}
}

// checked takes in how a Check ended; only the first word counts.
func (n *Node) checked(r *request, try int, c AuthorizationResult) {
	if r.state != authorising || r.limit == nil || r.check != try {
		return
	}
	n.endWork(r)
	r.checkedAs = c
	n.authorise(n.o.Authz.FinishCheck(n.wall(), uint64(r.id), try, authz.CheckResult{Outcome: c.Verdict, Latency: n.o.Clock.ActiveTime(r.checkAt, n.now),
		ProcessPaused: n.o.Clock.ActiveTime(r.checkAt, n.now) < n.now-r.checkAt,
		CacheTTL:      c.CacheTTL, Payload: c}))
}

// endWork ends the Check or the attempt that is out.
func (n *Node) endWork(r *request) {
	r.limit.Stop()
	if r.cancel != nil {
		r.cancel()
	}
	r.cancel, r.withdraw, r.limit = nil, nil, nil
}

// leaveCheck ends a Check whose answer no longer matters.
func (n *Node) leaveCheck(r *request) {
	if r.state == authorising {
		n.endWork(r)
		r.state = deciding
		n.authorise(n.o.Authz.CancelRequest(n.wall(), uint64(r.id)))
	}
}

func (n *Node) authorised(r *request, step authz.Decision, c AuthorizationResult) {
	r.detail = c.Detail
	a := FinalResponse{Kind: Rejected, RetryAfter: n.o.Settings.MaxRetryAfter}
	switch step {
	case authz.Deny:
		a.Reason, a.Response, a.RetryAfter = ReasonAuthorizationDenied, c.Denial, 0
	case authz.RejectTimedOut:
		a.Reason = ReasonAuthorizationTimeout
	case authz.RejectUnreachable:
		a.Reason = ReasonAuthorizationUnreachable
	case authz.RejectOverQuota:
		a.Reason = ReasonQuota
	default:
		c.apply(&r.try.Call)
		r.allowed = c
		n.decide(r)
		return
	}
	n.answer(r, a)
	n.forget(r)
}

// decide gives a request to the module.
func (n *Node) decide(r *request) {
	r.state = deciding
	t := r.try
	if n.o.UsageRecorder != nil {
		n.o.UsageRecorder.RequestSeen(t)
	}
	n.feed(policy.Request{ID: r.id, Customer: t.Customer, Plan: t.Plan, Class: t.Class, Units: t.Units,
		Remaining: r.deadline - n.now, FirstGateway: t.FirstGateway, GatewaySpread: t.GatewaySpread, ClientRetry: t.ClientRetry})
}

// feed queues an event for the module.
func (n *Node) feed(ev policy.Event) { n.fifo = append(n.fifo, ev) }

// settle gives the module its events and carries out what it says, in order,
// until it has nothing more to say.
func (n *Node) settle() {
	for n.head < len(n.fifo) {
		ev := n.fifo[n.head]
		n.head++
		acts, err := n.handle(ev)
		if err != nil {
			n.broken(ev, err)
			continue
		}
		for _, a := range acts {
			n.act(a)
		}
	}
	n.fifo, n.head = n.fifo[:0], 0
}

func (n *Node) handle(ev policy.Event) (acts []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	n.acts = n.gw.Handle(n.now, ev, n.acts[:0])
	return n.acts, nil
}

// broken answers for a module that panicked: what it held is failed, and a new
// one starts as after a restart.
func (n *Node) broken(ev policy.Event, err error) {
	n.o.Logger.Error("panic in a decision; all requests are failed and the module starts anew",
		"event", fmt.Sprintf("%T", ev), "panic", err)
	n.failAll("panic in a decision")
	n.seed++
	gw, err := policy.New(n.o.Settings, n.seed)
	if err != nil {
		panic(err) // the settings were good at the start
	}
	n.gw = gw
	n.fifo, n.head = n.fifo[:0], 0
	m := policy.EndpointUpdate{Kind: policy.CachedUpdate}
	for _, s := range n.servers {
		m.Servers = append(m.Servers, s.Server)
	}
	slices.SortFunc(m.Servers, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
	n.feed(m)
	if n.fleet.Gateways > 0 {
		n.feed(n.fleet)
	}
}

func (n *Node) failAll(why string) {
	for _, r := range n.reqs {
		n.leaveCheck(r)
		n.answer(r, FinalResponse{Kind: Failed, Reason: ReasonInternal, Detail: why})
		n.endWork(r)
		n.forget(r)
	}
}

// act carries out one action of the module.
func (n *Node) act(a policy.Action) {
	switch a := a.(type) {
	case policy.StartAttempt:
		n.send(a)
	case policy.CancelAttempt:
		if r := n.reqs[a.ID]; r != nil && r.live && a.Attempt == r.attempts-1 && !r.try.Proxied {
			n.attemptEnded(r, a.Attempt, Result{Code: policy.Cancelled, Detail: "called back"})
		}
	case policy.Reject:
		if r := n.reqs[a.ID]; r != nil {
			n.answer(r, FinalResponse{Kind: Rejected, Reason: n.reason(r, a.Reason), RetryAfter: a.RetryAfter})
			n.done(r)
		}
	case policy.Fail:
		if r := n.reqs[a.ID]; r != nil {
			n.answer(r, FinalResponse{Kind: Failed, Reason: n.reason(r, a.Reason)})
			n.done(r)
		}
	case policy.SetTimer:
		n.wheel.Add(n.now+a.After, func() { n.feed(policy.TimerFired{Token: a.Token}) })
	case policy.SendPeerMessage:
		if a.To >= 0 || n.o.SendToAllPeers {
			n.o.SendToPeer(a.To, a.Data)
			break
		}
		for i := range n.o.Settings.Gateways {
			if i != n.o.Settings.SelfIndex {
				n.o.SendToPeer(i, a.Data)
			}
		}
	case policy.Log:
		n.o.Logger.Info(a.Text, "from", "policy")
	}
}

// send starts an attempt. What is too late, or over, is not sent.
func (n *Node) send(a policy.StartAttempt) {
	r := n.reqs[a.ID]
	if r == nil {
		return
	}
	r.server, r.sentAt, r.live = a.Server, n.now, true
	r.attempts++
	attempt := r.attempts - 1
	left := r.deadline - n.now
	if r.state == answered || left <= 0 {
		n.attemptEnded(r, attempt, Result{Code: policy.TooLate, Detail: "too late to send"})
		return
	}
	if a.Timeout > 0 {
		left = min(left, a.Timeout)
	}
	r.state = out
	if attempt == 0 && n.o.UsageRecorder != nil {
		n.o.UsageRecorder.RequestForwarded(r.try)
	}
	r.limit = n.wheel.Add(n.now+left, func() {
		n.attemptEnded(r, attempt, Result{Code: policy.TimedOut, Detail: "no answer in time"})
	})
	to := n.servers[a.Server]
	if r.try.Proxied {
		n.answer(r, FinalResponse{Kind: Served, Permit: &ForwardPermit{ID: r.id, Attempt: attempt, Server: to.Address, Timeout: left,
			Authorization: r.allowed}})
		return
	}
	sending := n.o.Upstream.Start(Attempt{ID: r.id, Number: attempt, Address: to.Address, ConnectionKey: to.ConnectionKey, Timeout: left, Request: r.try, DecidedAt: n.base.Add(n.now)},
		func(res Result) {
			n.post(pause.Ended, func() {
				if r.live && attempt == r.attempts-1 {
					r.cancel, r.withdraw = nil, nil // it has ended by itself
					n.attemptEnded(r, attempt, res)
				}
			})
		})
	r.cancel, r.withdraw = sending.Cancel, sending.Withdraw
}

// attemptEnded takes in how the attempt that is out has ended; only the first
// word counts. A server's answer is the client's, and ends the request.
func (n *Node) attemptEnded(r *request, attempt int, res Result) {
	if !r.live {
		return
	}
	n.endWork(r)
	r.live, r.last = false, res.Code
	if res.Detail != "" {
		r.detail = res.Detail
	}
	if res.Code == policy.OK && r.state != answered {
		res.Response.Header = append(res.Response.Header, r.allowed.ResponseHeaders...)
		n.answer(r, FinalResponse{Kind: Served, Response: res.Response})
	}
	if res.Code == policy.OK && n.o.Authz != nil {
		n.o.Authz.RecordLatency(r.try.Class, cmp.Or(res.Latency, n.o.Clock.ActiveTime(r.sentAt, n.now)))
	}
	over := r.state == answered
	if r.state == out {
		r.state = deciding
	}
	if res.Latency == 0 {
		res.Latency = n.o.Clock.ActiveTime(r.sentAt, n.now)
	}
	n.feed(policy.AttemptResult{ID: r.id, Attempt: attempt, Server: r.server, Code: res.Code, Latency: res.Latency, Answered: over})
	n.done(r)
}

// expire comes at a request's deadline. An attempt that is out ends by its own
// timer, set for no later; the module has then a last word. This is the net
// below it all: one answer is owed in any case.
func (n *Node) expire(r *request) {
	if r.state == answered {
		return
	}
	if r.live {
		n.attemptEnded(r, r.attempts-1, Result{Code: policy.TimedOut, Detail: "no answer in time"})
	}
	// Also where the attempt's own timer has just run out, in the same step of the
	// wheel: the module's last word on that is not said yet.
	n.settle()
	if r.state == answered {
		return
	}
	if r.state == authorising {
		n.leaveCheck(r)
		n.answer(r, FinalResponse{Kind: Rejected, Reason: ReasonAuthorizationTimeout, RetryAfter: n.o.Settings.MaxRetryAfter})
		n.forget(r)
		return
	}
	n.o.Logger.Warn("the module gave no answer by the deadline", "trace", r.try.Trace, "class", r.try.Class)
	n.feed(policy.ClientDisconnected{ID: r.id})
	a := FinalResponse{Kind: Failed, Reason: ReasonNoTime}
	if r.attempts == 0 {
		a.Kind = Rejected // nothing ran
	}
	n.answer(r, a)
	n.done(r)
}

// clientGone comes when a client left before its answer. Nothing more is owed. An
// attempt that is out runs to its end, but for one whose request has not left yet: it
// may be in a dial that takes longer than the client's going, and must not begin after.
func (n *Node) clientGone(r *request) {
	if r.id == 0 {
		r.left = true // it is not begun yet
		return
	}
	if r.state == answered {
		return
	}
	n.leaveCheck(r)
	n.feed(policy.ClientDisconnected{ID: r.id})
	n.answer(r, FinalResponse{Kind: Failed, Reason: ReasonClientDisconnected})
	if r.live && r.withdraw != nil && r.withdraw() {
		n.attemptEnded(r, r.attempts-1, Result{Code: policy.TooLate, Detail: "the client left before it was sent"})
	}
	n.done(r)
}

// answer gives the one final answer.
func (n *Node) answer(r *request, a FinalResponse) {
	if r.state == answered {
		return
	}
	r.state = answered
	r.timer.Stop()
	n.line(r.try, a, max(0, n.now-r.taken), r.attempts, r.detail)
	r.reply(a)
	n.mu.Lock()
	n.open--
	empty := n.open == 0
	n.mu.Unlock()
	if empty {
		select {
		case n.idle <- struct{}{}:
		default:
		}
	}
}

// line logs a final answer.
func (n *Node) line(t *Request, a FinalResponse, took time.Duration, attempts int, detail string) {
	if !n.o.Logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	kind := a.Kind.String()
	if a.Permit != nil {
		kind = "let pass"
	}
	attrs := []slog.Attr{slog.String("answer", kind), slog.String("trace", t.Trace), slog.String("class", t.Class),
		slog.String("customer", t.Customer), slog.Int("attempts", attempts), slog.Duration("took", took)}
	if a.Reason != ReasonNone {
		attrs = append(attrs, slog.String("reason", string(a.Reason)))
	}
	if a.Response != nil {
		attrs = append(attrs, slog.Int("status", a.Response.Status))
	}
	if detail != "" {
		attrs = append(attrs, slog.String("detail", detail))
	}
	n.o.Logger.LogAttrs(context.Background(), slog.LevelInfo, "answer", attrs...)
}

// done forgets a request that is answered and has no attempt out.
func (n *Node) done(r *request) {
	if r.state == answered && !r.live {
		n.forget(r)
	}
}

func (n *Node) forget(r *request) {
	r.timer.Stop()
	delete(n.reqs, r.id)
	n.forgotten(r.try)
}

func (n *Node) forgotten(t *Request) {
	if n.o.OnRequestDone != nil {
		n.o.OnRequestDone(t)
	}
}

// reason names the module's reason, or how the last attempt ended.
func (n *Node) reason(r *request, why policy.Reason) Reason {
	if why == policy.ReasonAttemptsExhausted || r.attempts > 0 && why == policy.ReasonNoServer {
		switch r.last {
		case policy.TimedOut, policy.Cancelled:
			return ReasonServerTimeout
		case policy.ConnectFailed, policy.Reset:
			return ReasonServerGone
		case policy.Error:
			return ReasonServerError
		case policy.Rejected:
			return ReasonServerRejected
		case policy.TooLate:
			return ReasonNoTime
		}
	}
	switch why {
	case policy.ReasonQuotaExceeded:
		return ReasonQuota
	case policy.ReasonInFlightLimit:
		return ReasonInFlightLimit
	case policy.ReasonCeilingExceeded:
		return ReasonCeiling
	case policy.ReasonNoServer:
		return ReasonNoServer
	case policy.ReasonNoTime:
		return ReasonNoTime
	case policy.ReasonNoQuotaLeader:
		return ReasonQuotaUnknown
	}
	return ReasonLoadShed // also a reason that a newer root gave
}
