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

// rawHTTP2Client is a client that speaks frames.
type rawHTTP2Client struct {
	bed           *testBed
	conn          net.Conn
	framer        *http2.Framer
	headerEncoder *hpack.Encoder
	headerBuffer  bytes.Buffer
}

func (bed *testBed) dialHTTP2(settings ...http2.Setting) *rawHTTP2Client {
	bed.t.Helper()
	nc, err := bed.clientHost.Dial(context.Background(), "10.0.0.1:82")
	if err != nil {
		bed.t.Fatal(err)
	}
	c := &rawHTTP2Client{bed: bed, conn: nc, framer: http2.NewFramer(nc, nc)}
	c.headerEncoder = hpack.NewEncoder(&c.headerBuffer)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if _, err := io.WriteString(nc, http2.ClientPreface); err != nil {
		bed.t.Fatal(err)
	}
	c.bed.logError(c.framer.WriteSettings(settings...))
	return c
}

// encode appends a field to the header block in hbuf.
func (c *rawHTTP2Client) encode(field hpack.HeaderField) {
	if err := c.headerEncoder.WriteField(field); err != nil {
		c.bed.t.Fatal(err)
	}
}

func (c *rawHTTP2Client) headerBlock(method, path string, fields ...string) []byte {
	c.headerBuffer.Reset()
	all := append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "h", "x-api-key", "k-school"}, fields...)
	for i := 0; i+1 < len(all); i += 2 {
		c.encode(hpack.HeaderField{Name: all[i], Value: all[i+1]})
	}
	return c.headerBuffer.Bytes()
}

func (c *rawHTTP2Client) sendRequest(id uint32, end bool, method, path string, fields ...string) {
	c.bed.logError(c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.headerBlock(method, path, fields...), EndStream: end, EndHeaders: true}))
}

// readFrames reads frames until the connection ends or a time is over.
func (c *rawHTTP2Client) readFrames(d time.Duration) (frames []string) {
	if err := c.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
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

// expectOtherClientsServed checks that others are served meanwhile.
func (bed *testBed) expectOtherClientsServed() {
	bed.t.Helper()
	if g := bed.do("GET", "/records/1", "k-school"); g.status != 200 || g.took > time.Second {
		bed.t.Errorf("others are not served: %+v", g)
	}
}

// expectOtherClientsAnswered is fine where the quota may be used up: an answer comes at once.
func (bed *testBed) expectOtherClientsAnswered() {
	bed.t.Helper()
	if g := bed.do("GET", "/records/1", "k-school"); g.status != 200 && g.status != 429 || g.took > time.Second {
		bed.t.Errorf("others are not answered: %+v", g)
	}
}

// TestHTTP2Listener runs what clients do, well-behaved and abusive ones. Afterwards others are served
// and nothing is in flight.
func TestHTTP2Listener(t *testing.T) {
	for name, test := range map[string]func(bed *testBed){
		"plain":                     serveHTTP2Requests,
		"reset is the client gone":  resetCancelsRequest,
		"rapid reset":               limitRapidResets,
		"too many streams":          refuseExcessStreams,
		"pings":                     limitPings,
		"settings":                  limitSettings,
		"empty data":                limitEmptyData,
		"continuations without end": limitContinuations,
		"header bomb":               rejectHeaderBomb,
		"window of zero":            cancelBlockedResponses,
		"body that stops":           timeOutStalledBody,
		"body too long":             rejectLargeBody,
		"length that differs":       resetMalformedRequests,
		"drain in the middle":       finishStreamsWhileDraining,
	} {
		t.Run(name, func(t *testing.T) {
			runInTestBed(t, http2Listener, func(bed *testBed) {
				test(bed)
				bed.setServerFault("ok")
				if name != "drain in the middle" {
					time.Sleep(3 * time.Second)
					bed.expectOtherClientsServed()
					bed.expectNothingInFlight()
				}
			})
		})
	}
}

// serveHTTP2Requests checks this: requests with and without a body are served.
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

// resetCancelsRequest checks this: a reset stream counts as a client that has disconnected.
func resetCancelsRequest(bed *testBed) {
	bed.t.Helper()
	bed.setServerFault("hang")
	c := bed.dialHTTP2()
	c.sendRequest(1, true, "POST", "/notes/1")
	time.Sleep(100 * time.Millisecond)
	bed.logError(c.framer.WriteRSTStream(1, http2.ErrCodeCancel))
	time.Sleep(100 * time.Millisecond)
	if n := bed.gateway.node.Unanswered(); n != 0 {
		bed.t.Errorf("%d requests are still open", n)
	}
	mustClose(bed.t, c.conn)
}

// limitRapidResets checks this: a client that resets its streams at once is disconnected before it costs the servers much.
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
		bed.t.Errorf("%d attempts reached servers", n)
	}
	mustClose(bed.t, c.conn)
}

// refuseExcessStreams checks this: streams beyond the limit are refused.
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

// limitPings checks this: a flood of pings ends the connection.
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

// limitSettings checks this: a flood of settings ends the connection.
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

// limitEmptyData checks this: a flood of empty data frames ends the connection.
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

// limitContinuations checks this: a header block that does not end ends the connection.
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

// rejectHeaderBomb checks this: headers that are small when compressed are measured when decompressed.
func rejectHeaderBomb(bed *testBed) {
	bed.t.Helper()
	c := bed.dialHTTP2()
	var fields []string
	for range 500 {
		fields = append(fields, "x-a", strings.Repeat("b", 500)) // one byte each, indexed
	}
	c.sendRequest(1, true, "GET", "/records/1", fields...)
	if got := c.readFrames(time.Second); countFrames(got, "1: 431") != 1 {
		bed.t.Error(got)
	}
	mustClose(bed.t, c.conn)
}

// cancelBlockedResponses checks this: responses that a client does not take are canceled.
func cancelBlockedResponses(bed *testBed) {
	bed.t.Helper()
	// A thousand streams on fifty connections that take no byte of an answer.
	var all []*rawHTTP2Client
	for range 50 {
		c := bed.dialHTTP2(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		for i := range uint32(20) {
			c.sendRequest(2*i+1, true, "GET", "/records/1")
		}
		all = append(all, c)
	}
	time.Sleep(500 * time.Millisecond)
	bed.expectOtherClientsAnswered()
	got := all[0].readFrames(time.Minute)
	if countFrames(got, ": ") < 20 || countFrames(got, "CANCEL") != 20 {
		bed.t.Error(got)
	}
	for _, c := range all {
		mustClose(bed.t, c.conn)
	}
}

// timeOutStalledBody checks this: a body that stops is answered by 408.
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

// rejectLargeBody checks this: a body beyond the limit is answered by 413.
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

// resetMalformedRequests checks this: requests that are malformed are reset and reach no server.
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

// finishStreamsWhileDraining checks this: a drain finishes the streams that are open and takes no further one.
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

// A gateway is paused while it writes several responses on one connection, at any moment: the
// responses are written when it resumes.
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
				t.Errorf("paused after %v: %v", at, got)
			}
			mustClose(bed.t, c.conn)
		})
	}
}
