package http2

import (
	"bytes"
	"fmt"
	"testing"

	"golang.org/x/net/http2"
)

// Requests that are rejected while their bodies arrive get one response each. The end of the body was recorded
// without the lock under which the rejection reads it, which -race shows in this test.
func TestRejectionWhileBodyEnds(t *testing.T) {
	s := startTestServer(t)
	s.send([]byte(http2.ClientPreface))
	const requests = 50
	go func() {
		var end bytes.Buffer
		framer := http2.NewFramer(&end, nil)
		for i := range requests {
			id := uint32(2*i + 1)
			end.Reset()
			_ = framer.WriteData(id, true, []byte("x")) // writes to a buffer
			s.send(requestFrames(id, true))
			s.send(end.Bytes())
		}
	}()
	statuses := map[uint32][]string{}
	for len(statuses) < requests {
		f, err := s.framer.ReadFrame()
		if err != nil {
			t.Fatalf("after %d responses: %v", len(statuses), err)
		}
		if f, ok := f.(*http2.MetaHeadersFrame); ok {
			statuses[f.StreamID] = append(statuses[f.StreamID], f.PseudoValue("status"))
		}
	}
	for id, got := range statuses {
		if fmt.Sprint(got) != "[431]" {
			t.Errorf("stream %d: statuses %v", id, got)
		}
	}
}
