package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"yardcleat.example/yardcleat/audit"
	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/standin/authoriser"
	"yardcleat.example/yardcleat/standin/catalogue"
)

// testBed runs a gateway with two fake servers and a fake authorization service in a synctest bubble,
// that is, in virtual time.
type testBed struct {
	t            *testing.T
	network      *network.Memory
	dedupScope   *catalogue.DedupScope
	servers      []*catalogue.Server
	authorizer   *authoriser.Server
	gateway      *Gateway
	client       *http.Client
	clientHost   *network.Host // host of the clients
	gatewayHost  *network.Host
	closers      []func()
	configSource string // source text of the gateway's configuration

	mu       sync.Mutex
	arrivals []audit.AttemptRecord
}

const testBedConfig = `
listener "http" "desks" { address = "10.0.0.1:80" }
listener "ext_authz" "proxies" { address = "10.0.0.1:81" }
class "lookup" {
  effect = "safe"
  aim = "800ms"
  deadline = "3s"
  route {
    method = "GET"
    path = "/records/{id}"
  }
}
class "loan-change" {
  effect = "keyed"
  group = "cell"
  window = "2s"
  aim = "600ms"
  deadline = "2s"
  authorisation = "refuse"
  route {
    method = "POST"
    path = "/loans/{id}"
  }
}
class "note" {
  effect = "unsafe"
  aim = "600ms"
  deadline = "2s"
  route {
    method = "POST"
    path = "/notes/{id}"
  }
}
plan "basic" {
  rate = 10
  burst = 20
}
customer "school" {
  plan = "basic"
  keys = ["k-school"]
}
customer "denied" {
  plan = "basic"
  keys = ["k-denied"]
}
authoriser { address = "10.0.2.1:80" }
servers {
  server "a" {
    address = "10.0.1.1:80"
    cell = 1
  }
  server "b" {
    address = "10.0.1.2:80"
    cell = 2
  }
  turned_away {
    status = 503
    header = "x-not-run"
  }
}
`

// runInTestBed runs a test in a test bed with additional configuration. Every goroutine that the test
// starts must have ended when it returns; otherwise synctest fails it.
func runInTestBed(t *testing.T, extra string, f func(bed *testBed)) {
	t.Helper()
	src := testBedConfig
	if strings.Contains(extra, "state_dir") && !strings.Contains(extra, "counter {") { // the endpoint list is received by discovery
		src = src[:strings.Index(src, "  server \"a\"")] + "  eds {\n    address = \"10.0.3.1:80\"\n    cluster = \"c\"\n  }\n" +
			src[strings.Index(src, "  turned_away"):]
	}
	runInTestBedWith(t, src+extra, f)
}

// runInTestBedWith is runInTestBed with a complete configuration.
func runInTestBedWith(t *testing.T, src string, f func(bed *testBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		bed := &testBed{t: t, network: network.NewMemory(time.Millisecond, 1), dedupScope: &catalogue.DedupScope{Name: "r", Window: 2 * time.Second}}
		for i := 1; i <= 2; i++ {
			s := catalogue.New(catalogue.Options{Name: fmt.Sprint("s", i), DedupScope: bed.dedupScope, Cores: 2, QueueLength: 8,
				Classes: []catalogue.Class{
					{Name: "lookup", Method: "GET", PathPrefix: "/records/", Work: 50 * time.Millisecond},
					{Name: "loan-change", Method: "POST", PathPrefix: "/loans/", Work: 30 * time.Millisecond, IdempotentWithKey: true},
					{Name: "note", Method: "POST", PathPrefix: "/notes/", Work: 30 * time.Millisecond}},
				Record: func(s audit.AttemptRecord) {
					bed.mu.Lock()
					defer bed.mu.Unlock()
					bed.arrivals = append(bed.arrivals, s)
				}})
			bed.serve(s.Serve, fmt.Sprintf("10.0.1.%d:80", i))
			bed.servers = append(bed.servers, s)
		}
		bed.authorizer = authoriser.New("denied")
		bed.serve(bed.authorizer.Serve, "10.0.2.1:80")
		bed.configSource = src
		cfg, err := config.Parse([]byte(bed.configSource), "test.hcl")
		if err != nil {
			t.Fatal(err)
		}
		bed.gatewayHost = bed.network.Host("node")
		bed.gateway, err = Start(cfg, Options{Network: bed.gatewayHost, Log: slog.New(slog.NewTextHandler(t.Output(), nil)), Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		bed.clientHost = bed.network.Host("client")
		bed.client = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return bed.clientHost.Dial(ctx, addr)
		}}}
		f(bed)
		bed.client.CloseIdleConnections()
		bed.gateway.Kill()
		for _, c := range bed.closers {
			c()
		}
		for _, s := range bed.servers {
			s.Kill()
		}
		bed.authorizer.Kill()
		time.Sleep(time.Minute) // let the timers of closed parts expire
	})
}

// serve runs a fake until it is stopped. If it ends with another error, the test fails.
func (bed *testBed) serve(serve func(net.Listener) error, address string) {
	bed.t.Helper()
	l := bed.listen(address)
	go func() {
		err := serve(l)
		if err != nil && !isServerStopped(err) {
			bed.t.Errorf("fake at %s: %v", address, err)
		}
	}()
}

// isServerStopped reports whether an error of Serve means that the server was stopped.
func isServerStopped(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped)
}

// setAuthorizerFault sets the fault of a fake authorization service; "ok" clears it.
func (bed *testBed) setAuthorizerFault(a *authoriser.Server, fault, arg string) {
	bed.t.Helper()
	if err := a.InjectFault(fault, arg); err != nil {
		bed.t.Fatal(err)
	}
}

// logError logs the error of a write to a connection that the gateway may close at any time. If a
// write that must succeed fails, the test's checks of the gateway's behaviour fail.
func (bed *testBed) logError(err error) {
	bed.t.Helper()
	if err != nil {
		bed.t.Logf("write failed: %v", err)
	}
}

// respond writes the response of a scripted server.
func (bed *testBed) respond(c net.Conn, response string) {
	bed.t.Helper()
	_, err := io.WriteString(c, response)
	bed.logError(err)
}

// respondOK writes a response with the body "ok".
func (bed *testBed) respondOK(c net.Conn) {
	bed.respond(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// mustClose closes c and fails the test if that returns an error.
func mustClose(tb testing.TB, c io.Closer) {
	tb.Helper()
	if err := c.Close(); err != nil {
		tb.Error(err)
	}
}

// writeFile replaces the content of a file.
func writeFile(tb testing.TB, path string, content []byte) {
	tb.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		tb.Fatal(err)
	}
}

func readFile(tb testing.TB, path string) []byte {
	tb.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	return content
}

func (bed *testBed) listen(addr string) net.Listener {
	l, err := bed.network.Host(addr).Listen(addr)
	if err != nil {
		bed.t.Fatal(err)
	}
	return l
}

type response struct {
	status int
	header http.Header
	body   string
	took   time.Duration
}

// do sends a request and returns the response. fields contains additional headers, as alternating names
// and values. Status -1 means that there was no response. do may be called from any goroutine, and
// therefore reports errors of the test with Error, not with Fatal.
func (bed *testBed) do(method, path, key string, fields ...string) response {
	bed.t.Helper()
	req, err := http.NewRequest(method, "http://10.0.0.1:80"+path, nil)
	if err != nil {
		bed.t.Error(err)
		return response{status: -1, body: err.Error()}
	}
	req.Header.Set("X-Api-Key", key)
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	start := time.Now()
	res, err := bed.client.Do(req)
	if err != nil {
		return response{status: -1, body: err.Error(), took: time.Since(start)}
	}
	b, err := io.ReadAll(res.Body)
	if err := errors.Join(err, res.Body.Close()); err != nil {
		bed.t.Error(err)
		return response{status: -1, body: err.Error(), took: time.Since(start)}
	}
	return response{res.StatusCode, res.Header, string(b), time.Since(start)}
}

func (bed *testBed) arrivedAttempts() []audit.AttemptRecord {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.arrivals
}

// setServerFault sets the fault of both servers; "ok" clears it.
func (bed *testBed) setServerFault(fault string) {
	for _, s := range bed.servers {
		if err := s.InjectFault(fault, ""); err != nil {
			bed.t.Fatal(err)
		}
	}
}
