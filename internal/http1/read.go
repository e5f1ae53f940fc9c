package http1

import (
	"strconv"
	"strings"
)

const maxEmptyLines = 2 // tolerated before a request line; RFC 9112, 2.2

// Request reads the head of a request. The error is io.EOF if the connection ended before the
// first byte.
func (r *Reader) Request() (*Request, error) {
	var b []byte
	for empty := 0; len(b) == 0; empty++ {
		var err error
		if b, err = r.readLine(414); err != nil {
			return nil, err
		}
		if empty >= maxEmptyLines {
			return nil, newError(400, "empty lines before a request")
		}
	}
	first := string(b)
	method, rest, ok := strings.Cut(first, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || target == "" || strings.ContainsAny(version, " \t") {
		return nil, newError(400, "malformed request line")
	}
	req := &Request{Method: method, Target: target}
	switch version {
	case "HTTP/1.1":
		req.Minor = 1
	case "HTTP/1.0":
	default:
		if strings.HasPrefix(version, "HTTP/") {
			return nil, newError(505, "version other than HTTP/1.1 and HTTP/1.0")
		}
		return nil, newError(400, "malformed request line")
	}
	var err error
	if req.Header, err = r.readHeader(); err != nil {
		return nil, err
	}
	if err := req.checkHostAndTarget(); err != nil {
		return nil, err
	}
	req.Framing, req.Length, err = parseFraming(req.Header, req.Minor)
	if err == nil && req.Length > r.limits.MaxBodyBytes {
		err = newError(413, "body longer than %d bytes", r.limits.MaxBodyBytes)
	}
	return req, err
}

// checkHostAndTarget checks the Host field and the target, and brings the target to origin-form.
func (req *Request) checkHostAndTarget() error {
	hosts := 0
	for _, f := range req.Header {
		if f.Name == "Host" {
			hosts++
			req.Host = f.Value
		}
	}
	if hosts > 1 || hosts == 0 && req.Minor >= 1 {
		return newError(400, "%d Host fields", hosts)
	}
	if strings.ContainsAny(req.Host, " \t,/@") {
		return newError(400, "malformed Host")
	}
	for i := range len(req.Target) {
		if c := req.Target[i]; c <= ' ' || c >= 0x7f || c == '#' || c == '\\' {
			return newError(400, "character %#02x in the target", c)
		}
	}
	switch {
	case req.Target[0] == '/':
	case req.Target == "*":
		if req.Method != "OPTIONS" {
			return newError(400, "target * with a method other than OPTIONS")
		}
	case req.Method == "CONNECT":
		return newError(405, "CONNECT is not served")
	default:
		rest, ok := strings.CutPrefix(req.Target, "http://")
		if !ok {
			return newError(400, "malformed target")
		}
		host, path, _ := strings.Cut(rest, "/")
		if host == "" || strings.ContainsAny(host, "?@") {
			return newError(400, "malformed target")
		}
		req.Host, req.Target = host, "/"+path // RFC 9112, 3.2.2: the target overrides Host
	}
	return nil
}

// Response reads the head of the final response to a request with the given method. It skips
// interim responses (1xx).
func (r *Reader) Response(method string) (*Response, error) {
	const maxInterimResponses = 8
	for range maxInterimResponses {
		b, err := r.readLine(400)
		if err != nil {
			return nil, err
		}
		first := string(b)
		version, rest, ok := strings.Cut(first, " ")
		code, reason, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if !ok || err != nil || len(code) != 3 || status < 100 || status > 599 {
			return nil, newError(400, "malformed status line")
		}
		res := &Response{Status: status, Reason: reason}
		switch version {
		case "HTTP/1.1":
			res.Minor = 1
		case "HTTP/1.0":
		default:
			return nil, newError(400, "version other than HTTP/1.1 and HTTP/1.0")
		}
		if res.Header, err = r.readHeader(); err != nil {
			return nil, err
		}
		if status == 101 {
			return nil, newError(400, "protocol switched unasked")
		}
		if status < 200 {
			continue
		}
		if method == "HEAD" || status == 204 || status == 304 {
			return res, nil
		}
		if res.Framing, res.Length, err = parseFraming(res.Header, res.Minor); err != nil {
			return nil, err
		}
		if res.Framing == NoBody && !res.Header.Has("Content-Length") {
			res.Framing = UntilClose
		}
		if res.Length > r.limits.MaxBodyBytes {
			return nil, newError(413, "body longer than %d bytes", r.limits.MaxBodyBytes)
		}
		return res, nil
	}
	return nil, newError(400, "more than %d interim responses", maxInterimResponses)
}
