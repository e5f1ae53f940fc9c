package http2

import (
	"encoding/binary"
	"io"

	"golang.org/x/net/http2"
)

// meter reads a connection's bytes for the framer, and sees each frame's header go
// by. The framer gathers a header block by itself, with as many CONTINUATION frames
// as come, and ends a stream alone where padding is longer than its frame, leaving
// the header table out of step; both are stopped here.
type meter struct {
	r     io.Reader
	most  int        // CONTINUATION frames in one header block
	block func(bool) // a header block begins, or ends, that is more than one frame

	head  [9]byte
	have  int // bytes of the frame header
	left  int // bytes of the payload still to come
	pad   int // bytes that the frame has beside padding; -1: it has none to look at
	conts int // in the block under way
}

const frameContinuation = 0x9

func (m *meter) Read(b []byte) (int, error) {
	n, err := m.r.Read(b)
	if ferr := m.see(b[:n]); ferr != nil {
		return 0, ferr
	}
	return n, err
}

// see goes through bytes that were read.
func (m *meter) see(b []byte) error {
	for len(b) > 0 {
		if m.left > 0 {
			if m.pad >= 0 {
				// The first byte is the padding's length (RFC 9113, 6.1 and 6.2).
				if int(b[0]) > m.left-1-m.pad {
					return http2.ConnectionError(http2.ErrCodeProtocol)
				}
				m.pad = -1
			}
			k := min(len(b), m.left)
			b, m.left = b[k:], m.left-k
			continue
		}
		k := copy(m.head[m.have:], b)
		b, m.have = b[k:], m.have+k
		if m.have < len(m.head) {
			return nil
		}
		m.have = 0
		if err := m.frame(); err != nil {
			return err
		}
	}
	return nil
}

// frame looks at a frame's header.
func (m *meter) frame() error {
	m.left = int(binary.BigEndian.Uint32(m.head[:4]) >> 8)
	kind, flags := m.head[3], http2.Flags(m.head[4])
	m.pad = -1
	switch {
	case kind == byte(http2.FrameData) && flags.Has(http2.FlagDataPadded):
		m.pad = 0
	case kind == byte(http2.FrameHeaders) && flags.Has(http2.FlagHeadersPadded):
		if m.pad = 0; flags.Has(http2.FlagHeadersPriority) {
			m.pad = 5
		}
	}
	if m.pad >= 0 && m.left < 1+m.pad {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	switch kind {
	case byte(http2.FrameHeaders):
		if m.conts = 0; !flags.Has(http2.FlagHeadersEndHeaders) {
			m.block(true)
		}
	case frameContinuation:
		if m.conts++; m.conts > m.most {
			return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
		}
		if flags.Has(http2.FlagContinuationEndHeaders) {
			m.block(false)
		}
	}
	return nil
}
