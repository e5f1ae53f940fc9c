package edgenode

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/pause"
)

// Limits of the platform: a request without an answer half a second after its time is lost; on sockets every
// limit is 50 ms longer.
const (
	lostAfter   = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond
)

// requestsAhead is a number of requests that is more than the node reads ahead.
const requestsAhead = 600

// Guards against a node that answers nobody any more while it is paused now and then, as with part of a core, and
// a client has sent more requests ahead than are read. Each pause must not restart the wait for that client's
// socket.
func TestPausesInSeriesBesideClientThatSendsAhead(t *testing.T) {
	for _, c := range []struct{ pause, run time.Duration }{
		{60 * time.Millisecond, 100 * time.Millisecond},
		{150 * time.Millisecond, 100 * time.Millisecond},
		{150 * time.Millisecond, 20 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%v of %v", c.pause, c.pause+c.run), func(t *testing.T) {
			simulate(t, func(s *testbed) {
				stopPausing := pauseRepeatedly(s, c.pause, c.run)
				defer stopPausing()
				stopSending := sendAheadRepeatedly(s)
				defer stopSending()
				for range 10 {
					checkAnsweredInTime(s)
				}
			})
		})
	}
}

// pauseRepeatedly pauses the node's host again and again, until the returned function is called.
func pauseRepeatedly(s *testbed, pause, run time.Duration) (stop func()) {
	stopping := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			s.host.Pause()
			time.Sleep(pause)
			s.host.Resume()
			select {
			case <-stopping:
				return
			case <-time.After(run):
			}
		}
	}()
	return func() {
		close(stopping)
		<-ended
	}
}

// sendAheadRepeatedly sends more requests at once than the node reads ahead, and again as soon as the connection
// ends, until the returned function is called.
func sendAheadRepeatedly(s *testbed) (stop func()) {
	text := strings.Builder{}
	for i := range requestsAhead {
		text.WriteString(s.requestText("lookup", fmt.Sprintf("ahead-%d", i)))
	}
	stopping := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			nc := s.dial()
			go func() { _, _ = nc.Write([]byte(text.String())) }()
			connectionEnded := make(chan struct{})
			go func() {
				defer close(connectionEnded)
				for open := true; open; {
					status, _ := readResponse(nc)
					open = status != 0
				}
			}()
			select {
			case <-stopping:
				closeIgnoringError(nc)
				<-connectionEnded
				return
			case <-connectionEnded:
				closeIgnoringError(nc)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return func() {
		close(stopping)
		<-ended
	}
}

// checkAnsweredInTime sends a request and checks that it is answered before it counts as lost.
func checkAnsweredInTime(s *testbed) {
	s.t.Helper()
	const clientTimeout = 1500 * time.Millisecond // as in requestText
	nc := s.dial()
	defer closeIgnoringError(nc)
	mustWrite(s.t, nc, s.requestText("lookup", ""))
	sent := time.Now()
	mustSetDeadline(s.t, nc, sent.Add(clientTimeout+lostAfter+socketSlack))
	status, _ := readResponse(nc)
	if status == 0 {
		s.t.Errorf("no answer %v after the request", time.Since(sent))
	}
	time.Sleep(50 * time.Millisecond)
}

// Guards against a pause after which all clients wait for a socket that cannot be read: the reader of a client that
// sends more ahead than is buffered waits for the event loop itself.
func TestPauseDoesNotWaitForClientThatSendsAhead(t *testing.T) {
	simulate(t, func(s *testbed) {
		ahead, other := s.dial(), s.dial()
		defer closeIgnoringError(ahead)
		defer closeIgnoringError(other)
		time.Sleep(100 * time.Millisecond)
		s.host.Pause()
		text := strings.Repeat(s.requestText("lookup", ""), requestsAhead)
		go func() { _, _ = ahead.Write([]byte(text)) }() // it blocks until the node reads
		mustWrite(t, other, s.requestText("lookup", ""))
		time.Sleep(100 * time.Millisecond)
		s.host.Resume()
		resumed := time.Now()
		status, _ := readResponse(other)
		if took := time.Since(resumed); status != 200 || took >= pause.DefaultSettings().MaxBarrier {
			t.Errorf("status %d, %v after the pause", status, took)
		}
		if status, _ := readResponse(ahead); status < 400 {
			t.Errorf("status %d for the client that sent too much ahead", status)
		}
	})
}
