package http2

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yardcleat.example/yardcleat/config"
	"yardcleat.example/yardcleat/front/connlimit"
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/node"
	"yardcleat.example/yardcleat/policy/connections"
)

const fuzzConfig = `
listener "http" "a" { address = "127.0.0.1:1" }
class "lookup" {
  effect = "safe"
  aim = "1s"
  deadline = "1s"
  route {
    method = "GET"
    path = "/{all...}"
  }
}
plan "p" {}
customer "c" {
  plan = "p"
  keys = ["k"]
}
servers {
  server "s" { address = "127.0.0.1:2" }
}
`

// immediateNode serves every request immediately.
type immediateNode struct{}

func (immediateNode) Submit(_ *node.Request, reply func(node.FinalResponse)) func() {
	reply(node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200, Body: []byte("hello")}})
	return func() {}
}

// A client sends arbitrary bytes after the preface and closes the connection. Malformed frames
// must neither cause a panic nor keep the server from ending and releasing the connection.
func FuzzFrames(f *testing.F) {
	var seed bytes.Buffer
	framer := http2.NewFramer(&seed, nil)
	framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/a"}, {":authority", "h"}, {"x-api-key", "k"}} {
		encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndHeaders: true})
	framer.WriteData(1, true, []byte("abc"))
	framer.WriteWindowUpdate(1, 10)
	framer.WriteRSTStream(1, http2.ErrCodeCancel)
	framer.WritePing(false, [8]byte{})
	f.Add(seed.Bytes())
	cfg, err := config.Parse([]byte(fuzzConfig), "fuzz.hcl")
	if err != nil {
		f.Fatal(err)
	}
	s := New(Options{Node: immediateNode{}, Mapper: intake.New(cfg), Log: slog.New(slog.DiscardHandler), TracePrefix: "f",
		MaxHeaderBytes: 4096, MaxHeaderFields: 20, MaxRequestBody: 1000, MaxBufferedBodyBytes: 2000,
		MaxConcurrentStreams: 5, FrameBudget: 20,
		HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Second, WriteTimeout: 50 * time.Millisecond,
		Connections: connlimit.New(connections.Limits{MaxOpen: 100}, slog.New(slog.DiscardHandler))})
	f.Fuzz(func(t *testing.T, in []byte) {
		client, server := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.ServeConn(server)
		}()
		go io.Copy(io.Discard, client)
		io.WriteString(client, http2.ClientPreface)
		client.Write(in)
		client.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection is still served 10 s after the client closed it")
		}
		if open := s.connections.Counts().Open; len(open) != 0 {
			t.Errorf("connections are still registered after the end: %v", open)
		}
	})
}
