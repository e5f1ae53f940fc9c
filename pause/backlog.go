package pause

import (
	"cmp"
	"slices"
)

// EventKind is a kind of event that waits for an event loop.
type EventKind int

// The kinds, in the order in which they count after a pause: what happened outside goes
// before what the process is to do next. Timers that are due fire after CallFinished and
// before OtherEvent: what finished in time did so before its timer was due.
const (
	EndpointsUpdated   EventKind = iota // the list of upstream endpoints changed
	PeerMessage                         // a peer or the usage counter sent a message
	ClientDisconnected                  // a client disconnected before its response
	CallFinished                        // a server or the authorizer responded, or failed to
	OtherEvent
	RequestArrived // a client sent a request
)

// SortBacklog sorts the events that waited by kind, stable within a kind, and returns how
// many of them go before the timers that are due.
func SortBacklog[T any](waiting []T, kind func(T) EventKind) (beforeTimers int) {
	slices.SortStableFunc(waiting, func(a, b T) int { return cmp.Compare(kind(a), kind(b)) })
	n := slices.IndexFunc(waiting, func(event T) bool { return kind(event) > CallFinished })
	if n < 0 {
		return len(waiting)
	}
	return n
}
