package http2

import (
	"encoding/binary"
	"io"

	"golang.org/x/net/http2"
)

// frameInspector reads a connection's bytes for the framer, and sees each frame's header go
// by. The framer gathers a header block by itself, with as many CONTINUATION frames
// as come, and ends a stream alone where padding is longer than its frame, leaving
// the header table out of step; both are stopped here.
type frameInspector struct {
	reader           io.Reader
	maxContinuations int        // CONTINUATION frames in one header block
	onHeaderBlock    func(bool) // a header block begins, or ends, that is more than one frame

	header        [9]byte
	headerRead    int // bytes of the frame header
	payloadLeft   int // bytes of the payload still to come
	priorityBytes int // bytes that the frame has beside padding; -1: it has none to look at
	continuations int // in the block under way
}

const frameContinuation = 0x9

func (m *frameInspector) Read(b []byte) (int, error) {
	n, err := m.reader.Read(b)
	if ferr := m.inspect(b[:n]); ferr != nil {
		return 0, ferr
	}
	return n, err
}

// inspect goes through bytes that were read.
func (m *frameInspector) inspect(b []byte) error {
	for len(b) > 0 {
		if m.payloadLeft > 0 {
			if m.priorityBytes >= 0 {
				// The first byte is the padding's length (RFC 9113, 6.1 and 6.2).
				if int(b[0]) > m.payloadLeft-1-m.priorityBytes {
					return http2.ConnectionError(http2.ErrCodeProtocol)
				}
				m.priorityBytes = -1
			}
			k := min(len(b), m.payloadLeft)
			b, m.payloadLeft = b[k:], m.payloadLeft-k
			continue
		}
		k := copy(m.header[m.headerRead:], b)
		b, m.headerRead = b[k:], m.headerRead+k
		if m.headerRead < len(m.header) {
			return nil
		}
		m.headerRead = 0
		if err := m.inspectHeader(); err != nil {
			return err
		}
	}
	return nil
}

// inspectHeader looks at a inspectHeader's header.
func (m *frameInspector) inspectHeader() error {
	m.payloadLeft = int(binary.BigEndian.Uint32(m.header[:4]) >> 8)
	kind, flags := m.header[3], http2.Flags(m.header[4])
	m.priorityBytes = -1
	switch {
	case kind == byte(http2.FrameData) && flags.Has(http2.FlagDataPadded):
		m.priorityBytes = 0
	case kind == byte(http2.FrameHeaders) && flags.Has(http2.FlagHeadersPadded):
		if m.priorityBytes = 0; flags.Has(http2.FlagHeadersPriority) {
			m.priorityBytes = 5
		}
	}
	if m.priorityBytes >= 0 && m.payloadLeft < 1+m.priorityBytes {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	switch kind {
	case byte(http2.FrameHeaders):
		if m.continuations = 0; !flags.Has(http2.FlagHeadersEndHeaders) {
			m.onHeaderBlock(true)
		}
	case frameContinuation:
		if m.continuations++; m.continuations > m.maxContinuations {
			return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
		}
		if flags.Has(http2.FlagContinuationEndHeaders) {
			m.onHeaderBlock(false)
		}
	}
	return nil
}
