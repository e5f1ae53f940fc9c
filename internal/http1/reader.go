package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Limits are the limits of one message.
type Limits struct {
	MaxLineBytes    int   // of the first line, and of each header line
	MaxHeaderFields int   // number of header fields
	MaxHeaderBytes  int   // of all header lines
	MaxBodyBytes    int64 // of the body
}

// Memory is asked for room before a Reader holds bytes beyond its initial buffer. An error ends the read with it.
type Memory interface {
	// ReserveMessage asks for room for bytes of the message that is being read.
	ReserveMessage(bytes int) error

	// ResizeBuffer asks for room for a buffer that grows by a number of bytes, or is told that it shrinks, which
	// must not fail.
	ResizeBuffer(bytes int) error
}

// unlimited is a Memory that has room for everything.
type unlimited struct{}

func (unlimited) ReserveMessage(int) error { return nil }
func (unlimited) ResizeBuffer(int) error   { return nil }

// Reader reads messages from one connection.
type Reader struct {
	br     *bufio.Reader
	src    io.Reader
	limits Limits
	memory Memory
}

// NewReader returns a Reader. Its buffer holds the longest line that the limits allow.
func NewReader(r io.Reader, limits Limits) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, initialBufferSize(limits)), src: r, limits: limits, memory: unlimited{}}
}

// LimitMemory has the Reader ask for room from now on.
func (r *Reader) LimitMemory(memory Memory) { r.memory = memory }

// initialBufferSize returns the size of a Reader's buffer, unless Await has let it grow.
func initialBufferSize(limits Limits) int { return max(4096, limits.MaxLineBytes+2) }

// Buffered returns the number of bytes that were read from the connection and not parsed yet.
func (r *Reader) Buffered() int { return r.br.Buffered() }

// ErrPipelineTooLong is returned by Await if more bytes are buffered than one message may have, or there is no room
// for more.
var ErrPipelineTooLong = errors.New("http1: pipelined requests exceed the read buffer")

// Await blocks until a byte arrives in addition to those buffered, or the connection ends. The
// buffer grows as needed, up to the size of the largest message: the end of the connection can only
// be detected by reading all bytes before it.
func (r *Reader) Await() error {
	for {
		_, err := r.br.Peek(r.br.Buffered() + 1)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if err := r.growBuffer(); err != nil {
			return err
		}
	}
}

// growBuffer doubles the buffer, up to the size of the largest message.
func (r *Reader) growBuffer() error {
	size := int64(r.br.Size())
	maxSize := int64(r.limits.MaxHeaderBytes) + r.limits.MaxBodyBytes
	if size >= maxSize {
		return ErrPipelineTooLong
	}
	grown := min(2*size, maxSize)
	if err := r.memory.ResizeBuffer(int(grown - size)); err != nil {
		return ErrPipelineTooLong
	}
	r.replaceBuffer(int(grown))
	return nil
}

// ShrinkBuffer gives up the memory by which Await has let the buffer grow, once the initial buffer holds what is left
// in it.
func (r *Reader) ShrinkBuffer() {
	initial := initialBufferSize(r.limits)
	excess := r.br.Size() - initial
	if excess <= 0 || r.br.Buffered() > initial {
		return
	}
	r.replaceBuffer(initial)
	_ = r.memory.ResizeBuffer(-excess) // can't fail
}

// replaceBuffer replaces the buffer by one of a size that holds the same bytes.
func (r *Reader) replaceBuffer(size int) {
	buffered, _ := r.br.Peek(r.br.Buffered())
	r.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), r.src), size)
	if len(buffered) > 0 {
		_, _ = r.br.Peek(1) // can't fail: it moves the bytes to the new buffer
	}
}

// Discard reads up to n bytes and discards them. It ends early if the connection does.
func (r *Reader) Discard(n int) { _, _ = r.br.Discard(n) }
