package http2

import (
	"strconv"
	"time"

	"golang.org/x/net/http2"

	"yardcleat.example/yardcleat/internal/memory"
)

func (c *conn) handleFrame(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(f)
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		if c.isIdle(f.StreamID) {
			return http2.ConnectionError(http2.ErrCodeProtocol) // RFC 9113, 6.4
		}
		c.abortStream(f.StreamID)
		return c.chargeFrame()
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.PingFrame:
		if err := c.chargeFrame(); err != nil || f.IsAck() {
			return err // the server sends no PING, so an ACK needs no handling
		}
		return c.write(func() error { return c.framer.WritePing(true, f.Data) })
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	case *http2.GoAwayFrame:
		return c.chargeFrame() // open streams are still served
	}
	return c.chargeFrame() // PRIORITY, and frames of unknown types
}

func (c *conn) handleSettings(f *http2.SettingsFrame) error {
	if err := c.chargeFrame(); err != nil || f.IsAck() {
		return err
	}
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		switch s.ID {
		case http2.SettingInitialWindowSize:
			delta := int64(s.Val) - c.initialSendWindow
			c.initialSendWindow = int64(s.Val)
			for _, st := range c.streams {
				if st.sendWindow += delta; st.sendWindow > 1<<31-1 {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
			}
			c.changed.Broadcast()
		case http2.SettingMaxFrameSize:
			c.maxSendFrameSize = min(int(s.Val), 64<<10)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.write(func() error {
		if v, ok := f.Value(http2.SettingHeaderTableSize); ok {
			c.headerEncoder.SetMaxDynamicTableSize(min(v, 4096))
		}
		return c.framer.WriteSettingsAck()
	})
}

func (c *conn) handleWindowUpdate(f *http2.WindowUpdateFrame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	if f.StreamID > c.lastStreamID || f.StreamID != 0 && f.StreamID%2 == 0 {
		return http2.ConnectionError(http2.ErrCodeProtocol) // the stream is idle (RFC 9113, 5.1)
	}
	// A WINDOW_UPDATE is charged only if too few body bytes were sent since the last ones.
	if c.windowUpdateCredit >= bytesPerWindowUpdate {
		c.windowUpdateCredit -= bytesPerWindowUpdate
	} else if err := c.chargeLocked(1); err != nil {
		return err
	}
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > 1<<31-1 {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
		return nil
	}
	if st := c.streams[f.StreamID]; st != nil {
		if st.sendWindow += int64(f.Increment); st.sendWindow > 1<<31-1 {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeFlowControl}
		}
	}
	return nil
}

// isIdle reports whether no stream with the ID was ever opened by the client.
func (c *conn) isIdle(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id > c.lastStreamID || id%2 == 0
}

// handleData adds the data to the request body. Data that is not needed any more is discarded.
func (c *conn) handleData(f *http2.DataFrame) error {
	n := int64(f.Length) // with the padding, which counts in flow control
	c.mu.Lock()
	c.unreturnedWindow += n
	st := c.streams[f.StreamID]
	isOpen := st != nil && !st.bodyComplete
	c.mu.Unlock()
	if c.isIdle(f.StreamID) {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	data := f.Data()
	if cost := 1.0; len(data) < smallDataBytes && !f.StreamEnded() {
		if len(data) > 0 {
			cost = smallDataCost
		}
		if err := c.charge(cost); err != nil {
			return err
		}
	}
	if !isOpen {
		c.returnWindow(0, 0)
		if st != nil {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeStreamClosed}
		}
		return nil // the stream has ended in the meantime
	}
	noRoom := c.reserveBody(st, len(data)) != nil
	c.mu.Lock()
	tooLong := int64(len(st.body)+len(data)) > c.server.options.MaxRequestBody
	bufferFull := c.bufferedBodyBytes+int64(len(data)) > c.server.options.MaxBufferedBodyBytes
	discard := st.claimed || st.aborted
	if !tooLong && !bufferFull && !noRoom && !discard {
		st.body = append(st.body, data...)
		c.bufferedBodyBytes += int64(len(data))
	}
	c.mu.Unlock()
	switch {
	case discard:
	case st.contentLength >= 0 && int64(len(st.body)) > st.contentLength:
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	case tooLong:
		if c.claim(st) {
			go c.reject(st, 413, "body longer than "+strconv.FormatInt(c.server.options.MaxRequestBody, 10)+" bytes")
		}
	case noRoom:
		c.returnWindow(0, 0)
		return c.refuseForMemory(st)
	case bufferFull:
		// REFUSED_STREAM: the request was not handled, so the client may retry it.
		c.returnWindow(0, 0)
		return c.resetStream(st, http2.ErrCodeRefusedStream)
	}
	if f.StreamEnded() {
		c.returnWindow(0, 0)
		return c.finishBody(st)
	}
	return c.returnWindow(st.id, n)
}

// reserveBody makes room for the next bytes of a request body, unless they are too many or not needed.
func (c *conn) reserveBody(st *stream, bytes int) (err error) {
	maxBytes := c.server.options.MaxRequestBody
	c.mu.Lock()
	body, discard := st.body, st.claimed || st.aborted
	c.mu.Unlock()
	if discard || int64(len(body)+bytes) > maxBytes {
		return nil
	}
	body, err = memory.Grow(body, int64(bytes), maxBytes, func(added int) error {
		return st.memory.Reserve(time.Now(), memory.Request, int64(added))
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if !st.claimed && !st.aborted {
		st.body = body
	}
	return err
}

// returnWindow returns n bytes to the window of a stream. It also returns the bytes received to
// the connection's window, once they are a quarter of it.
func (c *conn) returnWindow(id uint32, n int64) error {
	c.mu.Lock()
	connBytes := c.unreturnedWindow
	if connBytes < initialWindow/4 {
		connBytes = 0
	}
	c.unreturnedWindow -= connBytes
	c.mu.Unlock()
	if connBytes == 0 && n == 0 {
		return nil
	}
	return c.write(func() error {
		if connBytes > 0 {
			if err := c.framer.WriteWindowUpdate(0, uint32(connBytes)); err != nil {
				return err
			}
		}
		if n > 0 {
			return c.framer.WriteWindowUpdate(id, uint32(n))
		}
		return nil
	})
}
