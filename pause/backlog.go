package pause

import (
	"cmp"
	"slices"
)

// EventKind is the kind of an event that waits for an event loop.
type EventKind int

// The kinds, in the order in which they are handled after a pause: external events precede new
// work. Due timers fire after CallFinished and before OtherEvent, because a call that finished in
// time did so before its timer was due.
const (
	EndpointsUpdated   EventKind = iota // the list of upstream endpoints changed
	PeerMessage                         // a peer sent a message to the quota policy
	ClientDisconnected                  // a client disconnected before it received its response
	CallFinished                        // a call to a server or the authorizer succeeded or failed
	OtherEvent                          // any other event, such as a response of the usage counter
	RequestArrived                      // a client sent a request
)

// SortBacklog sorts waiting events by kind, preserving the order within a kind, and returns how
// many of them must be handled before the due timers.
func SortBacklog[T any](waiting []T, kind func(T) EventKind) (beforeTimers int) {
	slices.SortStableFunc(waiting, func(a, b T) int { return cmp.Compare(kind(a), kind(b)) })
	n := slices.IndexFunc(waiting, func(event T) bool { return kind(event) > CallFinished })
	if n < 0 {
		return len(waiting)
	}
	return n
}
