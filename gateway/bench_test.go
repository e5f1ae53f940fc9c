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

// serveUntilCleanup serves on a free port until the benchmark ends, and then calls stop. An error of
// serve fails the benchmark, unless it reports that the server was stopped.
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

// startBackend starts a server that responds immediately with minimal work.
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
	// The client has closed the connection already; it would have reported a lost response.
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

// runWorkers runs workers that each make one call after the other, b.N calls in total, and reports the
// rate and the median and 99th percentile of the duration of a call. newWorker returns the call of one
// worker and the function that ends the worker.
func runWorkers(b *testing.B, workers int, newWorker func() (call func() error, done func(), err error)) {
	b.Helper()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	workerDurations := make([][]time.Duration, workers)
	var running sync.WaitGroup
	b.ResetTimer()
	for i := range workers {
		running.Go(func() {
			call, done, err := newWorker()
			if err != nil {
				b.Error(err)
				return
			}
			defer done()
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				if err := call(); err != nil {
					b.Error(err)
					return
				}
				workerDurations[i] = append(workerDurations[i], time.Since(start))
			}
		})
	}
	running.Wait()
	b.StopTimer()
	durations := slices.Concat(workerDurations...)
	slices.Sort(durations)
	if len(durations) > 0 {
		b.ReportMetric(float64(len(durations))/b.Elapsed().Seconds(), "req/s")
		b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-µs")
		b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-µs")
	}
}

// measureHTTP measures requests over persistent connections.
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

// startReverseProxy starts httputil.ReverseProxy in front of a server. It accepts HTTP/1.1 and HTTP/2.
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

// startManyServers starts enough servers that the limit of attempts in flight per server has no effect.
func startManyServers(b *testing.B) (servers []string) {
	b.Helper()
	for range 64 {
		servers = append(servers, startBackend(b))
	}
	return servers
}

// BenchmarkProxying compares the HTTP listener, including all policy decisions, with
// httputil.ReverseProxy and with no proxy at all.
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

// allowAllAuthorizer is an authorization service that allows every Check.
type allowAllAuthorizer struct {
	authv3.UnimplementedAuthorizationServer
}

func (allowAllAuthorizer) Check(context.Context, *authv3.CheckRequest) (*authv3.CheckResponse, error) {
	return &authv3.CheckResponse{Status: &rpc.Status{}, HttpResponse: &authv3.CheckResponse_OkResponse{
		OkResponse: &authv3.OkHttpResponse{}}}, nil
}

// BenchmarkCheck compares Check, including the policy decision, with a service that always allows.
func BenchmarkCheck(b *testing.B) {
	run := func(b *testing.B, addr string, workers int) {
		b.Helper()
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			b.Fatal(err)
		}
		defer mustClose(b, conn)
		auth := authv3.NewAuthorizationClient(conn)
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

// BenchmarkUsageTracking compares requests with and without usage tracking, which includes the counter
// and storage.
func BenchmarkUsageTracking(b *testing.B) {
	for _, tracking := range []bool{false, true} {
		b.Run(fmt.Sprint(tracking), func(b *testing.B) {
			extra := ""
			if tracking {
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
	//nolint:staticcheck // deprecated, but its first requests share one connection, as the benchmark assumes
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

// BenchmarkHTTP2 compares the HTTP/2 listener with net/http's HTTP/2 server and ReverseProxy, over 4
// connections with 16 streams each.
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

// BenchmarkHTTP2Memory measures the memory of 10,000 streams on 100 connections that wait for a server
// which does not respond. It includes the memory of the clients.
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

// acceptSilently reads requests without responding, until the listener is closed.
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
	_, _ = io.Copy(io.Discard, c) // the error that ends the connection does not matter
}

// measureStreamMemory opens 100 connections with 100 streams each to addr, and reports the memory per
// stream.
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
	time.Sleep(250 * time.Millisecond) // all requests have arrived and none has a response yet
	runtime.ReadMemStats(&after)       // without a GC, which could take longer than the requests last
	b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/10_000, "B/stream")
}

// encodeHTTP2Requests returns the bytes that a client sends for n requests on a new connection.
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
