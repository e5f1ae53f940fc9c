package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"
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
	return s
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
	node := startNode(t, s.edge, servers, serveHTTP(t, servers))
	lag := startLagMeter()
	clients := newClientPopulation(node, s.seed)
	s.startClients(clients)
	time.Sleep(time.Duration(600+random.IntN(400)) * time.Millisecond)
	s.injectFaults(servers, clients)
	terminatedAt := s.sendSignals(node)
	killed := killAt(node, terminatedAt.Add(longestDeadline+killGrace))
	clients.stop()
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
	violations        []string
}

func (r *shutdownReport) summary() string {
	return fmt.Sprintf("%s, seed %d: %d clients, %d early disconnects, %d slow writers, %d idle, %d in a burst, %d hanging, %d draining, %d signals; "+
		"%d requests received, %d later than %v after SIGTERM, %d of them cut off by SIGKILL; killed %v, lag %v, pid %d",
		r.program(), r.seed, r.clients, r.earlyDisconnects, r.slowWriters, r.idleConnections, r.burst, r.hanging, r.draining, len(r.signals),
		r.received, r.late, guaranteedTime, r.interruptedByKill, r.killed, r.lag.Round(time.Millisecond), os.Getpid())
}

// check compares the requests that servers received with the responses that clients received.
func (r *shutdownReport) check(servers *serverGroup, clients *clientPopulation) {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for id, received := range servers.requests {
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
		if elapsed := sent.respondedAt.Sub(sent.sentAt); elapsed > clientTimeout+responseSlack+r.lag {
			violate("response after %v", elapsed)
		}
	case isLate && r.killed:
		r.interruptedByKill++
	default:
		violate("no response: %v", sent.err)
	}
}
