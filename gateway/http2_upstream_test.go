package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// http2ServersConfig returns the test bed's configuration with servers that use HTTP/2.
func http2ServersConfig() string {
	return strings.Replace(testBedConfig, "servers {", "servers {\n  protocol = \"http2\"", 1)
}

func TestServersOverHTTP2(t *testing.T) {
	runInTestBedWith(t, http2ServersConfig(), func(bed *testBed) {
		done := make(chan response, 12)
		for i := range 12 {
			go func() { done <- bed.do("POST", "/loans/1", "k-school", "Idempotency-Key", fmt.Sprint(i)) }()
		}
		for range 12 {
			if g := <-done; g.status != 200 {
				t.Errorf("unexpected response %+v", g)
			}
		}
		res, err := bed.client.Do(bed.postRequest("/notes/1", strings.NewReader(strings.Repeat("x", 300_000))))
		if err != nil {
			t.Fatal(err)
		}
		mustClose(t, res.Body)
		if res.StatusCode != 200 {
			t.Errorf("status %d, want 200", res.StatusCode)
		}
		bed.setServerFault("hang")
		if g := bed.do("POST", "/notes/1", "k-school", "X-Envoy-Expected-Rq-Timeout-Ms", "300"); g.status != 504 {
			t.Errorf("unexpected response %+v", g)
		}
		time.Sleep(100 * time.Millisecond)
		if s := bed.arrivedAttempts()[len(bed.arrivedAttempts())-1]; s.EndedAt.Sub(s.ArrivedAt) > 310*time.Millisecond || s.Responded {
			t.Errorf("the stream was not reset: %+v", s)
		}
	})
}

// The error that ends a stream determines whether a non-idempotent request is retried. Only
// REFUSED_STREAM and a GOAWAY with a lower last stream ID prove that it was not executed.
func TestHTTP2RetryDependsOnStreamError(t *testing.T) {
	for name, c := range map[string]struct {
		endStream func(fr *http2.Framer, conn net.Conn, id uint32) error
		retry     bool
	}{
		"REFUSED_STREAM":          {resetStream(http2.ErrCodeRefusedStream), true},
		"GOAWAY below the stream": {func(fr *http2.Framer, _ net.Conn, _ uint32) error { return fr.WriteGoAway(0, http2.ErrCodeNo, nil) }, true},
		"GOAWAY that includes the stream, then closed": {func(fr *http2.Framer, conn net.Conn, id uint32) error {
			return errors.Join(fr.WriteGoAway(id, http2.ErrCodeNo, nil), conn.Close())
		}, false},
		"INTERNAL_ERROR": {resetStream(http2.ErrCodeInternal), false},
		"CANCEL":         {resetStream(http2.ErrCodeCancel), false},
		"closed":         {func(_ *http2.Framer, conn net.Conn, _ uint32) error { return conn.Close() }, false},
		"reset": {func(_ *http2.Framer, conn net.Conn, _ uint32) error {
			conn.(interface{ Reset() }).Reset()
			return nil
		}, false},
		"not HTTP/2": {func(_ *http2.Framer, conn net.Conn, _ uint32) error {
			_, err := io.WriteString(conn, "HTTP/1.1 400 Bad\r\n\r\n")
			return errors.Join(err, conn.Close())
		}, false},
		"data before headers": {func(fr *http2.Framer, _ net.Conn, id uint32) error { return fr.WriteData(id, true, []byte("x")) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			runInTestBedWith(t, http2ServersConfig(), func(bed *testBed) {
				requests := 0
				bed.serveScriptedHTTP2(func(fr *http2.Framer, conn net.Conn, id uint32) error {
					if requests++; requests == 1 {
						return c.endStream(fr, conn, id)
					}
					return respondOKOverHTTP2(fr, id)
				})
				g := bed.do("POST", "/notes/1", "k-school")
				wantStatus, wantAttempts := 502, 1
				if c.retry {
					wantStatus, wantAttempts = 200, 2
				}
				if g.status != wantStatus || requests != wantAttempts {
					t.Errorf("status %d after %d attempts, want %d after %d: %s", g.status, requests, wantStatus, wantAttempts, g.body)
				}
			})
		})
	}
}

// resetStream returns a function that resets a stream with an error code.
func resetStream(code http2.ErrCode) func(*http2.Framer, net.Conn, uint32) error {
	return func(fr *http2.Framer, _ net.Conn, id uint32) error { return fr.WriteRSTStream(id, code) }
}

// respondOKOverHTTP2 writes a response with status 200 and without a body.
func respondOKOverHTTP2(fr *http2.Framer, id uint32) error {
	var block bytes.Buffer
	if err := hpack.NewEncoder(&block).WriteField(hpack.HeaderField{Name: ":status", Value: "200"}); err != nil {
		return err
	}
	return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true})
}

// serveScriptedHTTP2 replaces both servers by scripted HTTP/2 servers. handle is called for each request
// when its headers have been received.
func (bed *testBed) serveScriptedHTTP2(handle func(fr *http2.Framer, conn net.Conn, id uint32) error) {
	bed.serveScriptedConnections(func(conn net.Conn) {
		if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
			return // the connection was closed unused
		}
		fr := http2.NewFramer(conn, conn)
		fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
		bed.logError(fr.WriteSettings())
		for {
			f, err := fr.ReadFrame()
			if err != nil {
				return
			}
			if headers, ok := f.(*http2.MetaHeadersFrame); ok {
				bed.logError(handle(fr, conn, headers.StreamID))
			}
		}
	})
}

// serveScriptedConnections replaces both servers by listeners that call serve for each connection.
func (bed *testBed) serveScriptedConnections(serve func(net.Conn)) {
	synctest.Wait()
	for i, s := range bed.servers {
		s.Kill()
		l := bed.listen(fmt.Sprintf("10.0.1.%d:80", i+1))
		bed.closers = append(bed.closers, func() { mustClose(bed.t, l) })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					serve(c)
					if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
						bed.t.Error(err)
					}
				}()
			}
		}()
	}
}
