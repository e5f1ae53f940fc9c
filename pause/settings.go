package pause

import "time"

// Settings configures which interruptions count as pauses, and how long an event loop is delayed
// after one. Start from DefaultSettings and change fields as needed: a zero field is not replaced
// by its default.
type Settings struct {
	// HeartbeatInterval is the time between observations of the clock while nothing else
	// observes it; 10 ms by default. It must be well below MinPause: otherwise an ordinary
	// delay of the heartbeat counts as a pause.
	HeartbeatInterval time.Duration

	// MinPause is the time between two observations above which the process counts as paused
	// between them; 50 ms by default. If it is too short, ordinary scheduling delays count as
	// pauses and delay responses; if it is too long, requests are forwarded for clients that
	// disconnected during a pause.
	MinPause time.Duration

	// SettleTime is how long all sockets must stay drained before a Barrier is lifted; 3 ms by
	// default. If it is too short, events that socket readers are about to report arrive after
	// the barrier is lifted. It is also the change of the wall clock's offset from the
	// monotonic clock above which the wall clock counts as set.
	SettleTime time.Duration

	// MaxBarrier bounds how long a Barrier delays the event loop; 200 ms by default. A socket
	// that is never drained delays all responses by MaxBarrier after each pause. See Barrier
	// for pauses that follow each other.
	MaxBarrier time.Duration

	// Retention is how long the Detector keeps a pause after its end; one minute by default. It
	// must exceed the longest time span for which ActiveTime or ArrivalTime is called.
	Retention time.Duration

	// IgnoreArrivalTimes makes ArrivalTime return the time of the read; false by default. It is
	// for experiments: if it is set, the time that bytes wait in sockets during a pause counts
	// as latency of the servers, and does not count towards clients' timeouts.
	IgnoreArrivalTimes bool
}

// DefaultSettings returns settings for a process that responds within tens of milliseconds.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatInterval: 10 * time.Millisecond,
		MinPause:          50 * time.Millisecond,
		SettleTime:        3 * time.Millisecond,
		MaxBarrier:        200 * time.Millisecond,
		Retention:         time.Minute,
	}
}
