package http2

import (
	"bytes"
	"log/slog"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/policy/connections"
)

// testServer is a server of one connection on loopback, and the client of that connection.
type testServer struct {
	*Server
	conn   *conn
	client net.Conn
	framer *http2.Framer
	ended  chan struct{} // closed when the server has ended the connection
}

// testOptions returns the options of servers in tests.
func testOptions(t *testing.T) Options {
	t.Helper()
	cfg, err := config.Parse([]byte(fuzzConfig), "test.hcl")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	return Options{Node: immediateNode{}, Mapper: intake.New(cfg), Log: log, TracePrefix: "t",
		MaxHeaderBytes: 4096, MaxHeaderFields: 20, MaxRequestBody: 1000, MaxBufferedBodyBytes: 2000, MaxConcurrentStreams: 100, FrameBudget: 1000,
		HeaderTimeout: 5 * time.Second, BodyTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		Connections: connlimit.New(connections.Limits{MaxOpen: 1}, log)}
}

func startTestServer(t *testing.T, change ...func(*Options)) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options := testOptions(t)
	for _, c := range change {
		c(&options)
	}
	s := &testServer{ended: make(chan struct{}), Server: New(options)}
	if s.client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	s.framer = http2.NewFramer(s.client, s.client)
	s.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s.conn = s.newConn(accepted)
	s.conn.entry = s.connections.Accept(s.conn)
	go func() {
		defer close(s.ended)
		s.conn.serve()
	}()
	t.Cleanup(func() {
		_ = s.client.Close() // the server may have closed it
		_ = l.Close()
		<-s.ended
	})
	return s
}

// send writes to the server, which may have closed the connection.
func (s *testServer) send(text []byte) { _, _ = s.client.Write(text) }

// requestFrames returns the frames of a request without a body, or of the header of one with too many header fields.
func requestFrames(id uint32, isRejected bool) []byte {
	var block, frames bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	fields := [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/a"}, {":authority", "h"}, {"x-api-key", "k"}}
	for range 20 * len(fields) {
		if isRejected {
			fields = append(fields, [2]string{"x-more", "1"})
		}
	}
	for _, field := range fields {
		_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}) // writes to a buffer
	}
	framer := http2.NewFramer(&frames, nil)
	parameters := http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: !isRejected}
	_ = framer.WriteHeaders(parameters) // writes to a buffer
	return frames.Bytes()
}
