package discovery

import "time"

// Timeouts of a watch. The platform requires that a node has applied a change 6 s after discovery
// has it and is reachable, regardless of failures in between.
//
// If discovery answers at once, but not every call, the worst sequence of failures takes 4.1 s: a call
// that is in flight when discovery becomes reachable gets no response, and after 1.7 s the next is made;
// its connection does not come up (0.7 s); the next call gets no response either (1.7 s), and the one
// after it is answered at once. A failure that is noticed costs a backoff of 0.2 s at most instead.
//
// If discovery answers every call late, a change is known in time up to a delay of 4.3 s: the next call
// is made 1.7 s after the last one, answered or not. Beyond that lists still arrive, with that delay, up
// to callTimeout.
const (
	longPollTime  = time.Second            // how long discovery may hold a call until the list changes
	responseGrace = 700 * time.Millisecond // how much later than that another call is made; allows for pauses of the process
	connectGrace  = 700 * time.Millisecond // after which another call is made if no connection has come up
	callTimeout   = time.Minute            // of a call, and of the connection for it
)

// Bounds of the backoff between calls that fail.
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

// reset returns the backoff to its minimum after a successful call.
func (b *backoff) reset() { b.wait = minBackoff }
