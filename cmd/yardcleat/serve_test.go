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

// startRequest sends a request on a connection of its own, and returns a channel that receives the status of the
// response, or 0 if there is none.
func startRequest(t *testing.T, node *nodeProcess, class, id string) <-chan int {
	t.Helper()
	conn, err := net.Dial("tcp", node.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the node may have closed it
	if _, err := io.WriteString(conn, requestText(node.edge, class, id, longestDeadline)); err != nil {
		t.Fatal(err)
	}
	status := make(chan int, 1)
	go func() {
		response, _ := newClientConn(conn).read(time.Now().Add(longestDeadline + time.Second)) // the status is 0 on an error
		status <- response.status
	}()
	return status
}

// waitUntilReceived waits until the servers have received count requests.
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

// A SIGTERM or SIGHUP that is received during the shutdown must not cut off requests in progress. Supervisors repeat
// SIGTERM; a node that treated the second one as a demand to end at once would lose the requests that it holds.
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
	waitUntilReceived(t, servers, 1+inProgress) // one is that of startNode; the others are queued
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
		node.signal(s)
		time.Sleep(50 * time.Millisecond)
	}
	served := 0
	for i, status := range open {
		got := <-status
		if got == 0 {
			t.Errorf("request %d: no response", i)
		}
		if got == http.StatusOK {
			served++
		}
	}
	if served < inProgress {
		t.Errorf("%d requests served, want at least the %d that were in progress", served, inProgress)
	}
	<-node.exited
	if node.err != nil {
		t.Errorf("exited with %v: %s", node.err, node.log)
	}
}

// A second SIGINT, which a person at a terminal sends, must end a node at once, even if a request is still in progress.
func TestSecondInterruptEndsAtOnce(t *testing.T) {
	t.Parallel()
	servers := newServerGroup(t, 1)
	node := startNode(t, false, servers, "")
	servers.servers[0].hangs.Store(true)
	startRequest(t, node, classNonIdempotent, "hangs")
	waitUntilReceived(t, servers, 2)
	start := time.Now()
	node.signal(syscall.SIGINT)
	time.Sleep(100 * time.Millisecond)
	if node.hasExited() {
		t.Fatalf("the first interrupt did not wait for the request: %s", node.log)
	}
	node.signal(syscall.SIGINT)
	<-node.exited
	if elapsed := time.Since(start); elapsed > longestDeadline-time.Second {
		t.Errorf("the node exited %v after the first interrupt", elapsed)
	}
	var exit *exec.ExitError
	if !errors.As(node.err, &exit) {
		t.Errorf("exited with %v, want an exit error because a request was cut off", node.err)
	}
}
