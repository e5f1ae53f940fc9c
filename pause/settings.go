package pause

import "time"

// Settings bounds what counts as a pause, and what is waited for after one. Use
// DefaultSettings and change what differs: a field that is zero has no default.
type Settings struct {
	// HeartbeatInterval is the time between observations of the clock while nothing else
	// observes it; 10 ms by default. It must be well below MinPause: otherwise an ordinary
	// delay of the heartbeat counts as a pause.
	HeartbeatInterval time.Duration

	// MinPause is the time between two observations above which the process counts as
	// paused between them; 50 ms by default. If it is too short, a busy scheduler causes
	// pauses that delay responses; if it is too long, requests are forwarded for clients that
	// disconnected during a pause.
	MinPause time.Duration

	// SettleTime is how long all sockets must stay drained before a Barrier lifts; 3 ms by
	// default. If it is too short, what readers are about to report comes after the barrier.
	// A difference between the clocks that changes by more than SettleTime also counts as a
	// wall clock that was set.
	SettleTime time.Duration

	// MaxBarrier bounds how long a Barrier delays the event loop; 200 ms by default. A
	// socket that never drains delays all responses by so much after each pause.
	MaxBarrier time.Duration

	// Retention is how long ago a pause may have ended before the Detector forgets it; one
	// minute by default. It must exceed the longest time for which ActiveTime or
	// ArrivalTime is asked.
	Retention time.Duration

	// IgnoreArrivalTimes dates what was read to when it was read; false by default. It is
	// for experiments: with it, time spent in sockets during a pause counts as the
	// servers' latency, and not against clients' timeouts.
	IgnoreArrivalTimes bool
}

// DefaultSettings returns settings for processes that respond in tens of milliseconds.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatInterval: 10 * time.Millisecond,
		MinPause:          50 * time.Millisecond,
		SettleTime:        3 * time.Millisecond,
		MaxBarrier:        200 * time.Millisecond,
		Retention:         time.Minute,
	}
}
