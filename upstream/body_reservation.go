package upstream

import (
	"errors"
	"time"

	"yardcleat.example/yardcleat/internal/memory"
)

// errBufferFull is the error of a body for which there is no room.
var errBufferFull = errors.New("upstream: no room for the body")

// bodyReservation is the memory that one response body takes of its request's account, which holds it until the
// response is written to the client. A body whose length is announced takes all of it at once, so that it fails early
// if there is no room. Any other takes memory as its bytes come: how long it will be is not known, and most are short.
type bodyReservation struct {
	account  *memory.Account
	reserved int64 // bytes
	used     int64 // the part of reserved for which memory is allocated
}

// announce reserves room for a body of a known length.
func (r *bodyReservation) announce(length int64) error { return r.reserve(length) }

// add reserves room for bytes for which memory is about to be allocated.
func (r *bodyReservation) add(bytes int) error {
	r.used += int64(bytes)
	return r.reserve(r.used)
}

// reserve extends the reservation to a body of a size. If there is no room it ends the reservation.
func (r *bodyReservation) reserve(size int64) error {
	if size <= r.reserved {
		return nil
	}
	if err := r.account.Reserve(time.Now(), memory.Response, size-r.reserved); err != nil {
		r.reserved = 0
		return errBufferFull
	}
	r.reserved = size
	return nil
}

// release ends the reservation of a body that is not handed over.
func (r *bodyReservation) release() {
	r.account.Release(memory.Response, r.reserved)
	r.reserved = 0
}
