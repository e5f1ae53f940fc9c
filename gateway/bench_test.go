package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	authv3 "github.com/envoyproxy/go-control-plane/envoy/service/auth/v3"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/network"
	"yardcleat.example/yardcleat/standin/counter"
)

const benchConfig = `
listener "http" "desks" { address = "127.0.0.1:0" }
listener "ext_authz" "proxies" { address = "127.0.0.1:0" }
class "lookup" {
  effect = "safe"
  aim = "800ms"
  deadline = "3s"
  route {
    method = "GET"
    path = "/records/{id}"
  }
}
plan "wide" {
  rate = 1000000
  burst = 1000000
}
customer "bench" {
  plan = "wide"
  keys = ["k"]
}
servers {
%s
}
log { level = "error" }
`

func listenLoopback(b *testing.B) net.Listener {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// serveUntilCleanup serves on a free port until the benchmark ends, and calls stop then. An error of
// serve, but for that of a server that was stopped, fails the benchmark.
func serveUntilCleanup(b *testing.B, serve func(net.Listener) error, stop func()) (addr string) {
	b.Helper()
	l := listenLoopback(b)
	ended := make(chan error, 1)
	go func() { ended <- serve(l) }()
	b.Cleanup(func() {
		stop()
		if err := <-ended; err != nil && !isServerStopped(err) {
			b.Error(err)
		}
	})
	return l.Addr().String()
}

// startBackend starts a server that responds at once, with the least work there is.
func startBackend(b *testing.B) string {
	b.Helper()
	l := listenLoopback(b)
	b.Cleanup(func() { mustClose(b, l) })
	response := http1.AppendResponse(nil, "GET", 200, nil, []byte("hello\n"), false)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respondUntilClosed(c, response)
		}
	}()
	return l.Addr().String()
}

// respondUntilClosed writes a response to each request until the client closes the connection.
func respondUntilClosed(c net.Conn, response []byte) {
	// The connection has ended already; a response that was lost shows at the client.
	defer func() { _ = c.Close() }()
	r := http1.NewReader(c, http1.Limits{MaxLineBytes: 4096, MaxHeaderFields: 100, MaxHeaderBytes: 8192})
	for {
		if _, err := r.Request(); err != nil {
			return
		}
		if _, err := c.Write(response); err != nil {
			return
		}
	}
}

func startBenchGateway(b *testing.B, servers ...string) (g *Gateway, httpAddr, checkAddr string) {
	b.Helper()
	return startBenchGatewayWith(b, "", servers...)
}

func startBenchGatewayWith(b *testing.B, extra string, servers ...string) (g *Gateway, httpAddr, checkAddr string) {
	b.Helper()
	var lines string
	for i, s := range servers {
		lines += fmt.Sprintf("  server \"s%d\" { address = \"%s\" }\n", i, s)
	}
	cfg, err := config.Parse([]byte(fmt.Sprintf(benchConfig, lines)+extra), "bench.hcl")
	if err != nil {
		b.Fatal(err)
	}
	g, err = Start(cfg, Options{Network: network.OS{}, Seed: 1,
		Log: slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: cfg.LogLevel}))})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(g.Kill)
	return g, g.listeners[0].net.Addr().String(), g.listeners[1].net.Addr().String()
}

// runWorkers has each worker make one call after the other, b.N calls in all, and reports the rate
// and the median and 99th percentile of a call's time. open returns the call of one worker, and what
// ends it.
func runWorkers(b *testing.B, workers int, open func() (call func() error, done func(), err error)) {
	b.Helper()
	var left atomic.Int64
	left.Store(int64(b.N))
	all := make([][]time.Duration, workers)
	var wait sync.WaitGroup
	b.ResetTimer()
	for i := range workers {
		wait.Go(func() {
			call, done, err := open()
			if err != nil {
				b.Error(err)
				return
			}
			defer done()
			for left.Add(-1) >= 0 {
				start := time.Now()
				if err := call(); err != nil {
					b.Error(err)
					return
				}
				all[i] = append(all[i], time.Since(start))
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	took := slices.Concat(all...)
	slices.Sort(took)
	if len(took) > 0 {
		b.ReportMetric(float64(len(took))/b.Elapsed().Seconds(), "req/s")
		b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
		b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
	}
}

// measureHTTP sends requests over connections kept open.
func measureHTTP(b *testing.B, addr string, conns int) {
	b.Helper()
	request := "GET /records/1 HTTP/1.1\r\nHost: " + addr + "\r\nX-Api-Key: k\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n"
	runWorkers(b, conns, func() (func() error, func(), error) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		r := http1.NewReader(c, http1.Limits{MaxLineBytes: 4096, MaxHeaderFields: 100, MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20})
		return func() error {
			if _, err := io.WriteString(c, request); err != nil {
				return err
			}
			res, err := r.Response("GET")
			if err == nil {
				_, err = r.Body(res.Framing, res.Length)
			}
			if err == nil && res.Status != 200 {
				err = fmt.Errorf("status %d, reason %q", res.Status, res.Header.Get("X-Yardcleat-Reason"))
			}
			return err
		}, func() { mustClose(b, c) }, nil
	})
}

// startReverseProxy starts httputil.ReverseProxy before a server, over HTTP/1.1 and HTTP/2.
func startReverseProxy(b *testing.B, server string) (addr string) {
	b.Helper()
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: server})
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 2000}
	p.ErrorLog = log.New(io.Discard, "", 0)
	s := &http.Server{Handler: p, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return serveUntilCleanup(b, s.Serve, func() { mustClose(b, s) })
}

// startManyServers starts so many servers that the limit of attempts in flight at one has no effect.
func startManyServers(b *testing.B) (servers []string) {
	b.Helper()
	for range 64 {
		servers = append(servers, startBackend(b))
	}
	return servers
}

// The HTTP listener with all decisions made, against httputil.ReverseProxy and no proxy at all.
func BenchmarkProxying(b *testing.B) {
	for _, conns := range []int{1, 64, 1000} {
		b.Run(fmt.Sprintf("none/%d", conns), func(b *testing.B) { measureHTTP(b, startBackend(b), conns) })
		b.Run(fmt.Sprintf("ReverseProxy/%d", conns), func(b *testing.B) { measureHTTP(b, startReverseProxy(b, startBackend(b)), conns) })
		b.Run(fmt.Sprintf("yardcleat/%d", conns), func(b *testing.B) {
			_, addr, _ := startBenchGateway(b, startManyServers(b)...)
			measureHTTP(b, addr, conns)
		})
	}
}

// allowAllAuthorizer allows every Check.
type allowAllAuthorizer struct {
	authv3.UnimplementedAuthorizationServer
}

func (allowAllAuthorizer) Check(context.Context, *authv3.CheckRequest) (*authv3.CheckResponse, error) {
	return &authv3.CheckResponse{Status: &rpc.Status{}, HttpResponse: &authv3.CheckResponse_OkResponse{
		OkResponse: &authv3.OkHttpResponse{}}}, nil
}

// Check with the decision made, against one that always allows.
func BenchmarkCheck(b *testing.B) {
	run := func(b *testing.B, addr string, workers int) {
		b.Helper()
		cc, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			b.Fatal(err)
		}
		defer mustClose(b, cc)
		auth := authv3.NewAuthorizationClient(cc)
		req := &authv3.CheckRequest{Attributes: &authv3.AttributeContext{Request: &authv3.AttributeContext_Request{
			Http: &authv3.AttributeContext_HttpRequest{Method: "GET", Path: "/records/1", Host: "h",
				Headers: map[string]string{"x-api-key": "k", "x-envoy-expected-rq-timeout-ms": "20", "user-agent": "bench"}}}}}
		runWorkers(b, workers, func() (func() error, func(), error) {
			return func() error {
				_, err := auth.Check(context.Background(), req)
				return err
			}, func() {}, nil
		})
	}
	for _, workers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("allowing/%d", workers), func(b *testing.B) {
			s := grpc.NewServer()
			authv3.RegisterAuthorizationServer(s, allowAllAuthorizer{})
			run(b, serveUntilCleanup(b, s.Serve, s.Stop), workers)
		})
		b.Run(fmt.Sprintf("yardcleat/%d", workers), func(b *testing.B) {
			_, _, addr := startBenchGateway(b, startBackend(b))
			run(b, addr, workers)
		})
	}
}

// A request with and without usage tracking, which includes counter and storage.
func BenchmarkUsageTracking(b *testing.B) {
	for _, with := range []bool{false, true} {
		b.Run(fmt.Sprint(with), func(b *testing.B) {
			extra := ""
			if with {
				c := counter.New()
				dir := b.TempDir()
				addr := serveUntilCleanup(b, c.Serve, c.Kill)
				extra = fmt.Sprintf("counter { addresses = [%q] }\nnode { state_dir = %q }\n", addr, dir)
			}
			_, addr, _ := startBenchGatewayWith(b, extra, startManyServers(b)...)
			measureHTTP(b, addr, 64)
		})
	}
}

// newHTTP2Client returns a client over unencrypted HTTP/2, with one connection.
func newHTTP2Client(addr string) *http.Client {
	//nolint:staticcheck // deprecated, but it shares one connection between first requests, as the benchmark counts
	transport := &http2.Transport{
		AllowHTTP: true,
		DialTLSContext: func(ctx context.Context, _, _ string, _ *tls.Config) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		},
	}
	return &http.Client{Transport: transport}
}

// getRecord sends a request and reads its response, which must have status 200.
func getRecord(client *http.Client, addr string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/records/1", nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Api-Key", "k")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	if err := errors.Join(err, res.Body.Close()); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

const benchHTTP2Listener = "listener \"http2\" \"kiosks\" { address = \"127.0.0.1:0\" }\n"

// The HTTP/2 listener against net/http's HTTP/2 server with ReverseProxy: 4 connections of 16
// streams.
func BenchmarkHTTP2(b *testing.B) {
	run := func(b *testing.B, addr string) {
		b.Helper()
		const conns, streams = 4, 16
		var clients []*http.Client
		for range conns {
			clients = append(clients, newHTTP2Client(addr))
		}
		var next atomic.Int32
		runWorkers(b, conns*streams, func() (func() error, func(), error) {
			client := clients[next.Add(1)%conns]
			return func() error { return getRecord(client, addr) }, client.CloseIdleConnections, nil
		})
	}
	b.Run("ReverseProxy", func(b *testing.B) { run(b, startReverseProxy(b, startBackend(b))) })
	b.Run("yardcleat", func(b *testing.B) {
		g, _, _ := startBenchGatewayWith(b, benchHTTP2Listener, startManyServers(b)...)
		run(b, g.listeners[2].net.Addr().String())
	})
}

// Memory of 10,000 streams that wait for a server which does not respond, on 100 connections, client
// side included.
func BenchmarkHTTP2Memory(b *testing.B) {
	l := listenLoopback(b)
	defer mustClose(b, l)
	server := l.Addr().String()
	b.Run("ReverseProxy", func(b *testing.B) {
		go acceptSilently(l)
		measureStreamMemory(b, startReverseProxy(b, server))
	})
	b.Run("yardcleat", func(b *testing.B) {
		go acceptSilently(l)
		g, _, _ := startBenchGatewayWith(b, benchHTTP2Listener, server)
		measureStreamMemory(b, g.listeners[2].net.Addr().String())
	})
}

// acceptSilently reads requests and responds to none, until the listener is closed.
func acceptSilently(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go discard(c)
	}
}

// discard reads until the connection ends.
func discard(c net.Conn) {
	_, _ = io.Copy(io.Discard, c) // how the connection ends is of no consequence
}

// measureStreamMemory opens 100 connections of 100 streams to addr, and reports the memory of a stream.
func measureStreamMemory(b *testing.B, addr string) {
	b.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 100 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		defer mustClose(b, c)
		requests, err := encodeHTTP2Requests(100)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.Write(requests); err != nil {
			b.Fatal(err)
		}
		go discard(c)
	}
	time.Sleep(250 * time.Millisecond) // all are there, none is answered yet
	runtime.ReadMemStats(&after)       // without GC, which could outlast the requests
	b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/10_000, "B/stream")
}

// encodeHTTP2Requests returns what a client sends for n requests on a new connection.
func encodeHTTP2Requests(n uint32) ([]byte, error) {
	var connection, block bytes.Buffer
	connection.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&connection, nil)
	if err := framer.WriteSettings(); err != nil {
		return nil, err
	}
	encoder := hpack.NewEncoder(&block)
	for i := range n {
		block.Reset()
		for _, f := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/records/1"}, {":authority", "h"}, {"x-api-key", "k"}} {
			if err := encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}); err != nil {
				return nil, err
			}
		}
		headers := http2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: block.Bytes(), EndStream: true, EndHeaders: true}
		if err := framer.WriteHeaders(headers); err != nil {
			return nil, err
		}
	}
	return connection.Bytes(), nil
}
