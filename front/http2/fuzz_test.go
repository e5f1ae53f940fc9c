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
	"yardcleat.example/yardcleat/intake"
	"yardcleat.example/yardcleat/node"
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

// immediateNode answers every try at once.
type immediateNode struct{}

func (immediateNode) Submit(_ *node.Request, reply func(node.FinalResponse)) func() {
	reply(node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200, Body: []byte("hello")}})
	return func() {}
}

// Whatever frames come in, the connection ends when its client's bytes do,
// without a panic, and holds nothing.
func FuzzFrames(f *testing.F) {
	var b bytes.Buffer
	fr := http2.NewFramer(&b, nil)
	fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, p := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/a"}, {":authority", "h"}, {"x-api-key", "k"}} {
		enc.WriteField(hpack.HeaderField{Name: p[0], Value: p[1]})
	}
	fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndHeaders: true})
	fr.WriteData(1, true, []byte("abc"))
	fr.WriteWindowUpdate(1, 10)
	fr.WriteRSTStream(1, http2.ErrCodeCancel)
	fr.WritePing(false, [8]byte{})
	f.Add(b.Bytes())
	cfg, err := config.Parse([]byte(fuzzConfig), "fuzz.hcl")
	if err != nil {
		f.Fatal(err)
	}
	s := New(Options{Node: immediateNode{}, Mapper: intake.New(cfg), Log: slog.New(slog.DiscardHandler), TracePrefix: "f", MaxHeaderBytes: 4096, MaxHeaderFields: 20,
		MaxRequestBody: 1000, MaxBufferedBodyBytes: 2000, MaxConcurrentStreams: 5, FrameBudget: 20, HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: time.Second,
		WriteTimeout: 50 * time.Millisecond, MaxConnections: 100})
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
			t.Fatal("the connection does not end")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.conns) != 0 {
			t.Errorf("%d connections are held", len(s.conns))
		}
	})
}
