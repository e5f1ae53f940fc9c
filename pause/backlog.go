package pause

import (
	"cmp"
	"slices"
)

// EventKind is a kind of event that waits for an event loop.
type EventKind int

// The kinds, in the order in which they are handled after a pause: external events go
// before new work. Timers that are due fire after CallFinished and before OtherEvent: a call
// that finished in time did so before its timer was due.
const (
	EndpointsUpdated   EventKind = iota // the list of upstream endpoints changed
	PeerMessage                         // a peer sent a message to the quota policy
	ClientDisconnected                  // a client disconnected before its response
	CallFinished                        // a server or the authorizer responded, or failed to
	OtherEvent                          // any other event, such as a response of the usage counter
	RequestArrived                      // a client sent a request
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
