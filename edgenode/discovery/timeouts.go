package discovery

import "time"

// Timeouts of a watch. The platform requires that a node has applied a change 6 s after discovery
// has it and is reachable, regardless of failures in between. The worst sequence of failures takes
// 4.5 s: a poll that is in flight when discovery becomes reachable gets no response (1.7 s), and
// the backoff is at its maximum (0.2 s); a dial times out (0.5 s), and a backoff follows (0.2 s);
// the next poll gets no response either (1.7 s), and a backoff follows (0.2 s); the third poll is
// answered at once.
const (
	longPollTime  = time.Second            // how long discovery may hold a poll until the list changes
	responseGrace = 700 * time.Millisecond // how much later than that a response may arrive; allows for pauses of the process
	dialTimeout   = 500 * time.Millisecond
)

// Bounds of the backoff between polls that fail.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// backoff is the wait before the next poll after a failure. It doubles with each failure, up to
// maxBackoff.
type backoff struct{ wait time.Duration }

func newBackoff() backoff { return backoff{wait: minBackoff} }

// next returns the time to wait before the next poll, and doubles the following one.
func (b *backoff) next() time.Duration {
	wait := b.wait
	b.wait = min(2*b.wait, maxBackoff)
	return wait
}

// reset returns the backoff to its minimum after a successful poll.
func (b *backoff) reset() { b.wait = minBackoff }
