package http2

import (
	"encoding/binary"
	"io"

	"golang.org/x/net/http2"
)

// frameInspector is the reader from which the framer reads a connection. It inspects the
// header of each frame and returns connection errors where the framer is too lenient: the
// framer reads any number of CONTINUATION frames in a header block, and treats padding longer
// than its frame as a stream error, which leaves the HPACK dynamic table out of sync.
type frameInspector struct {
	reader           io.Reader
	maxContinuations int        // maximum number of CONTINUATION frames in one header block
	onHeaderBlock    func(bool) // a header block of several frames begins (true) or ends (false)

	header        [9]byte
	headerRead    int // bytes of the frame header that were read
	payloadLeft   int // bytes of the payload that were not read yet
	priorityBytes int // between the pad length and the rest of a padded frame; -1: no pad length to check
	continuations int // in the current header block
}

const frameContinuation = 0x9 // frame type (RFC 9113, 6.10)

func (i *frameInspector) Read(b []byte) (int, error) {
	n, err := i.reader.Read(b)
	if inspectErr := i.inspect(b[:n]); inspectErr != nil {
		return 0, inspectErr
	}
	return n, err
}

// inspect checks bytes that were read.
func (i *frameInspector) inspect(b []byte) error {
	for len(b) > 0 {
		if i.payloadLeft > 0 {
			if i.priorityBytes >= 0 {
				// The first byte is the pad length (RFC 9113, 6.1 and 6.2).
				if int(b[0]) > i.payloadLeft-1-i.priorityBytes {
					return http2.ConnectionError(http2.ErrCodeProtocol)
				}
				i.priorityBytes = -1
			}
			k := min(len(b), i.payloadLeft)
			b, i.payloadLeft = b[k:], i.payloadLeft-k
			continue
		}
		k := copy(i.header[i.headerRead:], b)
		b, i.headerRead = b[k:], i.headerRead+k
		if i.headerRead < len(i.header) {
			return nil
		}
		i.headerRead = 0
		if err := i.inspectHeader(); err != nil {
			return err
		}
	}
	return nil
}

// inspectHeader checks a complete frame header.
func (i *frameInspector) inspectHeader() error {
	i.payloadLeft = int(binary.BigEndian.Uint32(i.header[:4]) >> 8)
	kind, flags := i.header[3], http2.Flags(i.header[4])
	i.priorityBytes = -1
	switch {
	case kind == byte(http2.FrameData) && flags.Has(http2.FlagDataPadded):
		i.priorityBytes = 0
	case kind == byte(http2.FrameHeaders) && flags.Has(http2.FlagHeadersPadded):
		if i.priorityBytes = 0; flags.Has(http2.FlagHeadersPriority) {
			i.priorityBytes = 5
		}
	}
	if i.priorityBytes >= 0 && i.payloadLeft < 1+i.priorityBytes {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	switch kind {
	case byte(http2.FrameHeaders):
		if i.continuations = 0; !flags.Has(http2.FlagHeadersEndHeaders) {
			i.onHeaderBlock(true)
		}
	case frameContinuation:
		if i.continuations++; i.continuations > i.maxContinuations {
			return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
		}
		if flags.Has(http2.FlagContinuationEndHeaders) {
			i.onHeaderBlock(false)
		}
	}
	return nil
}
