// Package h2 contains what the HTTP/2 server and the HTTP/2 client of the gateway share.
package h2

import "golang.org/x/net/http2"

// DefaultMaxFrameSize is the maximum number of payload bytes of a frame unless the receiver
// allows more (RFC 9113, 6.5.2).
const DefaultMaxFrameSize = 16384

// WriteHeaderBlock writes a header block as a HEADERS frame and, if it does not fit into
// that, CONTINUATION frames.
func WriteHeaderBlock(fr *http2.Framer, id uint32, block []byte, endStream bool) error {
	n := min(len(block), DefaultMaxFrameSize)
	err := fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block[:n], EndStream: endStream, EndHeaders: n == len(block)})
	for block = block[n:]; err == nil && len(block) > 0; block = block[n:] {
		n = min(len(block), DefaultMaxFrameSize)
		err = fr.WriteContinuation(id, n == len(block), block[:n])
	}
	return err
}
