package gateway

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
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
	w    *world
	nc   net.Conn
	fr   *http2.Framer
	henc *hpack.Encoder
	hbuf bytes.Buffer
}

func (w *world) dialHTTP2(settings ...http2.Setting) *rawHTTP2Client {
	w.t.Helper()
	nc, err := w.host.Dial(context.Background(), "10.0.0.1:82")
	if err != nil {
		w.t.Fatal(err)
	}
	c := &rawHTTP2Client{w: w, nc: nc, fr: http2.NewFramer(nc, nc)}
	c.henc = hpack.NewEncoder(&c.hbuf)
	c.fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	io.WriteString(nc, http2.ClientPreface)
	c.fr.WriteSettings(settings...)
	return c
}

func (c *rawHTTP2Client) headerBlock(method, path string, fields ...string) []byte {
	c.hbuf.Reset()
	all := append([]string{":method", method, ":scheme", "http", ":path", path, ":authority", "h", "x-api-key", "k-school"}, fields...)
	for i := 0; i+1 < len(all); i += 2 {
		c.henc.WriteField(hpack.HeaderField{Name: all[i], Value: all[i+1]})
	}
	return c.hbuf.Bytes()
}

func (c *rawHTTP2Client) request(id uint32, end bool, method, path string, fields ...string) {
	c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.headerBlock(method, path, fields...), EndStream: end, EndHeaders: true})
}

// readFrames reads frames until the connection ends or a time is over.
func (c *rawHTTP2Client) readFrames(d time.Duration) (frames []string) {
	c.nc.SetReadDeadline(time.Now().Add(d))
	for {
		f, err := c.fr.ReadFrame()
		if err != nil {
			if err == io.EOF || strings.Contains(err.Error(), "reset") {
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
func (w *world) expectOthersServed() {
	w.t.Helper()
	if g := w.do("GET", "/records/1", "k-school"); g.status != 200 || g.took > time.Second {
		w.t.Errorf("others are not served: %+v", g)
	}
}

// expectOthersAnswered is fine where the quota may be used up: an answer comes at once.
func (w *world) expectOthersAnswered() {
	w.t.Helper()
	if g := w.do("GET", "/records/1", "k-school"); g.status != 200 && g.status != 429 || g.took > time.Second {
		w.t.Errorf("others are not answered: %+v", g)
	}
}

func TestHTTP2Listener(t *testing.T) {
	for name, test := range map[string]func(w *world){
		"plain": func(w *world) {
			c := w.dialHTTP2()
			c.request(1, true, "GET", "/records/1")
			c.request(3, false, "POST", "/notes/1", "content-length", "3")
			c.fr.WriteData(3, true, []byte("abc"))
			if got := c.readFrames(time.Second); countFrames(got, "1: 200") != 1 || countFrames(got, "3: 200") != 1 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"reset is the client gone": func(w *world) {
			w.faults("hang", "")
			c := w.dialHTTP2()
			c.request(1, true, "POST", "/notes/1")
			time.Sleep(100 * time.Millisecond)
			c.fr.WriteRSTStream(1, http2.ErrCodeCancel)
			time.Sleep(100 * time.Millisecond)
			if n := w.node.node.Unanswered(); n != 0 {
				w.t.Errorf("%d requests are still open", n)
			}
			c.nc.Close()
		},
		"rapid reset": func(w *world) {
			c := w.dialHTTP2()
			for i := range uint32(500) {
				c.request(2*i+1, true, "GET", "/records/1")
				c.fr.WriteRSTStream(2*i+1, http2.ErrCodeCancel)
			}
			if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 || countFrames(got, "end") != 1 {
				w.t.Error(got)
			}
			if n := len(w.arrived()); n > 60 {
				w.t.Errorf("%d attempts reached servers", n)
			}
			c.nc.Close()
		},
		"too many streams": func(w *world) {
			w.faults("hang", "")
			c := w.dialHTTP2()
			for i := range uint32(40) {
				c.request(2*i+1, true, "GET", "/records/1")
			}
			if got := c.readFrames(100 * time.Millisecond); countFrames(got, "REFUSED_STREAM") != 20 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"pings": func(w *world) {
			c := w.dialHTTP2()
			for range 200 {
				c.fr.WritePing(false, [8]byte{})
			}
			if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"settings": func(w *world) {
			c := w.dialHTTP2()
			for range 200 {
				c.fr.WriteSettings()
			}
			if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"empty data": func(w *world) {
			c := w.dialHTTP2()
			c.request(1, false, "POST", "/notes/1")
			for range 200 {
				c.fr.WriteData(1, false, nil)
			}
			if got := c.readFrames(time.Second); countFrames(got, "ENHANCE_YOUR_CALM") != 1 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"continuations without end": func(w *world) {
			c := w.dialHTTP2()
			c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.headerBlock("GET", "/records/1")})
			for range 2000 {
				c.hbuf.Reset()
				c.henc.WriteField(hpack.HeaderField{Name: "x-a", Value: strings.Repeat("b", 1000), Sensitive: true})
				if c.fr.WriteContinuation(1, false, c.hbuf.Bytes()) != nil {
					break
				}
			}
			if got := c.readFrames(time.Second); countFrames(got, "end") != 1 || countFrames(got, "200") != 0 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"header bomb": func(w *world) {
			c := w.dialHTTP2()
			var fields []string
			for range 500 {
				fields = append(fields, "x-a", strings.Repeat("b", 500)) // one byte each, indexed
			}
			c.request(1, true, "GET", "/records/1", fields...)
			if got := c.readFrames(time.Second); countFrames(got, "1: 431") != 1 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"window of zero": func(w *world) {
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
				c.nc.Close()
			}
		},
		"body that stops": func(w *world) {
			c := w.dialHTTP2()
			c.request(1, false, "POST", "/notes/1")
			c.fr.WriteData(1, false, []byte("abc"))
			if got := c.readFrames(5 * time.Second); countFrames(got, "1: 408") != 1 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"body too long": func(w *world) {
			c := w.dialHTTP2()
			c.request(1, false, "POST", "/notes/1")
			for range 7 {
				c.fr.WriteData(1, false, make([]byte, 16000))
				time.Sleep(10 * time.Millisecond)
			}
			if got := c.readFrames(time.Second); countFrames(got, "1: 413") != 1 || countFrames(got, "1: NO_ERROR") != 1 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"length that differs": func(w *world) {
			c := w.dialHTTP2()
			c.request(1, false, "POST", "/notes/1", "content-length", "5")
			c.fr.WriteData(1, true, []byte("abc"))
			c.request(3, true, "POST", "/notes/1", "content-length", "5")
			c.request(5, true, "GET", "/records/1", "transfer-encoding", "chunked")
			c.request(7, true, "GET", "/records/1", "connection", "close")
			c.request(9, true, "GET", "/records/1", "host", "other")
			c.request(11, true, "GET", "/records/1 HTTP/1.1")
			if got := c.readFrames(time.Second); countFrames(got, "PROTOCOL_ERROR") != 6 || len(w.arrived()) != 0 {
				w.t.Error(got)
			}
			c.nc.Close()
		},
		"drain in the middle": func(w *world) {
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
			c.fr.WriteData(3, true, []byte("abc"))
			got := c.readFrames(3 * time.Second)
			if countFrames(got, "goaway 3 NO_ERROR") != 1 || countFrames(got, "1: 200") != 1 || countFrames(got, "3: ") != 1 || countFrames(got, "5: ") != 0 || countFrames(got, "end") != 1 {
				w.t.Error(got)
			}
			if err := <-done; err != nil {
				w.t.Error(err)
			}
			c.nc.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, http2Listener, func(w *world) {
				test(w)
				w.faults("ok", "")
				if name != "drain in the middle" {
					time.Sleep(3 * time.Second)
					w.expectOthersServed()
					w.expectNothingInFlight()
				}
			})
		})
	}
}

// Go's own client over HTTP/2 and TLS; the certificate is replaced in service,
// and open connections stay.
func TestTLSListenerReloadsItsCertificate(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	write := func(serial int64) {
		priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "gateway"}, DNSNames: []string{"gateway"},
			NotBefore: time.Unix(0, 0), NotAfter: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)}
		der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &priv.PublicKey, priv)
		if err != nil {
			t.Fatal(err)
		}
		k, err := x509.MarshalPKCS8PrivateKey(priv)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)
		os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: k}), 0o600)
	}
	write(1)
	inWorld(t, fmt.Sprintf("listener \"https\" \"all\" {\n address = \"10.0.0.1:443\"\n cert_file = %q\n key_file = %q\n}\n", cert, key), func(w *world) {
		client := func(protos ...string) *http.Client {
			cfg := &tls.Config{InsecureSkipVerify: true, NextProtos: protos, ServerName: "gateway"}
			dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
				nc, err := w.host.Dial(ctx, "10.0.0.1:443")
				if err != nil {
					return nil, err
				}
				tc := tls.Client(nc, cfg)
				return tc, tc.HandshakeContext(ctx)
			}
			if protos[0] == "h2" {
				return &http.Client{Transport: &http2.Transport{DialTLSContext: func(ctx context.Context, n, a string, _ *tls.Config) (net.Conn, error) {
					return dial(ctx, n, a)
				}}}
			}
			return &http.Client{Transport: &http.Transport{DialTLSContext: dial}}
		}
		get := func(c *http.Client) (proto string, serial int64) {
			req, _ := http.NewRequest("GET", "https://gateway/records/1", nil)
			req.Header.Set("X-Api-Key", "k-school")
			res, err := c.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			io.Copy(io.Discard, res.Body)
			if res.StatusCode != 200 {
				t.Errorf("status %d", res.StatusCode)
			}
			if res.TLS != nil {
				serial = res.TLS.PeerCertificates[0].SerialNumber.Int64()
			}
			return res.Proto, serial
		}
		h2, h1 := client("h2"), client("http/1.1")
		if p, n := get(h2); p != "HTTP/2.0" || n != 1 {
			t.Errorf("%s, certificate %d", p, n)
		}
		if p, n := get(h1); p != "HTTP/1.1" || n != 1 {
			t.Errorf("%s, certificate %d", p, n)
		}
		time.Sleep(2 * time.Second)
		os.WriteFile(cert, []byte("torn"), 0o600)
		other := client("h2")
		if _, n := get(other); n != 1 {
			t.Errorf("certificate %d after a torn one", n)
		}
		time.Sleep(2 * time.Second)
		write(2)
		if _, n := get(h2); n != 1 {
			t.Errorf("the open connection has certificate %d", n)
		}
		fresh := client("h2")
		if _, n := get(fresh); n != 2 {
			t.Errorf("a new connection has certificate %d", n)
		}
		for _, c := range []*http.Client{h2, h1, other, fresh} {
			c.CloseIdleConnections()
		}
	})
}

// http2ServersConfig is the world's configuration with servers that speak HTTP/2.
func http2ServersConfig() string {
	return strings.Replace(worldConfig, "servers {", "servers {\n  protocol = \"http2\"", 1)
}

func TestServersOverHTTP2(t *testing.T) {
	inWorldFrom(t, http2ServersConfig(), func(w *world) {
		done := make(chan got, 12)
		for i := range 12 {
			go func() { done <- w.do("POST", "/loans/1", "k-school", "Idempotency-Key", fmt.Sprint(i)) }()
		}
		for range 12 {
			if g := <-done; g.status != 200 {
				t.Errorf("%+v", g)
			}
		}
		res, err := w.client.Do(w.request("POST", "/notes/1", "k-school", strings.NewReader(strings.Repeat("x", 300_000))))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != 200 {
			t.Errorf("status %d", res.StatusCode)
		}
		w.faults("hang", "")
		if g := w.do("POST", "/notes/1", "k-school", "X-Envoy-Expected-Rq-Timeout-Ms", "300"); g.status != 504 {
			t.Errorf("%+v", g)
		}
		time.Sleep(100 * time.Millisecond)
		if s := w.arrived()[len(w.arrived())-1]; s.End.Sub(s.At) > 310*time.Millisecond || s.Answered {
			t.Errorf("the stream was not reset: %+v", s)
		}
	})
}

// What ends a stream decides whether an unsafe request goes again: only
// REFUSED_STREAM and a GOAWAY below it prove that nothing ran.
func TestHTTP2StreamErrorDecidesOnRetry(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(fr *http2.Framer, nc net.Conn, id uint32)
		again bool
	}{
		"REFUSED_STREAM": {func(fr *http2.Framer, _ net.Conn, id uint32) { fr.WriteRSTStream(id, http2.ErrCodeRefusedStream) }, true},
		"GOAWAY below":   {func(fr *http2.Framer, _ net.Conn, _ uint32) { fr.WriteGoAway(0, http2.ErrCodeNo, nil) }, true},
		"GOAWAY at it, then closed": {func(fr *http2.Framer, nc net.Conn, id uint32) {
			fr.WriteGoAway(id, http2.ErrCodeNo, nil)
			nc.Close()
		}, false},
		"INTERNAL_ERROR": {func(fr *http2.Framer, _ net.Conn, id uint32) { fr.WriteRSTStream(id, http2.ErrCodeInternal) }, false},
		"CANCEL":         {func(fr *http2.Framer, _ net.Conn, id uint32) { fr.WriteRSTStream(id, http2.ErrCodeCancel) }, false},
		"closed":         {func(_ *http2.Framer, nc net.Conn, _ uint32) { nc.Close() }, false},
		"reset":          {func(_ *http2.Framer, nc net.Conn, _ uint32) { nc.(interface{ Reset() }).Reset() }, false},
		"not HTTP/2": {func(_ *http2.Framer, nc net.Conn, _ uint32) {
			io.WriteString(nc, "HTTP/1.1 400 Bad\r\n\r\n")
			nc.Close()
		}, false},
		"data before headers": {func(fr *http2.Framer, _ net.Conn, id uint32) { fr.WriteData(id, true, []byte("x")) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			inWorldFrom(t, http2ServersConfig(), func(w *world) {
				requests := 0
				serve := func(nc net.Conn) {
					io.ReadFull(nc, make([]byte, len(http2.ClientPreface)))
					fr := http2.NewFramer(nc, nc)
					fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
					fr.WriteSettings()
					for {
						f, err := fr.ReadFrame()
						if err != nil {
							return
						}
						if h, is := f.(*http2.MetaHeadersFrame); is {
							if requests++; requests == 1 {
								c.end(fr, nc, h.StreamID)
								continue
							}
							var b bytes.Buffer
							hpack.NewEncoder(&b).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
							fr.WriteHeaders(http2.HeadersFrameParam{StreamID: h.StreamID, BlockFragment: b.Bytes(), EndHeaders: true, EndStream: true})
						}
					}
				}
				w.serveScriptedConnections(serve)
				g := w.do("POST", "/notes/1", "k-school")
				want, sent := 502, 1
				if c.again {
					want, sent = 200, 2
				}
				if g.status != want || requests != sent {
					t.Errorf("status %d after %d attempts, want %d after %d: %s", g.status, requests, want, sent, g.body)
				}
			})
		})
	}
}

// serveScriptedConnections puts scripted connections in the place of both servers.
func (w *world) serveScriptedConnections(serve func(net.Conn)) {
	synctest.Wait()
	for i, s := range w.servers {
		s.Kill()
		l := w.listen(fmt.Sprintf("10.0.1.%d:80", i+1))
		w.closes = append(w.closes, func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					serve(c)
				}()
			}
		}()
	}
}
