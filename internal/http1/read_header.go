package http1

import (
	"bufio"
	"errors"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// readLine reads one line and returns it without its CRLF. The slice is valid until the next
// read. The error for a line that is too long has the status tooLongStatus.
func (r *Reader) readLine(tooLongStatus int) ([]byte, error) {
	b, err := r.br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(b) > r.limits.MaxLineBytes+2 {
		return nil, newError(tooLongStatus, "line longer than %d bytes", r.limits.MaxLineBytes)
	}
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(b) < 2 || b[len(b)-2] != '\r' {
		return nil, newError(400, "line ends in a bare LF")
	}
	b = b[:len(b)-2]
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, newError(400, "control character %#02x in a line", c)
		}
	}
	return b, nil
}

// fieldOverhead is the number of bytes that a header field takes beside its text.
const fieldOverhead = 64

func (r *Reader) readHeader() (Header, error) {
	h := make(Header, 0, 16)
	for size := 0; ; {
		b, err := r.readLine(431)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(b) == 0 {
			return h, nil
		}
		if size += len(b) + 2; size > r.limits.MaxHeaderBytes || len(h) >= r.limits.MaxHeaderFields {
			return nil, newError(431, "header larger than %d bytes or %d fields", r.limits.MaxHeaderBytes, r.limits.MaxHeaderFields)
		}
		if b[0] == ' ' || b[0] == '\t' {
			return nil, newError(400, "folded header line")
		}
		if err := r.memory.ReserveMessage(len(b) + fieldOverhead); err != nil {
			return nil, err
		}
		line := string(b)
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, newError(400, "malformed header field name")
		}
		h = append(h, Field{textproto.CanonicalMIMEHeaderKey(name), textproto.TrimString(value)})
	}
}

// parseFraming determines the framing of a message by RFC 9112, 6.3. Ambiguous framing is an
// error.
func parseFraming(h Header, minor int) (Framing, int64, error) {
	chunked, lengths, length := false, 0, ""
	for _, f := range h {
		switch f.Name {
		case "Transfer-Encoding":
			if chunked || !strings.EqualFold(f.Value, "chunked") {
				return 0, 0, newError(400, "transfer coding other than chunked, once")
			}
			chunked = true
		case "Content-Length":
			if lengths++; lengths > 1 && f.Value != length {
				return 0, 0, newError(400, "lengths that differ")
			}
			length = f.Value
		}
	}
	switch {
	case chunked && lengths > 0:
		return 0, 0, newError(400, "both a length and a transfer coding")
	case chunked && minor == 0:
		return 0, 0, newError(400, "transfer coding in HTTP/1.0")
	case chunked:
		return Chunked, 0, nil
	case lengths == 0:
		return NoBody, 0, nil
	}
	n, ok := parseDigits(length, 10)
	if !ok {
		return 0, 0, newError(400, "malformed length")
	}
	if n == 0 {
		return NoBody, 0, nil
	}
	return Length, n, nil
}

// parseDigits parses a number that consists of digits only: no sign, no space, no overflow.
func parseDigits(s string, base int) (int64, bool) {
	if s == "" || len(s) > 18 || base == 16 && len(s) > 15 {
		return 0, false
	}
	for _, c := range []byte(s) {
		decimal := c >= '0' && c <= '9'
		hex := base == 16 && c|0x20 >= 'a' && c|0x20 <= 'f'
		if !decimal && !hex {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(s, base, 64)
	return n, err == nil
}

var tokenChars = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()

func isToken(s string) bool {
	for i := range len(s) {
		if !tokenChars[s[i]] {
			return false
		}
	}
	return s != ""
}
