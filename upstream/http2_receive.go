package upstream

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"golang.org/x/net/http2"

	"yardcleat.example/yardcleat/internal/http1"
	"yardcleat.example/yardcleat/internal/memory"
)

// readLoop reads frames until the connection ends, then fails the remaining streams.
func (c *h2Conn) readLoop() {
	defer c.pool.readers.Done()
	var err error
	for err == nil {
		var f http2.Frame
		if f, err = c.framer.ReadFrame(); err == nil {
			c.mu.Lock()
			c.lastFrameAt = time.Now()
			c.mu.Unlock()
			err = c.handleFrame(f)
		}
		var streamError http2.StreamError
		if errors.As(err, &streamError) {
			err = nil
			if s := c.activeStream(streamError.StreamID); s != nil {
				c.write(func() error { return c.framer.WriteRSTStream(streamError.StreamID, streamError.Code) })
				c.failStream(s, duringResponse, streamError)
			}
		}
	}
	c.netConn.Close()
	c.pool.mu.Lock()
	list := c.pool.h2Conns[c.address]
	for i := range list {
		if list[i] == c {
			c.pool.h2Conns[c.address] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	c.pool.mu.Unlock()
	c.mu.Lock()
	c.noNewStreams = true
	remaining := make([]*h2Stream, 0, len(c.streams))
	for _, s := range c.streams {
		remaining = append(remaining, s)
	}
	c.mu.Unlock()
	for _, s := range remaining {
		if s.id == 0 {
			c.failStream(s, beforeWrite, err)
			continue
		}
		c.failStream(s, beforeResponse, err)
	}
}

// activeStream returns the stream with an ID, or nil. It does not return streams whose request is
// not sent yet.
func (c *h2Conn) activeStream(id uint32) *h2Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[id]; s != nil && s.id == id {
		return s
	}
	return nil
}

// handleFrame processes a frame. An error other than a stream error ends the connection.
func (c *h2Conn) handleFrame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.RSTStreamFrame:
		if s := c.activeStream(f.StreamID); s != nil {
			if s.head != nil && f.ErrCode == http2.ErrCodeNo {
				return nil // the server does not need the rest of the request body (RFC 9113, section 8.1)
			}
			phase := beforeResponse
			if f.ErrCode == http2.ErrCodeRefusedStream {
				phase = streamRefused
			}
			c.failStream(s, phase, fmt.Errorf("stream reset: %v", f.ErrCode))
		}
	case *http2.GoAwayFrame:
		c.mu.Lock()
		c.noNewStreams = true
		var refused []*h2Stream
		for id, s := range c.streams {
			if s.id == 0 || id > f.LastStreamID {
				refused = append(refused, s)
			}
		}
		empty := len(refused) == len(c.streams)
		c.mu.Unlock()
		for _, s := range refused {
			c.failStream(s, streamRefused, fmt.Errorf("above the last stream of GOAWAY: %v", f.ErrCode))
		}
		if empty {
			return errors.New("GOAWAY")
		}
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.PingFrame:
		if !f.IsAck() {
			return c.write(func() error { return c.framer.WritePing(true, f.Data) })
		}
	case *http2.WindowUpdateFrame:
		c.mu.Lock()
		defer c.mu.Unlock()
		if s := c.streams[f.StreamID]; s != nil && s.id == f.StreamID {
			s.sendWindow += int64(f.Increment)
		} else if f.StreamID == 0 {
			c.sendWindow += int64(f.Increment)
		}
		c.changed.Broadcast()
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	return nil
}

// handleSettings applies and acknowledges the settings of the server.
func (c *h2Conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	err := f.ForeachSetting(func(setting http2.Setting) error {
		if err := setting.Valid(); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		switch setting.ID {
		case http2.SettingInitialWindowSize:
			for _, stream := range c.streams {
				stream.sendWindow += int64(setting.Val) - c.initialSendWindow
			}
			c.initialSendWindow = int64(setting.Val)
			c.changed.Broadcast()
		case http2.SettingMaxConcurrentStreams:
			c.maxStreams = int(min(setting.Val, 1000))
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.write(func() error {
		if size, ok := f.Value(http2.SettingHeaderTableSize); ok {
			c.headerEncoder.SetMaxDynamicTableSize(min(size, 4096))
		}
		return c.framer.WriteSettingsAck()
	})
}

// handleHeaders processes a response head, an informational response or trailers.
func (c *h2Conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	s := c.activeStream(f.StreamID)
	if s == nil {
		return nil // the stream was reset in the meantime
	}
	if s.head == nil {
		status, err := strconv.Atoi(f.PseudoValue("status"))
		if err != nil || status < 100 || status > 599 || status == 101 || f.Truncated {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
		}
		if status < 200 {
			return nil
		}
		s.head = &http1.Response{Status: status, Minor: 1}
		for _, h := range f.RegularFields() {
			s.head.Header.Add(h.Name, h.Value)
		}
	}
	if f.StreamEnded() {
		c.finishStream(s)
	}
	return nil
}

// handleData processes a part of a response body and returns flow-control window to the server.
func (c *h2Conn) handleData(f *http2.DataFrame) error {
	s := c.activeStream(f.StreamID)
	c.unreturnedWindow += int64(f.Length)
	if s != nil && s.head == nil {
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	}
	if s != nil {
		if err := s.appendBody(f.Data(), c.pool.options.Limits.MaxBodyBytes); err != nil {
			c.write(func() error { return c.framer.WriteRSTStream(s.id, http2.ErrCodeCancel) })
			c.failStream(s, duringResponse, err)
			s = nil
		}
	}
	if s != nil && f.StreamEnded() {
		c.finishStream(s)
		s = nil
	}
	unreturned := c.unreturnedWindow
	if unreturned >= receiveWindow/4 {
		c.unreturnedWindow = 0
	}
	if unreturned < receiveWindow/4 && (s == nil || f.Length == 0) {
		return nil
	}
	return c.write(func() error {
		if unreturned >= receiveWindow/4 {
			if err := c.framer.WriteWindowUpdate(0, uint32(unreturned)); err != nil {
				return err
			}
		}
		if s != nil && f.Length > 0 {
			return c.framer.WriteWindowUpdate(s.id, f.Length)
		}
		return nil
	})
}

// appendBody adds a part of the response body, for which there must be room.
func (s *h2Stream) appendBody(data []byte, maxBytes int64) (err error) {
	if int64(len(s.body)+len(data)) > maxBytes {
		return fmt.Errorf("body longer than %d bytes", maxBytes)
	}
	s.reserved.account = s.attempt.Request.Memory
	if s.body, err = memory.Grow(s.body, int64(len(data)), maxBytes, s.reserved.add); err != nil {
		return err
	}
	s.body = append(s.body, data...)
	return nil
}

// finishStream removes a stream whose response is complete and reports the result of its attempt.
func (c *h2Conn) finishStream(s *h2Stream) {
	if length, err := strconv.ParseInt(s.head.Header.Get("Content-Length"), 10, 64); err == nil && length != int64(len(s.body)) &&
		s.attempt.Request.HTTP.Method != "HEAD" && s.head.Status != 204 && s.head.Status != 304 {
		c.failStream(s, duringResponse, fmt.Errorf("body of %d bytes, %d announced", len(s.body), length))
		return
	}
	if !c.removeStream(s) {
		return
	}
	s.attempt.finish(s.attempt.responseResult(s.head, s.body, c.netConn), false)
}
