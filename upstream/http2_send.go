package upstream

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yardcleat.example/yardcleat/internal/h2"
	"yardcleat.example/yardcleat/node"
)

// write calls a function that writes to the connection under the write lock and a timeout. It
// closes the connection if the function fails.
func (c *h2Conn) write(f func() error) error { return c.writeBefore(time.Time{}, f) }

// writeBefore does what write does. If limit is not zero and comes before the timeout, it is the time by which the
// function must have written.
func (c *h2Conn) writeBefore(limit time.Time, f func() error) error {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	deadline := time.Now().Add(h2WriteTimeout)
	if !limit.IsZero() && limit.Before(deadline) {
		deadline = limit
	}
	c.netConn.SetWriteDeadline(deadline)
	err := f()
	if err != nil {
		c.netConn.Close()
	}
	return err
}

// sendRequest sends the request of a stream. It assigns the stream ID under the write lock, since
// IDs must increase in the order in which streams are opened.
func (c *h2Conn) sendRequest(s *h2Stream, call *node.HTTPRequest) error {
	var notSent *node.Result
	refused := false
	err := c.writeBefore(s.attempt.SendBy, func() error {
		if notSent = s.attempt.reasonNotToSend(); notSent == nil && !s.attempt.startWrite() {
			notSent = &resultTooLate // the attempt has ended, so that the result is not reported
		}
		if notSent != nil {
			return nil
		}
		c.mu.Lock()
		if c.noNewStreams || s.ended {
			refused = true
			c.mu.Unlock()
			return nil
		}
		for id, other := range c.streams {
			if other == s {
				delete(c.streams, id)
			}
		}
		s.id, s.sentAt = c.nextStreamID, time.Now()
		c.nextStreamID += 2
		c.streams[s.id] = s
		c.mu.Unlock()
		return c.writeRequestHead(s, call)
	})
	if notSent != nil {
		return &notSentError{*notSent} // nothing was written, so the connection can still be used
	}
	if err != nil {
		return err
	}
	if refused {
		// If the stream has ended, the goroutine that ended it reports the result.
		c.failStream(s, beforeWrite, errNoNewStreams)
		return nil
	}
	return c.sendBody(s, call.Body)
}

// writeRequestHead writes the header block of a request. The write lock must be held.
func (c *h2Conn) writeRequestHead(s *h2Stream, call *node.HTTPRequest) error {
	c.headerBuffer.Reset()
	put := func(name, value string) { c.headerEncoder.WriteField(hpack.HeaderField{Name: name, Value: value}) }
	put(":method", call.Method)
	put(":scheme", "http")
	put(":path", call.Target)
	put(":authority", call.Host)
	for _, f := range call.Header {
		if f.Name != "Host" && f.Name != "Te" {
			put(strings.ToLower(f.Name), f.Value)
		}
	}
	if len(call.Body) > 0 {
		put("content-length", strconv.Itoa(len(call.Body)))
	}
	return h2.WriteHeaderBlock(c.framer, s.id, c.headerBuffer.Bytes(), len(call.Body) == 0)
}

// sendBody sends the body of a request, as the flow-control windows permit. It ends without an error if the stream
// has ended.
func (c *h2Conn) sendBody(s *h2Stream, body []byte) error {
	if sendBy := s.attempt.SendBy; !sendBy.IsZero() && len(body) > 0 {
		timer := time.AfterFunc(time.Until(sendBy), func() { c.failUnsent(s) })
		defer timer.Stop()
	}
	for len(body) > 0 {
		c.mu.Lock()
		for !s.ended && (s.sendWindow <= 0 || c.sendWindow <= 0) {
			c.changed.Wait()
		}
		n := int(min(int64(len(body)), s.sendWindow, c.sendWindow, h2.DefaultMaxFrameSize))
		if s.ended {
			c.mu.Unlock()
			return nil
		}
		s.sendWindow, c.sendWindow = s.sendWindow-int64(n), c.sendWindow-int64(n)
		c.mu.Unlock()
		part := body[:n]
		body = body[n:]
		err := c.writeBefore(s.attempt.SendBy, func() error { return c.framer.WriteData(s.id, len(body) == 0, part) })
		if err != nil {
			return err
		}
	}
	return nil
}

// errNoNewStreams is the error of a request that was not sent because its connection takes no more streams.
var errNoNewStreams = errors.New("the connection takes no more requests")

// errSendTimeOver is the error of a request of which only a part was sent by Attempt.SendBy.
var errSendTimeOver = errors.New("too late to send the rest")

// failUnsent resets a stream whose request could not be sent completely in time.
func (c *h2Conn) failUnsent(s *h2Stream) {
	if c.resetStream(s, http2.ErrCodeCancel) {
		code, detail := attemptOutcome(duringWrite, errSendTimeOver)
		s.attempt.finish(node.Result{Code: code, Detail: detail}, false)
	}
}
