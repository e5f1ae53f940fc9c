package http1

import (
	"strings"
	"testing"
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
