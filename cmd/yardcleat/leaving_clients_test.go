package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// leavingCase is a node with clients that send several requests at once and leave with much unread.
type leavingCase struct {
	name        string
	maxRequests int // of a client
	stops       bool
}

// leavingClients is the number of clients at a time; each comes again after it has left.
const leavingClients = 60

// Guards against requests that are sent on after their client has closed its connection with much still unread.
func TestNoAttemptBeginsForClientsThatLeave(t *testing.T) {
	for _, c := range []leavingCase{
		{name: "what is read ahead", maxRequests: 290},
		{name: "more than is read ahead", maxRequests: 1500},
		{name: "process stopped", maxRequests: 290, stops: true},
	} {
		t.Run(c.name, c.run)
	}
}

func (c leavingCase) run(t *testing.T) {
	servers := newServerGroup(t, serverCount)
	for _, server := range servers.servers {
		server.latency = 20 * time.Millisecond
	}
	node := startEdgeNode(t, usualResources, servers, serveHTTP(t, servers))
	lag := startLagMeter()
	ctx, cancel := context.WithTimeout(context.Background(), *placesTime)
	defer cancel()
	left := leftRequests{node: node, leftAt: map[string]time.Time{}}
	var clients sync.WaitGroup
	for number := range leavingClients {
		random := rand.New(rand.NewPCG(1, uint64(number)))
		clients.Go(func() {
			for ctx.Err() == nil {
				left.play(random, c.maxRequests)
			}
		})
	}
	longestStop := time.Duration(0)
	for c.stops && ctx.Err() == nil {
		longestStop = holdUpTime
		time.Sleep(2 * holdUpTime)
		node.signal(syscall.SIGSTOP)
		time.Sleep(holdUpTime)
		node.signal(syscall.SIGCONT)
	}
	clients.Wait()
	time.Sleep(clientTimeout) // attempts could still begin
	left.check(t, servers, longestStop+lag.stop())
}

// leftRequests is the requests of clients that have left.
type leftRequests struct {
	node       *nodeProcess
	lastNumber atomic.Uint64

	mu     sync.Mutex
	leftAt map[string]time.Time // when the client of a request closed its connection, by id
}

// play sends up to maxRequests requests at once on a new connection, and closes it a moment later.
func (l *leftRequests) play(random *rand.Rand, maxRequests int) {
	conn, err := net.Dial("tcp", l.node.address)
	if err != nil {
		time.Sleep(redialDelay)
		return
	}
	var ids []string
	var text strings.Builder
	for range 1 + random.IntN(maxRequests) {
		id := l.node.requestID(readinessNumber + l.lastNumber.Add(1))
		ids = append(ids, id)
		text.WriteString(requestText(true, classIdempotent, id, clientTimeout))
	}
	leaves := time.AfterFunc(time.Duration(10+random.IntN(140))*time.Millisecond, func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text.String()) // ends early if the client leaves before
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, int64(random.IntN(2000))))
	leaves.Stop()
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.leftAt[id] = time.Now()
	}
}

// check checks when servers received the requests.
func (l *leftRequests) check(t *testing.T, servers *serverGroup, lag time.Duration) {
	servers.mu.Lock()
	defer servers.mu.Unlock()
	var late []string
	received := 0
	for id, request := range servers.requests {
		leftAt, ok := l.leftAt[id]
		if !ok {
			continue
		}
		received++
		last := request.receivedAt[len(request.receivedAt)-1]
		if after := last.Sub(leftAt); after > disconnectSlack+lag {
			late = append(late, fmt.Sprintf("%s: %v", id, after))
		}
	}
	t.Logf("servers received %d of %d requests; lag and stops %v", received, len(l.leftAt), lag)
	if received == 0 {
		t.Error("servers received no request")
	}
	if len(late) > 0 {
		t.Errorf("%d attempts began after their client had left: %s", len(late), strings.Join(late[:min(len(late), 5)], ", "))
	}
}
