package policy_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yardcleat.example/yardcleat/policy"
)

// simulation runs a scenario in virtual time, with a queue of events, the gateways, the servers and the
// clients. All random numbers come from one seeded source, drawn in the order of the queue.
type simulation struct {
	t                *testing.T
	scenario         scenario
	random           *rand.Rand
	recording        *recording
	now              time.Duration
	queue            eventQueue
	queuedEvents     int
	gateways         int // in the current fleet
	processes        []*process
	startedProcesses uint64 // number of processes started so far, from which each gets its seed
	servers          []*simulatedServer
	customers        []simulatedCustomer
	requests         map[policy.RequestID]*clientRequest
	lastID           policy.RequestID
	actions          []policy.Action // reused by deliver
}

// process is one process of a gateway. After a restart another process has the same number.
type process struct {
	number  int
	gateway *policy.Gateway
	stopped bool
}

// clientRequest is one request of a client to a gateway. A client retry is another clientRequest.
type clientRequest struct {
	id            policy.RequestID
	process       *process
	customer      simulatedCustomer
	class         policy.Class
	units         float64
	deadline      time.Duration // of this request
	giveUpAt      time.Duration // when the client gives up and makes no further retry
	clientRetries int
	finished      bool
	attempts      int
	lastAttempt   *attempt // the latest attempt
}

type attempt struct {
	number int
	server *simulatedServer
	sentAt time.Duration
	ended  bool
}

const (
	firstRequestAt           = 200 * time.Millisecond
	maxClientTries           = 3    // requests of a client for one purpose, with its retries
	disconnectProbability    = 0.04 // that a client disconnects before its response
	clientRetryProbability   = 0.6  // that a client retries a request that was rejected or failed
	shortDeadlineProbability = 0.2  // that a request may take only part of the time left
	tooLateProbability       = 0.01 // that an attempt ends with TooLate
	lateDuplicateProbability = 0.02 // that a peer message arrives again, with a long delay
	truncationProbability    = 0.01 // that a peer message is truncated
	duplicateProbability     = 0.02 // that a peer message arrives again, with a short delay
)

// runScenario runs a scenario to its end and returns the recording.
func runScenario(t *testing.T, s scenario) *recording {
	t.Helper()
	sim := &simulation{t: t, scenario: s, random: rand.New(rand.NewPCG(s.seed, 0)), recording: newRecording(t, s.name),
		gateways: s.gateways, requests: map[policy.RequestID]*clientRequest{}}
	defer sim.recording.close()
	for i := range s.servers {
		sim.servers = append(sim.servers, sim.newServer(policy.ServerID(i+1), false))
	}
	sim.customers = sim.newCustomers()
	for number := range s.gateways {
		sim.startProcess(number, s.gateways)
	}
	sim.after(firstRequestAt, sim.nextRequest)
	sim.after(time.Second, sim.changeBehaviours)
	if s.healthyShare < 1 {
		sim.after(time.Second, sim.changeServers)
	}
	sim.scheduleChanges()
	sim.run()
	return sim.recording
}

// scheduleChanges queues the scenario's changes of the fleet, restarts and usage levels.
func (s *simulation) scheduleChanges() {
	for _, change := range s.scenario.fleetChanges {
		s.after(change.at, func() { s.changeFleet(change.gateways) })
	}
	if s.scenario.restartInterval > 0 {
		s.after(s.scenario.restartInterval, s.restartGateway)
	}
	if s.scenario.usageLevelInterval > 0 {
		s.after(s.scenario.usageLevelInterval, s.sendUsageLevel)
	}
}

func (s *simulation) run() {
	for len(s.queue) > 0 && s.queue[0].at <= s.scenario.length {
		next := heap.Pop(&s.queue).(queuedEvent)
		s.now = next.at
		next.run()
	}
}

func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// drawDelay draws a time up to a limit.
func (s *simulation) drawDelay(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)) + 1)
}

// after queues run for the time after a delay.
func (s *simulation) after(delay time.Duration, run func()) {
	s.queuedEvents++
	heap.Push(&s.queue, queuedEvent{s.now + delay, s.queuedEvents, run})
}

func (s *simulation) deliverAfter(delay time.Duration, to *process, event policy.Event) {
	s.after(delay, func() { s.deliver(to, event) })
}

// deliver lets a gateway handle an event, records the event and its actions, and executes the actions. They
// only queue further events, so the slice of actions can be reused.
func (s *simulation) deliver(to *process, event policy.Event) {
	if to.stopped {
		return
	}
	s.recording.event(s.now, to.number, event)
	s.actions = to.gateway.Handle(s.now, event, s.actions[:0])
	for _, action := range s.actions {
		s.recording.action(action)
		s.execute(to, action)
	}
}

func (s *simulation) execute(from *process, action policy.Action) {
	switch a := action.(type) {
	case policy.StartAttempt:
		s.startAttempt(a)
	case policy.CancelAttempt:
		s.cancelAttempt(a)
	case policy.Reject:
		s.finishRequest(a.ID, a.RetryAfter)
	case policy.Fail:
		s.finishRequest(a.ID, 0)
	case policy.SetTimer:
		s.deliverAfter(a.After, from, policy.TimerFired{Token: a.Token})
	case policy.SendPeerMessage:
		s.sendPeerMessage(from.number, a)
	case policy.WatchEndpoints:
		s.answerWatch(from)
	}
}

// answerWatch sends the gateway the endpoint list, or in one of four cases a failure of the watch.
func (s *simulation) answerWatch(to *process) {
	if s.chance(0.25) {
		s.deliverAfter(50*time.Millisecond, to, policy.EndpointUpdate{Kind: policy.WatchFailed})
		return
	}
	s.deliverAfter(20*time.Millisecond, to, policy.EndpointUpdate{Kind: policy.SnapshotUpdate, Servers: s.serverList()})
}

// Gateways.

// startProcess starts a process of a gateway with a cached endpoint list, which is up to date.
func (s *simulation) startProcess(number, gateways int) *process {
	s.startedProcesses++
	gateway, err := policy.New(gatewaySettings(s.scenario, number, gateways), s.scenario.seed<<32+s.startedProcesses)
	if err != nil {
		s.t.Fatal(err)
	}
	to := &process{number: number, gateway: gateway}
	for len(s.processes) <= number {
		s.processes = append(s.processes, &process{number: len(s.processes), stopped: true})
	}
	s.processes[number] = to
	s.deliver(to, policy.EndpointUpdate{Kind: policy.CachedUpdate, Servers: s.serverList()})
	return to
}

// restartGateway stops a gateway drawn at random and starts it again 300 ms later with the snapshot that the
// old process saved.
func (s *simulation) restartGateway() {
	s.after(s.scenario.restartInterval, s.restartGateway)
	old := s.processes[s.random.IntN(s.gateways)]
	if old.stopped {
		return
	}
	var snapshots []policy.CustomerSnapshot
	for from := 0; ; {
		page, next := old.gateway.SaveSnapshot(s.now, from, 16, nil)
		s.recording.snapshotPage(s.now, old.number, page, next)
		snapshots = append(snapshots, page...)
		if from = next; next == 0 {
			break
		}
	}
	old.stopped = true
	s.after(300*time.Millisecond, func() {
		if old.number < s.gateways && s.processes[old.number] == old {
			s.deliver(s.startProcess(old.number, s.gateways), policy.RestoreSnapshot{Age: 300 * time.Millisecond, Customers: snapshots})
		}
	})
}

// changeFleet changes the number of gateways. Each gateway receives the change after a delay of its own; later
// all receive the end of the change, and those that leave the fleet stop.
func (s *simulation) changeFleet(gateways int) {
	previousSize := s.gateways
	s.gateways = gateways
	for _, p := range s.processes[:previousSize] {
		s.deliverAfter(s.drawDelay(300*time.Millisecond), p, policy.FleetResized{Gateways: gateways, PreviousSize: previousSize})
	}
	for number := previousSize; number < gateways; number++ {
		joined := policy.FleetResized{Gateways: gateways, PreviousSize: previousSize}
		if number%2 == 1 {
			joined.PreviousSize = -1
		}
		s.deliver(s.startProcess(number, gateways), joined)
	}
	s.after(time.Second, func() { s.completeFleetChange(gateways) })
}

func (s *simulation) completeFleetChange(gateways int) {
	for _, p := range s.processes {
		s.deliver(p, policy.FleetResized{Gateways: gateways})
		if p.number >= gateways {
			p.stopped = true
		}
	}
}

func (s *simulation) sendUsageLevel() {
	s.after(s.scenario.usageLevelInterval, s.sendUsageLevel)
	customer := s.drawCustomer()
	level := policy.UsageLevel{Customer: customer.name, Units: 25*s.random.Float64() - 1}
	s.deliver(s.processes[s.gatewayOf(customer)], level)
}

// sendPeerMessage sends a message to one gateway or to all others. It may be lost, duplicated or truncated.
func (s *simulation) sendPeerMessage(from int, message policy.SendPeerMessage) {
	for _, to := range s.processes {
		if to.number != message.To && (message.To >= 0 || to.number == from) {
			continue
		}
		if s.chance(s.scenario.messageLoss) || s.isIsolated(from) || s.isIsolated(to.number) {
			continue
		}
		event := policy.PeerMessage{From: from, Data: message.Data}
		if s.scenario.messageLoss > 0 {
			event = s.injectMessageFaults(to, event)
		}
		s.deliverAfter(5*time.Millisecond+s.drawDelay(20*time.Millisecond), to, event)
	}
}

// injectMessageFaults delivers some messages once more, soon or late, and returns the message, truncated in some
// cases.
func (s *simulation) injectMessageFaults(to *process, event policy.PeerMessage) policy.PeerMessage {
	if s.chance(duplicateProbability) {
		s.deliverAfter(30*time.Millisecond, to, event)
	}
	if s.chance(lateDuplicateProbability) {
		s.deliverAfter(600*time.Millisecond, to, event)
	}
	if s.chance(truncationProbability) {
		event.Data = event.Data[:s.random.IntN(max(1, len(event.Data)))]
	}
	return event
}

// isIsolated reports whether a gateway exchanges no peer messages now.
func (s *simulation) isIsolated(number int) bool {
	third := s.scenario.length / 3
	return number < s.scenario.isolatedGateways && s.now > third && s.now < 2*third
}

// Clients.

// nextRequest sends the first request of a client and schedules that of the next one.
func (s *simulation) nextRequest() {
	mean := time.Duration(float64(time.Second) / s.scenario.requestRate)
	wait := s.drawDelay(2 * mean)
	if s.now >= s.scenario.idleFrom && s.now < s.scenario.idleUntil {
		wait = s.scenario.idleUntil - s.now
	}
	s.after(wait, s.nextRequest)
	list := classes()
	class := list[s.random.IntN(len(list))]
	if s.chance(0.01) {
		class.Name = "unlisted"
	}
	s.request(&clientRequest{customer: s.drawCustomer(), class: class, units: float64(1 + s.random.IntN(4)*s.random.IntN(2)),
		giveUpAt: s.now + class.Deadline})
}

// gatewayOf draws one of the gateways that receive a customer's requests.
func (s *simulation) gatewayOf(c simulatedCustomer) int {
	return (c.firstGateway + s.random.IntN(min(c.gatewaySpread, s.gateways))) % s.gateways
}

// request sends a request to a gateway, in some cases with only part of the time left as its deadline.
func (s *simulation) request(r *clientRequest) {
	r.process = s.processes[s.gatewayOf(r.customer)]
	remaining := r.giveUpAt - s.now
	if remaining <= 0 || r.process.stopped {
		return
	}
	if s.chance(shortDeadlineProbability) {
		remaining = s.drawDelay(remaining)
	}
	s.lastID++
	r.id, r.deadline = s.lastID, s.now+remaining
	s.requests[r.id] = r
	s.after(remaining, func() { s.disconnect(r) })
	if s.chance(disconnectProbability) {
		s.after(s.drawDelay(remaining), func() { s.disconnect(r) })
	}
	s.deliver(r.process, policy.Request{ID: r.id, Customer: r.customer.name, Plan: r.customer.plan, Class: r.class.Name,
		Units: r.units, Remaining: remaining, FirstGateway: r.customer.firstGateway, GatewaySpread: r.customer.gatewaySpread, ClientRetry: r.clientRetries > 0})
}

// disconnect disconnects the client of a request without a response, and cancels its attempt.
func (s *simulation) disconnect(r *clientRequest) {
	if r.finished {
		return
	}
	r.finished = true
	s.deliver(r.process, policy.ClientDisconnected{ID: r.id})
	if r.lastAttempt != nil && !r.lastAttempt.ended {
		s.after(time.Millisecond, func() { s.endAttempt(r, r.lastAttempt, policy.Cancelled) })
	}
}

// requestByID returns the request that an action refers to.
func (s *simulation) requestByID(id policy.RequestID) *clientRequest {
	r := s.requests[id]
	if r == nil {
		s.t.Fatalf("scenario %s: an action for request %d, which was never sent", s.scenario.name, id)
	}
	return r
}

// finishRequest ends a request with a rejection or a failure. The client may retry it.
func (s *simulation) finishRequest(id policy.RequestID, retryAfter time.Duration) {
	r := s.requestByID(id)
	if r.finished {
		s.t.Fatalf("scenario %s: request %d got a second final response, or one after its client disconnected", s.scenario.name, id)
	}
	r.finished = true
	if r.clientRetries+1 >= maxClientTries || !s.chance(clientRetryProbability) {
		return
	}
	next := &clientRequest{customer: r.customer, class: r.class, units: r.units, giveUpAt: r.giveUpAt, clientRetries: r.clientRetries + 1}
	s.after(retryAfter+s.drawDelay(200*time.Millisecond), func() { s.request(next) })
}

// startAttempt starts an attempt at a server and schedules its end.
func (s *simulation) startAttempt(a policy.StartAttempt) {
	r := s.requestByID(a.ID)
	if a.Server < 1 || int(a.Server) > len(s.servers) {
		s.t.Fatalf("scenario %s: an attempt at server %d, which does not exist", s.scenario.name, a.Server)
	}
	server := s.servers[a.Server-1]
	started := &attempt{number: r.attempts, server: server, sentAt: s.now}
	r.attempts++
	r.lastAttempt = started
	code, latency := s.drawResult(server, r.customer.plan)
	server.inFlight++
	limit := cmp.Or(a.Timeout, r.deadline-s.now)
	if latency > limit {
		code, latency = policy.TimedOut, limit
	}
	if s.chance(tooLateProbability) {
		code, latency = policy.TooLate, time.Millisecond
	}
	if r.class.Streaming && code == policy.OK {
		s.after(time.Duration(firstByteShare*float64(latency)), func() { s.startResponse(r, started) })
	}
	s.after(latency, func() { s.endAttempt(r, started, code) })
}

func (s *simulation) startResponse(r *clientRequest, a *attempt) {
	if !a.ended {
		s.deliver(r.process, policy.ResponseStarted{ID: r.id, Attempt: a.number, Server: a.server.ID})
	}
}

func (s *simulation) cancelAttempt(c policy.CancelAttempt) {
	r := s.requestByID(c.ID)
	if a := r.lastAttempt; a != nil && a.number == c.Attempt {
		s.after(time.Millisecond, func() { s.endAttempt(r, a, policy.Cancelled) })
	}
}

// endAttempt sends the gateway the result of an attempt, unless it has one. OK is the request's final response.
func (s *simulation) endAttempt(r *clientRequest, a *attempt, code policy.ResultCode) {
	if a.ended {
		return
	}
	a.ended = true
	a.server.inFlight--
	if code == policy.OK {
		r.finished = true
	}
	outcome := policy.AttemptResult{ID: r.id, Attempt: a.number, Server: a.server.ID, Code: code, Latency: s.now - a.sentAt, Answered: r.finished}
	if code == policy.OK {
		outcome.LoadMetrics = []float64{float64(a.server.inFlight), 0}
		if s.chance(0.2) {
			outcome.ActualUnits = float64(1 + s.random.IntN(6))
		}
	}
	s.deliver(r.process, outcome)
}

// queuedEvent is a function that runs at a time. Events of the same time run in the order in which they were
// queued.
type queuedEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []queuedEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(event any) { *q = append(*q, event.(queuedEvent)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = slices.Delete(*q, last, last+1)
	return event
}
