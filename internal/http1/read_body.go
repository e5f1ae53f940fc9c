package http1

import (
	"errors"
	"io"
	"strings"

	"yardcleat.example/yardcleat/internal/memory"
)

// Body reads the whole body of a message.
func (r *Reader) Body(f Framing, length int64) ([]byte, error) {
	return r.BodyWithin(f, length, r.memory.ReserveMessage)
}

// BodyWithin does what Body does. It calls reserve for memory as the bytes of the body come, and ends with its error
// if it returns one.
func (r *Reader) BodyWithin(f Framing, length int64, reserve func(bytes int) error) ([]byte, error) {
	switch f {
	case Length:
		return r.readExactly(nil, length, length, reserve)
	case Chunked:
		return r.readChunked(reserve)
	case UntilClose:
		return r.readUntilClose(reserve)
	}
	return nil, nil
}

// readExactly reads n bytes and appends them to b, which never gets longer than maxBytes. It allocates memory as the
// bytes arrive, not for the announced length.
func (r *Reader) readExactly(b []byte, n, maxBytes int64, reserve func(bytes int) error) ([]byte, error) {
	for n > 0 {
		var err error
		if b, err = memory.Grow(b, 1, maxBytes, reserve); err != nil {
			return b, err
		}
		k := min(n, int64(cap(b)-len(b)))
		m, err := io.ReadFull(r.br, b[len(b):len(b)+int(k)])
		b = b[:len(b)+m]
		if err != nil {
			return b, unexpectedEOF(err)
		}
		n -= k
	}
	return b, nil
}

// readUntilClose reads a body that ends with the connection.
func (r *Reader) readUntilClose(reserve func(bytes int) error) ([]byte, error) {
	var body []byte
	for {
		// Peek waits for one byte, and Buffered tells how many came with it.
		if _, err := r.br.Peek(1); err != nil {
			if err == io.EOF {
				err = nil
			}
			return body, err
		}
		k := r.br.Buffered()
		if int64(len(body)+k) > r.limits.MaxBodyBytes {
			return body, newError(413, "body longer than %d bytes", r.limits.MaxBodyBytes)
		}
		var err error
		if body, err = r.readExactly(body, int64(k), r.limits.MaxBodyBytes, reserve); err != nil {
			return body, err
		}
	}
}

func (r *Reader) readChunked(reserve func(bytes int) error) ([]byte, error) {
	var body []byte
	for overhead := 0; ; {
		b, err := r.readLine(400)
		if err != nil {
			return body, unexpectedEOF(err)
		}
		// A client may send chunks of one byte. Chunk extensions are limited because they are
		// read and ignored.
		if overhead += len(b) + 4; overhead > r.limits.MaxHeaderBytes+8*len(body) {
			return body, newError(400, "more around chunks than in them")
		}
		size, _, _ := strings.Cut(string(b), ";")
		n, ok := parseDigits(strings.TrimRight(size, " \t"), 16)
		if !ok || size == "" {
			return body, newError(400, "malformed chunk size")
		}
		if int64(len(body))+n > r.limits.MaxBodyBytes {
			return body, newError(413, "body longer than %d bytes", r.limits.MaxBodyBytes)
		}
		if n == 0 {
			_, err := r.readHeader() // trailers are limited like a header, and ignored
			return body, err
		}
		if body, err = r.readExactly(body, n, r.limits.MaxBodyBytes, reserve); err != nil {
			return body, err
		}
		var end [2]byte
		if _, err := io.ReadFull(r.br, end[:]); err != nil {
			return body, unexpectedEOF(err)
		}
		if end != [2]byte{'\r', '\n'} {
			return body, newError(400, "chunk longer than its size")
		}
	}
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF, and other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
