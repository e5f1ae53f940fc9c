package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// startRequest sends a request on a connection of its own, and returns a channel for its status; 0: no answer.
func startRequest(t *testing.T, node *nodeProcess, class, id string) <-chan int {
	t.Helper()
	nc, err := net.Dial("tcp", node.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() }) // the node closes it, too
	if _, err := io.WriteString(nc, requestText(node.edge, class, id, longestDeadline)); err != nil {
		t.Fatal(err)
	}
	status := make(chan int, 1)
	go func() {
		answer, _ := newClientConn(nc).read(time.Now().Add(longestDeadline + time.Second)) // 0 where it fails
		status <- answer.status
	}()
	return status
}

// waitUntilReceived waits until servers have received so many requests.
func waitUntilReceived(t *testing.T, servers *serverGroup, count int) {
	t.Helper()
	for range 500 {
		servers.mu.Lock()
		received := len(servers.requests)
		servers.mu.Unlock()
		if received >= count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the servers did not receive %d requests", count)
}

// Supervisors repeat SIGTERM: further ones, and SIGHUP, cut off no request that is in progress.
func TestFurtherSignalsCutOffNoRequest(t *testing.T) {
	t.Parallel()
	const inProgress = 4
	servers := newServerGroup(t, 2)
	node := startNode(t, false, servers, "")
	for _, s := range servers.servers {
		s.latency = time.Second
	}
	var open []<-chan int
	for i := range 24 {
		open = append(open, startRequest(t, node, classNonIdempotent, string(rune('a'+i))))
	}
	waitUntilReceived(t, servers, 1+inProgress) // one made it ready; the rest is queued
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
		node.signal(s)
		time.Sleep(50 * time.Millisecond)
	}
	served := 0
	for i, status := range open {
		got := <-status
		if got == 0 {
			t.Errorf("request %d: no answer", i)
		}
		if got == http.StatusOK {
			served++
		}
	}
	if served < inProgress {
		t.Errorf("%d served, %d were in progress", served, inProgress)
	}
	<-node.exited
	if node.err != nil {
		t.Errorf("ended with %v: %s", node.err, &node.log)
	}
}

// A second interrupt, from a terminal, ends a node at once.
func TestSecondInterruptEndsAtOnce(t *testing.T) {
	t.Parallel()
	servers := newServerGroup(t, 1)
	node := startNode(t, false, servers, "")
	servers.servers[0].hangs.Store(true)
	startRequest(t, node, classNonIdempotent, "hangs")
	waitUntilReceived(t, servers, 2)
	begun := time.Now()
	node.signal(syscall.SIGINT)
	time.Sleep(100 * time.Millisecond)
	if node.hasExited() {
		t.Fatalf("the first interrupt did not wait for the request: %s", &node.log)
	}
	node.signal(syscall.SIGINT)
	<-node.exited
	if took := time.Since(begun); took > longestDeadline-time.Second {
		t.Errorf("it took %v", took)
	}
	var exit *exec.ExitError
	if !errors.As(node.err, &exit) {
		t.Errorf("ended with %v where a request was cut off", node.err)
	}
}
