package http1

import (
	"net/http"
	"strconv"
)

// AppendRequest appends a request with a body of known length. h holds the fields to forward;
// Host and the framing are added.
func AppendRequest(b []byte, method, target, host string, h Header, body []byte) []byte {
	return append(AppendRequestHead(b, method, target, host, h, len(body)), body...)
}

// AppendRequestHead appends the head of a request with a body of the given length.
func AppendRequestHead(b []byte, method, target, host string, h Header, length int) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	for _, f := range h {
		if f.Name != "Host" {
			b = appendField(b, f)
		}
	}
	if length > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		b = appendLength(b, length)
	}
	return append(b, "\r\n"...)
}

// AppendResponse appends a response with a body of known length. The body is omitted if the
// request's method is HEAD or the status has no body.
func AppendResponse(b []byte, method string, status int, h Header, body []byte, closing bool) []byte {
	b = AppendResponseHead(b, method, status, h, len(body), closing)
	if status == 204 || status == 304 || method == "HEAD" {
		return b
	}
	return append(b, body...)
}

// AppendResponseHead appends the head of a response with a body of the given length.
func AppendResponseHead(b []byte, method string, status int, h Header, length int, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	for _, f := range h {
		b = appendField(b, f)
	}
	if status != 204 && status != 304 && method != "HEAD" {
		b = appendLength(b, length)
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, f Field) []byte {
	b = append(b, f.Name...)
	b = append(b, ": "...)
	b = append(b, f.Value...)
	return append(b, "\r\n"...)
}

func appendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}
