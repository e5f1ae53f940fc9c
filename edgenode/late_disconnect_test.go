package edgenode

import (
	"testing"
	"time"
)

// A client disconnects, and the node gets to read that only after it has decided on an attempt, as on a
// machine on which it gets little time to run. Nothing may be sent to a server for that client any more.
func TestNoAttemptForClientWhoseDisconnectIsUnread(t *testing.T) {
	const (
		readDelay       = 50 * time.Millisecond
		disconnectAfter = 10 * time.Millisecond
		waitForAttempt  = time.Second
	)
	for _, class := range []string{"lookup", "loan-change"} {
		t.Run(class, func(t *testing.T) {
			simulate(t, func(s *testbed) {
				s.host.SetReadDelay(readDelay)
				nc := s.dial()
				mustWrite(t, nc, s.requestText(class, ""))
				time.Sleep(disconnectAfter)
				mustClose(t, nc)
				time.Sleep(waitForAttempt)
				if received := s.receivedRequests(); len(received) > 0 {
					t.Errorf("servers received %q", received)
				}
				s.host.SetReadDelay(0)
				if status, _, _ := s.exchange(s.requestText(class, "")); status != 200 {
					t.Errorf("request of another client: status %d", status)
				}
			})
		})
	}
}
