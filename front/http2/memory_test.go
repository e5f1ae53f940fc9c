package http2

import (
	"bytes"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yardcleat.example/yardcleat/internal/memory"
)

// testMemory is room for the bodies of a few of the requests of these tests.
const testMemory = 8 << 10

// startTestServerWithMemory starts a server whose requests share a budget with those of others.
func startTestServerWithMemory(t *testing.T, budget *memory.Budget) *testServer {
	t.Helper()
	s := startTestServer(t, func(o *Options) {
		o.Memory = budget
		o.FreeBytesOfConnection = maxFreeBytesOfStream
		o.MaxBufferedBodyBytes = 100 << 10
	})
	s.send([]byte(http2.ClientPreface))
	return s
}

// incompleteRequest returns the frames of a request with a body without its end.
func incompleteRequest(id uint32) []byte {
	var block, frames bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/a"}, {":authority", "h"}, {"x-api-key", "k"}} {
		_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}) // writes to a buffer
	}
	framer := http2.NewFramer(&frames, nil)
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true}) // writes to a buffer
	return append(frames.Bytes(), dataFrame(id, false, bytes.Repeat([]byte("x"), 900))...)
}

// dataFrame returns a frame with a part of a body.
func dataFrame(id uint32, isLast bool, data []byte) []byte {
	var frames bytes.Buffer
	_ = http2.NewFramer(&frames, nil).WriteData(id, isLast, data) // writes to a buffer
	return frames.Bytes()
}

// mustRespond reads frames until the response to a request.
func (s *testServer) mustRespond(t *testing.T, id uint32) {
	t.Helper()
	for {
		f, err := s.framer.ReadFrame()
		if err != nil {
			t.Fatalf("stream %d has no response: %v", id, err)
		}
		switch f := f.(type) {
		case *http2.RSTStreamFrame:
			t.Fatalf("stream %d was reset: %v", f.StreamID, f.ErrCode)
		case *http2.MetaHeadersFrame:
			if f.StreamID == id {
				return
			}
		}
	}
}

// Guards against clients over HTTP/2 that fill the memory of a gateway with parts of requests: requests beyond the
// limit are refused, so that clients may retry them, and an incomplete one makes room for another after a while.
func TestIncompleteRequestsStayWithinMemory(t *testing.T) {
	budget := memory.NewBudget(testMemory)
	bad, usual := startTestServerWithMemory(t, budget), startTestServerWithMemory(t, budget)
	const requests = 20
	for i := range requests {
		bad.send(incompleteRequest(uint32(2*i + 1)))
	}
	refused := 0
	for refused < requests/2 { // there is no room for half of them
		f, err := bad.framer.ReadFrame()
		if err != nil {
			t.Fatalf("after %d refused streams: %v", refused, err)
		}
		if f, ok := f.(*http2.RSTStreamFrame); ok {
			if refused++; f.ErrCode != http2.ErrCodeRefusedStream {
				t.Errorf("stream %d was reset: %v", f.StreamID, f.ErrCode)
			}
		}
	}
	usual.send(requestFrames(1, false))
	usual.mustRespond(t, 1)
	time.Sleep(200 * time.Millisecond) // from now on the requests have been incomplete for long
	usual.send(incompleteRequest(3))
	usual.send(dataFrame(3, true, nil))
	usual.mustRespond(t, 3)
	if used := budget.Used(); used > testMemory {
		t.Errorf("%d bytes of %d are used", used, testMemory)
	}
	for _, s := range []*testServer{bad, usual} {
		_ = s.client.Close()
		<-s.ended
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are used after the connections have ended", used)
	}
}

// A request whose memory is reclaimed at the moment at which its body is complete was not handled: its client must
// learn that it may retry it.
func TestReclaimedRequestIsRefused(t *testing.T) {
	for _, isClaimed := range []bool{false, true} {
		s := startTestServerWithMemory(t, memory.NewBudget(testMemory))
		s.send(incompleteRequest(1))
		st := s.waitForStream(1)
		st.conn.mu.Lock()
		st.bodyComplete, st.claimed = true, isClaimed
		st.conn.mu.Unlock()
		st.Reclaim()
		want := map[bool]http2.ErrCode{false: http2.ErrCodeRefusedStream, true: http2.ErrCodeCancel}[isClaimed]
		for code := http2.ErrCode(0); code != want; {
			f, err := s.framer.ReadFrame()
			if err != nil {
				t.Fatalf("claimed %v: not reset by %v: %v", isClaimed, want, err)
			}
			if f, ok := f.(*http2.RSTStreamFrame); ok {
				if code = f.ErrCode; code != want {
					t.Fatalf("claimed %v: reset by %v, want %v", isClaimed, code, want)
				}
			}
		}
		if isClaimed { // whoever has claimed a stream removes it
			st.conn.mu.Lock()
			st.conn.removeLocked(st)
			st.conn.mu.Unlock()
		}
	}
}

// waitForStream returns a stream of the server's only connection, once it is open and has its body so far.
func (s *testServer) waitForStream(id uint32) *stream {
	for {
		s.conn.mu.Lock()
		st := s.conn.streams[id]
		hasBody := st != nil && len(st.body) > 0
		s.conn.mu.Unlock()
		if hasBody {
			return st
		}
		time.Sleep(time.Millisecond)
	}
}
