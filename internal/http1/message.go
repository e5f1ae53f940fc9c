// Package http1 reads and writes HTTP/1.1 messages (RFC 9112) strictly and
// within bounds. What two parsers could read differently is an error, never a
// guess. It is laid on net/textproto for names and white space; textproto's own
// reader takes bare line feeds and folded lines, so lines are read here.
package http1

import (
	"fmt"
	"net/textproto"
	"strings"
)

// Field is one header field; the name is in canonical form.
type Field struct{ Name, Value string }

// Header is a list of fields in the order they came in.
type Header []Field

// Get returns the first value of a field named in canonical form, or "".
func (h Header) Get(name string) string {
	for i := range h {
		if h[i].Name == name {
			return h[i].Value
		}
	}
	return ""
}

// Has tells whether there is a field of a name in canonical form.
func (h Header) Has(name string) bool {
	for i := range h {
		if h[i].Name == name {
			return true
		}
	}
	return false
}

// Add appends a field, its name made canonical.
func (h *Header) Add(name, value string) {
	*h = append(*h, Field{textproto.CanonicalMIMEHeaderKey(name), value})
}

// Set replaces all fields of a name by one.
func (h *Header) Set(name, value string) {
	h.Del(name)
	h.Add(name, value)
}

// Del takes all fields of a name out.
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

// forEachToken calls f for each token of a field's comma-separated lists, in lower case.
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

// HasToken tells whether a field's lists hold a token, given in lower case.
func (h Header) HasToken(name, token string) bool {
	found := false
	h.forEachToken(name, func(t string) { found = found || t == token })
	return found
}

var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true}

// EndToEnd returns the fields that are to be forwarded: those without meaning
// for one connection only (RFC 9110, 7.6.1), and without the message's framing.
func (h Header) EndToEnd() Header {
	var named []string
	h.forEachToken("Connection", func(t string) { named = append(named, textproto.CanonicalMIMEHeaderKey(t)) })
	kept := make(Header, 0, len(h)+4)
next:
	for _, f := range h {
		if hopByHop[f.Name] || f.Name == "Content-Length" {
			continue
		}
		for _, n := range named {
			if f.Name == n {
				continue next
			}
		}
		kept = append(kept, f)
	}
	return kept
}

// Framing says how a message's body is delimited.
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
	Minor   int // of the version: HTTP/1.Minor
	Header  Header
	Framing Framing
	Length  int64 // where Framing is Length
}

// KeepAlive tells whether the connection may carry another message after it.
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

// KeepAlive tells whether the connection may carry another message after it.
func (r *Response) KeepAlive() bool {
	return r.Framing != UntilClose && keepAlive(r.Minor, r.Header)
}

func keepAlive(minor int, h Header) bool {
	if h.HasToken("Connection", "close") {
		return false
	}
	return minor >= 1 || h.HasToken("Connection", "keep-alive")
}

// Error is a message that breaks the protocol or a bound. The connection can't
// be used further.
type Error struct {
	Status int // what a server answers it with
	Text   string
}

func (e *Error) Error() string { return "http1: " + e.Text }

func newError(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}
