package edgenode

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"yardcleat.example/yardcleat/internal/http1"
)

// On its way out a node still takes what comes in for the time that clients need to
// hear, one request for each connection, and answers all.
func TestDrainServesNewConnections(t *testing.T) {
	simulate(t, func(s *testbed) {
		kept := s.dial()
		mustWrite(t, kept, s.requestText("lookup", ""))
		readResponse(kept)
		open := s.dial()
		mustWrite(t, open, s.requestText("lookup", "open"))
		time.Sleep(5 * time.Millisecond)
		done := make(chan error)
		s.drained = true
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			done <- s.edge.Drain(ctx)
		}()
		if status, body := readResponse(open); status != 200 || body != "for open" {
			t.Errorf("an open request: %d %q", status, body)
		}
		if _, err := kept.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("an idle connection: %v", err)
		}
		time.Sleep(300 * time.Millisecond)
		if status, _, _ := s.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); status != 503 {
			t.Errorf("/up: %d", status)
		}
		if status, _, _ := s.exchange(s.requestText("lookup", "late")); status != 200 {
			t.Errorf("a request on a new connection: %d", status)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		mustClose(t, kept)
		mustClose(t, open)
	})
}

// Shutdown meets requests at each point of their life, while servers hang: one that rests,
// one that waits for a server's answer beyond SIGKILL, one in a dial. Each gets a whole
// answer, and its connection a clean end, in the time that the settings leave.
func TestShutdownDuringRequests(t *testing.T) {
	t.Parallel()
	hang := make(chan struct{})
	defer close(hang)
	runOnLoopback(t, strings.NewReplacer(`"hard_limit_ms":3000`, `"hard_limit_ms":9000`, `"hard_limit_ms":2000`, `"hard_limit_ms":9000`), dialHook{},
		func(_ int, id string) (string, bool) {
			if id == "hangs" {
				<-hang
			}
			return okResponse("for " + id), false
		}, func(s *testbed) {
			rests, hangs := s.dialLoopback(), s.dialLoopback()
			mustWrite(t, rests, s.requestText("lookup", "rests"))
			if status, _ := readResponse(rests); status != 200 {
				t.Fatalf("status %d", status)
			}
			mustWrite(t, hangs, strings.Replace(s.requestText("loan-change", "hangs"), "1500", "8000", 1))
			s.waitFor("its attempt", func() bool { return strings.Contains(strings.Join(s.requestsSeen(), "|"), "hangs") })
			begun, drained := time.Now(), make(chan error, 1)
			s.drained = true
			go func() { drained <- s.edge.Drain(context.Background()) }()
			if n, err := rests.Read(make([]byte, 1)); n != 0 || err.Error() != "EOF" {
				t.Errorf("the resting connection ended with %v", err)
			}
			mustWrite(t, rests, s.requestText("lookup", "crossing"))
			fresh := s.dialLoopback()
			mustWrite(t, fresh, s.requestText("lookup", "fresh"))
			if status, _ := readResponse(fresh); status != 200 {
				t.Errorf("a new connection: status %d", status)
			}
			r := http1.NewReader(hangs, testLimits)
			head, err := r.Response("POST")
			if err != nil || head.Status != 502 || head.KeepAlive() {
				t.Fatalf("what hangs: %+v, %v", head, err)
			}
			if _, err := r.Body(head.Framing, head.Length); err != nil {
				t.Error(err)
			}
			if err := r.Await(); err == nil || err.Error() != "EOF" {
				t.Errorf("its connection ended with %v", err)
			}
			mustClose(t, hangs)
			mustClose(t, rests)
			mustClose(t, fresh)
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if took := time.Since(begun); took > 3700*time.Millisecond {
				t.Errorf("it took %v; SIGKILL comes after 3.7 s", took)
			}
			if got := strings.Join(s.requestsSeen(), "|"); strings.Contains(got, "crossing") {
				t.Errorf("what came after the shutdown was sent on: %s", got)
			}
		})
}
