package pause

import (
	"slices"
	"time"
)

// SocketRead describes a read of bytes from a socket.
type SocketRead struct {
	LastEmpty time.Duration // when the socket was last known to be empty; not after ReadAt
	ReadAt    time.Duration // when the read returned

	// KernelTimestamp is when the kernel received the bytes: the time since the origin by the
	// wall clock. It is valid only if HasKernelTimestamp is set.
	KernelTimestamp    time.Duration
	HasKernelTimestamp bool
}

// ArrivalTime returns when the bytes of a read arrived, by the monotonic clock. The result is
// never before LastEmpty and never after ReadAt.
//
// With a kernel timestamp the result is that timestamp, limited to these bounds. Without one it
// is the earliest time at which the bytes may have arrived if the process was paused between
// LastEmpty and ReadAt, and the time of the read otherwise.
func (d *Detector) ArrivalTime(r SocketRead) time.Duration {
	if d.settings.IgnoreArrivalTimes {
		return r.ReadAt
	}
	first := slices.IndexFunc(d.pauses, func(p Pause) bool { return p.overlaps(r.LastEmpty, r.ReadAt) })
	paused := first >= 0
	switch {
	case r.HasKernelTimestamp:
		return min(max(d.kernelArrivalTime(r, paused), r.LastEmpty), r.ReadAt)
	case paused:
		return max(r.LastEmpty, d.pauses[first].Start)
	default:
		return r.ReadAt
	}
}

// kernelArrivalTime converts a kernel timestamp to the monotonic clock. If the wall clock was set,
// it is unknown which of two offsets applies to the timestamp. Of the two possible times, it
// returns the earlier one after a pause, which is the safe choice, and the later one otherwise. A
// time outside the bounds of the read is replaced by the other one.
func (d *Detector) kernelArrivalTime(r SocketRead, paused bool) time.Duration {
	byLatest := r.KernelTimestamp - d.wallOffset
	byPrevious := r.KernelTimestamp - d.previousWallOffset
	earlier := min(byLatest, byPrevious)
	later := max(byLatest, byPrevious)
	switch {
	case later > r.ReadAt:
		return earlier
	case paused && earlier >= r.LastEmpty:
		return earlier
	default:
		return later
	}
}
