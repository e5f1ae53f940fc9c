package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

var testLimits = Limits{MaxLineBytes: 1024, MaxHeaderFields: 20, MaxHeaderBytes: 4096, MaxBodyBytes: 1000}

// readRequest reads one request with its body.
func readRequest(r *Reader) (*Request, []byte, error) {
	req, err := r.Request()
	if err != nil {
		return nil, nil, err
	}
	body, err := r.Body(req.Framing, req.Length)
	return req, body, err
}

func statusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	if err != nil {
		return -1
	}
	return 0
}

const host = "Host: h\r\n"

// rejectedRequests are requests that two parsers could read differently (RFC 9112, and known ways
// of request smuggling) or that exceed the limits. status is the status of the error.
var rejectedRequests = map[string]struct {
	in     string
	status int
}{
	"both length and coding":         {"POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"coding before length":           {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400},
	"lengths that differ":            {"POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
	"list of lengths":                {"POST / HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\nabc", 400},
	"signed length":                  {"POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\nabc", 400},
	"negative length":                {"POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n", 400},
	"hex length":                     {"POST / HTTP/1.1\r\n" + host + "Content-Length: 0x3\r\n\r\nabc", 400},
	"empty length":                   {"POST / HTTP/1.1\r\n" + host + "Content-Length: \r\n\r\n", 400},
	"overflowing length":             {"POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\n", 400},
	"unknown coding":                 {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n", 400},
	"coding list":                    {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
	"coding twice":                   {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"obscured coding":                {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
	"coding with vertical tab":       {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n", 400},
	"coding in HTTP/1.0":             {"POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"space before colon":             {"POST / HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc", 400},
	"folded line":                    {"GET / HTTP/1.1\r\n" + host + "X-A: b\r\n c\r\n\r\n", 400},
	"folded first line":              {"GET / HTTP/1.1\r\n " + host + "\r\n", 400},
	"bare LF in the header":          {"GET / HTTP/1.1\r\n" + "Host: h\n\r\n", 400},
	"bare LF after the request line": {"GET / HTTP/1.1\n" + host + "\r\n", 400},
	"bare CR in a value":             {"GET / HTTP/1.1\r\n" + host + "X-A: b\rTransfer-Encoding: chunked\r\n\r\n", 400},
	"NUL in a value":                 {"GET / HTTP/1.1\r\n" + host + "X-A: b\x00c\r\n\r\n", 400},
	"no colon":                       {"GET / HTTP/1.1\r\n" + host + "X-A\r\n\r\n", 400},
	"empty name":                     {"GET / HTTP/1.1\r\n" + host + ": b\r\n\r\n", 400},
	"name with a quote":              {"GET / HTTP/1.1\r\n" + host + "X\"A: b\r\n\r\n", 400},
	"no host":                        {"GET / HTTP/1.1\r\n\r\n", 400},
	"two hosts":                      {"GET / HTTP/1.1\r\n" + host + host + "\r\n", 400},
	"host with a path":               {"GET / HTTP/1.1\r\nHost: h/x\r\n\r\n", 400},
	"host with a user":               {"GET / HTTP/1.1\r\nHost: a@h\r\n\r\n", 400},
	"two spaces":                     {"GET  / HTTP/1.1\r\n" + host + "\r\n", 400},
	"space in the target":            {"GET /a b HTTP/1.1\r\n" + host + "\r\n", 400},
	"tab for a space":                {"GET\t/\tHTTP/1.1\r\n" + host + "\r\n", 400},
	"fragment":                       {"GET /#a HTTP/1.1\r\n" + host + "\r\n", 400},
	"backslash":                      {"GET /a\\b HTTP/1.1\r\n" + host + "\r\n", 400},
	"raw UTF-8 in the target":        {"GET /\xc3\xa4 HTTP/1.1\r\n" + host + "\r\n", 400},
	"no version":                     {"GET /\r\n" + host + "\r\n", 400},
	"version in lower case":          {"GET / http/1.1\r\n" + host + "\r\n", 400},
	"HTTP/2 by name":                 {"GET / HTTP/2.0\r\n" + host + "\r\n", 505},
	"HTTP/1.2":                       {"GET / HTTP/1.2\r\n" + host + "\r\n", 505},
	"HTTP/1.10":                      {"GET / HTTP/1.10\r\n" + host + "\r\n", 505},
	"HTTP/2 preface":                 {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
	"CONNECT":                        {"CONNECT h:80 HTTP/1.1\r\n" + host + "\r\n", 405},
	"star with GET":                  {"GET * HTTP/1.1\r\n" + host + "\r\n", 400},
	"absolute target with a user":    {"GET http://a@h/ HTTP/1.1\r\n" + host + "\r\n", 400},
	"target of another scheme":       {"GET https://h/ HTTP/1.1\r\n" + host + "\r\n", 400},
	"malformed method":               {"G(T / HTTP/1.1\r\n" + host + "\r\n", 400},
	"TLS hello":                      {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n", 400},
	"a million empty lines":          {strings.Repeat("\r\n", 1_000_000), 400},
	"long request line":              {"GET /" + strings.Repeat("a", 2000) + " HTTP/1.1\r\n" + host + "\r\n", 414},
	"long header line":               {"GET / HTTP/1.1\r\n" + host + "X-A: " + strings.Repeat("a", 2000) + "\r\n\r\n", 431},
	"many fields":                    {"GET / HTTP/1.1\r\n" + host + strings.Repeat("X-A: b\r\n", 30) + "\r\n", 431},
	"large header":                   {"GET / HTTP/1.1\r\n" + host + strings.Repeat("X-A: "+strings.Repeat("b", 500)+"\r\n", 10) + "\r\n", 431},
	"long body":                      {"POST / HTTP/1.1\r\n" + host + "Content-Length: 1001\r\n\r\n", 413},
	"long chunked body":              {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n", 413},
	"body grown by chunks":           {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("64\r\n"+strings.Repeat("a", 100)+"\r\n", 11), 413},
	"chunk size with a sign":         {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n", 400},
	"chunk size with 0x":             {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400},
	"chunk size that overflows":      {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", 400},
	"chunk longer than its size":     {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400},
	"chunk line with bare LF":        {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400},
	"chunk end with bare LF":         {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n", 400},
	"long chunk extension":           {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3;" + strings.Repeat("a", 2000) + "\r\n", 400},
	"folded trailer":                 {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: a\r\n b\r\n\r\n", 400},
}

func TestRequestsRejected(t *testing.T) {
	for name, c := range rejectedRequests {
		t.Run(name, func(t *testing.T) {
			_, _, err := readRequest(NewReader(strings.NewReader(c.in), testLimits))
			if got := statusOf(err); got != c.status {
				t.Errorf("status %d (%v), want %d", got, err, c.status)
			}
		})
	}
}

func TestRequestsRead(t *testing.T) {
	for name, c := range map[string]struct{ in, method, target, host, body string }{
		"plain":             {"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "/a?b=c", "h", ""},
		"empty line before": {"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "/", "h", ""},
		"absolute target":   {"GET http://real/a HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "/a", "real", ""},
		"length":            {"PUT / HTTP/1.1\r\nhost:h\r\nCONTENT-LENGTH: 3\r\n\r\nabc", "PUT", "/", "h", "abc"},
		"repeated length":   {"PUT / HTTP/1.1\r\nhost:h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "PUT", "/", "h", "abc"},
		"chunks": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\n",
			"POST", "/", "h", "abc0123456789"},
		"HTTP/1.0 without host": {"GET / HTTP/1.0\r\n\r\n", "GET", "/", "", ""},
		"options":               {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "OPTIONS", "*", "h", ""},
	} {
		t.Run(name, func(t *testing.T) {
			// The result must not depend on how the bytes arrive, and the request behind must be
			// read as well.
			const next = "GET /next HTTP/1.1\r\nHost: n\r\n\r\n"
			for delivery, r := range map[string]io.Reader{"at once": strings.NewReader(c.in + next),
				"byte by byte": iotest.OneByteReader(strings.NewReader(c.in + next))} {
				reader := NewReader(r, testLimits)
				req, body, err := readRequest(reader)
				if err != nil {
					t.Fatalf("%s: %v", delivery, err)
				}
				if req.Method != c.method || req.Target != c.target || req.Host != c.host || string(body) != c.body {
					t.Errorf("%s: %+v, body %q", delivery, req, body)
				}
				if req, _, err := readRequest(reader); err != nil || req.Target != "/next" {
					t.Errorf("%s: the next request: %v, %v", delivery, req, err)
				}
			}
		})
	}
}

// A request that is truncated anywhere is an unexpected EOF. It must never be read as a complete
// request.
func TestTruncatedRequest(t *testing.T) {
	in := "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for i := range len(in) {
		_, _, err := readRequest(NewReader(strings.NewReader(in[:i]), testLimits))
		if want := io.ErrUnexpectedEOF; i == 0 && !errors.Is(err, io.EOF) || i > 0 && !errors.Is(err, want) {
			t.Errorf("truncated at %d: %v", i, err)
		}
	}
}

func TestResponses(t *testing.T) {
	for name, c := range map[string]struct {
		in, method string
		status     int
		body       string
		keepAlive  bool
		fails      bool
	}{
		"length":              {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "GET", 200, "abc", true, false},
		"until close":         {"HTTP/1.1 200 OK\r\n\r\nabc", "GET", 200, "abc", false, false},
		"interim":             {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "GET", 200, "a", true, false},
		"no body by status":   {"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", "GET", 204, "", true, false},
		"no body by method":   {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD", 200, "", true, false},
		"no reason":           {"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", "GET", 200, "", true, false},
		"closing":             {"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n", "GET", 200, "", false, false},
		"HTTP/1.0":            {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", 200, "", false, false},
		"endless interim":     {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), "GET", 0, "", false, true},
		"protocol switched":   {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "GET", 0, "", false, true},
		"truncated body":      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", "GET", 200, "", false, true},
		"truncated chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", "GET", 200, "", false, true},
		"both framings":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "GET", 0, "", false, true},
		"not HTTP":            {"SSH-2.0-x\r\n", "GET", 0, "", false, true},
		"body over the limit": {"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n", "GET", 0, "", false, true},
		"endless body":        {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", 2000), "GET", 0, "", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReader(strings.NewReader(c.in), testLimits)
			res, err := r.Response(c.method)
			var body []byte
			if err == nil {
				body, err = r.Body(res.Framing, res.Length)
			}
			if c.fails {
				if err == nil {
					t.Fatalf("read as %+v, body %q", res, body)
				}
				return
			}
			if err != nil || res.Status != c.status || string(body) != c.body || res.KeepAlive() != c.keepAlive {
				t.Errorf("%+v, body %q, keep-alive %v, error %v", res, body, res.KeepAlive(), err)
			}
		})
	}
}

func TestEndToEnd(t *testing.T) {
	h := Header{{"Connection", "close, X-Own"}, {"X-Own", "a"}, {"Te", "trailers"}, {"X-Kept", "b"}, {"Keep-Alive", "1"},
		{"Content-Length", "3"}, {"Upgrade", "h2c"}}
	if got := fmt.Sprint(h.EndToEnd()); got != "[{X-Kept b}]" {
		t.Error(got)
	}
}

// Whatever bytes arrive, reading ends without a panic and within the limits. A request that was
// read, written and read again must be the same.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("GET http://h/a?b HTTP/1.1\r\nHost: h\r\nX-A: b\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		req, body, err := readRequest(NewReader(bytes.NewReader(in), testLimits))
		if err != nil {
			return
		}
		if int64(len(body)) > testLimits.MaxBodyBytes || len(req.Header) > testLimits.MaxHeaderFields {
			t.Fatalf("beyond the limits: %d bytes, %d fields", len(body), len(req.Header))
		}
		out := AppendRequest(nil, req.Method, req.Target, req.Host, req.Header.EndToEnd(), body)
		again, bodyAgain, err := readRequest(NewReader(bytes.NewReader(out), Limits{MaxLineBytes: 2048, MaxHeaderFields: 40, MaxHeaderBytes: 8192, MaxBodyBytes: 2000}))
		if err != nil || again.Method != req.Method || again.Target != req.Target || again.Host != req.Host || !bytes.Equal(body, bodyAgain) {
			t.Fatalf("%q was written as %q, which is read differently: %v", in, out, err)
		}
	})
}

// Await must hold the largest message that the limits allow, and no more: a client that sends ahead without end would
// otherwise make the buffer of its connection grow to twice that.
func TestAwaitBuffersOneMessageAtMost(t *testing.T) {
	for _, limits := range []Limits{testLimits, {MaxLineBytes: 1024, MaxHeaderFields: 20, MaxHeaderBytes: 4096, MaxBodyBytes: 1 << 16}} {
		r := NewReader(iotest.OneByteReader(endlessReader{}), limits)
		var err error
		for err == nil {
			err = r.Await()
		}
		if want := int64(limits.MaxHeaderBytes) + limits.MaxBodyBytes; !errors.Is(err, ErrPipelineTooLong) || int64(r.Buffered()) != want {
			t.Errorf("%v with %d bytes buffered, want %d", err, r.Buffered(), want)
		}
	}
}

// endlessReader reads the letter x without end.
type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}
