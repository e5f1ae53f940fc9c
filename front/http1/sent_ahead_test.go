package http1

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/policy/connections"
)

// expectResponses reads responses, and fails the test unless there is one for each request, of a status that answers it.
func (s *fixture) expectResponses(count int) (byStatus map[int]int) {
	s.t.Helper()
	byStatus = map[int]int{}
	for i := range count {
		head, err := s.reader.Response("GET")
		if err != nil {
			s.t.Fatalf("no response to request %d of %d: %v; responses by status: %v", i, count, err, byStatus)
		}
		if _, err := s.reader.Body(head.Framing, head.Length); err != nil {
			s.t.Fatal(err)
		}
		byStatus[head.Status]++
	}
	return byStatus
}

// Guards against requests that were read and get no response, because their client has sent too much ahead of the
// response to the one before them.
func TestRequestsSentTooFarAheadAreAllAnswered(t *testing.T) {
	const ahead = 3000
	withPolledConnection(t, func(s *fixture) {
		s.removeGate()
		s.send(request("/open", ""))
		<-s.node.submitted
		go func() { _, _ = s.client.Write([]byte(strings.Repeat(request("/ahead", ""), ahead))) }()
		<-s.node.disconnected
		s.node.allowReply <- struct{}{} // to the last one: all that the client has sent is read by then
		if byStatus := s.expectResponses(1 + ahead); byStatus[200] != 1 {
			t.Errorf("responses by status: %v; want one request handled, as it could not be noticed that the client of the others disconnects", byStatus)
		}
		<-s.node.submitted
		s.send(request("/after", ""))
		<-s.node.submitted
		s.node.allowReply <- struct{}{}
		s.expectResponse("/after")
	})
}

// Guards against requests that were read ahead and get no response because the server shuts down.
func TestRequestsSentAheadAreAnsweredAtShutdown(t *testing.T) {
	const ahead = 20
	withPolledConnection(t, func(s *fixture) {
		s.removeGate()
		s.send(request("/open", ""))
		<-s.node.submitted
		s.send(strings.Repeat(request("/ahead", ""), ahead))
		s.server.StartDraining()
		for range 1 + ahead {
			s.node.allowReply <- struct{}{}
		}
		if byStatus := s.expectResponses(1 + ahead); byStatus[200] != 1+ahead {
			t.Errorf("responses by status: %v", byStatus)
		}
		for len(s.node.submitted) > 0 {
			<-s.node.submitted
		}
		s.expectCleanClose()
	})
}

// Guards against requests that were read ahead and get no response, because their connection makes room for another.
func TestRequestsSentAheadAreAnsweredWhenTheyMakeRoom(t *testing.T) {
	const ahead = 50
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &fakeNode{submitted: make(chan string, 100), allowReply: make(chan struct{}, 100), disconnected: make(chan string, 100)}
	limits := http1.Limits{MaxLineBytes: 1000, MaxHeaderFields: 10, MaxHeaderBytes: 4000, MaxBodyBytes: 1000}
	s := New(Options{Node: n, Mapper: fakeMapper{}, Log: slog.New(slog.DiscardHandler), Limits: limits, HeaderTimeout: time.Minute, BodyTimeout: time.Minute,
		IdleTimeout: time.Minute, WriteTimeout: time.Minute,
		Connections: connlimit.New(connections.Limits{MaxOpen: 1, MinIdleTime: time.Nanosecond}, slog.New(slog.DiscardHandler))})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	dial := func(text string) *fixture {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		c := &fixture{t: t, server: s, node: n, client: client, reader: http1.NewReader(client, limits)}
		c.send(text)
		return c
	}
	holding := dial(strings.Repeat(request("/ahead", ""), ahead))
	n.allowReply <- struct{}{}
	<-n.submitted
	<-n.submitted // the second: the connection has not been idle in between
	other := dial(request("/other", ""))
	for s.connections.Counts().Ended[connlimit.Cause{Action: connections.Shed, Reason: connections.OpenLimit}] == 0 {
		time.Sleep(time.Millisecond)
	}
	n.allowReply <- struct{}{}
	if byStatus := holding.expectResponses(ahead); byStatus[200] != 2 || byStatus[503] != ahead-2 {
		t.Errorf("responses by status: %v, want 2 to requests in flight and %d rejections", byStatus, ahead-2)
	}
	if err := holding.reader.Await(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
	_ = holding.client.Close()
	<-n.submitted
	n.allowReply <- struct{}{}
	other.expectResponse("/other")
	_ = other.client.Close()
	if err := s.StopServing(t.Context(), l); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
