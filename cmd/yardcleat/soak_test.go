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
	soakSeeds = flag.Int("soak-seeds", 15, "number of shutdowns of each program")
	soakFirst = flag.Uint64("soak-first", 1, "seed of the first shutdown")
	soakSlots = flag.Int("soak-parallel", 3, "shutdowns at a time")
)

const (
	// killGrace is how long after the longest deadline SIGKILL comes at the earliest.
	killGrace = 700 * time.Millisecond

	// guaranteedTime is how long after SIGTERM a request may be received that the kill must not meet.
	guaranteedTime = 700 * time.Millisecond

	// responseSlack is how late an answer may be.
	responseSlack = 500 * time.Millisecond

	// disconnectSlack is how long after its client has left an attempt may begin.
	disconnectSlack = 100 * time.Millisecond
)

// shutdown is a drawn shutdown.
type shutdown struct {
	edge             bool
	seed             uint64
	clients          int
	earlyDisconnects int
	slowWriters      int
	idleConnections  int // connections that send nothing
	burst            int // clients that come just before SIGTERM
	hanging          int // servers that hang, from just before SIGTERM on
	draining         int // servers that begin to drain then; edge nodes only
	longResponses    bool
	signals          []timedSignal
}

// timedSignal is a signal at a time after the first SIGTERM.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// serverCount is the number of servers behind a node.
const serverCount = 4

// drawShutdown draws the shutdown of a seed: every other one has a crowd, and hanging or draining servers come
// with two of three.
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

// Nodes that are shut down while clients keep using them answer every request that a server has received, once and
// in time, until the earliest SIGKILL; whatever signals come in series, servers hang or drain, and crowds come.
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

// run plays the shutdown and checks what servers received and clients got.
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
	v := shutdownReport{shutdown: s, terminatedAt: terminatedAt, killed: killed, lag: lag.stop()}
	v.check(servers, clients)
	t.Log(v.summary())
	for _, violation := range v.violations {
		t.Error(violation)
	}
	if !killed && node.err != nil && len(v.violations) > 0 {
		t.Errorf("the node ended with %v: %s", node.err, &node.log)
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

// injectFaults brings what crosses the shutdown.
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
	begun := time.Now()
	for _, next := range s.signals {
		time.Sleep(time.Until(begun.Add(next.after)))
		node.signal(next.signal)
	}
	return begun
}

// killAt waits for the end of the process until a time and kills it then.
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

// lagMeter measures for how long this process did not run: what it saw late by that was not late.
type lagMeter struct {
	done  chan struct{}
	worst chan time.Duration
}

// lagInterval is the time between two looks at the clock.
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

// shutdownReport is what came of a shutdown.
type shutdownReport struct {
	shutdown
	terminatedAt      time.Time
	killed            bool
	lag               time.Duration
	received          int // requests that servers have received
	late              int // of them after mustAnswerTime
	interruptedByKill int // of them, met by the kill
	violations        []string
}

func (v *shutdownReport) summary() string {
	return fmt.Sprintf("%s, seed %d: %d clients, %d leavers, %d slow, %d idle, %d in a burst, %d hanging, %d draining, %d signals; "+
		"%d requests received, %d later than %v after SIGTERM, %d of them met by the kill; killed %v, lag %v, pid %d",
		v.program(), v.seed, v.clients, v.earlyDisconnects, v.slowWriters, v.idleConnections, v.burst, v.hanging, v.draining, len(v.signals),
		v.received, v.late, guaranteedTime, v.interruptedByKill, v.killed, v.lag.Round(time.Millisecond), os.Getpid())
}

// check compares what servers received with what clients got.
func (v *shutdownReport) check(servers *serverGroup, clients *clientPopulation) {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for id, at := range servers.requests {
		if sent := clients.requests[id]; sent != nil {
			v.received++
			v.checkRequest(id, at, sent)
		}
	}
}

func (v *shutdownReport) checkRequest(id string, at *receivedRequest, sent *sentRequest) {
	first, last := at.receivedAt[0], at.receivedAt[len(at.receivedAt)-1]
	isLate := first.Sub(v.terminatedAt) > guaranteedTime
	if isLate {
		v.late++
	}
	violate := func(format string, values ...any) {
		v.violations = append(v.violations, fmt.Sprintf("%s %s, received %v after SIGTERM: ", at.class, id,
			first.Sub(v.terminatedAt).Round(time.Millisecond))+fmt.Sprintf(format, values...))
	}
	if at.class == classNonIdempotent && len(at.receivedAt) > 1 {
		violate("received %d times", len(at.receivedAt))
	}
	if !sent.disconnectedAt.IsZero() {
		if after := last.Sub(sent.disconnectedAt); after > disconnectSlack+v.lag {
			violate("an attempt began %v after its client had left", after)
		}
		return
	}
	switch {
	case sent.isMismatched:
		violate("its answer was for another request")
	case !sent.respondedAt.IsZero():
		if took := sent.respondedAt.Sub(sent.sentAt); took > clientTimeout+responseSlack+v.lag {
			violate("answered after %v", took)
		}
	case isLate && v.killed:
		v.interruptedByKill++
	default:
		violate("no answer: %v", sent.err)
	}
}
