// Package http1 reads and writes HTTP/1.1 messages (RFC 9112), strictly and within limits. A
// message that two parsers could read differently is an error. Names and white space are handled
// by net/textproto. Lines are not: the reader of textproto accepts bare line feeds and folded
// lines.
package http1

import (
	"fmt"
	"net/textproto"
	"strings"
)

// Field is one header field. The name is in canonical form.
type Field struct{ Name, Value string }

// Header is a list of header fields in the order in which they were received.
type Header []Field

// Get returns the value of the first field of a name, or "". The name is in canonical form.
func (h Header) Get(name string) string {
	for i := range h {
		if h[i].Name == name {
			return h[i].Value
		}
	}
	return ""
}

// Has reports whether there is a field of a name. The name is in canonical form.
func (h Header) Has(name string) bool {
	for i := range h {
		if h[i].Name == name {
			return true
		}
	}
	return false
}

// Add appends a field and brings its name to canonical form.
func (h *Header) Add(name, value string) {
	*h = append(*h, Field{textproto.CanonicalMIMEHeaderKey(name), value})
}

// Set replaces all fields of a name by a single one.
func (h *Header) Set(name, value string) {
	h.Del(name)
	h.Add(name, value)
}

// Del removes all fields of a name.
func (h *Header) Del(name string) {
	name = textproto.CanonicalMIMEHeaderKey(name)
	kept := (*h)[:0]
	for _, f := range *h {
		if f.Name != name {
			kept = append(kept, f)
		}
	}
	*h = kept
}

// forEachToken calls f for each token, in lower case, of the comma-separated lists in the fields
// of a name.
func (h Header) forEachToken(name string, f func(string)) {
	for _, field := range h {
		if field.Name != name {
			continue
		}
		for part := range strings.SplitSeq(field.Value, ",") {
			if part = textproto.TrimString(part); part != "" {
				f(strings.ToLower(part))
			}
		}
	}
}

// HasToken reports whether the comma-separated lists in the fields of a name contain a token,
// which is given in lower case.
func (h Header) HasToken(name, token string) bool {
	found := false
	h.forEachToken(name, func(t string) { found = found || t == token })
	return found
}

// hopByHop are the header fields that apply to one connection only (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true}

// EndToEnd returns the fields to forward: all but those that apply to one connection only
// (RFC 9110, 7.6.1) and Content-Length, which the writer of a message sets.
func (h Header) EndToEnd() Header {
	var connectionOptions []string
	h.forEachToken("Connection", func(t string) { connectionOptions = append(connectionOptions, textproto.CanonicalMIMEHeaderKey(t)) })
	kept := make(Header, 0, len(h)+4)
next:
	for _, f := range h {
		if hopByHop[f.Name] || f.Name == "Content-Length" {
			continue
		}
		for _, option := range connectionOptions {
			if f.Name == option {
				continue next
			}
		}
		kept = append(kept, f)
	}
	return kept
}

// Framing is how the body of a message is delimited.
type Framing int

// The framings.
const (
	NoBody Framing = iota
	Length
	Chunked
	UntilClose // responses only
)

// Request is the head of a request.
type Request struct {
	Method  string
	Target  string // in origin-form, or "*"
	Host    string
	Minor   int // minor version: HTTP/1.Minor
	Header  Header
	Framing Framing
	Length  int64 // of the body if Framing is Length
}

// KeepAlive reports whether the connection may carry another message after the request.
func (r *Request) KeepAlive() bool { return keepAlive(r.Minor, r.Header) }

// Response is the head of a response.
type Response struct {
	Status  int
	Reason  string
	Minor   int
	Header  Header
	Framing Framing
	Length  int64
}

// KeepAlive reports whether the connection may carry another message after the response.
func (r *Response) KeepAlive() bool {
	return r.Framing != UntilClose && keepAlive(r.Minor, r.Header)
}

func keepAlive(minor int, h Header) bool {
	if h.HasToken("Connection", "close") {
		return false
	}
	return minor >= 1 || h.HasToken("Connection", "keep-alive")
}

// Error is the error for a message that violates the protocol or a limit. The connection cannot be
// used any longer.
type Error struct {
	Status int // HTTP status with which a server responds
	Text   string
}

func (e *Error) Error() string { return "http1: " + e.Text }

func newError(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}
