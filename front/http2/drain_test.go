package http2

import (
	"context"
	"io"
	"testing"

	"golang.org/x/net/http2"
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
