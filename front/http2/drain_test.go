package http2

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yardcleat.example/yardcleat/node"
)

// A connection that is draining while its preface arrives must not get frames before the server's SETTINGS
// (RFC 9113, 3.4). The drain read the framer while it was being set, which -race shows in this test.
func TestDrainDuringPreface(t *testing.T) {
	for range 200 {
		s := startTestServer(t)
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			s.Drain(context.Background())
		}()
		s.send([]byte(http2.ClientPreface))
		if f, err := s.framer.ReadFrame(); err == nil && f.Header().Type != http2.FrameSettings {
			t.Errorf("the first frame is %v", f.Header())
		}
		_ = s.client.Close() // the server may have closed it
		<-drained
	}
}

// A request that a client sends while its connection drains must get a response, or a GOAWAY that tells that it did
// not run and can be sent again. A connection that is reset leaves the client without either.
func TestRequestsDuringDrainAreAccountedFor(t *testing.T) {
	for round := range 100 {
		s := startTestServer(t)
		s.send([]byte(http2.ClientPreface))
		if f, err := s.framer.ReadFrame(); err != nil || f.Header().Type != http2.FrameSettings {
			t.Fatalf("got %v, %v", f, err)
		}
		const requests = 40
		go func() {
			for i := range requests {
				s.send(requestFrames(uint32(2*i+1), false))
			}
		}()
		go s.Drain(context.Background())
		responses, lastStream := map[uint32]bool{}, uint32(1<<31-1)
		var err error
		for err == nil {
			var f http2.Frame
			if f, err = s.framer.ReadFrame(); err == nil {
				switch f := f.(type) {
				case *http2.MetaHeadersFrame:
					responses[f.StreamID] = true
				case *http2.GoAwayFrame:
					lastStream = f.LastStreamID
				}
			}
		}
		for i := range requests {
			if id := uint32(2*i + 1); !responses[id] && id <= lastStream {
				t.Errorf("round %d: stream %d has neither a response nor a GOAWAY (last stream %d); the connection ended with %v", round, id, lastStream, err)
				break
			}
		}
		if err != io.EOF {
			t.Errorf("round %d: the connection ended with %v", round, err)
		}
	}
}

// Guards against a client that can't tell whether its request ran, because it crossed the end of a connection that was
// idle for too long.
func TestIdleTimeoutTellsWhichRequestsDidNotRun(t *testing.T) {
	s := startTestServer(t, func(o *Options) { o.IdleTimeout = 20 * time.Millisecond })
	s.send([]byte(http2.ClientPreface))
	var goAway *http2.GoAwayFrame
	var err error
	for err == nil {
		var f http2.Frame
		if f, err = s.framer.ReadFrame(); err == nil && f.Header().Type == http2.FrameGoAway {
			goAway = f.(*http2.GoAwayFrame)
			s.send(requestFrames(1, false))
		}
	}
	if goAway == nil || goAway.ErrCode != http2.ErrCodeNo || goAway.LastStreamID != 0 {
		t.Errorf("GOAWAY %+v", goAway)
	}
	if err != io.EOF {
		t.Errorf("the connection ended with %v", err)
	}
}

// lateNode serves every request after a while.
type lateNode struct{ after time.Duration }

func (n lateNode) Submit(_ *node.Request, reply func(node.FinalResponse)) func() {
	timer := time.AfterFunc(n.after, func() {
		reply(node.FinalResponse{Kind: node.Served, Response: &node.Response{Status: 200}})
	})
	return func() {
		if timer.Stop() {
			reply(node.FinalResponse{Kind: node.Failed, Reason: node.ReasonClientDisconnected})
		}
	}
}

// Guards against a request in flight that gets no response because the header of another on its connection does not come
// in time.
func TestRequestInFlightIsAnsweredWhenAHeaderTimesOut(t *testing.T) {
	s := startTestServer(t, func(o *Options) { o.HeaderTimeout, o.Node = 20*time.Millisecond, lateNode{100 * time.Millisecond} })
	s.send([]byte(http2.ClientPreface))
	s.send(requestFrames(1, false))
	var partial bytes.Buffer
	_ = http2.NewFramer(&partial, nil).WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: []byte{0x82}}) // writes to a buffer
	s.send(partial.Bytes())
	isAnswered := false
	for err := error(nil); err == nil; {
		var f http2.Frame
		if f, err = s.framer.ReadFrame(); err == nil && f.Header().Type == http2.FrameHeaders && f.Header().StreamID == 1 {
			isAnswered = true
		}
	}
	if !isAnswered {
		t.Error("no response to the request in flight")
	}
}
