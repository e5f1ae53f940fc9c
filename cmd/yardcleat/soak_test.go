package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/processtest"
)

var (
	soakSeeds = flag.Int("soak-seeds", 15, "number of shutdowns per program")
	soakFirst = flag.Uint64("soak-first", 1, "seed of the first shutdown")
	soakSlots = flag.Int("soak-parallel", 3, "number of shutdowns that run at a time")
)

const (
	// killGrace is the time between the end of the longest deadline and SIGKILL.
	killGrace = 700 * time.Millisecond

	// guaranteedTime is the time after SIGTERM within which each received request must get a response before SIGKILL.
	guaranteedTime = 700 * time.Millisecond

	// responseSlack is how long after the client timeout a response may be received.
	responseSlack = 500 * time.Millisecond

	// disconnectSlack is how long after its client has disconnected an attempt may begin.
	disconnectSlack = 100 * time.Millisecond
)

// shutdown is a randomly generated shutdown, with the clients and faults around it.
type shutdown struct {
	edge             bool
	seed             uint64
	clients          int
	earlyDisconnects int
	slowWriters      int
	idleConnections  int // connections on which no request is sent
	burst            int // clients that start just before SIGTERM
	hanging          int // servers that hang from just before SIGTERM
	draining         int // servers that start to drain just before SIGTERM; edge nodes only
	longResponses    bool
	signals          []timedSignal
	deadline         time.Duration   // of all classes
	bad              []badGroup      // clients that come again whenever their connection has ended
	stops            []time.Duration // for which the process is stopped again and again until SIGTERM
}

// timedSignal is a signal that is sent at a time after the first SIGTERM.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// serverCount is the number of servers behind a node.
const serverCount = 4

// drawShutdown generates the shutdown of a seed. Even seeds add early disconnects, slow writers, idle connections
// and a burst. One third of the shutdowns has hanging servers; of edge nodes, another third has draining ones.
func drawShutdown(edge bool, seed uint64) shutdown {
	random := rand.New(rand.NewPCG(seed, 7))
	s := shutdown{edge: edge, seed: seed, clients: 24 + random.IntN(73), longResponses: random.IntN(3) == 0}
	if seed%2 == 0 {
		s.earlyDisconnects, s.slowWriters, s.idleConnections, s.burst = 5+random.IntN(20), 5+random.IntN(10), 50+random.IntN(350), random.IntN(60)
	}
	switch random.IntN(3) {
	case 0:
		s.hanging = 1 + random.IntN(2)
	case 1:
		if edge {
			s.draining = 1 + random.IntN(2)
		}
	}
	s.signals = []timedSignal{{0, syscall.SIGTERM}}
	at := time.Duration(0)
	for range 2 + random.IntN(4) {
		at += time.Duration(random.IntN(500)) * time.Millisecond
		next := syscall.SIGTERM
		if random.IntN(3) == 0 {
			next = syscall.SIGHUP
		}
		s.signals = append(s.signals, timedSignal{at, next})
	}
	s.drawTrouble(rand.New(rand.NewPCG(seed, 9)))
	return s
}

// badTexts is what bad clients send, each of them one of these.
var badTexts = []func(number int) string{unsoundRequest, halfHeader, halfBody, manyFields, manyRequests, nothing}

// drawTrouble generates what else happens: short deadlines, stops of the process, and in every second shutdown bad
// clients, now and then more than there are places for connections.
func (s *shutdown) drawTrouble(random *rand.Rand) {
	s.deadline = longestDeadline
	if random.IntN(2) == 0 {
		s.deadline = time.Duration(400+random.IntN(1600)) * time.Millisecond
	}
	if random.IntN(2) == 0 {
		for range 4 + random.IntN(6) {
			s.stops = append(s.stops, time.Duration(10+random.IntN(140))*time.Millisecond)
		}
	}
	if random.IntN(2) == 0 {
		for range 1 + random.IntN(2) {
			s.bad = append(s.bad, sends(1+random.IntN(120), badTexts[random.IntN(len(badTexts))]))
		}
	}
}

// A node that is shut down while clients keep using it must respond to every request that a server has received, once
// and in time, until the earliest SIGKILL. Requests could be lost if a repeated signal, a hanging or draining server,
// or a burst of clients crosses the shutdown.
func TestShutdownsLoseNoRequest(t *testing.T) {
	slots := make(chan struct{}, *soakSlots)
	for _, edge := range []bool{false, true} {
		for i := range *soakSeeds {
			s := drawShutdown(edge, *soakFirst+uint64(i))
			t.Run(fmt.Sprintf("%s %d", s.program(), s.seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				s.run(t)
			})
		}
	}
}

func (s shutdown) program() string {
	if s.edge {
		return "edge"
	}
	return "serve"
}

// run performs the shutdown and checks that servers and clients received what they should.
func (s shutdown) run(t *testing.T) {
	random := rand.New(rand.NewPCG(s.seed, 8))
	servers := newServerGroup(t, serverCount)
	for _, server := range servers.servers {
		server.latency = time.Duration(5+random.IntN(250)) * time.Millisecond
		if s.longResponses {
			server.paddingBytes = random.IntN(300_000)
		}
	}
	node := s.startNode(t, servers)
	lag := startLagMeter()
	clients := newClientPopulation(node, s.seed, s.deadline)
	s.startClients(clients)
	stopBadClients := s.startBadClients(node)
	s.stopProcess(node, time.Now().Add(time.Duration(600+random.IntN(400))*time.Millisecond))
	s.injectFaults(servers, clients)
	terminatedAt := s.sendSignals(node)
	killed := killAt(node, terminatedAt.Add(s.deadline+killGrace))
	clients.stop()
	stopBadClients()
	report := shutdownReport{shutdown: s, terminatedAt: terminatedAt, killed: killed, lag: lag.stop()}
	report.check(servers, clients)
	t.Log(report.summary())
	for _, violation := range report.violations {
		t.Error(violation)
	}
	if !killed && node.err != nil {
		t.Errorf("the node exited with %v", node.err)
	}
	if t.Failed() {
		t.Logf("log of the node:\n%s", node.log)
	}
}

func (s shutdown) startNode(t *testing.T, servers *serverGroup) *nodeProcess {
	t.Helper()
	config := serveConfig(processtest.AnyPort, servers, s.deadline)
	if s.edge {
		config = edgeConfig(processtest.AnyPort, serveHTTP(t, servers), usualResources, s.deadline)
	}
	return startProcess(t, s.edge, config, servers)
}

// startBadClients starts the bad clients, and returns a function that ends them.
func (s shutdown) startBadClients(node *nodeProcess) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	number := 0
	for _, group := range s.bad {
		for range group.clients {
			number++
			clients.Go(func() { group.playClient(ctx, node, number) })
		}
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// stopProcess stops the process again and again, and returns at a time.
func (s shutdown) stopProcess(node *nodeProcess, until time.Time) {
	for _, stop := range s.stops {
		if time.Until(until) < 2*stop {
			break
		}
		time.Sleep(stop)
		node.signal(syscall.SIGSTOP)
		time.Sleep(stop)
		node.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(until))
}

func (s shutdown) startClients(clients *clientPopulation) {
	for i := range s.clients {
		clients.start(i, func(c *client) {
			c.disconnectsEarly = i < s.earlyDisconnects
			if i >= s.earlyDisconnects && i < s.earlyDisconnects+s.slowWriters {
				c.pieceDelay = time.Duration(5+c.random.IntN(60)) * time.Millisecond
			}
		})
	}
	clients.openIdleConnections(s.idleConnections)
}

// injectFaults makes servers hang or drain, and starts the burst of clients.
func (s shutdown) injectFaults(servers *serverGroup, clients *clientPopulation) {
	for _, server := range servers.servers[:s.hanging] {
		server.hangs.Store(true)
	}
	for _, server := range servers.servers[:s.draining] {
		servers.drain(server)
	}
	for i := range s.burst {
		clients.start(s.clients+i, func(*client) {})
	}
}

// sendSignals sends the signals and returns the time of the first.
func (s shutdown) sendSignals(node *nodeProcess) time.Time {
	start := time.Now()
	for _, next := range s.signals {
		time.Sleep(time.Until(start.Add(next.after)))
		node.signal(next.signal)
	}
	return start
}

// killAt kills the process at a time, unless it has exited by then.
func killAt(node *nodeProcess, at time.Time) (killed bool) {
	select {
	case <-node.exited:
		return false
	case <-time.After(time.Until(at)):
	}
	node.signal(syscall.SIGKILL)
	<-node.exited
	return true
}

// lagMeter measures the longest time for which this process did not run. Its observations may be late
// by that.
type lagMeter struct {
	done  chan struct{}
	worst chan time.Duration
}

// lagInterval is the time between two readings of the clock.
const lagInterval = 5 * time.Millisecond

func startLagMeter() *lagMeter {
	m := &lagMeter{make(chan struct{}), make(chan time.Duration, 1)}
	go func() {
		worst, last := time.Duration(0), time.Now()
		for {
			select {
			case <-m.done:
				m.worst <- worst
				return
			case <-time.After(lagInterval):
			}
			now := time.Now()
			worst = max(worst, now.Sub(last)-lagInterval)
			last = now
		}
	}()
	return m
}

func (m *lagMeter) stop() time.Duration {
	close(m.done)
	return <-m.worst
}

// shutdownReport is the outcome of a shutdown.
type shutdownReport struct {
	shutdown
	terminatedAt      time.Time
	killed            bool
	lag               time.Duration
	received          int // requests that servers received
	late              int // received requests, later than guaranteedTime after SIGTERM
	interruptedByKill int // late requests that SIGKILL cut off
	crossed           int // requests that crossed the end of a connection between two requests
	violations        []string
}

func (r *shutdownReport) summary() string {
	return fmt.Sprintf("%s, seed %d: %d clients, %d early disconnects, %d slow writers, %d idle, %d in a burst, %d hanging, %d draining, %d signals, deadline %v, %d bad groups, %d stops; "+
		"%d requests received, %d later than %v after SIGTERM, %d of them cut off by SIGKILL, %d others crossed an end; killed %v, lag %v, pid %d",
		r.program(), r.seed, r.clients, r.earlyDisconnects, r.slowWriters, r.idleConnections, r.burst, r.hanging, r.draining, len(r.signals),
		r.deadline, len(r.bad), len(r.stops),
		r.received, r.late, guaranteedTime, r.interruptedByKill, r.crossed, r.killed, r.lag.Round(time.Millisecond), os.Getpid())
}

// check compares the requests that servers received with the responses that clients received.
func (r *shutdownReport) check(servers *serverGroup, clients *clientPopulation) {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for id, sent := range clients.requests {
		if servers.requests[id] == nil {
			r.checkUnsent(id, sent)
		}
	}
	for id, received := range servers.requests {
		if strings.HasPrefix(id, badIDPrefix) {
			continue
		}
		sent := clients.requests[id]
		switch {
		case sent != nil:
			r.received++
			r.checkRequest(id, received, sent)
		case id != clients.node.requestID(readinessNumber):
			r.violations = append(r.violations, fmt.Sprintf("servers received request %s, which no client has sent", id))
		}
	}
	if r.received == 0 {
		r.violations = append(r.violations, "servers received no request")
	}
}

// newConnectionTime is the time after SIGTERM within which clients make new connections.
const newConnectionTime = 400 * time.Millisecond

// checkUnsent adds the violation of a request that no server has received. It is owed a response once its last byte is
// written, unless it crossed the end of a connection between two requests, which the node may have ended just then.
func (r *shutdownReport) checkUnsent(id string, sent *sentRequest) {
	switch {
	case !sent.respondedAt.IsZero() || !sent.disconnectedAt.IsZero() || sent.sentAt.IsZero():
		return
	case sent.isFollowing && sent.endedAt.Sub(sent.sentAt) <= r.crossingTime():
		r.crossed++
		return
	case r.killed && sent.sentAt.Sub(r.terminatedAt) > guaranteedTime, sent.connectedAt.Sub(r.terminatedAt) > r.acceptTime():
		return
	}
	r.violations = append(r.violations, fmt.Sprintf("%s %s, sent %v after SIGTERM and %v after its connection was made: no response, %v after %v", sent.class, id,
		sent.sentAt.Sub(r.terminatedAt).Round(time.Millisecond), sent.sentAt.Sub(sent.connectedAt).Round(time.Millisecond), sent.err, sent.endedAt.Sub(sent.sentAt)))
}

// acceptTime returns the time after SIGTERM within which new connections are accepted.
func (r *shutdownReport) acceptTime() time.Duration {
	if r.edge {
		return newConnectionTime
	}
	return 0
}

// holdUpTime is how long a node may be held up between two steps.
const holdUpTime = 150 * time.Millisecond

// crossingTime returns how long after a request was written its connection may end without the node having read it.
func (r *shutdownReport) crossingTime() time.Duration {
	longestStop := time.Duration(0)
	for _, stop := range r.stops {
		longestStop = max(longestStop, stop)
	}
	return holdUpTime + longestStop + r.lag
}

// checkRequest adds the violations of one request that servers received.
func (r *shutdownReport) checkRequest(id string, received *receivedRequest, sent *sentRequest) {
	first, last := received.receivedAt[0], received.receivedAt[len(received.receivedAt)-1]
	isLate := first.Sub(r.terminatedAt) > guaranteedTime
	if isLate {
		r.late++
	}
	violate := func(format string, values ...any) {
		r.violations = append(r.violations, fmt.Sprintf("%s %s, received %v after SIGTERM: ", received.class, id,
			first.Sub(r.terminatedAt).Round(time.Millisecond))+fmt.Sprintf(format, values...))
	}
	if received.class == classNonIdempotent && len(received.receivedAt) > 1 {
		violate("received %d times", len(received.receivedAt))
	}
	if !sent.disconnectedAt.IsZero() {
		if after := last.Sub(sent.disconnectedAt); after > disconnectSlack+r.lag {
			violate("an attempt began %v after its client had disconnected", after)
		}
		return
	}
	switch {
	case sent.isMismatched:
		violate("its response was for another request")
	case !sent.respondedAt.IsZero():
		if elapsed := sent.respondedAt.Sub(sent.sentAt); elapsed > r.deadline+responseSlack+r.lag {
			violate("response after %v", elapsed)
		}
	case isLate && r.killed:
		r.interruptedByKill++
	default:
		violate("no response: %v", sent.err)
	}
}
