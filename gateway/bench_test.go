package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
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

// openAtOnce is a server that answers at once, written with the least there is.
func openAtOnce(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	answer := http1.AppendResponse(nil, "GET", 200, nil, []byte("hello\n"), false)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := http1.NewReader(c, http1.Limits{Line: 4096, Fields: 100, Header: 8192})
				for {
					if _, err := r.Request(); err != nil {
						return
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func startBenchGateway(b *testing.B, servers ...string) (g *Gateway, httpAddr, checkAddr string) {
	return startBenchGatewayWith(b, "", servers...)
}

func startBenchGatewayWith(b *testing.B, extra string, servers ...string) (g *Gateway, httpAddr, checkAddr string) {
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

// driveWorkers has workers call one after the other, b.N times in all, and reports the
// rate and the median and 99th percentile of what a call takes. open makes a
// worker's call.
func driveWorkers(b *testing.B, workers int, open func() (call func() error, done func(), err error)) {
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

// loadHTTP sends requests over connections kept open.
func loadHTTP(b *testing.B, addr string, conns int) {
	request := "GET /records/1 HTTP/1.1\r\nHost: " + addr + "\r\nX-Api-Key: k\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n"
	driveWorkers(b, conns, func() (func() error, func(), error) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		r := http1.NewReader(c, http1.Limits{Line: 4096, Fields: 100, Header: 8192, Body: 1 << 20})
		return func() error {
			if _, err := io.WriteString(c, request); err != nil {
				return err
			}
			res, err := r.Response("GET")
			if err == nil {
				_, err = r.Body(res.Framing, res.Length)
			}
			if err == nil && res.Status != 200 {
				err = fmt.Errorf("status %d", res.Status)
			}
			return err
		}, func() { c.Close() }, nil
	})
}

// reverseProxy starts httputil.ReverseProxy before a server, over HTTP/1.1 and
// HTTP/2.
func reverseProxy(b *testing.B, server string) (addr string) {
	u, _ := url.Parse("http://" + server)
	p := httputil.NewSingleHostReverseProxy(u)
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 2000}
	p.ErrorLog = log.New(io.Discard, "", 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: p, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	go s.Serve(l)
	b.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// startManyServers starts so many servers that the cap on attempts out at one does not count.
func startManyServers(b *testing.B) (servers []string) {
	for range 64 {
		servers = append(servers, openAtOnce(b))
	}
	return servers
}

// The HTTP front with all decisions made, against httputil.ReverseProxy and no
// proxy at all.
func BenchmarkProxying(b *testing.B) {
	for _, conns := range []int{1, 64, 1000} {
		b.Run(fmt.Sprintf("none/%d", conns), func(b *testing.B) { loadHTTP(b, openAtOnce(b), conns) })
		b.Run(fmt.Sprintf("ReverseProxy/%d", conns), func(b *testing.B) { loadHTTP(b, reverseProxy(b, openAtOnce(b)), conns) })
		b.Run(fmt.Sprintf("yardcleat/%d", conns), func(b *testing.B) {
			_, addr, _ := startBenchGateway(b, startManyServers(b)...)
			loadHTTP(b, addr, conns)
		})
	}
}

// allowing allows every Check.
type allowing struct {
	authv3.UnimplementedAuthorizationServer
}

func (allowing) Check(context.Context, *authv3.CheckRequest) (*authv3.CheckResponse, error) {
	return &authv3.CheckResponse{Status: &rpc.Status{}, HttpResponse: &authv3.CheckResponse_OkResponse{
		OkResponse: &authv3.OkHttpResponse{}}}, nil
}

// Check with the decision made, against one that always allows.
func BenchmarkCheck(b *testing.B) {
	run := func(b *testing.B, addr string, workers int) {
		cc, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			b.Fatal(err)
		}
		defer cc.Close()
		auth := authv3.NewAuthorizationClient(cc)
		req := &authv3.CheckRequest{Attributes: &authv3.AttributeContext{Request: &authv3.AttributeContext_Request{
			Http: &authv3.AttributeContext_HttpRequest{Method: "GET", Path: "/records/1", Host: "h",
				Headers: map[string]string{"x-api-key": "k", "x-envoy-expected-rq-timeout-ms": "20", "user-agent": "bench"}}}}}
		driveWorkers(b, workers, func() (func() error, func(), error) {
			return func() error {
				_, err := auth.Check(context.Background(), req)
				return err
			}, func() {}, nil
		})
	}
	for _, workers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("allowing/%d", workers), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := grpc.NewServer()
			authv3.RegisterAuthorizationServer(s, allowing{})
			go s.Serve(l)
			defer s.Stop()
			run(b, l.Addr().String(), workers)
		})
		b.Run(fmt.Sprintf("yardcleat/%d", workers), func(b *testing.B) {
			_, _, addr := startBenchGateway(b, openAtOnce(b))
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
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				go c.Serve(l)
				defer c.Kill()
				extra = fmt.Sprintf("counter { addresses = [%q] }\nnode { state_dir = %q }\n", l.Addr().String(), b.TempDir())
			}
			_, addr, _ := startBenchGatewayWith(b, extra, startManyServers(b)...)
			loadHTTP(b, addr, 64)
		})
	}
}

// The HTTP/2 front against net/http's HTTP/2 server with ReverseProxy: 4
// connections of 16 streams.
func BenchmarkHTTP2(b *testing.B) {
	run := func(b *testing.B, addr string) {
		const conns, streams = 4, 16
		var clients []*http.Client
		for range conns {
			clients = append(clients, &http.Client{Transport: &http2.Transport{AllowHTTP: true,
				DialTLSContext: func(ctx context.Context, _, _ string, _ *tls.Config) (net.Conn, error) {
					var d net.Dialer
					return d.DialContext(ctx, "tcp", addr)
				}}})
		}
		var next atomic.Int32
		driveWorkers(b, conns*streams, func() (func() error, func(), error) {
			client := clients[next.Add(1)%conns]
			return func() error {
				req, _ := http.NewRequest("GET", "http://"+addr+"/records/1", nil)
				req.Header.Set("X-Api-Key", "k")
				res, err := client.Do(req)
				if err != nil {
					return err
				}
				defer res.Body.Close()
				if res.StatusCode != 200 {
					return fmt.Errorf("status %d", res.StatusCode)
				}
				_, err = io.Copy(io.Discard, res.Body)
				return err
			}, client.CloseIdleConnections, nil
		})
	}
	b.Run("ReverseProxy", func(b *testing.B) { run(b, reverseProxy(b, openAtOnce(b))) })
	b.Run("yardcleat", func(b *testing.B) {
		g, _, _ := startBenchGatewayWith(b, "listener \"http2\" \"kiosks\" { address = \"127.0.0.1:0\" }\n", startManyServers(b)...)
		run(b, g.listeners[2].net.Addr().String())
	})
}

// Memory of 10,000 streams that wait for a server which gives no answer, on 100
// connections, client side included.
func BenchmarkHTTP2Memory(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	hang := func(run func(addr string)) {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go io.Copy(io.Discard, c)
			}
		}()
		run(l.Addr().String())
	}
	measure := func(b *testing.B, addr string) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range 100 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			var buf bytes.Buffer
			io.WriteString(&buf, http2.ClientPreface)
			fr, henc := http2.NewFramer(&buf, nil), new(bytes.Buffer)
			fr.WriteSettings()
			enc := hpack.NewEncoder(henc)
			for i := range uint32(100) {
				henc.Reset()
				for _, f := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/records/1"}, {":authority", "h"}, {"x-api-key", "k"}} {
					enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
				}
				fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: henc.Bytes(), EndStream: true, EndHeaders: true})
			}
			c.Write(buf.Bytes())
			go io.Copy(io.Discard, c)
		}
		time.Sleep(250 * time.Millisecond) // all are there, none is answered yet
		runtime.ReadMemStats(&after)       // what is free is not asked for: the time is short
		b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/10_000, "B/stream")
	}
	b.Run("ReverseProxy", func(b *testing.B) { hang(func(addr string) { measure(b, reverseProxy(b, addr)) }) })
	b.Run("yardcleat", func(b *testing.B) {
		hang(func(addr string) {
			g, _, _ := startBenchGatewayWith(b, "listener \"http2\" \"kiosks\" { address = \"127.0.0.1:0\" }\n", addr)
			measure(b, g.listeners[2].net.Addr().String())
		})
	})
}
