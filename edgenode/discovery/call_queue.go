package discovery

import "slices"

// maxCallsInFlight bounds the calls that wait for a response at the same time, each on a connection of its own.
const maxCallsInFlight = 8

// callQueue holds the calls in flight, in the order in which they were made.
//
// A call that has no response in time is not given up: discovery may be slow rather than silent, and each call that
// replaced it would be given up in the same way. Another call is made beside it, on another connection.
//
// Invariant: each call in flight was made after the last call that was answered. So a response is never older than
// the list that is known, whatever the order in which responses arrive.
type callQueue struct{ calls []*call }

// add adds a call that is made now. If that are too many, it removes and returns a call to be given up. It is never
// the oldest one, which is the next to be answered by a discovery that is slower than all calls together may wait.
func (q *callQueue) add(c *call) (givenUp *call) {
	q.calls = append(q.calls, c)
	if len(q.calls) <= maxCallsInFlight {
		return nil
	}
	givenUp = q.calls[1]
	q.calls = slices.Delete(q.calls, 1, 2)
	return givenUp
}

// contains reports whether a call is in flight.
func (q *callQueue) contains(c *call) bool { return slices.Contains(q.calls, c) }

// isLatest reports whether no call was made after c.
func (q *callQueue) isLatest(c *call) bool {
	return len(q.calls) > 0 && q.calls[len(q.calls)-1] == c
}

// removeAnswered removes a call that was answered, and returns the calls made before it: they are to be given up.
func (q *callQueue) removeAnswered(c *call) (older []*call) {
	i := slices.Index(q.calls, c)
	older = slices.Clone(q.calls[:i])
	q.calls = slices.Delete(q.calls, 0, i+1)
	return older
}

// removeFailed removes a call that has failed.
func (q *callQueue) removeFailed(c *call) {
	i := slices.Index(q.calls, c)
	q.calls = slices.Delete(q.calls, i, i+1)
}
