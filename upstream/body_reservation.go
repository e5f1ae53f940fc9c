package upstream

import (
	"errors"
	"sync"
)

// minCountedBodyBytes is the size up to which a body does not count towards MaxBufferedBodyBytes.
const minCountedBodyBytes = 64 << 10

// errBufferFull is the error of a body for which MaxBufferedBodyBytes leaves no room.
var errBufferFull = errors.New("upstream: no room for the body")

// bodyReservation is the part of MaxBufferedBodyBytes that one response body takes while it is read. A body whose
// length is announced takes all of it at once, so that it fails early if there is no room. Any other takes room as
// its bytes come: how long it will be is not known, and most are short.
type bodyReservation struct {
	pool      *Pool
	announced int64 // length of the body, if it is known
	read      int64 // bytes read so far
	counted   int64 // reserved of MaxBufferedBodyBytes
}

// announce reserves room for a body of a known length.
func (r *bodyReservation) announce(length int64) error {
	r.announced = length
	return r.reserve(length)
}

// add reserves room for bytes that come.
func (r *bodyReservation) add(bytes int) error {
	r.read += int64(bytes)
	return r.reserve(max(r.announced, r.read))
}

// reserve extends the reservation to a body of a size. If that would exceed MaxBufferedBodyBytes, it ends the
// reservation and returns an error. Both is one step, so that of several bodies no more fail than have to.
func (r *bodyReservation) reserve(size int64) error {
	if size <= minCountedBodyBytes || size <= r.counted {
		return nil
	}
	b := &r.pool.bodyBuffer
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.reserved - r.counted
	if limit := r.pool.options.MaxBufferedBodyBytes; limit > 0 && others+size > limit {
		b.reserved = others
		r.counted = 0
		return errBufferFull
	}
	b.reserved = others + size
	r.counted = size
	return nil
}

// release ends the reservation.
func (r *bodyReservation) release() {
	b := &r.pool.bodyBuffer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= r.counted
	r.counted = 0
}

// bodyBuffer counts what the bodies that are being read have reserved of MaxBufferedBodyBytes.
type bodyBuffer struct {
	mu       sync.Mutex
	reserved int64
}
