package discovery

import "time"

// The times of a watch. The platform counts a change as known 6 s after discovery had it
// and could be reached, whatever failed meanwhile. The worst order of failures: a call is
// in flight as discovery comes back, and gets no response (1.7 s); the backoff is at its
// longest (0.2 s); a dial is lost (0.5 s), and a backoff follows (0.2 s); the next call gets
// no response either (1.7 s), and a backoff follows (0.2 s); the third is answered at once.
// That is 4.5 s.
const (
	longPollTime  = time.Second            // for which discovery may hold a call until the list changes
	responseGrace = 700 * time.Millisecond // after which a call has failed; allows for pauses of the process
	dialTimeout   = 500 * time.Millisecond
)

// The bounds of the backoff between calls that fail.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// backoff is the wait before the next call after one that failed. It doubles with each, up
// to maxBackoff.
type backoff struct{ wait time.Duration }

func newBackoff() backoff { return backoff{wait: minBackoff} }

// next returns how long to wait now.
func (b *backoff) next() time.Duration {
	wait := b.wait
	b.wait = min(2*b.wait, maxBackoff)
	return wait
}

// reset starts again after a call that did not fail.
func (b *backoff) reset() { b.wait = minBackoff }
