package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http2"
)

// postRequest returns a request of the customer "school" with an idempotency key.
func (bed *testBed) postRequest(path string, body io.Reader) *http.Request {
	bed.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:80"+path, body)
	if err != nil {
		bed.t.Fatal(err)
	}
	req.Header.Set("X-Api-Key", "k-school")
	req.Header.Set("Idempotency-Key", "k")
	return req
}

// A client disconnects, or its timeout expires, while its request waits for the authorization
// service, in the queue, or for an attempt in flight. Clients that are still connected get a response
// within their timeout, no attempt is sent after a client has disconnected, and nothing stays in
// flight.
func TestDisconnectedClientsLeaveNothingInFlight(t *testing.T) {
	stages := map[string]func(bed *testBed){
		"authorization check": func(bed *testBed) { bed.setAuthorizerFault(bed.authorizer, "silent", "") },
		"attempt in flight":   func(bed *testBed) { bed.setServerFault("hang") },
		"queued": func(bed *testBed) {
			bed.setServerFault("hang")
			for range 12 { // both servers are at their limit of attempts in flight
				go bed.do("GET", "/records/1", "k-school")
			}
			time.Sleep(5 * time.Millisecond)
		},
	}
	for name, injectFault := range stages {
		t.Run(name+", timeout expires", func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				injectFault(bed)
				const clientTimeout = 300 * time.Millisecond
				g := bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", "k", "X-Envoy-Expected-Rq-Timeout-Ms", "300")
				if g.status != 503 && g.status != 504 && g.status != 429 || g.took > clientTimeout {
					t.Errorf("unexpected response %+v", g)
				}
				bed.expectNothingInFlight()
			})
		})
		t.Run(name+", client disconnects", func(t *testing.T) {
			runInTestBed(t, "", func(bed *testBed) {
				injectFault(bed)
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				defer cancel()
				if res, err := bed.client.Do(bed.postRequest("/loans/1", nil).WithContext(ctx)); err == nil {
					mustClose(t, res.Body)
					t.Errorf("status %d although the client disconnected", res.StatusCode)
				}
				disconnectedAt := time.Now()
				time.Sleep(20 * time.Millisecond)
				bed.setServerFault("ok")
				bed.setAuthorizerFault(bed.authorizer, "ok", "")
				time.Sleep(5 * time.Second)
				for _, s := range bed.arrivedAttempts() {
					if s.Class == "loan-change" && s.ArrivedAt.Sub(disconnectedAt) > 3*time.Millisecond {
						t.Errorf("attempt sent after its client had disconnected: %+v", s)
					}
				}
				bed.expectNothingInFlight()
			})
		})
	}
}

// expectNothingInFlight checks that no request is unanswered after 5 s.
func (bed *testBed) expectNothingInFlight() {
	bed.t.Helper()
	time.Sleep(5 * time.Second)
	if n := bed.gateway.node.Unanswered(); n != 0 {
		bed.t.Errorf("%d requests are still unanswered", n)
	}
}

// lateDisconnect is a way in which a client ends a request, and the time for which the gateway does not read that.
type lateDisconnect struct {
	listener   string // additional configuration
	readDelay  time.Duration
	send       func(bed *testBed) (disconnect func()) // sends a request
	waitBefore time.Duration                          // between the request and the disconnect
	fault      string                                 // of the servers
	attempts   int                                    // that are sent before the disconnect
}

// sendHTTP1 sends a request on a connection of its own, which disconnect closes.
func sendHTTP1(bed *testBed) (disconnect func()) {
	conn, err := bed.clientHost.Dial(context.Background(), "10.0.0.1:80")
	if err != nil {
		bed.t.Fatal(err)
	}
	_, err = io.WriteString(conn, "GET /records/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k-school\r\n\r\n")
	bed.logError(err)
	return func() { mustClose(bed.t, conn) }
}

// sendHTTP2 sends a request on a connection that is in use already. The result closes the
// sending side of the connection: a close with frames unread would reset it, which is seen at once.
func sendHTTP2(bed *testBed) (disconnect func()) {
	c := bed.dialHTTP2()
	time.Sleep(200 * time.Millisecond)
	c.sendRequest(1, true, "GET", "/records/1")
	return func() { bed.logError(c.conn.(interface{ CloseWrite() error }).CloseWrite()) }
}

// sendHTTP2Stream is sendHTTP2, but the result resets the stream.
func sendHTTP2Stream(bed *testBed) (disconnect func()) {
	c := bed.dialHTTP2()
	time.Sleep(200 * time.Millisecond)
	c.sendRequest(1, true, "GET", "/records/1")
	return func() { bed.logError(c.framer.WriteRSTStream(1, http2.ErrCodeCancel)) }
}

// A client disconnects, and the gateway gets to read that only after it has decided on an attempt, as on a machine on
// which it gets little time to run. No attempt may be sent for that client any more: neither a first one nor a retry.
func TestNoAttemptForClientWhoseDisconnectIsUnread(t *testing.T) {
	const long, short = 50 * time.Millisecond, 3 * time.Millisecond
	const overHTTP2 = "\nlistener \"http2\" \"kiosks\" { address = \"10.0.0.1:82\" }\n"
	// A message takes 1 ms, a dial 1 ms and the servers' work 50 ms. The disconnects before a retry arrive shortly
	// before the retry is sent, and are read later than that.
	for name, c := range map[string]lateDisconnect{
		"HTTP/1.1":             {"", long, sendHTTP1, 10 * time.Millisecond, "ok", 0},
		"HTTP/1.1, retry":      {"", long, sendHTTP1, 120 * time.Millisecond, "half-close", 1},
		"HTTP/2":               {overHTTP2, long, sendHTTP2, 10 * time.Millisecond, "ok", 0},
		"HTTP/2, retry":        {overHTTP2, long, sendHTTP2, 120 * time.Millisecond, "half-close", 1},
		"HTTP/2 stream":        {overHTTP2, long, sendHTTP2Stream, 3 * time.Millisecond, "ok", 0},
		"HTTP/2 stream, retry": {overHTTP2, short, sendHTTP2Stream, 58 * time.Millisecond, "half-close", 1},
	} {
		for protocol, config := range map[string]string{"HTTP/1.1": testBedConfig, "HTTP/2": http2ServersConfig()} {
			t.Run(name+" to servers over "+protocol, func(t *testing.T) {
				runInTestBedWith(t, config+c.listener, func(bed *testBed) { c.check(bed) })
			})
		}
	}
}

func (c lateDisconnect) check(bed *testBed) {
	bed.t.Helper()
	bed.setServerFault(c.fault)
	bed.gatewayHost.SetReadDelay(c.readDelay)
	disconnect := c.send(bed)
	time.Sleep(c.waitBefore)
	disconnect()
	time.Sleep(5 * time.Second)
	if got := len(bed.arrivedAttempts()); got != c.attempts {
		bed.t.Errorf("servers received %d attempts, want %d", got, c.attempts)
	}
	bed.gatewayHost.SetReadDelay(0)
	bed.setServerFault("ok")
	bed.expectNothingInFlight()
}
