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

// After SIGTERM clients may still connect until they learn of the shutdown. The node must serve one
// request on each of these connections, and must complete all requests that are open.
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
			t.Errorf("open request: status %d, body %q", status, body)
		}
		if _, err := kept.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection: %v, want EOF", err)
		}
		time.Sleep(300 * time.Millisecond)
		if status, _, _ := s.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); status != 503 {
			t.Errorf("/up: status %d", status)
		}
		if status, _, _ := s.exchange(s.requestText("lookup", "late")); status != 200 {
			t.Errorf("request on a new connection: status %d", status)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		mustClose(t, kept)
		mustClose(t, open)
	})
}

// A shutdown must give every open request a complete response and close every connection cleanly
// before SIGKILL, also if a server does not respond by then. There is an idle connection, one whose
// request waits for such a server, and one that is opened after the shutdown has started.
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
			idle, waiting := s.dialLoopback(), s.dialLoopback()
			mustWrite(t, idle, s.requestText("lookup", "rests"))
			if status, _ := readResponse(idle); status != 200 {
				t.Fatalf("status %d", status)
			}
			mustWrite(t, waiting, strings.Replace(s.requestText("loan-change", "hangs"), "1500", "8000", 1))
			s.waitFor("the attempt of the waiting request", func() bool { return strings.Contains(strings.Join(s.receivedRequests(), "|"), "hangs") })
			begun, drained := time.Now(), make(chan error, 1)
			s.drained = true
			go func() { drained <- s.edge.Drain(context.Background()) }()
			if n, err := idle.Read(make([]byte, 1)); n != 0 || err.Error() != "EOF" {
				t.Errorf("the idle connection ended with %v, want EOF", err)
			}
			mustWrite(t, idle, s.requestText("lookup", "after-shutdown"))
			newConnection := s.dialLoopback()
			mustWrite(t, newConnection, s.requestText("lookup", "fresh"))
			if status, _ := readResponse(newConnection); status != 200 {
				t.Errorf("request on a new connection: status %d", status)
			}
			r := http1.NewReader(waiting, testLimits)
			head, err := r.Response("POST")
			if err != nil || head.Status != 502 || head.KeepAlive() {
				t.Fatalf("waiting request: response %+v, %v", head, err)
			}
			if _, err := r.Body(head.Framing, head.Length); err != nil {
				t.Error(err)
			}
			if err := r.Await(); err == nil || err.Error() != "EOF" {
				t.Errorf("the connection of the waiting request ended with %v, want EOF", err)
			}
			mustClose(t, waiting)
			mustClose(t, idle)
			mustClose(t, newConnection)
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if took := time.Since(begun); took > 3700*time.Millisecond {
				t.Errorf("the shutdown took %v; SIGKILL comes after 3.7 s", took)
			}
			if got := strings.Join(s.receivedRequests(), "|"); strings.Contains(got, "after-shutdown") {
				t.Errorf("a request sent after the end of its connection reached a server: %s", got)
			}
		})
}
