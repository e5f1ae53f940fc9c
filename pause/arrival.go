package pause

import (
	"slices"
	"time"
)

// SocketRead is what is known about bytes that were read from a socket.
type SocketRead struct {
	LastEmpty time.Duration // when the socket was last seen empty; not after ReadAt
	ReadAt    time.Duration // when the read returned

	// KernelTimestamp is when the kernel received the bytes, by the wall clock since the
	// origin. It counts only with HasKernelTimestamp.
	KernelTimestamp    time.Duration
	HasKernelTimestamp bool
}

// ArrivalTime returns when the bytes of a read arrived, by the monotonic clock; never before
// LastEmpty, and never after ReadAt.
//
// With a kernel timestamp it is the timestamp, as far as the bounds allow. Without one it is
// the earliest time at which the bytes may have arrived if the process paused in between,
// and the time of the read otherwise.
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

// kernelArrivalTime converts a kernel timestamp to the monotonic clock. If the wall clock was
// set, it is unknown by which of two offsets the timestamp was taken: of the two readings,
// the earlier counts after a pause, being the safe one, and the later otherwise. A reading
// that the bounds of the read exclude is replaced by the other.
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
