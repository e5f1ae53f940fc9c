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
	w    *testBed
	nc   net.Conn
	fr   *http2.Framer
	henc *hpack.Encoder
	hbuf bytes.Buffer
}

func (w *testBed) dialHTTP2(settings ...http2.Setting) *rawHTTP2Client {
	w.t.Helper()
	nc, err := w.host.Dial(context.Background(), "10.0.0.1:82")
	if err != nil {
		w.t.Fatal(err)
	}
	c := &rawHTTP2Client{w: w, nc: nc, fr: http2.NewFramer(nc, nc)}
	c.henc = hpack.NewEncoder(&c.hbuf)
	c.fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if _, err := io.WriteString(nc, http2.ClientPreface); err != nil {
		w.t.Fatal(err)
	}
	c.w.logError(c.fr.WriteSettings(settings...))
	return c
}

// encode appends a field to the header block in hbuf.
func (c *rawHTTP2Client) encode(field hpack.HeaderField) {
	if err := c.henc.WriteField(field); err != nil {
		c.w.t.Fatal(err)
	}
}

func (c *rawHTTP2Client) headerBlock(method, path string, fields ...string) []byte {
	c.hbuf.Reset()
	all := append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "h", "x-api-key", "k-school"}, fields...)
	for i := 0; i+1 < len(all); i += 2 {
		c.encode(hpack.HeaderField{Name: all[i], Value: all[i+1]})
	}
	return c.hbuf.Bytes()
}

func (c *rawHTTP2Client) request(id uint32, end bool, method, path string, fields ...string) {
	c.w.logError(c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.headerBlock(method, path, fields...), EndStream: end, EndHeaders: true}))
}

// readFrames reads frames until the connection ends or a time is over.
func (c *rawHTTP2Client) readFrames(d time.Duration) (frames []string) {
	if err := c.nc.SetReadDeadline(time.Now().Add(d)); err != nil {
		c.w.t.Fatal(err)
	}
	for {
		f, err := c.fr.ReadFrame()
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

// expectOthersServed checks that others are served meanwhile.
func (w *testBed) expectOthersServed() {
	w.t.Helper()
	if g := w.do("GET", "/records/1", "k-school"); g.status != 200 || g.took > time.Second {
		w.t.Errorf("others are not served: %+v", g)
	}
}

// expectOthersAnswered is fine where the quota may be used up: an answer comes at once.
func (w *testBed) expectOthersAnswered() {
	w.t.Helper()
	if g := w.do("GET", "/records/1", "k-school"); g.status != 200 && g.status != 429 || g.took > time.Second {
		w.t.Errorf("others are not answered: %+v", g)
	}
}

// TestHTTP2Listener runs what clients do, well-behaved and abusive ones. Afterwards others are served
// and nothing is in flight.
func TestHTTP2Listener(t *testing.T) {
	for name, test := range map[string]func(w *testBed){
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
			runInTestBed(t, http2Listener, func(w *testBed) {
				test(w)
				w.breakServers("ok")
				if name != "drain in the middle" {
					time.Sleep(3 * time.Second)
					w.expectOthersServed()
					w.expectNothingInFlight()
				}
			})
		})
	}
}

// serveHTTP2Requests checks this: requests with and without a body are served.
func serveHTTP2Requests(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	c.request(1, true, "GET", "/records/1")
	c.request(3, false, "POST", "/notes/1", "content-length", "3")
	w.logError(c.fr.WriteData(3, true, []byte("abc")))
	if got := c.readFrames(time.Second); countFrames(got, "1: 200") != 1 || countFrames(got, "3: 200") != 1 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// resetCancelsRequest checks this: a reset stream counts as a client that has disconnected.
func resetCancelsRequest(w *testBed) {
	w.t.Helper()
	w.breakServers("hang")
	c := w.dialHTTP2()
	c.request(1, true, "POST", "/notes/1")
	time.Sleep(100 * time.Millisecond)
	w.logError(c.fr.WriteRSTStream(1, http2.ErrCodeCancel))
	time.Sleep(100 * time.Millisecond)
	if n := w.node.node.Unanswered(); n != 0 {
		w.t.Errorf("%d requests are still open", n)
	}
	mustClose(w.t, c.nc)
}

// limitRapidResets checks this: a client that resets its streams at once is disconnected before it costs the servers much.
func limitRapidResets(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	for i := range uint32(500) {
		c.request(2*i+1, true, "GET", "/records/1")
		w.logError(c.fr.WriteRSTStream(2*i+1, http2.ErrCodeCancel))
	}
	if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 || countFrames(got, "end") != 1 {
		w.t.Error(got)
	}
	if n := len(w.arrived()); n > 60 {
		w.t.Errorf("%d attempts reached servers", n)
	}
	mustClose(w.t, c.nc)
}

// refuseExcessStreams checks this: streams beyond the limit are refused.
func refuseExcessStreams(w *testBed) {
	w.t.Helper()
	w.breakServers("hang")
	c := w.dialHTTP2()
	for i := range uint32(40) {
		c.request(2*i+1, true, "GET", "/records/1")
	}
	if got := c.readFrames(100 * time.Millisecond); countFrames(got, "REFUSED_STREAM") != 20 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// limitPings checks this: a flood of pings ends the connection.
func limitPings(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	for range 200 {
		w.logError(c.fr.WritePing(false, [8]byte{}))
	}
	if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// limitSettings checks this: a flood of settings ends the connection.
func limitSettings(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	for range 200 {
		w.logError(c.fr.WriteSettings())
	}
	if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// limitEmptyData checks this: a flood of empty data frames ends the connection.
func limitEmptyData(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	c.request(1, false, "POST", "/notes/1")
	for range 200 {
		w.logError(c.fr.WriteData(1, false, nil))
	}
	if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// limitContinuations checks this: a header block that does not end ends the connection.
func limitContinuations(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	w.logError(c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.headerBlock("GET", "/records/1")}))
	for range 2000 {
		c.hbuf.Reset()
		c.encode(hpack.HeaderField{Name: "x-a", Value: strings.Repeat("b", 1000), Sensitive: true})
		if c.fr.WriteContinuation(1, false, c.hbuf.Bytes()) != nil {
			break
		}
	}
	if got := c.readFrames(time.Second); countFrames(got, "end") != 1 || countFrames(got, "200") != 0 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// rejectHeaderBomb checks this: headers that are small when compressed are measured when decompressed.
func rejectHeaderBomb(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	var fields []string
	for range 500 {
		fields = append(fields, "x-a", strings.Repeat("b", 500)) // one byte each, indexed
	}
	c.request(1, true, "GET", "/records/1", fields...)
	if got := c.readFrames(time.Second); countFrames(got, "1: 431") != 1 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// cancelBlockedResponses checks this: responses that a client does not take are canceled.
func cancelBlockedResponses(w *testBed) {
	w.t.Helper()
	// A thousand streams on fifty connections that take no byte of an answer.
	var all []*rawHTTP2Client
	for range 50 {
		c := w.dialHTTP2(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		for i := range uint32(20) {
			c.request(2*i+1, true, "GET", "/records/1")
		}
		all = append(all, c)
	}
	time.Sleep(500 * time.Millisecond)
	w.expectOthersAnswered()
	got := all[0].readFrames(time.Minute)
	if countFrames(got, ": ") < 20 || countFrames(got, "CANCEL") != 20 {
		w.t.Error(got)
	}
	for _, c := range all {
		mustClose(w.t, c.nc)
	}
}

// timeOutStalledBody checks this: a body that stops is answered by 408.
func timeOutStalledBody(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	c.request(1, false, "POST", "/notes/1")
	w.logError(c.fr.WriteData(1, false, []byte("abc")))
	if got := c.readFrames(5 * time.Second); countFrames(got, "1: 408") != 1 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// rejectLargeBody checks this: a body beyond the limit is answered by 413.
func rejectLargeBody(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	c.request(1, false, "POST", "/notes/1")
	for range 7 {
		w.logError(c.fr.WriteData(1, false, make([]byte, 16000)))
		time.Sleep(10 * time.Millisecond)
	}
	if got := c.readFrames(time.Second); countFrames(got, "1: 413") != 1 || countFrames(got, "1: NO_ERROR") != 1 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// resetMalformedRequests checks this: requests that are malformed are reset and reach no server.
func resetMalformedRequests(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	c.request(1, false, "POST", "/notes/1", "content-length", "5")
	w.logError(c.fr.WriteData(1, true, []byte("abc")))
	c.request(3, true, "POST", "/notes/1", "content-length", "5")
	c.request(5, true, "GET", "/records/1", "transfer-encoding", "chunked")
	c.request(7, true, "GET", "/records/1", "connection", "close")
	c.request(9, true, "GET", "/records/1", "host", "other")
	c.request(11, true, "GET", "/records/1 HTTP/1.1")
	if got := c.readFrames(time.Second); countFrames(got, "PROTOCOL_ERROR") != 6 || len(w.arrived()) != 0 {
		w.t.Error(got)
	}
	mustClose(w.t, c.nc)
}

// finishStreamsWhileDraining checks this: a drain finishes the streams that are open and takes no further one.
func finishStreamsWhileDraining(w *testBed) {
	w.t.Helper()
	c := w.dialHTTP2()
	c.request(1, true, "GET", "/records/1")
	c.request(3, false, "POST", "/notes/1")
	time.Sleep(10 * time.Millisecond)
	done := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		done <- w.node.Drain(ctx)
	}()
	time.Sleep(10 * time.Millisecond)
	c.request(5, true, "GET", "/records/1")
	w.logError(c.fr.WriteData(3, true, []byte("abc")))
	got := c.readFrames(3 * time.Second)
	if countFrames(got, "goaway 3 NO_ERROR") != 1 || countFrames(got, "1: 200") != 1 || countFrames(got, "3: ") != 1 || countFrames(got, "5: ") != 0 || countFrames(got, "end") != 1 {
		w.t.Error(got)
	}
	if err := <-done; err != nil {
		w.t.Error(err)
	}
	mustClose(w.t, c.nc)
}

// A gateway is paused while it writes several responses on one connection, at any moment: the
// responses are written when it resumes.
func TestResponsesSurviveAPauseWhileWriting(t *testing.T) {
	for at := 50 * time.Millisecond; at < 56*time.Millisecond; at += 250 * time.Microsecond {
		runInTestBed(t, http2Listener, func(w *testBed) {
			c := w.dialHTTP2()
			for id := uint32(1); id < 16; id += 2 {
				c.request(id, true, "GET", "/records/1")
			}
			time.Sleep(at)
			w.nodeHost.Pause()
			time.Sleep(time.Second)
			w.nodeHost.Resume()
			if got := c.readFrames(3 * time.Second); countFrames(got, ": 200")+countFrames(got, ": 429") < 4 {
				t.Errorf("paused after %v: %v", at, got)
			}
			mustClose(w.t, c.nc)
		})
	}
}
