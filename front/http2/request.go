package http2

import (
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/memory"
	"yardcleat.example/yardcleat/internal/pauseclock"
)

// handleHeaders opens a stream or, if the frame holds trailers, ends a request body.
func (c *conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	id := f.StreamID
	c.mu.Lock()
	st, last, goingAway, full := c.streams[id], c.lastStreamID, c.goingAway, len(c.streams) >= c.server.options.MaxConcurrentStreams
	var opened *stream
	if st == nil && id > c.lastStreamID && id%2 == 1 && !goingAway {
		// From here on GOAWAY names the stream as accepted, so that the connection must not end without it.
		c.lastStreamID = id
		if full = full || !c.admitStreamLocked(); !full {
			opened = c.openStreamLocked(id)
		}
	}
	c.mu.Unlock()
	switch {
	case st != nil: // trailers, which end the body
		if !f.StreamEnded() || len(f.PseudoFields()) > 0 {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		return c.finishBody(st)
	case id%2 == 0:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	case goingAway && id > last:
		return nil // not accepted, as GOAWAY has announced
	case id <= last:
		return http2.ConnectionError(http2.ErrCodeStreamClosed)
	case full:
		if err := c.chargeFrame(); err != nil {
			return err
		}
		return c.write(func() error { return c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
	}
	return c.beginRequest(opened, f)
}

// admitStreamLocked records that the connection has a request in flight. It returns false if there are too many
// connections with one. c.mu must be held.
func (c *conn) admitStreamLocked() bool {
	if len(c.streams) > 0 {
		return true
	}
	admitted := c.server.connections.Complete(c.entry)
	if !admitted {
		c.server.connections.AwaitRequest(c.entry)
	}
	return admitted
}

// maxFreeBytesOfStream is how many bytes of a request and its response are not charged, if the connection has as many
// left: enough for a short request.
const maxFreeBytesOfStream = 1 << 10

// openStreamLocked adds a stream. c.mu must be held.
func (c *conn) openStreamLocked(id uint32) *stream {
	st := &stream{conn: c, id: id, contentLength: -1, abortSignal: make(chan struct{}), sendWindow: c.initialSendWindow,
		arrivedAt: pauseclock.ArrivalTime(c.netConn)}
	st.freeBytes = min(c.freeBytes, maxFreeBytesOfStream)
	c.freeBytes -= st.freeBytes
	st.memory = c.server.options.Memory.NewAccount(st.freeBytes, st)
	c.streams[id] = st
	c.setReadDeadlineLocked(time.Time{})
	return st
}

// beginRequest handles the header of a new stream.
func (c *conn) beginRequest(st *stream, f *http2.MetaHeadersFrame) error {
	status, detail := c.parseRequest(st, f)
	switch {
	case status < 0:
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	case status > 0:
		// The stream is claimed at once, so that the end of its body does not submit the request as well.
		if c.claim(st) {
			go c.reject(st, status, detail)
		}
		return nil
	}
	if st.memory.Reserve(time.Now(), memory.Request, headerBytes(f)) != nil {
		return c.refuseForMemory(st)
	}
	if f.StreamEnded() {
		return c.finishBody(st)
	}
	st.memory.Wait(time.Now(), memory.Request)
	c.mu.Lock()
	defer c.mu.Unlock()
	st.bodyTimer = time.AfterFunc(c.server.options.BodyTimeout, func() {
		if c.claim(st) {
			c.reject(st, 408, "the time for the body is over")
		}
	})
	return nil
}

// headerBytes returns the size of a header list as counted by RFC 9113, 6.5.2.
func headerBytes(f *http2.MetaHeadersFrame) (size int64) {
	for _, field := range f.Fields {
		size += int64(field.Size())
	}
	return size
}

// parseRequest sets st.request and st.contentLength from the header fields. The status is 0 if
// the request is valid, -1 if it is malformed (RFC 9113, 8.1.1), and otherwise that of the
// response that rejects it.
func (c *conn) parseRequest(st *stream, f *http2.MetaHeadersFrame) (status int, detail string) {
	var scheme, path string
	for _, p := range f.PseudoFields() {
		switch p.Name {
		case ":method":
			st.request.Method = p.Value
		case ":path":
			path = p.Value
		case ":scheme":
			scheme = p.Value
		case ":authority":
			st.request.Host = p.Value
		default:
			return -1, ""
		}
	}
	if st.request.Method == "" || path == "" || scheme == "" || st.request.Method == "CONNECT" {
		return -1, ""
	}
	var cookies []string
	hosts := 0
	for _, h := range f.RegularFields() {
		switch h.Name {
		case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
			return -1, ""
		case "te":
			if h.Value != "trailers" {
				return -1, ""
			}
			continue
		case "host":
			if hosts++; hosts > 1 || st.request.Host != "" && st.request.Host != h.Value {
				return -1, ""
			}
			st.request.Host = h.Value
			continue
		case "content-length":
			n, err := strconv.ParseInt(h.Value, 10, 63)
			if err != nil || st.contentLength >= 0 && n != st.contentLength || strings.HasPrefix(h.Value, "+") || n > 0 && f.StreamEnded() {
				return -1, ""
			}
			st.contentLength = n
			continue
		case "cookie":
			cookies = append(cookies, h.Value)
			continue
		}
		field := http1.Field{Name: h.Name, Value: h.Value}
		if !field.Valid() {
			return -1, ""
		}
		st.request.Header.Add(h.Name, h.Value)
	}
	if len(cookies) > 0 {
		st.request.Header.Add("Cookie", strings.Join(cookies, "; "))
	}
	if st.request.Host == "" || strings.ContainsAny(st.request.Host, " \t,/@") {
		return -1, ""
	}
	for i := range len(path) {
		if ch := path[i]; ch <= ' ' || ch >= 0x7f || ch == '#' || ch == '\\' {
			return -1, ""
		}
	}
	st.request.Target = path
	switch {
	case f.Truncated || len(f.Fields) > c.server.options.MaxHeaderFields:
		return 431, "header larger than is taken"
	case path[0] != '/' && !(path == "*" && st.request.Method == "OPTIONS"):
		return -1, ""
	case st.contentLength > c.server.options.MaxRequestBody:
		return 413, "body longer than " + strconv.FormatInt(c.server.options.MaxRequestBody, 10) + " bytes"
	case strings.EqualFold(st.request.Header.Get("Expect"), "100-continue"):
		st.request.Header.Del("Expect")
	case st.request.Header.Has("Expect"):
		return 417, "expectation other than 100-continue"
	}
	return 0, ""
}

// finishBody is called at the end of a request. It starts the handling of the request, unless
// the stream was claimed before.
func (c *conn) finishBody(st *stream) error {
	if !c.markBodyComplete(st) {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeStreamClosed}
	}
	if st.contentLength >= 0 && int64(len(st.body)) != st.contentLength {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	if st.memory.StopWaiting() && c.claim(st) {
		st.request.Body = st.body
		go c.handleRequest(st)
	}
	return nil
}

// markBodyComplete records that the end of a request was received. It returns false if that was recorded before.
func (c *conn) markBodyComplete(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st.bodyComplete {
		return false
	}
	st.bodyComplete = true
	if st.bodyTimer != nil {
		st.bodyTimer.Stop()
	}
	return true
}

// hasCompleteBody reports whether the end of a request was received.
func (c *conn) hasCompleteBody(st *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return st.bodyComplete
}
