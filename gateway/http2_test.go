package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const http2Listener = `
listener "http2" "kiosks" { address = "10.0.0.1:82" }
limits {
  streams = 20
  abuse = 50
  body = 100000
  idle_time = "20s"
  write_time = "2s"
  body_time = "2s"
}
`

// rawHTTP2Client is an HTTP/2 client that writes and reads single frames.
type rawHTTP2Client struct {
	bed           *testBed
	conn          net.Conn
	framer        *http2.Framer
	headerEncoder *hpack.Encoder
	headerBuffer  bytes.Buffer
}

func (bed *testBed) dialHTTP2(settings ...http2.Setting) *rawHTTP2Client {
	bed.t.Helper()
	conn, err := bed.clientHost.Dial(context.Background(), "10.0.0.1:82")
	if err != nil {
		bed.t.Fatal(err)
	}
	c := &rawHTTP2Client{bed: bed, conn: conn, framer: http2.NewFramer(conn, conn)}
	c.headerEncoder = hpack.NewEncoder(&c.headerBuffer)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		bed.t.Fatal(err)
	}
	c.bed.logError(c.framer.WriteSettings(settings...))
	return c
}

// encode appends a field to the header block in headerBuffer.
func (c *rawHTTP2Client) encode(field hpack.HeaderField) {
	if err := c.headerEncoder.WriteField(field); err != nil {
		c.bed.t.Fatal(err)
	}
}

func (c *rawHTTP2Client) headerBlock(method, path string, fields ...string) []byte {
	c.headerBuffer.Reset()
	header := append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "h", "x-api-key", "k-school"}, fields...)
	for i := 0; i+1 < len(header); i += 2 {
		c.encode(hpack.HeaderField{Name: header[i], Value: header[i+1]})
	}
	return c.headerBuffer.Bytes()
}

func (c *rawHTTP2Client) sendRequest(id uint32, end bool, method, path string, fields ...string) {
	c.bed.logError(c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.headerBlock(method, path, fields...), EndStream: end, EndHeaders: true}))
}

// readFrames reads frames until the connection ends or the timeout expires. It returns a description of
// each HEADERS, RST_STREAM and GOAWAY frame and of the end of the connection.
func (c *rawHTTP2Client) readFrames(timeout time.Duration) (frames []string) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		c.bed.t.Fatal(err)
	}
	for {
		f, err := c.framer.ReadFrame()
		if err != nil {
			if errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset") {
				frames = append(frames, "end")
			}
			return frames
		}
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			frames = append(frames, fmt.Sprintf("%d: %s", f.StreamID, f.PseudoValue("status")))
		case *http2.RSTStreamFrame:
			frames = append(frames, fmt.Sprintf("%d: %v", f.StreamID, f.ErrCode))
		case *http2.GoAwayFrame:
			frames = append(frames, fmt.Sprintf("goaway %d %v", f.LastStreamID, f.ErrCode))
		}
	}
}

func countFrames(frames []string, what string) (n int) {
	for _, f := range frames {
		if strings.Contains(f, what) {
			n++
		}
	}
	return n
}

// expectOtherClientsServed checks that a request of another client is served within a second.
func (bed *testBed) expectOtherClientsServed() {
	bed.t.Helper()
	if g := bed.do("GET", "/records/1", "k-school"); g.status != 200 || g.took > time.Second {
		bed.t.Errorf("another client is not served: %+v", g)
	}
}

// expectOtherClientsAnswered checks that a request of another client is served, or rejected because the
// quota is used up, within a second.
func (bed *testBed) expectOtherClientsAnswered() {
	bed.t.Helper()
	if g := bed.do("GET", "/records/1", "k-school"); g.status != 200 && g.status != 429 || g.took > time.Second {
		bed.t.Errorf("another client gets no response: %+v", g)
	}
}

// TestHTTP2Listener runs well-behaved and abusive clients against the HTTP/2 listener. Afterwards other
// clients must be served and nothing may be in flight.
func TestHTTP2Listener(t *testing.T) {
	for name, test := range map[string]func(bed *testBed){
		"requests":               serveHTTP2Requests,
		"stream reset by client": resetCancelsRequest,
		"rapid reset":            limitRapidResets,
		"too many streams":       refuseExcessStreams,
		"ping flood":             limitPings,
		"settings flood":         limitSettings,
		"empty data flood":       limitEmptyData,
		"endless continuations":  limitContinuations,
		"header bomb":            rejectHeaderBomb,
		"zero window":            cancelBlockedResponses,
		"stalled body":           timeOutStalledBody,
		"body too long":          rejectLargeBody,
		"malformed requests":     resetMalformedRequests,
		"drain":                  finishStreamsWhileDraining,
	} {
		t.Run(name, func(t *testing.T) {
			runInTestBed(t, http2Listener, func(bed *testBed) {
				test(bed)
				bed.setServerFault("ok")
				if name != "drain" {
					time.Sleep(3 * time.Second)
					bed.expectOtherClientsServed()
					bed.expectNothingInFlight()
				}
			})
		})
	}
}

// serveHTTP2Requests checks that requests with and without a body are served.
func serveHTTP2Requests(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	c.sendRequest(1, true, "GET", "/records/1")
	c.sendRequest(3, false, "POST", "/notes/1", "content-length", "3")
	bed.logError(c.framer.WriteData(3, true, []byte("abc")))
	if got := c.readFrames(time.Second); countFrames(got, "1: 200") != 1 || countFrames(got, "3: 200") != 1 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// resetCancelsRequest checks that a stream reset is treated as a disconnected client.
func resetCancelsRequest(bed *testBed) {
	bed.t.Helper()
	bed.setServerFault("hang")
	c := bed.dialHTTP2()
	c.sendRequest(1, true, "POST", "/notes/1")
	time.Sleep(100 * time.Millisecond)
	bed.logError(c.framer.WriteRSTStream(1, http2.ErrCodeCancel))
	time.Sleep(100 * time.Millisecond)
	if n := bed.gateway.node.Unanswered(); n != 0 {
		bed.t.Errorf("%d requests are still unanswered", n)
	}
	mustClose(bed.t, c.conn)
}

// limitRapidResets checks that a client that resets its streams immediately is disconnected before many
// attempts have reached the servers.
func limitRapidResets(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	for i := range uint32(500) {
		c.sendRequest(2*i+1, true, "GET", "/records/1")
		bed.logError(c.framer.WriteRSTStream(2*i+1, http2.ErrCodeCancel))
	}
	if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 || countFrames(got, "end") != 1 {
		bed.t.Error(got)
	}
	if n := len(bed.arrivedAttempts()); n > 60 {
		bed.t.Errorf("%d attempts reached servers, want at most 60", n)
	}
	mustClose(bed.t, c.conn)
}

// refuseExcessStreams checks that streams beyond the limit are refused.
func refuseExcessStreams(bed *testBed) {
	bed.t.Helper()
	bed.setServerFault("hang")
	c := bed.dialHTTP2()
	for i := range uint32(40) {
		c.sendRequest(2*i+1, true, "GET", "/records/1")
	}
	if got := c.readFrames(100 * time.Millisecond); countFrames(got, "REFUSED_STREAM") != 20 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// limitPings checks that a flood of PING frames ends the connection.
func limitPings(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	for range 200 {
		bed.logError(c.framer.WritePing(false, [8]byte{}))
	}
	if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// limitSettings checks that a flood of SETTINGS frames ends the connection.
func limitSettings(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	for range 200 {
		bed.logError(c.framer.WriteSettings())
	}
	if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// limitEmptyData checks that a flood of empty DATA frames ends the connection.
func limitEmptyData(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	c.sendRequest(1, false, "POST", "/notes/1")
	for range 200 {
		bed.logError(c.framer.WriteData(1, false, nil))
	}
	if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// limitContinuations checks that a header block without an end causes the connection to be closed.
func limitContinuations(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	bed.logError(c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.headerBlock("GET", "/records/1")}))
	for range 2000 {
		c.headerBuffer.Reset()
		c.encode(hpack.HeaderField{Name: "x-a", Value: strings.Repeat("b", 1000), Sensitive: true})
		if c.framer.WriteContinuation(1, false, c.headerBuffer.Bytes()) != nil {
			break
		}
	}
	if got := c.readFrames(time.Second); countFrames(got, "end") != 1 || countFrames(got, "200") != 0 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// rejectHeaderBomb checks that the header limit applies to the decompressed size.
func rejectHeaderBomb(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	var fields []string
	for range 500 {
		fields = append(fields, "x-a", strings.Repeat("b", 500)) // one byte each when compressed, as they are indexed
	}
	c.sendRequest(1, true, "GET", "/records/1", fields...)
	if got := c.readFrames(time.Second); countFrames(got, "1: 431") != 1 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// cancelBlockedResponses checks that responses are canceled if the client's flow control blocks them.
func cancelBlockedResponses(bed *testBed) {
	bed.t.Helper()
	// 1000 streams on 50 connections, whose window of zero blocks all responses.
	var clients []*rawHTTP2Client
	for range 50 {
		c := bed.dialHTTP2(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		for i := range uint32(20) {
			c.sendRequest(2*i+1, true, "GET", "/records/1")
		}
		clients = append(clients, c)
	}
	time.Sleep(500 * time.Millisecond)
	bed.expectOtherClientsAnswered()
	got := clients[0].readFrames(time.Minute)
	if countFrames(got, ": ") < 20 || countFrames(got, "CANCEL") != 20 {
		bed.t.Error(got)
	}
	for _, c := range clients {
		mustClose(bed.t, c.conn)
	}
}

// timeOutStalledBody checks that a request whose body stalls gets status 408.
func timeOutStalledBody(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	c.sendRequest(1, false, "POST", "/notes/1")
	bed.logError(c.framer.WriteData(1, false, []byte("abc")))
	if got := c.readFrames(5 * time.Second); countFrames(got, "1: 408") != 1 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// rejectLargeBody checks that a request whose body exceeds the limit gets status 413.
func rejectLargeBody(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	c.sendRequest(1, false, "POST", "/notes/1")
	for range 7 {
		bed.logError(c.framer.WriteData(1, false, make([]byte, 16000)))
		time.Sleep(10 * time.Millisecond)
	}
	if got := c.readFrames(time.Second); countFrames(got, "1: 413") != 1 || countFrames(got, "1: NO_ERROR") != 1 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// resetMalformedRequests checks that the streams of malformed requests are reset and that the requests
// reach no server.
func resetMalformedRequests(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	c.sendRequest(1, false, "POST", "/notes/1", "content-length", "5")
	bed.logError(c.framer.WriteData(1, true, []byte("abc")))
	c.sendRequest(3, true, "POST", "/notes/1", "content-length", "5")
	c.sendRequest(5, true, "GET", "/records/1", "transfer-encoding", "chunked")
	c.sendRequest(7, true, "GET", "/records/1", "connection", "close")
	c.sendRequest(9, true, "GET", "/records/1", "host", "other")
	c.sendRequest(11, true, "GET", "/records/1 HTTP/1.1")
	if got := c.readFrames(time.Second); countFrames(got, "PROTOCOL_ERROR") != 6 || len(bed.arrivedAttempts()) != 0 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// finishStreamsWhileDraining checks that a drain finishes the open streams and accepts no new one.
func finishStreamsWhileDraining(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	c.sendRequest(1, true, "GET", "/records/1")
	c.sendRequest(3, false, "POST", "/notes/1")
	time.Sleep(10 * time.Millisecond)
	done := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		done <- bed.gateway.Drain(ctx)
	}()
	time.Sleep(10 * time.Millisecond)
	c.sendRequest(5, true, "GET", "/records/1")
	bed.logError(c.framer.WriteData(3, true, []byte("abc")))
	got := c.readFrames(3 * time.Second)
	if countFrames(got, "goaway 3 NO_ERROR") != 1 || countFrames(got, "1: 200") != 1 || countFrames(got, "3: ") != 1 || countFrames(got, "5: ") != 0 || countFrames(got, "end") != 1 {
		bed.t.Error(got)
	}
	if err := <-done; err != nil {
		bed.t.Error(err)
	}
	mustClose(bed.t, c.conn)
}

// A gateway is paused at varying moments while it writes several responses on one connection. The
// responses must be written after it resumes.
func TestResponsesSurviveAPauseWhileWriting(t *testing.T) {
	for at := 50 * time.Millisecond; at < 56*time.Millisecond; at += 250 * time.Microsecond {
		runInTestBed(t, http2Listener, func(bed *testBed) {
			c := bed.dialHTTP2()
			for id := uint32(1); id < 16; id += 2 {
				c.sendRequest(id, true, "GET", "/records/1")
			}
			time.Sleep(at)
			bed.gatewayHost.Pause()
			time.Sleep(time.Second)
			bed.gatewayHost.Resume()
			if got := c.readFrames(3 * time.Second); countFrames(got, ": 200")+countFrames(got, ": 429") < 4 {
				t.Errorf("paused after %v: frames %v", at, got)
			}
			mustClose(bed.t, c.conn)
		})
	}
}
