package pauseclock

import (
	"errors"
	"syscall"
	"time"
)

// What a system lacks for a read or a write it may have again a moment later. The call is repeated with a delay, up to a
// number of times.
const (
	passingErrorDelay = 5 * time.Millisecond
	maxRepetitions    = 40
)

// isPassing reports whether an error of a read or a write leaves the connection intact.
func isPassing(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// repeatPassing calls f until it returns an error that does not pass, or none.
func repeatPassing(f func() error) error {
	err := f()
	for repetitions := 0; isPassing(err) && repetitions < maxRepetitions; repetitions++ {
		time.Sleep(passingErrorDelay)
		err = f()
	}
	return err
}
