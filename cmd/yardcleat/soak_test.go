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

	// mustAnswerTime is how long after SIGTERM a request may be received that the kill must not meet.
	mustAnswerTime = 700 * time.Millisecond

	// lateSlack is how late an answer may be.
	lateSlack = 500 * time.Millisecond

	// departureSlack is how long after its client has left an attempt may begin.
	departureSlack = 100 * time.Millisecond
)

// shutdown is a drawn shutdown.
type shutdown struct {
	edge        bool
	seed        uint64
	clients     int
	leavers     int
	slowWriters int
	idle        int // connections that send nothing
	burst       int // clients that come just before SIGTERM
	hanging     int // servers that hang, from just before SIGTERM on
	draining    int // servers that begin to drain then; edge nodes only
	longAnswers bool
	signals     []timedSignal
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
	s := shutdown{edge: edge, seed: seed, clients: 24 + random.IntN(73), longAnswers: random.IntN(3) == 0}
	if seed%2 == 0 {
		s.leavers, s.slowWriters, s.idle, s.burst = 5+random.IntN(20), 5+random.IntN(10), 50+random.IntN(350), random.IntN(60)
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
				s.play(t)
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

// play plays the shutdown and checks what servers received and clients got.
func (s shutdown) play(t *testing.T) {
	random := rand.New(rand.NewPCG(s.seed, 8))
	servers := newServerFleet(t, serverCount)
	for _, server := range servers.servers {
		server.latency = time.Duration(5+random.IntN(250)) * time.Millisecond
		if s.longAnswers {
			server.padding = random.IntN(300_000)
		}
	}
	node := startNode(t, s.edge, servers, serveHTTP(t, servers))
	lag := startLagMeter()
	clients := newPopulation(node, s.seed)
	s.startClients(clients)
	time.Sleep(time.Duration(600+random.IntN(400)) * time.Millisecond)
	s.disturb(servers, clients)
	terminatedAt := s.sendSignals(node)
	killed := killAt(node, terminatedAt.Add(longestDeadline+killGrace))
	clients.stop()
	v := verdict{shutdown: s, terminatedAt: terminatedAt, killed: killed, lag: lag.stop()}
	v.check(servers, clients)
	t.Log(v.summary())
	for _, violation := range v.violations {
		t.Error(violation)
	}
	if !killed && node.err != nil && len(v.violations) > 0 {
		t.Errorf("the node ended with %v: %s", node.err, &node.log)
	}
}

func (s shutdown) startClients(clients *population) {
	for i := range s.clients {
		clients.start(i, func(c *client) {
			c.leaves = i < s.leavers
			if i >= s.leavers && i < s.leavers+s.slowWriters {
				c.pieceDelay = time.Duration(5+c.random.IntN(60)) * time.Millisecond
			}
		})
	}
	clients.holdSockets(s.idle)
}

// disturb brings what crosses the shutdown.
func (s shutdown) disturb(servers *serverFleet, clients *population) {
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

// verdict is what came of a shutdown.
type verdict struct {
	shutdown
	terminatedAt time.Time
	killed       bool
	lag          time.Duration
	received     int // requests that servers have received
	late         int // of them after mustAnswerTime
	cut          int // of them, met by the kill
	violations   []string
}

func (v *verdict) summary() string {
	return fmt.Sprintf("%s, seed %d: %d clients, %d leavers, %d slow, %d idle, %d in a burst, %d hanging, %d draining, %d signals; "+
		"%d requests received, %d later than %v after SIGTERM, %d of them met by the kill; killed %v, lag %v, pid %d",
		v.program(), v.seed, v.clients, v.leavers, v.slowWriters, v.idle, v.burst, v.hanging, v.draining, len(v.signals),
		v.received, v.late, mustAnswerTime, v.cut, v.killed, v.lag.Round(time.Millisecond), os.Getpid())
}

// check compares what servers received with what clients got.
func (v *verdict) check(servers *serverFleet, clients *population) {
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

func (v *verdict) checkRequest(id string, at *received, sent *sentRequest) {
	first, last := at.at[0], at.at[len(at.at)-1]
	isLate := first.Sub(v.terminatedAt) > mustAnswerTime
	if isLate {
		v.late++
	}
	violate := func(format string, values ...any) {
		v.violations = append(v.violations, fmt.Sprintf("%s %s, received %v after SIGTERM: ", at.class, id,
			first.Sub(v.terminatedAt).Round(time.Millisecond))+fmt.Sprintf(format, values...))
	}
	if at.class == classUnsafe && len(at.at) > 1 {
		violate("received %d times", len(at.at))
	}
	if !sent.leftAt.IsZero() {
		if after := last.Sub(sent.leftAt); after > departureSlack+v.lag {
			violate("an attempt began %v after its client had left", after)
		}
		return
	}
	switch {
	case sent.isWrong:
		violate("its answer was for another request")
	case !sent.answeredAt.IsZero():
		if took := sent.answeredAt.Sub(sent.sentAt); took > clientTimeout+lateSlack+v.lag {
			violate("answered after %v", took)
		}
	case isLate && v.killed:
		v.cut++
	default:
		violate("no answer: %v", sent.err)
	}
}
